"""How often the store is asked for changes, and by whom: decisions, without a network.

With few routers in a failure domain each asks the store itself. With more they ask a
relay of their domain, which asks once for all of them.
"""

from dataclasses import dataclass

# A relay asks the store so often within the time after which a change must be in
# force; it is given up when an answer is late by 0.6 of such a wait. So a relay
# that is cut off is noticed before half of that time has passed.
WAITS_PER_PROPAGATION_DELAY = 4
TIMEOUT_FACTOR = 1.6
# An answer that is on its way to a relay may take so many waits from its first byte on.
# Beyond half of the bound, its routers are better off asking the store themselves.
WAITS_PER_ANSWER = 2
# Changes that follow within this part of the bound come together, at a relay and at a
# router.
RELAY_INTERVAL_FRACTION = 1 / 16
ROUTER_INTERVAL_FRACTION = 1 / 8
# With fewer routers a domain a relay would ask the store more often than they do.
MIN_ROUTERS_PER_DOMAIN = 3
# A watch that waits longer could sit on a silent connection beyond the time in
# which a change must be in force (2 s): wait and time-out together stay below
# the 3 s that count as an outage.
DIRECT_WAIT_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class WatchSchedule:
    """How a prefix is watched.

    Attributes:
        wait: Longest wait for a change, seconds.
        gap: Least time from one watch that brought changes to the next, seconds.
        shared: A relay of the domain is asked before the store.
    """

    wait: float
    min_interval: float
    shared: bool = False

    @property
    def timeout_seconds(self) -> float:
        """Seconds after which a watch without an answer is given up."""
        return TIMEOUT_FACTOR * self.wait

    @property
    def max_answer_seconds(self) -> float:
        """Longest time from the first byte of an answer to its last, seconds."""
        return WAITS_PER_ANSWER * self.wait


def plan_relay_watch(change_bound: float) -> WatchSchedule:
    """Return how a relay watches for the routers that ask it.

    Args:
        change_bound: Longest time after which a change must be in force, seconds.
    """
    return WatchSchedule(
        change_bound / WAITS_PER_PROPAGATION_DELAY,
        RELAY_INTERVAL_FRACTION * change_bound,
    )


def plan_router_watch(
    routers: int | None, domains: int, change_bound: float
) -> WatchSchedule:
    """Return how a router watches.

    While it isn't known how many routers there are, many may be starting at once, and
    all targets with them: relays are asked then too.

    Args:
        routers: How many there are in all domains; None: not known yet.
        domains: Failure domains in which relays are known.
        change_bound: Longest time after which a change must be in force, seconds.
    """
    gap = ROUTER_INTERVAL_FRACTION * change_bound
    if routers is not None and routers < MIN_ROUTERS_PER_DOMAIN * max(domains, 1):
        return WatchSchedule(DIRECT_WAIT_SECONDS, gap)
    # No relay may be known yet, so the gap holds here too.
    return WatchSchedule(change_bound / WAITS_PER_PROPAGATION_DELAY, gap, shared=True)
