"""Slots kept free for the workspaces whose demand is small.

A slot is held for a whole generation, so that a flood that fills all slots
makes a newcomer wait for a departure whatever the order of the queue is. A
workspace is heavy when its demand is above the level at which all demands
below it fit the slots together; what is kept free is kept from the heavy.
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
    """A heavy workspace holds at most all slots but some, beside light ones.

    Attributes:
        slots: Slots that one workspace may not take.
    """

    slots: int


@dataclass(frozen=True, slots=True)
class TrunkReserve:
    """The last free slots are kept from heavy workspaces, beside light ones.

    Attributes:
        blocked: Part of the light requests that may have to wait.
        max_fraction: Largest part of the slots that is kept free.
    """

    blocked: float = 0.02
    max_fraction: float = 0.5


Reserve = NoReserve | HoldLimit | TrunkReserve


@dataclass(frozen=True, slots=True)
class Shares:
    """How the slots are shared; computed now and then.

    Attributes:
        level: Slots for each unit of weight up to which a demand is light.
        slots_per_weight: Slots that each unit of weight may always hold.
        reserved: Slots that are kept free.
        computed_at: Unix time in seconds.
    """

    level: float = math.inf
    slots_per_weight: float = math.inf
    reserved: int = 0
    computed_at: float = -math.inf

    def may_always_start(self, flow: Flow) -> bool:
        """Tell whether the workspace may take any free slot."""
        if flow.running < flow.weight * self.slots_per_weight:
            return True
        return not flow.heavy and flow.running < flow.weight * self.level


def is_active(flow: Flow, now: float) -> bool:
    """Tell whether the workspace waits, runs or did so lately."""
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
        reserve: The way of reserving.
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
    light = sum(flow.demand for flow in active if not flow.heavy)
    weights = sum(flow.weight for flow in active)
    return Shares(
        level=level,
        slots_per_weight=slots / weights if weights else math.inf,
        reserved=_count_reserved(reserve, slots, light / slots),
        computed_at=now,
    )


def compute_fair_level(flows: Sequence[Flow], slots: float) -> float:
    """Return the slots for each unit of weight by max-min fairness.

    Args:
        flows: Workspaces with measured demands.
        slots: Slots to share.

    Returns:
        Infinity when all demands fit.
    """
    left = slots
    weights = sum(flow.weight for flow in flows)
    for flow in sorted(flows, key=_compute_weighted_demand):
        if flow.demand * weights > left * flow.weight:
            return left / weights
        left -= flow.demand
        weights -= flow.weight
    return math.inf


def _count_reserved(reserve: Reserve, slots: int, light_load: float) -> int:
    if light_load <= 0:
        return 0
    match reserve:
        case NoReserve():
            return 0
        case HoldLimit(kept):
            return min(kept, slots - 1)
        case TrunkReserve(blocked, most):
            most_kept = int(slots * most)
            return _count_trunk_reserved(
                slots, min(light_load, MAX_LIGHT_LOAD), blocked, most_kept
            )


def _count_trunk_reserved(
    slots: int, light_load: float, blocked: float, most: int
) -> int:
    # Heavy requests take each slot above those kept, so that the free ones are
    # a birth-death chain: down by a light arrival, up by a departure of one of
    # the others. The weights are of its states, that of no free slot being one;
    # behind it are the states in which light requests wait.
    waiting = 1 / (1 - light_load)
    weight = 1.0
    free = 0.0
    kept = 0
    while kept < most and waiting > blocked * (waiting + free):
        weight *= (slots - kept) / (light_load * slots)
        free += weight
        kept += 1
    return kept


def _compute_weighted_demand(flow: Flow) -> float:
    return flow.demand / flow.weight
