"""Reserves and settles the tokens of requests at this router.

A request's tokens are borrowed from a router that lends the workspace's tokens. They
are drawn from the store only if no lender answers.
"""

import asyncio
import contextlib
from collections.abc import Collection

from ibisport_fleet.borrowing import Borrower
from ibisport_fleet.budget_synchronizer import MAX_PAGE_AGE_SECONDS, BudgetSynchronizer
from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.cap_planning import compute_max_cap
from ibisport_fleet.catalogue import Workspace
from ibisport_fleet.clocks import SYSTEM_CLOCKS, Clocks
from ibisport_fleet.errors import FleetError, RecordInvalid, StoreError
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.ledger import LocalBudget, Reservation
from ibisport_fleet.lenders import rank_lenders
from ibisport_fleet.loan_planning import is_scarce, limit_ahead
from ibisport_fleet.loans import Loan, LoanPeer, LoanRequest
from ibisport_fleet.membership import Membership
from ibisport_fleet.settings import Feature
from ibisport_fleet.shutdown import Shutdown
from ibisport_fleet.standby.contact import TokenContact
from ibisport_fleet.store import Store

PROOF_RENEWAL_INTERVAL_SECONDS = 0.7
WRITE_INTERVAL_SECONDS = 0.75
# Requests that need a write within this time share one: a write covers all budgets of
# the host, and concurrent writes of the shared page conflict.
MIN_WRITE_INTERVAL_SECONDS = 0.06
RETRY_BACKOFF_SECONDS = 0.2
# Maximum time that a request waits for tokens. Covers a write of a slow store after
# conflicts.
DRAW_TIMEOUT_SECONDS = 0.6
# The same while store calls fail, when another router serves a request sooner.
FAILING_DRAW_TIMEOUT_SECONDS = 0.1
# A router that receives a loan request holds a lender's reserve for this time even if
# its own member list ranks another router first: the borrower's list may be one refresh
# interval ahead or behind. Without the reserve, each such loan would write the page.
# Borrowers skip an unresponsive lender for the same time.
LENDER_RETENTION_SECONDS = 2.0
# A retry is likely to reach another router, which may have tokens left of the budget.
SHORTAGE_RETRY_SECONDS = 0.15


class TokensUnavailable(Exception):
    """No tokens are available for a request.

    Attributes:
        retry_after: Seconds after which tokens may be available, or None if the
            budget is spent.
        details: State of the budget for the event log.
        out_of_contact: Whether neither a lender nor the store answered this router
            promptly since the request asked for tokens.
    """

    def __init__(self, retry_after: float | None, **details: float) -> None:
        super().__init__('budget')
        self.retry_after = retry_after
        self.details = details
        self.out_of_contact = False


class _DrawTimeout(TokensUnavailable):
    """The store didn't answer in time, so what others hold is unknown."""


