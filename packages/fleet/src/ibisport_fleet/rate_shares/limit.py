"""Divides a target's rate limit among the routers.

Only a few routers send to a limited target, so that no share becomes smaller than one
request. The senders are chosen by rendezvous hashing over the list of routers, so all
routers agree on them without exchanging messages.
"""

from dataclasses import dataclass, field
from functools import lru_cache
from math import inf

from ibisport_fleet.rendezvous import compute_score

# Senders beyond one for each request per second. More senders would exceed the limit
# further: within a window each can send one request more than its share.
EXTRA_SENDERS = 2
# More than the targets of a large site, each of which is ranked against all routers.
MAX_CACHED_SHARES = 16_384


@dataclass(slots=True)
class RateLimit:
    """A target's rate limit, as far as this router knows.

    Attributes:
        rate: Requests per second from all routers together.
        confirmed_at: Loop time at which the limit was last reported.
        expires_at: Loop time at which the limit expires unless it is reported again.
        next_send_at: Loop time from which this router may send its next request, with
            its own share.
        borrower: Host of the router that has borrowed this share last, or None.
        lent_until: Loop time until which it is lent.
        borrowed: Shares that other routers have lent, by their hosts.
    """

    rate: float
    confirmed_at: float
    expires_at: float
    next_send_at: float
    borrower: str | None = None
    lent_until: float = -inf
    borrowed: dict[str, 'BorrowedShare'] = field(default_factory=dict)

    def is_lent(self, now: float) -> bool:
        """Return whether another router uses this router's share."""
        return now < self.lent_until

    def find_borrower(self, now: float) -> str | None:
        """Return the host of the router that uses this router's share, or None."""
        return self.borrower if self.is_lent(now) else None

    def find_borrowed(self, now: float) -> 'BorrowedShare | None':
        """Return the borrowed share that may be used first, or None."""
        usable = [share for share in self.borrowed.values() if share.is_usable(now)]
        return min(usable, key=lambda share: share.next_send_at, default=None)


@dataclass(slots=True)
class BorrowedShare:
    """Another router's share of a target's rate limit.

    Attributes:
        interval: Seconds between two requests.
        next_send_at: Loop time from which the next request may be sent.
        until: Loop time until which the share may be used.
        used: Whether a request was sent with it.
    """

    interval: float
    next_send_at: float
    until: float
    used: bool = False

    def is_usable(self, now: float) -> bool:
        """Return whether another request may be sent before the share ends."""
        return now < self.until and self.next_send_at < self.until


@lru_cache(MAX_CACHED_SHARES)
def list_senders(rate: float, target: str, hosts: frozenset[str]) -> tuple[str, ...]:
    """Return the routers that may send to a target, in order of their ranks.

    Args:
        rate: Requests per second from all routers together.
        target: The target's incarnation.
        hosts: Hosts of all routers.
    """
    ranked = sorted(hosts, key=lambda name: compute_score(target, name))
    return tuple(ranked[: int(rate) + EXTRA_SENDERS])


@lru_cache(MAX_CACHED_SHARES)
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
    senders = list_senders(rate, target, hosts)
    if host not in senders or not rate:
        return inf
    return len(senders) / rate
