"""What workspaces may spend at this router, kept in step with the store.

The router keeps a proof of contact in the store: a key under a lease of
``PROOF_SECONDS`` that is never renewed but replaced by a new one about once a
second. It spends up to its contact caps, and beyond them, up to its isolated
caps, only when the newest lease has surely run out. So a process that starts
after a crash and still finds the proof of the one before knows that no more than
the contact caps can have been spent; without it the isolated caps count as spent.
"""

import asyncio
import contextlib
import random
import time
import uuid
from dataclasses import dataclass

import msgspec

from ibisport_fleet.allowance import measure_unspent, plan_row
from ibisport_fleet.budgetpage import (
    Account,
    BudgetPage,
    Row,
    Session,
    dump_page,
    load_page,
)
from ibisport_fleet.calls import draw_pause
from ibisport_fleet.catalogue import Workspace
from ibisport_fleet.errors import StoreError, StoreUnknown
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.fleetview import CatalogueView
from ibisport_fleet.ledger import Ledger, Reservation
from ibisport_fleet.store import Condition, Conflict, Item, Put, Store

PAGE_KEY = 'ibisport/budgets'
PROOF_PREFIX = 'ibisport/contact/'
# A crash of all routers is over within 1.2 s and half a second of starting; the
# proof is up to a second old then.
PROOF_SECONDS = 2.5
WRITE_PERIOD_S = 0.75
RETRY_PAUSE_S = 0.2
# Longest time that a request waits for tokens: a write takes 4 to 10 ms, and two
# conflicts may come before it.
DRAW_SECONDS = 0.15
MOST_CONFLICTS = 8
# Spreads writers that collided: a write and its answer take about 5 ms.
CONFLICT_PAUSE_S = 0.004
# A host that hasn't written for so long counts no more among those that draw.
SILENT_SECONDS = 6.0
# The wall clock only takes trust away: a proof that looks older than its lease
# was held up by an outage of the store.
WALL_MARGIN_S = 0.5
# Another router may have tokens left of the same budget, and a retry reaches
# another one.
SHORT_PAUSE_S = 0.15
# A page that is no older says what a draw would find: under a flood that exceeds
# its budget, a write for each refusal kept other hosts' writes from succeeding.
FRESH_SECONDS = 0.25


class Short(Exception):
    """A budget doesn't cover a request.

    Attributes:
        pause: Seconds after which tokens may be at hand again; None: the budget
            itself is spent.
    """

    def __init__(self, pause: float | None) -> None:
        super().__init__('budget')
        self.pause = pause


@dataclass(frozen=True, slots=True)
class _Proof:
    """A lease for the proof of contact.

    Attributes:
        lease: Its id.
        lapses_at: Boot-clock time by which it has surely run out.
    """

    lease: int
    lapses_at: float


@dataclass(frozen=True, slots=True)
class _Plan:
    """A write that may be tried."""

    page: BudgetPage
    session: Session
    rows: dict[str, Row]
    conditions: list[Condition]
    puts: list[Put]


