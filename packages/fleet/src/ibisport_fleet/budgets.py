"""What workspaces may spend at this router, as its callers see it.

A request's tokens are borrowed from the router that lends the workspace's tokens.
Only if no lender answers are they drawn from the store itself.
"""

import asyncio
import contextlib

from ibisport_fleet.borrowing import Borrower
from ibisport_fleet.budget_page import Share
from ibisport_fleet.budget_synchronizer import MAX_PAGE_AGE_SECONDS, BudgetSynchronizer
from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.cap_planning import compute_max_cap
from ibisport_fleet.catalogue import Workspace
from ibisport_fleet.clocks import SYSTEM_CLOCKS, Clocks
from ibisport_fleet.errors import FleetError, RecordInvalid, StoreError
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.ledger import Reservation
from ibisport_fleet.lenders import rank_lenders
from ibisport_fleet.loans import Loan, LoanPeer, LoanRequest
from ibisport_fleet.membership import Membership
from ibisport_fleet.shutdown import Shutdown
from ibisport_fleet.store import Store

PROOF_RENEWAL_INTERVAL_SECONDS = 0.7
WRITE_INTERVAL_SECONDS = 0.75
# Requests that need a write within so long share one: each write is a call for all
# budgets of the host, and writes of the shared page keep each other out.
MIN_WRITE_INTERVAL_SECONDS = 0.06
RETRY_BACKOFF_SECONDS = 0.2
# Longest time that a request waits for tokens: a write of a slow store, and conflicts
# before it.
DRAW_TIMEOUT_SECONDS = 0.6
# The same while calls fail: sooner with another router than waiting here.
FAILING_DRAW_TIMEOUT_SECONDS = 0.1
# A router that is asked for a loan holds a reserve for so long, whatever its own list
# says: borrowers ask by theirs, and the two differ by a period of the list. Without it
# each such loan would be a write of the page. Borrowers leave a lender alone for as
# long.
LENDER_RETENTION_SECONDS = 2.0
# Another router may have tokens left of the same budget, and a retry reaches
# another one.
SHORTAGE_RETRY_SECONDS = 0.15


class TokensUnavailable(Exception):
    """A budget doesn't cover a request.

    Attributes:
        pause: Seconds after which tokens may be at hand again; None: the budget
            itself is spent.
        known: What was known of the budget, for the log.
    """

    def __init__(self, pause: float | None, **known: float) -> None:
        super().__init__('budget')
        self.retry_after = pause
        self.details = known


