"""Decides whether a request is sent now, waits or is refused. Pure functions."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.queueing.demand import RankDemand
from ibisport_fleet.queueing.start_estimates import MAX_START_SHARE, Capacity

# Bounds of the Retry-After time. Refused callers that return sooner than a full target
# frees slots are only refused again.
MIN_RETRY_AFTER_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 5.0


class RefusalReason(Enum):
    """Why a request is refused.

    Attributes:
        queue_full: The queue has no space for it.
        too_late: No target can start it before its deadline.
    """

    queue_full = 'queue_full'
    too_late = 'too_late'


class WaitReason(Enum):
    """Why a request waits.

    Attributes:
        reserved: The room at targets is kept for more urgent requests.
        full: All targets are full and reject requests.
        behind: Requests that go first are waiting.
    """

    reserved = 'reserved'
    full = 'full'
    behind = 'behind'


@dataclass(frozen=True, slots=True)
class Send:
    """The request is sent now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits.

    Attributes:
        until: Loop time at which it is sent at the latest.
        reason: Why it waits.
    """

    until: float
    reason: WaitReason


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused.

    Attributes:
        reason: Why it is refused.
        retry_after: Seconds after which the caller may retry.
    """

    reason: RefusalReason
    retry_after: float


Decision = Send | Wait | Refuse


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """What the policy knows of a request that no target has got yet.

    Attributes:
        rank: 0 is the most urgent.
        workspace: Name of its workspace, or None.
        tokens: Prompt tokens that belong to it alone.
        size: Size of its body in bytes.
        received_at: Loop time at which it was received.
        objective_at: Loop time by which its answer should begin.
        deadline: Loop time by which its answer is due.
        regions: Regions whose targets may serve it; None: all.
    """

    rank: int
    workspace: str | None
    tokens: int
    size: int
    received_at: float
    objective_at: float
    deadline: float
    regions: frozenset[str] | None = None


def decide(
    request: PendingRequest,
    capacity: Capacity,
    urgent: Sequence[RankDemand],
    now: float,
) -> Decision:
    """Decide what happens to a request that arrives or waits.

    Args:
        request: The request.
        capacity: The targets that may get it.
        urgent: The demand of the ranks that are more urgent.
        now: Loop time.
    """
    if not capacity.candidates:
        # The selection of a target refuses it at once and tells why.
        return Send()
    refusal = refuse_if_too_late(request, capacity, now)
    if refusal is not None:
        return refusal
    if capacity.rejects_all(now):
        reason = WaitReason.full
    elif urgent and not capacity.has_room(request.tokens, urgent, now):
        reason = WaitReason.reserved
    else:
        return Send()
    until = plan_wait(request, capacity, now)
    return Wait(until, reason) if until > now else Send()


def refuse_if_too_late(
    request: PendingRequest, capacity: Capacity, now: float
) -> Refuse | None:
    """Return the refusal of a request that no target can start by its deadline."""
    remaining = request.deadline - now
    start = capacity.estimate_best_start(request.tokens, now, enough=remaining)
    if not capacity.candidates or start <= remaining:
        return None
    retry_after = _draw_retry_after(start - remaining)
    return Refuse(RefusalReason.too_late, retry_after)


def plan_wait(request: PendingRequest, capacity: Capacity, now: float) -> float:
    """Return the loop time at which a request has to be sent to meet its objective.

    It may be in the past. Where no estimate is known, the start is assumed to take the
    share of the objective that a start may take.
    """
    objective = request.objective_at - request.received_at
    start = capacity.estimate_best_start(
        request.tokens, now, unknown_seconds=MAX_START_SHARE * objective
    )
    return request.objective_at - start


def refuse_for_space(queued: int, release_rate: float) -> Refuse:
    """Return the refusal of a request for which the queue has no space.

    Args:
        queued: Number of requests that wait.
        release_rate: Requests of this router that end per second; 0: unknown.
    """
    delay = (queued + 1) / release_rate if release_rate else MAX_RETRY_AFTER_SECONDS
    return Refuse(RefusalReason.queue_full, _draw_retry_after(delay))


def _draw_retry_after(delay: float) -> float:
    bounded = min(max(MIN_RETRY_AFTER_SECONDS, delay), MAX_RETRY_AFTER_SECONDS)
    return draw_jittered_delay(bounded)