class Budgets:
    """Reserves tokens before a request runs and settles them after it."""

    def __init__(
        self, host: str, store: Store, catalogue: CatalogueView, log: EventLog
    ) -> None:
        self._host = host
        self._store = store
        self._catalogue = catalogue
        self._log = log
        self._incarnation = uuid.uuid4().hex[:12]
        self._sequence = 0
        self._ledger = Ledger()
        self._page = BudgetPage()
        self._revision: int | None = None
        self._opened = False
        self._proof: _Proof | None = None
        self._proof_stands = False
        self._lapses_at = 0.0
        self._started = _boot_time()
        self._written_at = 0.0
        self._seen: dict[str, tuple[Session, float]] = {}
        self._wake = asyncio.Event()
        self._drawn = asyncio.Event()
        self._failing = False

    @property
    def routers(self) -> int:
        """How many routers draw on the budgets, this one counted."""
        now = _boot_time()
        fresh = [
            host
            for host, (_, seen) in self._seen.items()
            if now - seen < SILENT_SECONDS and host != self._host
        ]
        return len(fresh) + 1

    async def reserve(self, workspace: Workspace | None, tokens: int) -> Reservation:
        """Hold tokens for a request.

        Args:
            workspace: Who pays, or None.
            tokens: The most that the request may cost.

        Raises:
            Short: The budget doesn't cover it, or can't be asked now.
        """
        if workspace is None or workspace.budget is None:
            return Reservation(None, tokens)
        if not tokens:
            return Reservation(None, 0)
        now = _boot_time()
        purse = self._ledger.find(workspace.name)
        purse.note_asked(tokens, now)
        held = self._ledger.reserve(workspace.name, tokens, self._is_isolated(now))
        if held is not None:
            return held
        return await self._draw(workspace, tokens)

    def settle(self, reservation: Reservation) -> None:
        """Count what a request has cost and give the rest back."""
        self._ledger.settle(reservation)

    async def run(self) -> None:
        """Keep the page in step with the ledger for ever."""
        while True:
            try:
                await self._write()
            except StoreError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._failing = False
            await self._wait()

    async def close(self) -> None:
        """Give back all that isn't spent; the process serves no more."""
        if not self._opened:
            return
        rows = {
            name: Row(purse.used, purse.used, purse.used)
            for name, purse in self._ledger.purses.items()
        }
        self._ledger.take_rows(rows)
        while True:
            session = self._next_session()
            page = self._page.with_rows(self._host, session, rows)
            page = page.close_session(self._host, proved=True)
            try:
                if await self._put(_Plan(page, session, {}, [self._condition()], [])):
                    return
            except StoreError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _draw(self, workspace: Workspace, tokens: int) -> Reservation:
        if self._is_hopeless(workspace, tokens):
            raise self._explain(workspace, tokens)
        purse = self._ledger.find(workspace.name)
        purse.wanted += tokens
        until = asyncio.get_running_loop().time() + DRAW_SECONDS
        try:
            async with asyncio.timeout_at(until):
                return await self._wait_for_tokens(workspace, tokens)
        except TimeoutError:
            raise Short(self._pause_until_isolated()) from None
        finally:
            purse.wanted -= tokens

    async def _wait_for_tokens(self, workspace: Workspace, tokens: int) -> Reservation:
        # The first write that ends may have begun before this request came.
        for _ in range(2):
            drawn = self._drawn
            self._wake.set()
            await drawn.wait()
            isolated = self._is_isolated(_boot_time())
            held = self._ledger.reserve(workspace.name, tokens, isolated)
            if held is not None:
                return held
        raise self._explain(workspace, tokens)

    def _pause_until_isolated(self) -> float:
        """Return how long a caller should wait while the store can't be reached.

        Once the proof of contact has run out the isolated caps hold.
        """
        left = max(0.0, self._lapses_at - _boot_time())
        return left + draw_pause(SHORT_PAUSE_S)

    def _is_hopeless(self, workspace: Workspace, tokens: int) -> bool:
        """Whether a draw just now can't bring the tokens either."""
        if _boot_time() - self._written_at > FRESH_SECONDS:
            return False
        account = self._page.accounts.get(workspace.name, Account())
        own = account.rows.get(self._host, Row())
        purse = self._ledger.find(workspace.name)
        room = (workspace.budget or 0) - account.held + own.isolated_cap
        return purse.used + tokens > room

    def _explain(self, workspace: Workspace, tokens: int) -> Short:
        account = self._page.accounts.get(workspace.name, Account())
        budget = workspace.budget or 0
        own = account.rows.get(self._host, Row())
        purse = self._ledger.find(workspace.name)
        unspent = measure_unspent(account, budget) + own.used - purse.used
        return Short(None if unspent < tokens else draw_pause(SHORT_PAUSE_S))

    async def _wait(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WRITE_PERIOD_S):
                await self._wake.wait()
        self._wake.clear()

    async def _write(self) -> None:
        if not self._opened:
            # Nothing is drawn before the process before this one is accounted for.
            await self._open()
        await self._renew_proof()
        for _ in range(MOST_CONFLICTS):
            plan = self._plan()
            if await self._put(plan):
                break
        drawn, self._drawn = self._drawn, asyncio.Event()
        drawn.set()

    async def _open(self) -> None:
        """End the session that this host's process had before."""
        self._take_page(await self._store.read(PAGE_KEY))
        proof = await self._store.read(PROOF_PREFIX + self._host)
        while not self._opened:
            before = self._page.sessions.get(self._host)
            proved = before is not None and self._proves(proof, before)
            page = self._page.close_session(self._host, proved)
            conditions = [self._condition()]
            if proved and proof is not None:
                conditions.append(Condition(proof.key, proof.revision))
            session = self._next_session()
            page = page.with_rows(self._host, session, {})
            self._opened = await self._put(_Plan(page, session, {}, conditions, []))
            if proved and not self._opened:
                # The proof may have run out in the meantime.
                proof = await self._store.read(PROOF_PREFIX + self._host)
        self._log.write(
            Event.budget_opened,
            revision=self._revision,
            before=None if before is None else before.incarnation,
            proved=proved,
        )

    def _proves(self, proof: Item | None, before: Session) -> bool:
        if proof is None:
            return False
        try:
            incarnation, written = msgspec.json.decode(
                proof.content, type=tuple[str, float]
            )
        except msgspec.MsgspecError as error:
            self._log.write(Event.record_refused, key=proof.key, reason=repr(error))
            return False
        age = time.time() - written
        return incarnation == before.incarnation and age < PROOF_SECONDS + WALL_MARGIN_S

    async def _renew_proof(self) -> None:
        now = _boot_time()
        if self._proof is not None and now - self._written_at < WRITE_PERIOD_S / 2:
            return
        lease, seconds = await self._store.grant_lease(PROOF_SECONDS)
        self._proof = _Proof(lease, _boot_time() + seconds)
        self._proof_stands = False

    def _plan(self) -> _Plan:
        now = _boot_time()
        rows = {}
        for name, budget in self._list_budgets():
            purse = self._ledger.find(name)
            account = self._page.accounts.get(name, Account())
            demand = purse.demand(now)
            rows[name] = plan_row(account, budget, self._host, demand, self.routers)
        session = self._next_session()
        page = self._page.with_rows(self._host, session, rows)
        puts = []
        if self._proof is not None and not self._proof_stands:
            content = msgspec.json.encode((self._incarnation, time.time()))
            puts.append(Put(PROOF_PREFIX + self._host, content, self._proof.lease))
        return _Plan(page, session, rows, [self._condition()], puts)

    async def _put(self, plan: _Plan) -> bool:
        """Try a write; False on a conflict, after which the page is up to date."""
        # Until the answer is here both the old rows and the new may stand.
        self._ledger.narrow(plan.rows, self._is_isolated(_boot_time()))
        if plan.puts and self._proof is not None:
            self._lapses_at = max(self._lapses_at, self._proof.lapses_at)
        puts = [Put(PAGE_KEY, dump_page(plan.page)), *plan.puts]
        try:
            outcome = await self._store.write(plan.conditions, puts)
        except StoreUnknown:
            self._revision = None
            raise
        if isinstance(outcome, Conflict):
            current = outcome.find(PAGE_KEY) or await self._store.read(PAGE_KEY)
            self._take_page(current)
            if self._page.sessions.get(self._host) == plan.session:
                # An earlier try of this write was done though not answered.
                self._accept(plan)
                return True
            await asyncio.sleep(random.random() * CONFLICT_PAUSE_S)
            return False
        self._page = plan.page
        self._revision = outcome.revision
        self._accept(plan)
        return True

    def _accept(self, plan: _Plan) -> None:
        """Take a write that surely stands in the store."""
        self._ledger.take_rows(plan.rows)
        self._proof_stands = self._proof_stands or bool(plan.puts)
        self._written_at = _boot_time()
        self._note_sessions()

    def _take_page(self, item: Item | None) -> None:
        self._page = BudgetPage() if item is None else load_page(item.content)
        self._revision = 0 if item is None else item.revision
        self._note_sessions()

    def _note_sessions(self) -> None:
        now = _boot_time()
        for host, session in self._page.sessions.items():
            known = self._seen.get(host)
            if known is None or known[0] != session:
                self._seen[host] = (session, now)

    def _next_session(self) -> Session:
        self._sequence += 1
        return Session(self._incarnation, self._sequence)

    def _condition(self) -> Condition:
        return Condition(PAGE_KEY, self._revision or 0)

    def _is_isolated(self, now: float) -> bool:
        return self._opened and now > self._lapses_at

    def _list_budgets(self) -> list[tuple[str, int]]:
        current = self._catalogue.current
        if current is None:
            return []
        return [
            (one.name, one.budget)
            for one in current.workspaces.values()
            if one.budget is not None
        ]

    def _note_failure(self, error: StoreError) -> None:
        if not self._failing:
            self._failing = True
            self._log.write(Event.budget_unknown, reason=repr(error))


def _boot_time() -> float:
    """Return seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
