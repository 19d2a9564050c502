"""Borrows shares of rate limits that other routers don't use."""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping

from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.membership import Member
from ibisport_fleet.rate_shares.limit import BorrowedShare, list_senders
from ibisport_fleet.rate_shares.messages import (
    LEASE_SECONDS,
    SHARES_PATH,
    LentShare,
    ShareRequest,
    decode_answer,
    encode_request,
)
from ibisport_fleet.router_links import RouterLinks

# Shares in use are borrowed again before they end.
ROUND_SECONDS = LEASE_SECONDS / 2
ANSWER_TIMEOUT_SECONDS = 0.25
# While no router has shares to lend, as when all are short, they are asked less often.
MAX_BACKOFF_SECONDS = 2.0
# Bound the messages of a round in a large fleet.
MAX_LENDERS = 16
MAX_TARGETS = 64
# How far the lender's knowledge of a limit may be ahead of this router's.
MAX_RATE_FACTOR = 2.0


class ShareBorrower:
    """Borrows shares while requests are refused for want of them."""

    def __init__(
        self,
        links: RouterLinks,
        targets: TargetView,
        is_short: Callable[[], bool],
        log: EventLog,
    ) -> None:
        """Create a borrower.

        Args:
            links: The routers that share the limits, and the ways to reach them.
            targets: Holds the known limits.
            is_short: Returns whether this router's own shares don't suffice.
            log: Receives the number of shares of each round that borrows some.
        """
        self._is_short = is_short
        self._members = links.members
        self._peers = links.peers
        self._targets = targets
        self._log = log
        self._wanted: set[str] = set()
        self._wakeup = asyncio.Event()

    def request(self, targets: Collection[str]) -> None:
        """Borrow shares of some targets' limits in the background, if it is short."""
        if self._is_short():
            self._wanted.update(targets)
            self._wakeup.set()

    async def run(self) -> None:
        """Borrow what is requested, and again while it is used, until cancelled."""
        backoff = ROUND_SECONDS
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            borrowed = await self._borrow()
            backoff = ROUND_SECONDS if borrowed else backoff * 2
            backoff = min(backoff, MAX_BACKOFF_SECONDS)
            await asyncio.sleep(backoff)
            if self._list_used() and self._is_short():
                self._wakeup.set()

    async def _borrow(self) -> int:
        """Ask other routers once; return how many shares they lent."""
        limits = self._targets.list_limits()
        targets = (self._wanted & limits.keys()) | self._list_used()
        self._wanted.clear()
        rates = {target: limits[target].rate for target in sorted(targets)}
        asked = self._plan_requests(dict(itertools.islice(rates.items(), MAX_TARGETS)))
        results = await asyncio.gather(
            *(self._ask(member, wanted) for member, wanted in asked)
        )
        borrowed = sum(results)
        if borrowed:
            self._log.write(
                Event.shares_borrowed,
                shares=borrowed,
                targets=len(targets),
                routers=len(asked),
            )
        return borrowed

    def _list_used(self) -> set[str]:
        """Return the targets whose borrowed shares were used since they were lent."""
        return {
            target
            for target, limit in self._targets.list_limits().items()
            if any(share.used for share in limit.borrowed.values())
        }

    def _plan_requests(
        self, rates: Mapping[str, float]
    ) -> list[tuple[Member, tuple[str, ...]]]:
        """Return the routers that have shares of targets, with these targets.

        Args:
            rates: Requests per second from all routers together, by target.
        """
        hosts = self._members.hosts
        wanted_by_host: defaultdict[str, list[str]] = defaultdict(list)
        for target, rate in rates.items():
            for host in list_senders(rate, target, hosts):
                wanted_by_host[host].append(target)
        asked = [
            (member, tuple(wanted_by_host[member.host]))
            for member in self._members.list_others()
            if member.host in wanted_by_host
        ]
        asked.sort(key=lambda pair: -len(pair[1]))
        return asked[:MAX_LENDERS]

    async def _ask(self, member: Member, targets: tuple[str, ...]) -> int:
        asked_at = asyncio.get_running_loop().time()
        request = encode_request(ShareRequest(self._members.own.host, targets))
        try:
            content = await self._peers.ask(
                member.address,
                SHARES_PATH,
                request,
                asked_at + ANSWER_TIMEOUT_SECONDS,
            )
            shares = decode_answer(content).shares
        except PeerUnavailable:
            return 0
        return sum(
            self._apply(member.host, target, shares[target], asked_at)
            for target in targets
            if target in shares
        )

    def _apply(
        self, lender: str, target: str, share: LentShare, asked_at: float
    ) -> bool:
        """Use a share until its lease ends, counted from before it was asked for.

        The lender counts it from a later moment, so that both never use the share.
        """
        limit = self._targets.find_limit(target)
        if limit is None or share.delay < 0:
            return False
        if share.interval * limit.rate * MAX_RATE_FACTOR < 1:
            # More than the whole limit can't be a share of it.
            return False
        now = asyncio.get_running_loop().time()
        known = limit.borrowed.get(lender)
        next_send_at = now + share.delay
        if known is not None:
            next_send_at = max(next_send_at, known.next_send_at)
        limit.borrowed[lender] = BorrowedShare(
            share.interval, next_send_at, asked_at + LEASE_SECONDS
        )
        return True
