"""Slots reserved for the workspaces whose demand is small.

A request holds its slot for a whole generation, so when a burst fills all slots,
a new request waits for a departure in any queue order. A workspace is heavy when
its demand exceeds its max-min fair share of the slots, and light otherwise.
Heavy workspaces may not take the reserved slots.
"""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from ibisport_agent.internal.fairness_flow import Flow

ACTIVE_SECONDS = 30
MAX_LIGHT_LOAD = 0.99


@dataclass(frozen=True, slots=True)
class NoReserve:
    """Any workspace may take the last free slot."""


@dataclass(frozen=True, slots=True)
class HoldLimit:
    """A heavy workspace may not hold the last slots while light ones are active.

    Attributes:
        slots: Slots that one heavy workspace may not hold.
    """

    slots: int


@dataclass(frozen=True, slots=True)
class TrunkReserve:
    """The last free slots are reserved while light workspaces are active.

    Attributes:
        blocked: Accepted fraction of light requests that have to wait.
        max_fraction: Largest fraction of the slots that may be reserved.
    """

    blocked: float = 0.02
    max_fraction: float = 0.5


Reserve = NoReserve | HoldLimit | TrunkReserve


@dataclass(frozen=True, slots=True)
class Shares:
    """How the slots are shared; recomputed periodically.

    Attributes:
        level: Slots per unit of weight up to which a demand is light.
        slots_per_weight: Slots per unit of weight that a workspace may always
            hold.
        reserved: Slots that heavy workspaces may not take.
        computed_at: Unix time in seconds.
    """

    level: float = math.inf
    slots_per_weight: float = math.inf
    reserved: int = 0
    computed_at: float = -math.inf

    def may_always_start(self, flow: Flow) -> bool:
        """Return whether the workspace may take any free slot."""
        if flow.running < flow.weight * self.slots_per_weight:
            return True
        return not flow.heavy and flow.running < flow.weight * self.level


def is_active(flow: Flow, now: float) -> bool:
    """Return whether the workspace has requests now or had some recently."""
    return not flow.idle or now - flow.active_at < ACTIVE_SECONDS


def compute_shares(
    reserve: Reserve,
    slots: int,
    hold_seconds: float,
    flows: Collection[Flow],
    now: float,
) -> Shares:
    """Measure the demands, mark the heavy workspaces and return the shares.

    Args:
        reserve: How slots are reserved.
        slots: Slots of the target.
        hold_seconds: Mean time that a request holds a slot.
        flows: Known workspaces.
        now: Unix time in seconds.
    """
    active = [flow for flow in flows if is_active(flow, now)]
    for flow in active:
        flow.measure_demand(hold_seconds, now)
    level = compute_fair_level(active, slots)
    for flow in active:
        flow.heavy = flow.demand > flow.weight * level
    light_demand = sum(flow.demand for flow in active if not flow.heavy)
    total_weight = sum(flow.weight for flow in active)
    return Shares(
        level=level,
        slots_per_weight=slots / total_weight if total_weight else math.inf,
        reserved=_count_reserved(reserve, slots, light_demand / slots),
        computed_at=now,
    )


def compute_fair_level(flows: Sequence[Flow], slots: float) -> float:
    """Return the max-min fair slots per unit of weight.

    Args:
        flows: Workspaces with measured demands.
        slots: Slots to share.

    Returns:
        Slots per unit of weight; infinity when all demands fit.
    """
    remaining = slots
    total_weight = sum(flow.weight for flow in flows)
    for flow in sorted(flows, key=_compute_weighted_demand):
        if flow.demand * total_weight > remaining * flow.weight:
            return remaining / total_weight
        remaining -= flow.demand
        total_weight -= flow.weight
    return math.inf


def _count_reserved(reserve: Reserve, slots: int, light_load: float) -> int:
    if light_load <= 0:
        return 0
    match reserve:
        case NoReserve():
            return 0
        case HoldLimit(limit):
            return min(limit, slots - 1)
        case TrunkReserve(blocked, max_fraction):
            max_reserved = int(slots * max_fraction)
            return _count_trunk_reserved(
                slots, min(light_load, MAX_LIGHT_LOAD), blocked, max_reserved
            )


def _count_trunk_reserved(
    slots: int, light_load: float, blocked: float, max_reserved: int
) -> int:
    # Heavy requests take every free slot above the reserved ones, so the number of
    # free slots is a birth-death chain: a light arrival lowers it, a departure
    # from a busy slot raises it. Each state has a weight relative to that of no free
    # slot, which is 1; ``waiting`` adds to it the states in which light requests wait.
    waiting = 1 / (1 - light_load)
    weight = 1.0
    free = 0.0
    reserved = 0
    while reserved < max_reserved and waiting > blocked * (waiting + free):
        weight *= (slots - reserved) / (light_load * slots)
        free += weight
        reserved += 1
    return reserved


def _compute_weighted_demand(flow: Flow) -> float:
    return flow.demand / flow.weight
