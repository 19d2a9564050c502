"""Chooses the model engine of a request.

Where long prompts have engines of their own, which these are follows from the list of
targets and the part of them alone, so routers agree without a word.
"""

from collections.abc import Sequence

import xxhash

from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.prompt_mix import EngineSplit
from ibisport_fleet.target_choice import Candidate, filter_available, filter_unlimited

# A prompt goes to an engine of the other kind once its own ones are behind by so many
# tokens more: 0.3 s of reading.
OVERFLOW_TOKENS = 12_000
# What a running request costs the next one, in tokens of prompt: it slows each step
# by a thousandth, and stands for prompts that other routers have sent.
TOKENS_PER_RUNNING_REQUEST = 60
# Above half of its slots an engine may soon have no room: each further request
# counts as much as a prompt of 30 ms.
CROWDED_UTILIZATION = 0.5
TOKENS_PER_CROWDED_REQUEST = 1_200


def choose_engine(
    candidates: Sequence[Candidate],
    parts: Sequence[PromptPart],
    now: float,
    split: EngineSplit | None = None,
) -> Candidate | None:
    """Choose the model engine that probably gives its first token first.

    An engine reads prompts at a fixed pace, so the wait is about the tokens that it
    has yet to read: those of prompts on their way there, and those of this one that
    it hasn't cached. A part's home is the engine that all routers send it to first.

    Args:
        candidates: Targets that may be chosen.
        parts: The prompt in order; the last part is the request's own.
        now: Loop time.
        split: Which engines take long prompts first; None: all are alike.
    """
    trusted = filter_available(candidates, now)
    if not trusted:
        return None
    shared = parts[:-1]
    # A limited target can't take what comes to a home.
    preferred = _select_pool(filter_unlimited(candidates), parts, split)
    home = _find_preferred_engine(trusted, preferred, shared)

    def weigh(one: Candidate) -> tuple[float, bool]:
        mixing = 0 if one.entry.incarnation in preferred else OVERFLOW_TOKENS
        return _estimate_backlog(one, home, shared, now) + mixing, one is not home

    return min(trusted, key=weigh)


def select_long_prompt_engines(
    candidates: Sequence[Candidate], share: float
) -> frozenset[str]:
    """Return the incarnations that take long prompts first, even in each domain.

    Args:
        candidates: All targets of the service.
        share: Part of them; each kind of prompt keeps one at the least.
    """
    by_domain: dict[str, list[str]] = {}
    for one in candidates:
        members = by_domain.setdefault(one.entry.domain, [])
        members.append(one.entry.incarnation)
    ranked = [
        (place, _hash(incarnation), incarnation)
        for members in by_domain.values()
        for place, incarnation in enumerate(sorted(members, key=_hash))
    ]
    wished = round(len(ranked) * share)
    most = max(1, min(wished, len(ranked) - 1))
    return frozenset(incarnation for _, _, incarnation in sorted(ranked)[:most])


def _select_pool(
    candidates: Sequence[Candidate],
    parts: Sequence[PromptPart],
    split: EngineSplit | None,
) -> frozenset[str]:
    """Return the incarnations that take a prompt of this length first."""
    listed = frozenset(one.entry.incarnation for one in candidates)
    if split is None:
        return listed
    readers = select_long_prompt_engines(candidates, split.share)
    if sum(part.tokens for part in parts) >= split.min_long_tokens:
        return readers
    return listed - readers


def _find_preferred_engine(
    candidates: Sequence[Candidate],
    preferred: frozenset[str],
    shared: Sequence[PromptPart],
) -> Candidate | None:
    if not shared:
        return None
    part_id = shared[-1].part_id
    fitting = [one for one in candidates if one.entry.incarnation in preferred]
    return max(
        fitting or candidates, key=lambda one: _compute_rendezvous_score(one, part_id)
    )


def _estimate_backlog(
    candidate: Candidate,
    home: Candidate | None,
    shared: Sequence[PromptPart],
    now: float,
) -> float:
    """Return the tokens that an engine reads before this request's own part."""
    health = candidate.health
    load = health.estimate_load(now)
    crowd = max(0.0, load - CROWDED_UTILIZATION * candidate.entry.slots)
    waiting = (
        health.pending_prompt_tokens
        + TOKENS_PER_RUNNING_REQUEST * load
        + TOKENS_PER_CROWDED_REQUEST * crowd
    )
    if candidate is home:
        return waiting
    return waiting + health.count_uncached_tokens(shared, now)


def _compute_rendezvous_score(candidate: Candidate, shared_part: str) -> int:
    return _hash(f'{shared_part}|{candidate.entry.incarnation}')


def _hash(text: str) -> int:
    """Return a number that is the same at all routers."""
    return xxhash.xxh3_64_intdigest(text.encode())
