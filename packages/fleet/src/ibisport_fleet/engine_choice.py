"""Chooses the model engine for a request.

Long prompts may have a pool of engines of their own. Which engines belong to the pool
depends only on the list of targets and on the pool's share of them, so all routers
agree on it without exchanging messages.
"""

from collections.abc import Sequence

from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.placing.backlog import estimate_backlog
from ibisport_fleet.placing.pace import ServicePace
from ibisport_fleet.placing.shared_parts import find_preferred_engines
from ibisport_fleet.prompt_mix import EngineSplit
from ibisport_fleet.rendezvous import compute_score, hash_text
from ibisport_fleet.target_choice import (
    Candidate,
    Origin,
    filter_available,
    filter_unlimited,
)

# A prompt overflows to an engine outside its pool once the backlog of the pool is
# larger by this much, which is 0.3 s of reading.
OVERFLOW_TOKENS = 12_000
NO_ORIGIN = Origin('', '')


def choose_engine(
    candidates: Sequence[Candidate],
    parts: Sequence[PromptPart],
    now: float,
    split: EngineSplit | None = None,
    origin: Origin = NO_ORIGIN,
    pace: ServicePace | None = None,
) -> Candidate | None:
    """Choose the model engine that probably produces the first token earliest.

    An engine reads prompts at a fixed rate, so the wait grows with the tokens that it
    has yet to read: those of prompts already sent to it, and those of this prompt
    that it hasn't cached. All routers send a shared part to the same preferred engine
    first, so that engine is assumed to have the part cached.

    Args:
        candidates: Targets to choose from.
        parts: The prompt in order; the last part belongs to this request alone.
        now: Loop time.
        split: How engines are divided into pools; None: all engines form one pool.
        origin: The router that chooses.
        pace: How slow the engines are; None: all are taken to be equal.
    """
    available = filter_available(candidates, now)
    if not available:
        return None
    shared = parts[:-1]
    # A rate-limited target can't serve all requests of a preferred engine.
    pool = _select_pool(filter_unlimited(candidates), parts, split)
    count = 1
    if pace is not None and shared:
        part_id = shared[-1].part_id
        count = pace.shared_parts.count_engines(part_id, len(candidates), now)
    preferred = _find_preferred_engines(available, pool, shared, count, pace)

    own_tokens = parts[-1].tokens if parts else 0
    # Routers with the same list would all choose the first of equal engines.
    spread_key = shared[-1].part_id if shared else origin.host
    if count > 1:
        # Each router would send all prompts of a hot part to the same idle engine.
        spread_key = f'{origin.host}|{now}'

    def compute_cost(candidate: Candidate) -> tuple[float, bool, int]:
        entry = candidate.entry
        overflow = 0 if entry.incarnation in pool else OVERFLOW_TOKENS
        cost = _estimate_tokens(candidate, preferred, shared, now) + overflow
        if pace is not None:
            cost = pace.compute_start_cost(candidate, cost + own_tokens, now)
        return (
            cost,
            entry.incarnation not in preferred,
            -compute_score(spread_key, entry.incarnation),
        )

    return min(available, key=compute_cost)


def select_long_prompt_engines(
    candidates: Sequence[Candidate], share: float
) -> frozenset[str]:
    """Return the incarnations of the pool for long prompts, spread over all domains.

    Args:
        candidates: All targets of the service.
        share: Share of the targets in the pool; both pools keep at least one target.
    """
    by_domain: dict[str, list[str]] = {}
    for candidate in candidates:
        members = by_domain.setdefault(candidate.entry.domain, [])
        members.append(candidate.entry.incarnation)
    ranked = [
        (rank, hash_text(incarnation), incarnation)
        for members in by_domain.values()
        for rank, incarnation in enumerate(sorted(members, key=hash_text))
    ]
    wanted = round(len(ranked) * share)
    size = max(1, min(wanted, len(ranked) - 1))
    return frozenset(incarnation for _, _, incarnation in sorted(ranked)[:size])


def _select_pool(
    candidates: Sequence[Candidate],
    parts: Sequence[PromptPart],
    split: EngineSplit | None,
) -> frozenset[str]:
    """Return the incarnations that are preferred for a prompt of this length."""
    engines = frozenset(candidate.entry.incarnation for candidate in candidates)
    if split is None:
        return engines
    long_prompt_engines = select_long_prompt_engines(candidates, split.share)
    if sum(part.tokens for part in parts) >= split.min_long_tokens:
        return long_prompt_engines
    return engines - long_prompt_engines


def _find_preferred_engines(
    candidates: Sequence[Candidate],
    pool: frozenset[str],
    shared: Sequence[PromptPart],
    count: int,
    pace: ServicePace | None,
) -> frozenset[str]:
    """Return the incarnations that all routers prefer for the last shared part.

    The choice is rendezvous hashing among the candidates of the pool.
    """
    if not shared:
        return frozenset()
    # A target that warms up can't serve all requests of a preferred engine either.
    warm = [
        candidate for candidate in candidates if candidate.health.warm_up.rate is None
    ]
    pooled = [candidate for candidate in warm if candidate.entry.incarnation in pool]
    preferred = find_preferred_engines(
        pooled or warm or candidates,
        shared[-1].part_id,
        count,
        None if pace is None else pace.find_weight,
    )
    return frozenset(candidate.entry.incarnation for candidate in preferred)


def _estimate_tokens(
    candidate: Candidate,
    preferred: frozenset[str],
    shared: Sequence[PromptPart],
    now: float,
) -> float:
    """Return how many tokens an engine reads before this request's own part."""
    backlog = estimate_backlog(candidate, now)
    if candidate.entry.incarnation in preferred:
        return backlog
    return backlog + candidate.health.count_uncached_tokens(shared, now)
