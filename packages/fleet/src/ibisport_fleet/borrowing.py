"""Borrows the tokens of a request from the routers that lend them."""

import asyncio

from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.ledger import Ledger, Reservation
from ibisport_fleet.lenders import rank_lenders
from ibisport_fleet.loans import Loan, LoanPeer, LoanRequest
from ibisport_fleet.membership import Member, Membership

# A lender that needs a write itself answers within 0.6 s while the store is slow.
LOAN_TIMEOUT_SECONDS = 0.7
# A lender that didn't answer is left alone for so long.
LENDER_BACKOFF_SECONDS = 2.0
# Lenders that one request asks: the second one takes over from the first.
MAX_LENDERS_PER_REQUEST = 2
# Borrowed tokens that no request needed for about so long go back, so that they don't
# lie at many routers in pieces when a budget comes to its end.
REPAY_INTERVAL_SECONDS = 0.5


class Borrower:
    """Borrows for the requests of this router."""

    def __init__(
        self, members: Membership, ledger: Ledger, peers: LoanPeer, log: EventLog
    ) -> None:
        self._members = members
        self._ledger = ledger
        self._peers = peers
        self._log = log
        self._avoided_until: dict[str, float] = {}
        self._lenders: dict[str, Member] = {}
        self._tasks: set[asyncio.Task[Reservation | Loan | None]] = set()

    async def borrow(self, workspace: str, tokens: int) -> Reservation | Loan | None:
        """Borrow what a request needs.

        Args:
            workspace: Whose tokens.
            tokens: How many the request may cost at most.

        Returns:
            The tokens, held for the request; a lender's refusal; or None if no
            lender answered.
        """
        work = self._ask_lenders(workspace, tokens)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # The caller left; the loan is on its way and serves the next request.
            task.add_done_callback(self._settle_abandoned)
            raise

    async def run_repayments(self) -> None:
        """Give borrowed tokens back that no request needs, for ever."""
        while True:
            await asyncio.sleep(REPAY_INTERVAL_SECONDS)
            for workspace in tuple(self._lenders):
                await self._repay_workspace(workspace)

    async def repay_all(self) -> None:
        """Give all borrowed tokens back that no request needs.

        The process ends after it: what its last requests didn't need would count as
        spent at the lender for ever.
        """
        # A loan whose caller left may still be on its way.
        # Waiting doesn't cancel it, and with it its request, if the time runs out.
        if self._tasks:
            await asyncio.wait(self._tasks)
        await asyncio.gather(*(self._repay_workspace(name) for name in self._lenders))

    async def _ask_lenders(
        self, workspace: str, tokens: int
    ) -> Reservation | Loan | None:
        purse = self._ledger.find(workspace)
        # What is taken now can't be counted on by the next request as well.
        at_hand = min(purse.borrowed, tokens)
        purse.borrowed -= at_hand
        for member in self._list_lenders(workspace):
            loan = await self._request_loan(member, workspace, tokens - at_hand)
            if loan is None:
                continue
            if loan.tokens:
                self._set_lender(workspace, member)
                return Reservation(workspace, tokens, borrowed=True)
            if loan.certain:
                purse.borrowed += at_hand
                return loan
        purse.borrowed += at_hand
        return None

    def _set_lender(self, workspace: str, member: Member) -> None:
        if self._lenders.get(workspace, member) != member:
            # What is left of the loans of another lender can't go back to this one.
            self._ledger.find(workspace).borrowed = 0
        self._lenders[workspace] = member

    async def _request_loan(
        self, member: Member, workspace: str, tokens: int
    ) -> Loan | None:
        loop = asyncio.get_running_loop()
        request = LoanRequest(member.incarnation, workspace, tokens)
        try:
            return await self._peers.ask(
                member.address, request, loop.time() + LOAN_TIMEOUT_SECONDS
            )
        except PeerUnavailable as error:
            self._back_off(member, str(error))
            return None

    def _list_lenders(self, workspace: str) -> list[Member]:
        now = asyncio.get_running_loop().time()
        members = self._members.current
        ranked = rank_lenders(members, workspace)[:MAX_LENDERS_PER_REQUEST]
        return [
            members[host]
            for host in ranked
            if host != self._members.own.host
            and self._avoided_until.get(host, 0.0) <= now
        ]

    def _back_off(self, member: Member, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._avoided_until[member.host] = now + LENDER_BACKOFF_SECONDS
        self._log.write(Event.lender_lost, lender=member.host, reason=reason)

    async def _repay_workspace(self, workspace: str) -> None:
        purse = self._ledger.find(workspace)
        unused, purse.borrowed = purse.borrowed, 0
        lender = self._lenders[workspace]
        if not unused:
            return
        request = LoanRequest(lender.incarnation, workspace, 0, unused)
        loop = asyncio.get_running_loop()
        try:
            await self._peers.ask(
                lender.address, request, loop.time() + LOAN_TIMEOUT_SECONDS
            )
        except PeerUnavailable as error:
            # They count as spent: the lender may or may not have taken them back.
            self._back_off(lender, str(error))

    def _settle_abandoned(self, task: asyncio.Task[Reservation | Loan | None]) -> None:
        held = None if task.cancelled() or task.exception() else task.result()
        if isinstance(held, Reservation):
            self._ledger.settle(held)
