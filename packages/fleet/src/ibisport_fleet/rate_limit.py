"""The part of a target's rate limit that each router may use.

Few routers send to a limited target, so that the pieces don't become smaller than one
request. Which ones follows from the list of routers, so they agree without a message.
"""

from dataclasses import dataclass
from functools import lru_cache
from math import inf

import xxhash

# With each sender a window may hold one request more than its part.
EXTRA_SENDERS = 2


@dataclass(slots=True)
class RateLimit:
    """What a target takes, as far as this router has heard.

    Attributes:
        rate: Requests a second from all routers together.
        heard_at: Loop time at which it was last heard of.
        until: Loop time from which it counts no more, unless it is heard of again.
        next_at: Loop time from which this router may send the next request.
    """

    rate: float
    confirmed_at: float
    expires_at: float
    next_send_at: float


@lru_cache(maxsize=1_024)
def compute_send_interval(
    rate: float, target: str, host: str, hosts: frozenset[str]
) -> float:
    """Return the seconds between two sends of a router; infinite: it sends none.

    Args:
        rate: Requests a second from all routers together.
        target: The target's incarnation.
        host: The router's host.
        hosts: Hosts of all routers.
    """
    ranked = sorted(hosts, key=lambda one: _hash(f'{target}|{one}'))
    senders = ranked[: int(rate) + EXTRA_SENDERS]
    if host not in senders or not rate:
        return inf
    return len(senders) / rate


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
