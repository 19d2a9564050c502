"""Borrows tokens for requests from the routers that lend a budget."""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.ledger import Ledger, Reservation
from ibisport_fleet.lenders import rank_lenders
from ibisport_fleet.loan_planning import BorrowerDemand, compute_second_lender_delay
from ibisport_fleet.loans import Loan, LoanPeer, LoanRequest
from ibisport_fleet.membership import Member, Membership
from ibisport_fleet.standby.contact import TokenContact

# A lender that has to write to a slow store itself answers within 0.6 s.
LOAN_TIMEOUT_SECONDS = 0.7
# How long a lender that did not answer is skipped, and one that another lender was
# faster than is asked second.
LENDER_BACKOFF_SECONDS = 2.0
# A request tries a second lender if the first does not answer.
MAX_LENDERS_PER_REQUEST = 2
# Unused borrowed tokens go back after about this time, so that a nearly exhausted
# budget isn't scattered over many routers.
REPAY_INTERVAL_SECONDS = 0.5


@dataclass(slots=True)
class _Borrowing:
    """One request's search for a loan.

    Attributes:
        workspace: Name of the workspace that pays.
        tokens: Tokens that the request lacks.
        is_done: Whether the request has its tokens or was refused, so that a loan that
            arrives now is a surplus.
    """

    workspace: str
    tokens: int
    is_done: bool = False