class Budgets:
    """Reserves tokens before a request runs and settles the cost afterwards.

    Attributes:
        contact: When a lender or the store last answered.
    """

    def __init__(
        self,
        members: Membership,
        store: Store,
        catalogue: CatalogueView,
        log: EventLog,
        peers: LoanPeer,
        clocks: Clocks = SYSTEM_CLOCKS,
        features: Collection[Feature] = (),
    ) -> None:
        """Initialize without tokens.

        Args:
            members: The routers that share the budgets.
            store: Holds the budget page.
            catalogue: Names the budgets.
            log: Receives failures.
            peers: Carries loan requests to lenders.
            clocks: The host's clocks.
            features: The optional parts that are in use.
        """
        self._clocks = clocks
        self._members = members
        self._host = members.own.host
        self._log = log
        self._catalogue = catalogue
        self._synchronizer = BudgetSynchronizer(
            store, catalogue, log, clocks, members.own, self._lends
        )
        self._ledger = self._synchronizer.ledger
        self.contact = TokenContact()
        self._borrower = Borrower(
            members,
            self._ledger,
            peers,
            log,
            self.contact,
            plans_ahead=Feature.lending in features,
        )
        self._write_requested = asyncio.Event()
        self._write_done = asyncio.Event()
        self._store_failing = False
        self._lender_may_borrow = Feature.standby in features
        self._shutdown: Shutdown | None = None
        self._lending_until: dict[str, float] = {}
        self._closing = False

    @property
    def router_count(self) -> int:
        """Number of routers that share the budgets, including this one."""
        return self._members.count

    def find_local(self, workspace: str) -> LocalBudget:
        """Return this router's part of a budget."""
        return self._ledger.find(workspace)

    def list_lenders(self, workspace: str) -> list[str]:
        """Return the hosts that lend a workspace's tokens, most preferred first."""
        return rank_lenders(self._members.current, workspace)

    def leave(self, shutdown: Shutdown) -> None:
        """Schedule leaving the list of lenders and, later, the end of lending.

        Unspent tokens go back to the budget after that.

        Args:
            shutdown: The times of the shutdown.
        """
        self._shutdown = shutdown
        loop = asyncio.get_running_loop()
        loop.call_at(shutdown.listed_until, self._members.leave)
        loop.call_at(shutdown.lends_until, self._write_requested.set)

    async def lend(self, request: LoanRequest) -> Loan:
        """Lend tokens to another router; they count as spent here.

        Args:
            request: The other router's request, which may also repay tokens.
        """
        workspace = self._catalogue.find_workspace(request.workspace)
        if workspace is None or request.lender != self._members.own.incarnation:
            return Loan(0, 0, certain=False, lends=False)
        if request.repaid:
            self._ledger.credit_repayment(workspace.name, request.repaid)
            self._ledger.find(workspace.name).add_demand(
                -request.repaid, self._clocks.boot()
            )
        if self._has_stopped_lending or not request.tokens:
            used = self._synchronizer.estimate_used(workspace.name)
            return Loan(
                0,
                0,
                certain=False,
                lends=not self._has_stopped_lending,
                scarce=is_scarce(used, workspace.budget or 0),
            )
        self._lending_until[workspace.name] = (
            self._clocks.boot() + LENDER_RETENTION_SECONDS
        )
        try:
            reservation = await self._reserve_local(workspace, request.tokens)
        except TokensUnavailable as error:
            used = int(error.details.get('used', 0))
            # What other routers hold ahead of demand is missing here.
            return Loan(0, used, certain=not self._store_failing, scarce=True)
        ahead = self._find_ahead(workspace, request.ahead)
        self._ledger.lend(reservation, ahead, self._clocks.boot())
        used = self._synchronizer.estimate_used(workspace.name)
        return Loan(
            request.tokens + ahead,
            0,
            certain=True,
            scarce=is_scarce(used, workspace.budget or 0),
        )

    async def reserve(
        self,
        workspace: Workspace | None,
        tokens: int,
        objective: float | None = None,
    ) -> Reservation:
        """Reserve tokens for a request.

        Args:
            workspace: The workspace that pays, or None if the request is free.
            tokens: Maximum cost of the request.
            objective: Target for the time to the first byte of the answer, seconds, or
                None to ask one lender after the other.

        Raises:
            TokensUnavailable: The budget doesn't cover the request, or tokens can't be
                obtained in time.
        """
        if workspace is None or workspace.budget is None or not tokens:
            return Reservation(None, tokens)
        started_at = asyncio.get_running_loop().time()
        try:
            return await self._reserve_paid(workspace, tokens, objective)
        except _DrawTimeout as error:
            error.out_of_contact = self.contact.is_lost_since(started_at)
            raise

    async def _reserve_paid(
        self, workspace: Workspace, tokens: int, objective: float | None
    ) -> Reservation:
        if self._lends(workspace.name) and not (
            self._lender_may_borrow and self._is_short_without_store(workspace, tokens)
        ):
            return await self._reserve_local(workspace, tokens)
        self._borrower.record_demand(workspace.name, tokens)
        reservation = self._ledger.reserve_borrowed(workspace.name, tokens)
        if reservation is not None:
            return reservation
        loan = await self._borrower.borrow(workspace.name, tokens, objective)
        if isinstance(loan, Reservation):
            return loan
        if loan is not None and loan.certain:
            is_spent = loan.used + tokens > (workspace.budget or 0)
            retry_after = (
                None if is_spent else draw_jittered_delay(SHORTAGE_RETRY_SECONDS)
            )
            raise TokensUnavailable(
                retry_after, budget=workspace.budget or 0, used=loan.used
            )
        return await self._reserve_local(workspace, tokens)

    async def try_contact(self, workspace: str, deadline: float) -> None:
        """Ask lenders and the store for tokens of a workspace, without a request.

        The store is asked for a single token by the write that is repeated while
        calls fail, so the attempt adds no store calls.

        Args:
            workspace: Name of the workspace.
            deadline: Loop time until which answers count.
        """
        local_budget = self._ledger.find(workspace)
        local_budget.wanted += 1
        self._write_requested.set()
        try:
            await self._borrower.try_contact(workspace, deadline)
            await asyncio.sleep(deadline - asyncio.get_running_loop().time())
        finally:
            local_budget.wanted -= 1

    async def run_repayments(self) -> None:
        """Return unused borrowed tokens periodically; never returns."""
        await self._borrower.run_repayments()

    async def _reserve_local(self, workspace: Workspace, tokens: int) -> Reservation:
        """Reserve tokens from this host's own share, or draw more from the store."""
        now = self._clocks.boot()
        local_budget = self._ledger.find(workspace.name)
        local_budget.add_demand(tokens, now)
        released = self._synchronizer.released
        # Tokens that earlier requests wait for stay available to them. Otherwise, on a
        # busy budget, new requests used the tokens of each write, and the requests that
        # had waited were refused.
        if local_budget.fits(tokens + local_budget.wanted, released):
            return self._ledger.hold(workspace.name, tokens)
        return await self._draw(workspace, tokens)

    def settle(self, reservation: Reservation) -> None:
        """Record the final cost of a request and release the rest."""
        self._ledger.settle(reservation)

    async def run_proof_renewals(self) -> None:
        """Acquire a lease for a new contact proof periodically; never returns.

        Runs as a separate task so that no draw waits for it.
        """
        while True:
            if not self._synchronizer.needs_proof:
                await asyncio.sleep(PROOF_RENEWAL_INTERVAL_SECONDS)
                continue
            try:
                await self._synchronizer.proofs.renew()
            except (StoreError, RecordInvalid) as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_BACKOFF_SECONDS)
                continue
            self._write_requested.set()
            await asyncio.sleep(PROOF_RENEWAL_INTERVAL_SECONDS)

    async def run(self) -> None:
        """Synchronize the ledger with the store continuously; never returns."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            self._synchronizer.knows_lenders = self._members.listed
            write_answered_at = self._synchronizer.write_answered_at
            try:
                await self._synchronizer.synchronize()
            except (StoreError, RecordInvalid) as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_BACKOFF_SECONDS)
                continue
            self._members.may_lend = (
                self._synchronizer.is_predecessor_settled and self._shutdown is None
            )
            completed, self._write_done = self._write_done, asyncio.Event()
            completed.set()
            self._store_failing = False
            if self._synchronizer.write_answered_at > write_answered_at:
                asked_at = loop.time() - self._synchronizer.answer_seconds
                self.contact.record_answer(asked_at)
            await _wait_for_event(self._write_requested, WRITE_INTERVAL_SECONDS)
            await asyncio.sleep(started_at + MIN_WRITE_INTERVAL_SECONDS - loop.time())

    async def close(self) -> None:
        """Write the final spending to the store and return borrowed tokens to lenders.

        Both run concurrently, because neither the store nor a lender may answer.
        """
        self._closing = True
        await asyncio.gather(self._borrower.repay_all(), self._close_session())

    async def _close_session(self) -> None:
        """Write the final spending; retries until the store accepts it."""
        while self._synchronizer.is_open:
            try:
                return await self._synchronizer.close()
            except (StoreError, RecordInvalid) as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_BACKOFF_SECONDS)

    async def _draw(self, workspace: Workspace, tokens: int) -> Reservation:
        # No tokens can be drawn once the final spending is written.
        if self._closing or self._is_exhausted(workspace, tokens):
            raise self._build_refusal(workspace, tokens)
        local_budget = self._ledger.find(workspace.name)
        local_budget.wanted += tokens
        timeout = (
            FAILING_DRAW_TIMEOUT_SECONDS
            if self._store_failing
            else DRAW_TIMEOUT_SECONDS
        )
        deadline = asyncio.get_running_loop().time() + timeout
        try:
            async with asyncio.timeout_at(deadline):
                return await self._wait_for_tokens(workspace, tokens)
        except TimeoutError:
            raise _DrawTimeout(
                _estimate_retry_after(
                    self._synchronizer.proofs.expire_at, self._clocks.boot()
                ),
                own_used=local_budget.used,
                own_cap=local_budget.cap,
            ) from None
        finally:
            local_budget.wanted -= tokens

    async def _wait_for_tokens(self, workspace: Workspace, tokens: int) -> Reservation:
        # The write in progress may have started before this request arrived.
        for _ in range(2):
            write_done = self._write_done
            self._write_requested.set()
            await write_done.wait()
            released = self._synchronizer.released
            reservation = self._ledger.reserve(workspace.name, tokens, released)
            if reservation is not None:
                return reservation
        raise self._build_refusal(workspace, tokens)

    @property
    def _has_stopped_lending(self) -> bool:
        """Whether the router is shutting down and no longer lends."""
        if self._shutdown is None:
            return False
        return asyncio.get_running_loop().time() >= self._shutdown.lends_until

    def _lends(self, workspace: str) -> bool:
        if self._has_stopped_lending or not self._members.listed:
            return False
        if self._clocks.boot() < self._lending_until.get(workspace, 0.0):
            return True
        return rank_lenders(self._members.current, workspace)[0] == self._host

    def _find_ahead(self, workspace: Workspace, asked: int) -> int:
        """Return the tokens that this lender can spare for a borrower's demand."""
        used = self._synchronizer.estimate_used(workspace.name)
        if self._store_failing or is_scarce(used, workspace.budget or 0):
            return 0
        local_budget = self._ledger.find(workspace.name)
        bound = local_budget.compute_bound(self._synchronizer.released)
        return limit_ahead(asked, bound - local_budget.used - local_budget.wanted)

    def _is_short_without_store(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a lender has to borrow, as it can't draw tokens itself.

        A lender that has lost the store refused all requests of its own callers once
        its reserve was spent, although other lenders had tokens.
        """
        local_budget = self._ledger.find(workspace.name)
        return self._store_failing and not local_budget.fits(
            tokens + local_budget.wanted, self._synchronizer.released
        )

    def _is_exhausted(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a recent page shows that a draw can't provide the tokens."""
        if self._clocks.boot() - self._synchronizer.page_seen_at > MAX_PAGE_AGE_SECONDS:
            return False
        account = self._synchronizer.find_account(workspace.name)
        max_cap = compute_max_cap(account, workspace.budget or 0, self._host)
        return self._ledger.find(workspace.name).used + tokens > max_cap

    def _build_refusal(self, workspace: Workspace, tokens: int) -> TokensUnavailable:
        account = self._synchronizer.find_account(workspace.name)
        local_budget = self._ledger.find(workspace.name)
        budget = workspace.budget or 0
        used = self._synchronizer.estimate_used(workspace.name)
        is_spent = used + tokens > budget
        return TokensUnavailable(
            None if is_spent else draw_jittered_delay(SHORTAGE_RETRY_SECONDS),
            budget=budget,
            used=used,
            held=account.held,
            own_used=local_budget.used,
            own_cap=local_budget.cap,
            page_age=round(self._clocks.boot() - self._synchronizer.page_seen_at, 3),
            isolated=self._synchronizer.released > 0,
            released=round(self._synchronizer.released, 3),
        )

    def _record_failure(self, error: FleetError) -> None:
        if not self._store_failing:
            self._store_failing = True
            self._log.write(Event.budget_unknown, reason=repr(error))


def _estimate_retry_after(expire_at: float, now: float) -> float:
    """Return the seconds to wait before a retry while the store is unreachable.

    Args:
        expire_at: End of the contact proofs, after which the bounds grow up to the
            caps.
        now: Time of the same clock.
    """
    return max(0.0, expire_at - now) + draw_jittered_delay(SHORTAGE_RETRY_SECONDS)


async def _wait_for_event(event: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set, at most for some seconds, and clear it."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
    event.clear()
