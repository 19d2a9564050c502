"""Lends this router's unused shares of rate limits to routers that lack some.

A share is one request in each interval. While it is lent, only the borrower uses it, so
all routers together send no more than without loans.
"""

import itertools
import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from ibisport_fleet.peers import PeerHandler, decode_message
from ibisport_fleet.rate_shares.demand import Demand
from ibisport_fleet.rate_shares.limit import RateLimit
from ibisport_fleet.rate_shares.messages import (
    LEASE_SECONDS,
    SHARES_PATH,
    LentShare,
    ShareAnswer,
    ShareRequest,
    encode_answer,
)

# What a lender keeps for its own callers: a multiple of what they ask for at present,
# and a part of all its shares for those that may come.
DEMAND_FACTOR = 2.0
KEPT_FRACTION = 0.2
# Each refused request asks whether this router is short, and a large site has thousands
# of shares to add up.
TOTAL_LIFETIME_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class OwnShare:
    """This router's share of a target's rate limit.

    Attributes:
        limit: The limit.
        interval: Seconds between two requests.
    """

    limit: RateLimit
    interval: float

    @property
    def rate(self) -> float:
        """Requests per second."""
        return 1 / self.interval


class ShareLender:
    """Answers the requests of other routers for shares."""

    def __init__(
        self,
        demand: Demand,
        list_shares: Callable[[], Mapping[str, OwnShare]],
        read_clock: Callable[[], float],
    ) -> None:
        """Create a lender.

        Args:
            demand: What this router's own callers ask for.
            list_shares: Returns this router's shares, by target.
            read_clock: Returns the loop time, seconds.
        """
        self._demand = demand
        self._list_shares = list_shares
        self._read_clock = read_clock
        self._total_rate = 0.0
        # Loop time until which it is used.
        self._total_until = -math.inf

    @property
    def handlers(self) -> Mapping[bytes, PeerHandler]:
        """Handlers of other routers' requests, by path."""
        return {SHARES_PATH: self._handle_request}

    def is_short(self) -> bool:
        """Return whether this router may need more than all of its own shares."""
        now = self._read_clock()
        if now >= self._total_until:
            self._total_rate = sum(share.rate for share in self._list_shares().values())
            self._total_until = now + TOTAL_LIFETIME_SECONDS
        return DEMAND_FACTOR * self._demand.compute_rate(now) > self._total_rate

    def lend(self, request: ShareRequest) -> ShareAnswer:
        """Lend the requested shares that this router doesn't need.

        A share that the borrower has already is lent for longer.
        """
        now = self._read_clock()
        owned = self._list_shares()
        borrowers = {
            target: owned[target].limit.find_borrower(now)
            for target in request.targets
            if target in owned
        }
        available = [
            target
            for target, borrower in borrowers.items()
            if borrower in {None, request.borrower}
        ]
        # Shares that the borrower uses already go first.
        available.sort(key=lambda target: borrowers[target] is None)
        spare = self._compute_spare_rate(owned, available, now)
        rates = itertools.accumulate(owned[target].rate for target in available)
        return ShareAnswer(
            {
                target: _lend_share(owned[target], request.borrower, now)
                for target, rate in zip(available, rates, strict=True)
                if rate <= spare
            }
        )

    def _compute_spare_rate(
        self, owned: Mapping[str, OwnShare], available: Collection[str], now: float
    ) -> float:
        """Return the requests per second of some shares that this router can spare."""
        lent = sum(
            share.rate
            for target, share in owned.items()
            if target not in available and share.limit.is_lent(now)
        )
        total = sum(share.rate for share in owned.values())
        needed = DEMAND_FACTOR * self._demand.compute_rate(now)
        return (1 - KEPT_FRACTION) * total - lent - needed

    async def _handle_request(self, content: bytes) -> bytes:
        return encode_answer(self.lend(decode_message(content, ShareRequest)))


def _lend_share(share: OwnShare, borrower: str, now: float) -> LentShare:
    limit = share.limit
    # The borrower knows when it may use a share that it has already.
    delay = 0.0 if limit.is_lent(now) else max(0.0, limit.next_send_at - now)
    limit.borrower = borrower
    limit.lent_until = now + LEASE_SECONDS
    limit.next_send_at = limit.lent_until + share.interval
    return LentShare(delay, share.interval)
