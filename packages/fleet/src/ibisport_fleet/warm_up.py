"""Divides the request rate of a target that warms up among the routers.

A target that has just started looks idle to all routers at once, and it crashes if they
all send to it. Each router gets a whole number of requests per second, so the shares
add up to the rate without any exchange of messages: rendezvous hashing over the list of
routers decides who gets the remainder. Most shares are 0 in a large fleet.
"""

from collections.abc import Collection
from dataclasses import dataclass
from functools import lru_cache
from math import inf

from ibisport_fleet.catalogue import WarmUp
from ibisport_fleet.rendezvous import compute_score

# After the warm-up, the rate doubles this many times, in equal steps over the time that
# the warm-up took, before it is unlimited: the routers all see the same idle target.
RAMP_STEPS = 3


@dataclass(slots=True)
class WarmUpState:
    """What this router knows about the warm-up of one start of a target.

    Attributes:
        appeared_at: Loop time at which a change of the list brought this start.
        cold_until: Loop time until which the target is cold by its own entry.
        rate: Requests per second from all routers together, as of the last look; None:
            unlimited.
        next_send_at: Loop time from which this router may send its next request.
    """

    appeared_at: float = -inf
    cold_until: float = -inf
    rate: float | None = None
    next_send_at: float = -inf


def compute_rate(warm_up: WarmUp, warm_at: float, now: float) -> float | None:
    """Return the requests per second that a target bears now; None: no limit.

    Args:
        warm_up: How the targets of its service warm up.
        warm_at: Loop time at which the target is warm, or -inf.
        now: Loop time.
    """
    if now < warm_at:
        return warm_up.rate
    if now >= warm_at + warm_up.seconds:
        return None
    step = int((now - warm_at) / warm_up.seconds * RAMP_STEPS)
    return warm_up.rate * 2.0 ** (step + 1)


@lru_cache(maxsize=4_096)
def compute_send_interval(
    rate: float, target: str, host: str, hosts: Collection[str]
) -> float:
    """Return a router's interval between two sends, seconds; infinite: no sends.

    No second contains more sends of all routers than the rate allows, as long as they
    have the same list of routers.

    Args:
        rate: Requests per second from all routers together.
        target: The target's incarnation.
        host: The router's host.
        hosts: Hosts of all routers; must be hashable.
    """
    rank = sum(
        compute_score(target, other) < compute_score(target, host) for other in hosts
    )
    if rate < 1:
        return inf if rank or not rate else 1 / rate
    share, remainder = divmod(int(rate), len(hosts))
    share += rank < remainder
    return 1 / share if share else inf
