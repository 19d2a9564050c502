"""Slots kept free for workspaces that hold less than their share.

A slot is held for a whole generation, so that a flood that fills all slots
makes a newcomer wait for a departure whatever the order of the queue is.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ibisport_agent.internal.fairness_flow import Flow

ACTIVE_SECONDS = 30


@dataclass(frozen=True, slots=True)
class NoReserve:
    """Any workspace may take the last free slot."""


@dataclass(frozen=True, slots=True)
class HoldLimit:
    """One workspace holds at most all slots but some, while others are active.

    Attributes:
        slots: Slots that one workspace may not take.
    """

    slots: int


@dataclass(frozen=True, slots=True)
class TrunkReserve:
    """The last free slots are for workspaces below their share.

    Attributes:
        margin: Standard deviations above the mean of the arrivals that are
            expected until the next departure.
        most: Largest part of the slots that is kept free.
    """

    margin: float = 1
    most: float = 0.25


Reserve = NoReserve | HoldLimit | TrunkReserve


def is_active(flow: Flow, now: float) -> bool:
    """Tell whether the workspace waits, runs or did so lately."""
    return not flow.idle or now - flow.active_at < ACTIVE_SECONDS


@dataclass(frozen=True, slots=True)
class Admission:
    """Which workspaces may take a slot at one moment.

    Attributes:
        reserve: The way of reserving.
        slots: Slots of the target.
        free: Slots that nobody holds.
        slots_per_weight: Share of a workspace for each unit of its weight.
        alone: Whether one workspace at most is active.
        kept: Slots that are kept free.
    """

    reserve: Reserve
    slots: int
    free: int
    slots_per_weight: float
    alone: bool
    kept: int = 0

    def is_below_share(self, flow: Flow) -> bool:
        """Tell whether the workspace holds less than its share of slots."""
        share = max(flow.weight * self.slots_per_weight, 1)
        return not self.alone and flow.running < share

    def may_start(self, flow: Flow) -> bool:
        """Tell whether the workspace may take one of the free slots."""
        if self.is_below_share(flow):
            return True
        match self.reserve:
            case HoldLimit():
                return flow.running < self.slots - self.kept
            case _:
                return self.free > self.kept


def make_admission(
    reserve: Reserve,
    slots: int,
    running: int,
    hold_seconds: float,
    flows: Iterable[Flow],
    now: float,
) -> Admission:
    """Return who may take a slot now.

    Args:
        reserve: The way of reserving.
        slots: Slots of the target.
        running: Slots that are held.
        hold_seconds: Mean time that a request holds a slot.
        flows: Known workspaces.
        now: Unix time in seconds.
    """
    active = [flow for flow in flows if is_active(flow, now)]
    weights = sum(flow.weight for flow in active)
    admission = Admission(
        reserve=reserve,
        slots=slots,
        free=slots - running,
        slots_per_weight=slots / weights if weights else 0,
        alone=len(active) < 2,
    )
    below = [flow for flow in active if admission.is_below_share(flow)]
    arrivals = sum(flow.arrivals.rate(now) for flow in below)
    if below:
        kept = _count_kept(reserve, slots, arrivals * hold_seconds / slots)
        return replace(admission, kept=kept)
    return admission


def _count_kept(reserve: Reserve, slots: int, expected: float) -> int:
    match reserve:
        case NoReserve():
            return 0
        case HoldLimit(kept):
            return min(kept, slots - 1)
        case TrunkReserve(margin, most):
            wanted = math.ceil(expected + margin * math.sqrt(expected))
            return min(max(wanted, 1), int(slots * most))
