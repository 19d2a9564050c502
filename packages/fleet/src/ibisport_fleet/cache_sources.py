"""Finds the engine from which another one should fetch the cached parts of a prompt.

Copying the memory of a token between engines takes a tenth of the time of reading it.
A prompt whose shared parts are cached at one engine can therefore be sent to another
one that has less to do, or to one that replaces an engine that has ended.
"""

from collections.abc import Sequence

from ibisport_fleet.catalogue import Engine
from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.placing.copies import CopyTimes
from ibisport_fleet.placing.shared_parts import WeighEngine, find_preferred_engines
from ibisport_fleet.target_choice import Candidate

# Fewer tokens are read in less time than the request for a copy takes.
MIN_FETCHED_TOKENS = 500
# Engines read a token in 15 to 25 microseconds; slower copies aren't worth it.
MAX_COPY_SECONDS_PER_TOKEN = 5e-6


def can_copy(engine: Engine | None) -> bool:
    """Return whether the engines of a service copy tokens faster than they read.

    This is assumed from their speed alone, before reading was observed.
    """
    return engine is not None and (
        0 < engine.copy_seconds_per_token <= MAX_COPY_SECONDS_PER_TOKEN
    )


def find_cache_source(
    chosen: Candidate,
    candidates: Sequence[Candidate],
    parts: Sequence[PromptPart],
    now: float,
    times: CopyTimes | None = None,
) -> Candidate | None:
    """Return the engine that probably caches most of a prompt; None: nothing to gain.

    An engine that doesn't keep the parts any more costs nothing: the chosen engine
    reads what it can't fetch.

    Args:
        chosen: The engine that runs the request.
        candidates: Engines from which it may fetch.
        parts: The prompt in order; the last part belongs to this request alone.
        now: Loop time.
        times: Compares copying with reading; None: only the limits by tokens apply.
    """
    source, tokens = _find_best_source(chosen, candidates, parts, now, times)
    if source is None or (times and not times.may_copy_from(source, now)):
        return None
    saves_time = times and times.saves_time(chosen, source, tokens, now)
    if saves_time is None:
        return source if tokens >= MIN_FETCHED_TOKENS else None
    return source if saves_time else None


def _find_best_source(
    chosen: Candidate,
    candidates: Sequence[Candidate],
    parts: Sequence[PromptPart],
    now: float,
    times: CopyTimes | None,
) -> tuple[Candidate | None, int]:
    """Return the engine that has most to copy, and the tokens that it has."""
    shared = parts[:-1]
    own = chosen.health.count_cached_prefix(shared, now)
    wanted = sum(part.tokens for part in shared) - own
    others = [
        candidate
        for candidate in candidates
        if candidate is not chosen and candidate.health.is_available(now)
    ]
    if wanted <= 0 or not others:
        return None, 0
    open_sources = [
        other for other in others if times is None or times.may_copy_from(other, now)
    ]
    source = max(
        open_sources or others,
        key=lambda other: other.health.count_cached_prefix(shared, now),
    )
    known = source.health.count_cached_prefix(shared, now) - own
    # A few more tokens don't tell where other routers have sent the rest.
    if known >= min(wanted, MIN_FETCHED_TOKENS):
        return source, known
    weigh = None if times is None else times.pace.find_weight
    return _guess_source(chosen, others, shared, weigh), wanted


def _guess_source(
    chosen: Candidate,
    others: Sequence[Candidate],
    shared: Sequence[PromptPart],
    weigh: WeighEngine | None,
) -> Candidate:
    """Return the engine to which other routers have probably sent the parts.

    All routers prefer the same engine for the last part. If that one is chosen, the
    parts before may still be cached anywhere else.
    """
    for part in reversed(shared):
        engines = (chosen, *others)
        home = find_preferred_engines(engines, part.part_id, 1, weigh)[0]
        if home is not chosen:
            return home
    return find_preferred_engines(others, shared[0].part_id, 1, weigh)[0]