class Budgets:
    """Reserves tokens before a request runs and settles them after it."""

    def __init__(
        self,
        members: Membership,
        store: Store,
        catalogue: CatalogueView,
        log: EventLog,
        peers: LoanPeer,
        clocks: Clocks = SYSTEM_CLOCKS,
    ) -> None:
        self._clocks = clocks
        self._members = members
        self._host = members.own.host
        self._log = log
        self._catalogue = catalogue
        self._synchronizer = BudgetSynchronizer(
            store, catalogue, log, clocks, members.own, self._lends
        )
        self._ledger = self._synchronizer.ledger
        self._borrower = Borrower(members, self._ledger, peers, log)
        self._write_requested = asyncio.Event()
        self._write_done = asyncio.Event()
        self._store_failing = False
        self._shutdown: Shutdown | None = None
        self._lending_until: dict[str, float] = {}
        self._closing = False

    @property
    def router_count(self) -> int:
        """How many routers draw on the budgets, this one counted."""
        return self._members.count

    def find_used(self, workspace: str) -> int:
        """Return what counts as spent or reserved at this router, in tokens."""
        return self._ledger.find(workspace).used

    def list_lenders(self, workspace: str) -> list[str]:
        """Return the hosts that lend a workspace's tokens, the first one first."""
        return rank_lenders(self._members.current, workspace)

    def leave(self, shutdown: Shutdown) -> None:
        """Leave the list of lenders, and then lend nothing more; the rest goes back.

        Args:
            shutdown: When.
        """
        self._shutdown = shutdown
        loop = asyncio.get_running_loop()
        loop.call_at(shutdown.listed_until, self._members.leave)
        loop.call_at(shutdown.lends_until, self._write_requested.set)

    async def lend(self, request: LoanRequest) -> Loan:
        """Lend tokens to another router, which counts as spending them.

        Args:
            request: What the other router needs.
        """
        workspace = self._find_workspace(request.workspace)
        if workspace is None or request.lender != self._members.own.incarnation:
            return Loan(0, 0, certain=False)
        if request.repaid:
            self._ledger.credit_repayment(workspace.name, request.repaid)
            self._ledger.find(workspace.name).add_demand(
                -request.repaid, self._clocks.boot()
            )
        if self._has_stopped_lending or not request.tokens:
            return Loan(0, 0, certain=False)
        self._lending_until[workspace.name] = (
            self._clocks.boot() + LENDER_RETENTION_SECONDS
        )
        try:
            held = await self._reserve_local(workspace, request.tokens)
        except TokensUnavailable as short:
            used = int(short.details.get('used', 0))
            return Loan(0, used, certain=not self._store_failing)
        held.spent = held.tokens
        self._ledger.settle(held)
        return Loan(request.tokens, 0, certain=True)

    async def reserve(self, workspace: Workspace | None, tokens: int) -> Reservation:
        """Hold tokens for a request.

        Args:
            workspace: Who pays, or None.
            tokens: The most that the request may cost.

        Raises:
            Short: The budget doesn't cover it, or can't be asked now.
        """
        if workspace is None or workspace.budget is None or not tokens:
            return Reservation(None, tokens)
        if self._lends(workspace.name):
            return await self._reserve_local(workspace, tokens)
        held = self._ledger.reserve_borrowed(workspace.name, tokens)
        if held is not None:
            return held
        answer = await self._borrower.borrow(workspace.name, tokens)
        if isinstance(answer, Reservation):
            return answer
        if answer is not None and answer.certain:
            spent = answer.used + tokens > (workspace.budget or 0)
            pause = None if spent else draw_jittered_delay(SHORTAGE_RETRY_SECONDS)
            raise TokensUnavailable(
                pause, budget=workspace.budget or 0, used=answer.used
            )
        return await self._reserve_local(workspace, tokens)

    async def run_repayments(self) -> None:
        """Give borrowed tokens back that no request needs, for ever."""
        await self._borrower.run_repayments()

    async def _reserve_local(self, workspace: Workspace, tokens: int) -> Reservation:
        """Hold tokens that the store counts as this host's."""
        now = self._clocks.boot()
        purse = self._ledger.find(workspace.name)
        purse.add_demand(tokens, now)
        isolated = self._synchronizer.is_isolated
        # What others wait for isn't taken before them: on a busy budget newcomers used
        # up what a write had brought, and those who had waited were refused.
        if purse.fits(tokens + purse.wanted, isolated):
            return self._ledger.hold(workspace.name, tokens)
        return await self._draw(workspace, tokens)

    def settle(self, reservation: Reservation) -> None:
        """Count what a request has cost and give the rest back."""
        self._ledger.settle(reservation)

    async def run_proof_renewals(self) -> None:
        """Get a new lease for the proof of contact from time to time, for ever.

        It is a task of its own so that no draw waits for it.
        """
        while True:
            if not self._synchronizer.needs_proof:
                await asyncio.sleep(PROOF_RENEWAL_INTERVAL_SECONDS)
                continue
            try:
                await self._synchronizer.renew_proof()
            except (StoreError, RecordInvalid) as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_BACKOFF_SECONDS)
                continue
            self._write_requested.set()
            await asyncio.sleep(PROOF_RENEWAL_INTERVAL_SECONDS)

    async def run(self) -> None:
        """Keep the store in step with the ledger for ever."""
        loop = asyncio.get_running_loop()
        while True:
            begun = loop.time()
            self._synchronizer.knows_lenders = self._members.listed
            try:
                await self._synchronizer.synchronize()
            except (StoreError, RecordInvalid) as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_BACKOFF_SECONDS)
                continue
            self._members.may_lend = (
                self._synchronizer.is_predecessor_settled and self._shutdown is None
            )
            drawn, self._write_done = self._write_done, asyncio.Event()
            drawn.set()
            self._store_failing = False
            await self._wait_for_write_request()
            await asyncio.sleep(begun + MIN_WRITE_INTERVAL_SECONDS - loop.time())

    async def close(self) -> None:
        """Say what was spent in the end, and give back what was borrowed.

        One doesn't wait for the other: either may find nobody who answers.
        """
        self._closing = True
        await asyncio.gather(self._borrower.repay_all(), self._close_session())

    async def _close_session(self) -> None:
        """Say what was spent in the end, however often it takes."""
        while self._synchronizer.is_open:
            try:
                return await self._synchronizer.close()
            except (StoreError, RecordInvalid) as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_BACKOFF_SECONDS)

    async def _draw(self, workspace: Workspace, tokens: int) -> Reservation:
        # Once the account is written nothing brings tokens any more.
        if self._closing or self._is_exhausted(workspace, tokens):
            raise self._build_refusal(workspace, tokens)
        purse = self._ledger.find(workspace.name)
        purse.wanted += tokens
        wait = (
            FAILING_DRAW_TIMEOUT_SECONDS
            if self._store_failing
            else DRAW_TIMEOUT_SECONDS
        )
        until = asyncio.get_running_loop().time() + wait
        try:
            async with asyncio.timeout_at(until):
                return await self._wait_for_tokens(workspace, tokens)
        except TimeoutError:
            raise TokensUnavailable(
                self._estimate_retry_after(), own_used=purse.used, own_cap=purse.cap
            ) from None
        finally:
            purse.wanted -= tokens

    async def _wait_for_tokens(self, workspace: Workspace, tokens: int) -> Reservation:
        # The first write that ends may have begun before this request came.
        for _ in range(2):
            drawn = self._write_done
            self._write_requested.set()
            await drawn.wait()
            isolated = self._synchronizer.is_isolated
            held = self._ledger.reserve(workspace.name, tokens, isolated)
            if held is not None:
                return held
        raise self._build_refusal(workspace, tokens)

    @property
    def _has_stopped_lending(self) -> bool:
        """Whether the router leaves and lends nothing any more."""
        if self._shutdown is None:
            return False
        return asyncio.get_running_loop().time() >= self._shutdown.lends_until

    def _lends(self, workspace: str) -> bool:
        if self._has_stopped_lending or not self._members.listed:
            return False
        if self._clocks.boot() < self._lending_until.get(workspace, 0.0):
            return True
        return rank_lenders(self._members.current, workspace)[0] == self._host

    def _find_workspace(self, name: str) -> Workspace | None:
        current = self._catalogue.current
        return None if current is None else current.workspaces.get(name)

    def _estimate_retry_after(self) -> float:
        """Return how long a caller should wait while the store can't be reached.

        Once the proof of contact has run out the caps hold.
        """
        left = max(0.0, self._synchronizer.proofs_expire_at - self._clocks.boot())
        return left + draw_jittered_delay(SHORTAGE_RETRY_SECONDS)

    def _is_exhausted(self, workspace: Workspace, tokens: int) -> bool:
        """Whether a draw just now can't bring the tokens either."""
        if self._clocks.boot() - self._synchronizer.page_seen_at > MAX_PAGE_AGE_SECONDS:
            return False
        account = self._synchronizer.find_account(workspace.name)
        room = compute_max_cap(account, workspace.budget or 0, self._host)
        return self._ledger.find(workspace.name).used + tokens > room

    def _build_refusal(self, workspace: Workspace, tokens: int) -> TokensUnavailable:
        account = self._synchronizer.find_account(workspace.name)
        own = account.shares.get(self._host, Share())
        purse = self._ledger.find(workspace.name)
        budget = workspace.budget or 0
        used = account.used - own.used + purse.used
        short = used + tokens > budget
        return TokensUnavailable(
            None if short else draw_jittered_delay(SHORTAGE_RETRY_SECONDS),
            budget=budget,
            used=used,
            held=account.held,
            own_used=purse.used,
            own_cap=purse.cap,
            page_age=round(self._clocks.boot() - self._synchronizer.page_seen_at, 3),
            isolated=self._synchronizer.is_isolated,
        )

    async def _wait_for_write_request(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WRITE_INTERVAL_SECONDS):
                await self._write_requested.wait()
        self._write_requested.clear()

    def _record_failure(self, error: FleetError) -> None:
        if not self._store_failing:
            self._store_failing = True
            self._log.write(Event.budget_unknown, reason=repr(error))
