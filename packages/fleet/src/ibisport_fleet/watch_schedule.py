"""Decides how often to watch the store, and whether directly or through a relay.

With few routers in a failure domain, each watches the store itself. With more, they
use a relay of their domain, which watches once for all of them.
"""

from dataclasses import dataclass

# A relay's watches wait for this part of the maximum propagation delay each, and time
# out when the answer is late by 0.6 of the wait. So a relay that is cut off is noticed
# before half of the delay has passed.
WAITS_PER_PROPAGATION_DELAY = 4
TIMEOUT_FACTOR = 1.6
# Maximum time of an answer to a relay, in waits from its first byte on. Beyond half of
# the maximum propagation delay, routers get changes sooner from the store itself.
WAITS_PER_ANSWER = 2
# Changes within this fraction of the maximum propagation delay are fetched with one
# call, by a relay and by a router.
RELAY_INTERVAL_FRACTION = 1 / 16
ROUTER_INTERVAL_FRACTION = 1 / 8
# With fewer routers in a domain, a relay would call the store more often than they do.
MIN_ROUTERS_PER_DOMAIN = 3
# A watch with a longer wait could sit on a silent connection beyond the time in which
# a change must take effect (2 s): wait and timeout together stay below the 3 s that
# count as an outage.
DIRECT_WAIT_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class WatchSchedule:
    """Timing of the watches of a prefix.

    Attributes:
        wait: Maximum wait for a change, seconds.
        min_interval: Minimum time between the starts of two watches if the first
            returned changes, seconds.
        shared: Try a relay of the failure domain before the store.
    """

    wait: float
    min_interval: float
    shared: bool = False

    @property
    def timeout_seconds(self) -> float:
        """Timeout of a watch without an answer, seconds."""
        return TIMEOUT_FACTOR * self.wait

    @property
    def max_answer_seconds(self) -> float:
        """Maximum time from the first byte of an answer to its last, seconds."""
        return WAITS_PER_ANSWER * self.wait


def plan_relay_watch(max_propagation_delay: float) -> WatchSchedule:
    """Return the schedule of a relay that watches for routers.

    Args:
        max_propagation_delay: Maximum time until a change takes effect, seconds.
    """
    return WatchSchedule(
        max_propagation_delay / WAITS_PER_PROPAGATION_DELAY,
        RELAY_INTERVAL_FRACTION * max_propagation_delay,
    )


def plan_router_watch(
    routers: int | None, domains: int, max_propagation_delay: float
) -> WatchSchedule:
    """Return the schedule of a router.

    While the number of routers is unknown, many of them may be starting at once, and
    all targets with them, so relays are used then too.

    Args:
        routers: Number of routers in all domains; None if unknown.
        domains: Number of failure domains in which relays are known.
        max_propagation_delay: Maximum time until a change takes effect, seconds.
    """
    min_interval = ROUTER_INTERVAL_FRACTION * max_propagation_delay
    if routers is not None and routers < MIN_ROUTERS_PER_DOMAIN * max(domains, 1):
        return WatchSchedule(DIRECT_WAIT_SECONDS, min_interval)
    # The store may get these watches if no relay is known yet, so the minimum interval
    # applies here too.
    return WatchSchedule(
        max_propagation_delay / WAITS_PER_PROPAGATION_DELAY, min_interval, shared=True
    )