class Borrower:
    """Borrows tokens for the requests of this router, and returns unused ones."""

    def __init__(
        self,
        members: Membership,
        ledger: Ledger,
        peers: LoanPeer,
        log: EventLog,
        contact: TokenContact,
        *,
        plans_ahead: bool = False,
    ) -> None:
        """Initialize without loans.

        Args:
            members: The routers that may lend.
            ledger: The budgets of this router.
            peers: Carries loan requests to lenders.
            log: Receives lenders that don't answer.
            contact: Records that a lender answers.
            plans_ahead: Whether a second lender is asked while the first is silent, and
                tokens are borrowed ahead of demand.
        """
        self._members = members
        self._ledger = ledger
        self._peers = peers
        self._log = log
        self._contact = contact
        self._plans_ahead = plans_ahead
        self._backoff_until: dict[str, float] = {}
        self._second_until: dict[str, float] = {}
        self._lenders: dict[str, Member] = {}
        self._demands: dict[str, BorrowerDemand] = {}
        self._surplus: Counter[tuple[str, Member]] = Counter()
        self._tasks: set[asyncio.Task[Reservation | Loan | None]] = set()
        self._loan_tasks: set[asyncio.Task[Loan | None]] = set()
        self._asking_ahead: set[str] = set()

    def record_demand(self, workspace: str, tokens: int) -> None:
        """Record the maximum cost of a request that needs borrowed tokens."""
        if self._plans_ahead:
            demand = self._demands.setdefault(workspace, BorrowerDemand())
            demand.add(tokens, asyncio.get_running_loop().time())

    async def borrow(
        self, workspace: str, tokens: int, objective: float | None = None
    ) -> Reservation | Loan | None:
        """Borrow the tokens that a request may cost.

        Args:
            workspace: Name of the workspace that pays.
            tokens: Maximum cost of the request.
            objective: Target for the time to the first byte of the answer, seconds.

        Returns:
            A reservation of the tokens; the refusal of a lender; or None if no
            lender answered.
        """
        delay = None
        if self._plans_ahead and objective is not None:
            delay = compute_second_lender_delay(objective)
        request = self._ask_lenders(workspace, tokens, delay)
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
                await self._repay_workspace(workspace, self._plan_ahead(workspace))
            await self._repay_surplus()

    async def repay_all(self) -> None:
        """Return all unused borrowed tokens before the process ends.

        Tokens that aren't returned count as spent at the lender permanently.
        """
        # A loan whose caller disconnected, or that came second, may still be in flight.
        # asyncio.wait doesn't cancel these tasks, and so their loan requests, when it
        # is cancelled itself.
        if pending := self._tasks | self._loan_tasks:
            await asyncio.wait(pending)
        await asyncio.gather(
            *(self._repay_workspace(name, 0) for name in self._lenders),
            self._repay_surplus(),
        )

    async def _ask_lenders(
        self, workspace: str, tokens: int, delay: float | None
    ) -> Reservation | Loan | None:
        """Borrow what the unused tokens of earlier loans don't cover."""
        local_budget = self._ledger.find(workspace)
        # Deducted before the first await, so that no concurrent request uses them too.
        available = min(local_budget.borrowed, tokens)
        local_budget.borrowed -= available
        if available == tokens:
            # Another request has returned its tokens since this one asked.
            return Reservation(workspace, tokens, borrowed=True)
        borrowing = _Borrowing(workspace, tokens - available)
        try:
            answer = await self._collect_loan(borrowing, delay)
        except Exception:
            local_budget.borrowed += available
            raise
        if answer is not None and answer.tokens:
            return Reservation(workspace, tokens, borrowed=True)
        local_budget.borrowed += available
        return answer

    async def _collect_loan(
        self, borrowing: _Borrowing, delay: float | None
    ) -> Loan | None:
        """Return the first loan, or else a certain refusal.

        Args:
            borrowing: The search.
            delay: Seconds without an answer after which the next lender is asked too,
                or None to wait for each lender.
        """
        members = self._list_lenders(borrowing.workspace)
        asked: dict[asyncio.Task[Loan | None], Member] = {}
        refusal: Loan | None = None
        while members or asked:
            if members:
                member = members.pop(0)
                asked[self._start_loan(member, borrowing)] = member
            done, _ = await asyncio.wait(
                asked,
                timeout=delay if members else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            answers = [(asked.pop(task), task.result()) for task in done]
            loan = self._accept_loans(borrowing, answers)
            if loan is not None:
                self._rank_second(asked.values())
                return loan
            refused = [answer for _, answer in answers if answer and answer.certain]
            if refused:
                # A lender that hasn't answered yet may hold the missing tokens.
                refusal, members = refused[0], []
        borrowing.is_done = True
        return refusal

    def _start_loan(
        self, member: Member, borrowing: _Borrowing
    ) -> asyncio.Task[Loan | None]:
        ahead = 0
        if borrowing.workspace not in self._asking_ahead:
            # Concurrent requests would each ask for the whole demand.
            held = self._ledger.find(borrowing.workspace).borrowed
            ahead = max(0, self._plan_ahead(borrowing.workspace) - held)
        work = self._request_loan(member, borrowing, ahead)
        task = asyncio.get_running_loop().create_task(work)
        self._loan_tasks.add(task)
        task.add_done_callback(self._loan_tasks.discard)
        return task

    def _accept_loans(
        self, borrowing: _Borrowing, answers: Iterable[tuple[Member, Loan | None]]
    ) -> Loan | None:
        """Take the first loan for the request; return it, or None without a loan."""
        accepted: Loan | None = None
        for member, loan in answers:
            if loan is None or not loan.tokens:
                continue
            if accepted is not None:
                self._add_surplus(borrowing.workspace, member, loan.tokens)
                continue
            accepted = loan
            borrowing.is_done = True
            self._set_lender(borrowing.workspace, member)
            surplus = loan.tokens - borrowing.tokens
            self._add_surplus(borrowing.workspace, member, surplus)
        return accepted

    def _set_lender(self, workspace: str, member: Member) -> None:
        previous = self._lenders.get(workspace, member)
        self._lenders[workspace] = member
        if previous != member:
            # Tokens left from the previous lender's loans can't be repaid to this one.
            local_budget = self._ledger.find(workspace)
            unused, local_budget.borrowed = local_budget.borrowed, 0
            if self._plans_ahead:
                self._add_surplus(workspace, previous, unused)

    def _add_surplus(self, workspace: str, member: Member, tokens: int) -> None:
        """Keep lent tokens that no request has reserved."""
        if self._lenders.get(workspace) == member:
            self._ledger.find(workspace).borrowed += tokens
        elif tokens:
            self._surplus[workspace, member] += tokens

    def _plan_ahead(self, workspace: str) -> int:
        demand = self._demands.get(workspace)
        now = asyncio.get_running_loop().time()
        return 0 if demand is None else demand.plan_ahead(now)

    async def _request_loan(
        self, member: Member, borrowing: _Borrowing, ahead: int
    ) -> Loan | None:
        loop = asyncio.get_running_loop()
        workspace = borrowing.workspace
        request = LoanRequest(
            member.incarnation, workspace, borrowing.tokens, ahead=ahead
        )
        if ahead:
            self._asking_ahead.add(workspace)
        asked_at = loop.time()
        try:
            loan = await self._peers.ask(
                member.address, request, asked_at + LOAN_TIMEOUT_SECONDS
            )
        except PeerUnavailable as error:
            self._back_off(member, str(error))
            return None
        finally:
            if ahead:
                self._asking_ahead.discard(workspace)
        self._record_answer(workspace, loan, asked_at)
        if loan.tokens and borrowing.is_done:
            # Another lender was faster. The tokens count as spent at this one until
            # they are repaid.
            self._add_surplus(workspace, member, loan.tokens)
        return loan

    async def _try_lender(
        self, member: Member, workspace: str, deadline: float
    ) -> None:
        request = LoanRequest(member.incarnation, workspace, 0)
        asked_at = asyncio.get_running_loop().time()
        try:
            loan = await self._peers.ask(member.address, request, deadline)
        except PeerUnavailable:
            # Its failure to answer a request for tokens is in the log already.
            return
        if loan.lends:
            self._backoff_until.pop(member.host, None)
        self._record_answer(workspace, loan, asked_at)

    def _record_answer(self, workspace: str, loan: Loan, asked_at: float) -> None:
        if not loan.lends:
            return
        self._contact.record_answer(asked_at)
        demand = self._demands.get(workspace)
        if demand is not None:
            demand.scarce = loan.scarce

    def _list_lenders(self, workspace: str) -> list[Member]:
        """Return the lenders to ask, in order."""
        now = asyncio.get_running_loop().time()
        members = self._members.current
        ranked = rank_lenders(members, workspace)[:MAX_LENDERS_PER_REQUEST]
        usable = [
            host
            for host in ranked
            if host != self._members.own.host
            and self._backoff_until.get(host, 0.0) <= now
        ]
        usable.sort(key=lambda host: self._second_until.get(host, 0.0) > now)
        return [members[host] for host in usable]

    def _rank_second(self, members: Iterable[Member]) -> None:
        """Ask lenders second for a while, as another one has answered before them."""
        now = asyncio.get_running_loop().time()
        for member in members:
            if self._second_until.get(member.host, 0.0) <= now:
                self._log.write(Event.lender_late, lender=member.host)
            self._second_until[member.host] = now + LENDER_BACKOFF_SECONDS

    def _back_off(self, member: Member, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._backoff_until[member.host] = now + LENDER_BACKOFF_SECONDS
        self._log.write(Event.lender_lost, lender=member.host, reason=reason)

    async def _repay_workspace(self, workspace: str, kept: int) -> None:
        local_budget = self._ledger.find(workspace)
        unused = max(0, local_budget.borrowed - kept)
        local_budget.borrowed -= unused
        if unused:
            await self._repay(self._lenders[workspace], workspace, unused)

    async def _repay_surplus(self) -> None:
        surplus, self._surplus = self._surplus, Counter()
        await asyncio.gather(
            *(
                self._repay(member, workspace, tokens)
                for (workspace, member), tokens in surplus.items()
            )
        )

    async def _repay(self, lender: Member, workspace: str, tokens: int) -> None:
        request = LoanRequest(lender.incarnation, workspace, 0, tokens)
        asked_at = asyncio.get_running_loop().time()
        try:
            loan = await self._peers.ask(
                lender.address, request, asked_at + LOAN_TIMEOUT_SECONDS
            )
        except PeerUnavailable as error:
            # Whether the lender credited them is unknown, so they count as spent.
            self._back_off(lender, str(error))
            return
        self._record_answer(workspace, loan, asked_at)

    def _settle_abandoned(self, task: asyncio.Task[Reservation | Loan | None]) -> None:
        reservation = None if task.cancelled() or task.exception() else task.result()
        if isinstance(reservation, Reservation):
            self._ledger.settle(reservation)
