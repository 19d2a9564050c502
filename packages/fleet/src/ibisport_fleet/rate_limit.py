"""Divides a target's rate limit among the routers.

Only a few routers send to a limited target, so that no share becomes smaller than one
request. The senders are chosen by rendezvous hashing over the list of routers, so all
routers agree on them without exchanging messages.
"""

from dataclasses import dataclass
from functools import lru_cache
from math import inf

from ibisport_fleet.rendezvous import compute_score

# Senders beyond one for each request per second. More senders would exceed the limit
# further: within a window each can send one request more than its share.
EXTRA_SENDERS = 2


@dataclass(slots=True)
class RateLimit:
    """A target's rate limit, as far as this router knows.

    Attributes:
        rate: Requests per second from all routers together.
        confirmed_at: Loop time at which the limit was last reported.
        expires_at: Loop time at which the limit expires unless it is reported again.
        next_send_at: Loop time from which this router may send its next request.
    """

    rate: float
    confirmed_at: float
    expires_at: float
    next_send_at: float


@lru_cache(maxsize=1_024)
def compute_send_interval(
    rate: float, target: str, host: str, hosts: frozenset[str]
) -> float:
    """Return a router's interval between two sends, seconds; infinite: no sends.

    Args:
        rate: Requests per second from all routers together.
        target: The target's incarnation.
        host: The router's host.
        hosts: Hosts of all routers.
    """
    ranked = sorted(hosts, key=lambda name: compute_score(target, name))
    senders = ranked[: int(rate) + EXTRA_SENDERS]
    if host not in senders or not rate:
        return inf
    return len(senders) / rate
