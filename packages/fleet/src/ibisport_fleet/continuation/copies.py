"""Decides which streams get a copy of their memory at another engine, and where.

An engine sends the memory of a run to its backup while the run grows. The copy uses the
link of the source and memory of the backup, so a router limits the copies that it has
in flight.
"""

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import Engine, RouteKind
from ibisport_fleet.rendezvous import compute_score
from ibisport_fleet.target_choice import Candidate

# An engine with more of its slots in use needs its memory for its own requests.
MAX_BACKUP_UTILIZATION = 0.5
# The copies of one source queue on its link. A copy that arrives later than this part
# of a route's objective would leave too little time to continue the stream.
MAX_QUEUED_OBJECTIVE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class CopyPlan:
    """The copy of one run.

    Attributes:
        name: Id of the request; spreads runs over equal backups.
        tokens: Maximum number of tokens to copy.
        seconds: Time that they take on the link of the source.
        max_source_seconds: Maximum time that all copies of this router take on it.
        max_total_seconds: Maximum sum of these times over all sources.
    """

    name: str
    tokens: int
    seconds: float
    max_source_seconds: float
    max_total_seconds: float


@dataclass(slots=True)
class CopiesInFlight:
    """The copies that this router has started and that may still grow.

    Attributes:
        count: Number of copies.
        total_seconds: Time that they take on the links of their sources.
        seconds_by_source: The same for each source, by the start id of its target.
        tokens_by_backup: Tokens that each backup holds, by the start id of its target.
    """

    count: int = 0
    total_seconds: float = 0.0
    seconds_by_source: defaultdict[tuple[str, int], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    tokens_by_backup: defaultdict[tuple[str, int], int] = field(
        default_factory=lambda: defaultdict(int)
    )

    def begin(self, plan: CopyPlan, source: Candidate, backup: Candidate) -> None:
        """Count a copy that starts."""
        self.count += 1
        self.total_seconds += plan.seconds
        self.seconds_by_source[source.entry.start_id] += plan.seconds
        self.tokens_by_backup[backup.entry.start_id] += plan.tokens

    def end(self, plan: CopyPlan, source: Candidate, backup: Candidate) -> None:
        """Stop counting a copy whose run has ended."""
        self.count -= 1
        self.total_seconds -= plan.seconds
        source_id, backup_id = source.entry.start_id, backup.entry.start_id
        self.seconds_by_source[source_id] -= plan.seconds
        self.tokens_by_backup[backup_id] -= plan.tokens
        # Targets that have gone would otherwise stay in the tables.
        if self.tokens_by_backup[backup_id] <= 0:
            del self.tokens_by_backup[backup_id]
        if self.seconds_by_source[source_id] < plan.seconds / 2:
            del self.seconds_by_source[source_id]

    def has_room(self, plan: CopyPlan, source: Candidate) -> bool:
        """Return whether another copy keeps within the bounds of its plan."""
        queued = self.seconds_by_source.get(source.entry.start_id, 0.0)
        return (
            queued + plan.seconds <= plan.max_source_seconds
            and self.total_seconds + plan.seconds <= plan.max_total_seconds
        )


def may_need_copy(call: Call, engine: Engine) -> bool:
    """Return whether a request is a stream that only a copy can continue."""
    route = call.route
    continuable = engine.backups and bool(call.metadata.request_id)
    return continuable and route.kind is RouteKind.stream and not route.resumable


def plan_copy(
    call: Call,
    engine: Engine,
    usual_gap: float | None,
    sources_per_router: float,
) -> CopyPlan | None:
    """Return the copy that a request needs; None: it needs none.

    Streams that can be resumed go on at any engine. A stream that is shorter than its
    copy ends before the copy is of use.

    Args:
        call: The request.
        engine: Capacity of the engines.
        usual_gap: Usual gap between two events of the source, seconds, or None.
        sources_per_router: Engines of the service over the routers in front of it.
    """
    route, metadata = call.route, call.metadata
    if not may_need_copy(call, engine):
        return None
    tokens = metadata.max_tokens
    seconds = tokens * engine.copy_seconds_per_token
    events = math.ceil(metadata.max_output_tokens / max(1, engine.tokens_per_event))
    gap = route.max_pause_seconds if usual_gap is None else usual_gap
    # Without any pace, the objective stands for the duration.
    duration = events * gap if gap else min(events, 1) * route.objective
    if not 0 < seconds < duration:
        return None
    per_source = MAX_QUEUED_OBJECTIVE_SHARE * (route.objective or duration)
    total = per_source * max(1.0, sources_per_router)
    return CopyPlan(metadata.request_id, tokens, seconds, per_source, total)


def select_backup(
    plan: CopyPlan,
    source: Candidate,
    candidates: Sequence[Candidate],
    copies: CopiesInFlight,
    capacity: Engine,
    now: float,
) -> Candidate | None:
    """Return the engine that gets the copy of a run; None: no copy is made.

    Args:
        plan: The copy.
        source: The engine that runs the request.
        candidates: Engines that may get requests.
        copies: Copies that this router has in flight.
        capacity: Capacity of each engine.
        now: Loop time.
    """
    if not copies.has_room(plan, source):
        return None

    def compute_room(candidate: Candidate) -> float:
        """Return the free share of slots or memory, whichever is less."""
        entry = candidate.entry
        slots = candidate.health.estimate_load(now) / max(1, entry.slots)
        held = copies.tokens_by_backup.get(entry.start_id, 0)
        return 1 - max(slots, held / max(1, capacity.cache_tokens))

    usable = [
        candidate
        for candidate in candidates
        if candidate.entry.start_id != source.entry.start_id
        and _may_hold_copy(candidate, now)
        and compute_room(candidate) > 1 - MAX_BACKUP_UTILIZATION
    ]

    def compute_preference(candidate: Candidate) -> tuple[bool, float, int]:
        entry = candidate.entry
        return (
            entry.domain != source.entry.domain,
            compute_room(candidate),
            compute_score(plan.name, entry.incarnation),
        )

    return max(usable, key=compute_preference, default=None)


def _may_hold_copy(candidate: Candidate, now: float) -> bool:
    health = candidate.health
    held_back = health.is_paused(now) or health.limit is not None
    warm = health.warm_up.rate is None
    return health.is_current and health.is_available(now) and warm and not held_back
