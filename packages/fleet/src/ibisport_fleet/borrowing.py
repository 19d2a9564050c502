"""Borrows tokens for requests from the routers that lend a budget."""

import asyncio

from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.ledger import Ledger, Reservation
from ibisport_fleet.lenders import rank_lenders
from ibisport_fleet.loans import Loan, LoanPeer, LoanRequest
from ibisport_fleet.membership import Member, Membership
from ibisport_fleet.standby.contact import TokenContact

# A lender that has to write to a slow store itself answers within 0.6 s.
LOAN_TIMEOUT_SECONDS = 0.7
# How long a lender that did not answer is skipped.
LENDER_BACKOFF_SECONDS = 2.0
# A request tries a second lender if the first does not answer.
MAX_LENDERS_PER_REQUEST = 2
# Unused borrowed tokens go back after about this time, so that a nearly exhausted
# budget isn't scattered over many routers.
REPAY_INTERVAL_SECONDS = 0.5


class Borrower:
    """Borrows tokens for the requests of this router, and returns unused ones."""

    def __init__(
        self,
        members: Membership,
        ledger: Ledger,
        peers: LoanPeer,
        log: EventLog,
        contact: TokenContact,
    ) -> None:
        """Initialize without loans.

        Args:
            members: The routers that may lend.
            ledger: The budgets of this router.
            peers: Carries loan requests to lenders.
            log: Receives lenders that don't answer.
            contact: Records that a lender answers.
        """
        self._members = members
        self._ledger = ledger
        self._peers = peers
        self._log = log
        self._contact = contact
        self._backoff_until: dict[str, float] = {}
        self._lenders: dict[str, Member] = {}
        self._tasks: set[asyncio.Task[Reservation | Loan | None]] = set()

    async def borrow(self, workspace: str, tokens: int) -> Reservation | Loan | None:
        """Borrow the tokens that a request may cost.

        Args:
            workspace: Name of the workspace that pays.
            tokens: Maximum cost of the request.

        Returns:
            A reservation of the tokens; the refusal of a lender; or None if no
            lender answered.
        """
        request = self._ask_lenders(workspace, tokens)
        task = asyncio.get_running_loop().create_task(request)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # The caller disconnected. The loan still arrives and serves later requests.
            task.add_done_callback(self._settle_abandoned)
            raise

    async def try_contact(self, workspace: str, deadline: float) -> None:
        """Ask the lenders of a workspace whether they answer, for no tokens.

        Lenders that didn't answer recently are asked too, and are used again if they
        answer now.

        Args:
            workspace: Name of the workspace.
            deadline: Loop time until which answers count.
        """
        members = self._members.current
        others = [
            members[host]
            for host in rank_lenders(members, workspace)
            if host != self._members.own.host
        ]
        asked = others[:MAX_LENDERS_PER_REQUEST]
        await asyncio.gather(
            *(self._try_lender(member, workspace, deadline) for member in asked)
        )

    async def run_repayments(self) -> None:
        """Return unused borrowed tokens periodically; never returns."""
        while True:
            await asyncio.sleep(REPAY_INTERVAL_SECONDS)
            for workspace in tuple(self._lenders):
                await self._repay_workspace(workspace)

    async def repay_all(self) -> None:
        """Return all unused borrowed tokens before the process ends.

        Tokens that aren't returned count as spent at the lender permanently.
        """
        # A loan whose caller disconnected may still be in flight. asyncio.wait doesn't
        # cancel these tasks, and so their loan requests, when it is cancelled itself.
        if self._tasks:
            await asyncio.wait(self._tasks)
        await asyncio.gather(*(self._repay_workspace(name) for name in self._lenders))

    async def _ask_lenders(
        self, workspace: str, tokens: int
    ) -> Reservation | Loan | None:
        local_budget = self._ledger.find(workspace)
        # Deducted before the first await, so that no concurrent request uses them too.
        available = min(local_budget.borrowed, tokens)
        local_budget.borrowed -= available
        for member in self._list_lenders(workspace):
            loan = await self._request_loan(member, workspace, tokens - available)
            if loan is None:
                continue
            if loan.tokens:
                self._set_lender(workspace, member)
                return Reservation(workspace, tokens, borrowed=True)
            if loan.certain:
                local_budget.borrowed += available
                return loan
        local_budget.borrowed += available
        return None

    def _set_lender(self, workspace: str, member: Member) -> None:
        if self._lenders.get(workspace, member) != member:
            # Tokens left from the previous lender's loans can't be repaid to this one.
            self._ledger.find(workspace).borrowed = 0
        self._lenders[workspace] = member

    async def _request_loan(
        self, member: Member, workspace: str, tokens: int
    ) -> Loan | None:
        loop = asyncio.get_running_loop()
        request = LoanRequest(member.incarnation, workspace, tokens)
        try:
            loan = await self._peers.ask(
                member.address, request, loop.time() + LOAN_TIMEOUT_SECONDS
            )
        except PeerUnavailable as error:
            self._back_off(member, str(error))
            return None
        if loan.lends:
            self._contact.record_answer()
        return loan

    async def _try_lender(
        self, member: Member, workspace: str, deadline: float
    ) -> None:
        request = LoanRequest(member.incarnation, workspace, 0)
        try:
            loan = await self._peers.ask(member.address, request, deadline)
        except PeerUnavailable:
            # Its failure to answer a request for tokens is in the log already.
            return
        if loan.lends:
            self._backoff_until.pop(member.host, None)
            self._contact.record_answer()

    def _list_lenders(self, workspace: str) -> list[Member]:
        now = asyncio.get_running_loop().time()
        members = self._members.current
        ranked = rank_lenders(members, workspace)[:MAX_LENDERS_PER_REQUEST]
        return [
            members[host]
            for host in ranked
            if host != self._members.own.host
            and self._backoff_until.get(host, 0.0) <= now
        ]

    def _back_off(self, member: Member, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._backoff_until[member.host] = now + LENDER_BACKOFF_SECONDS
        self._log.write(Event.lender_lost, lender=member.host, reason=reason)

    async def _repay_workspace(self, workspace: str) -> None:
        local_budget = self._ledger.find(workspace)
        unused, local_budget.borrowed = local_budget.borrowed, 0
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
            # Whether the lender credited them is unknown, so they count as spent.
            self._back_off(lender, str(error))

    def _settle_abandoned(self, task: asyncio.Task[Reservation | Loan | None]) -> None:
        reservation = None if task.cancelled() or task.exception() else task.result()
        if isinstance(reservation, Reservation):
            self._ledger.settle(reservation)
