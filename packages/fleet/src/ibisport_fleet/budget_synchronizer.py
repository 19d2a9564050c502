"""Keeps a host's caps and its record in step with the store.

Lenders hold what others borrow; a host that lends nothing holds no more than its
requests need while no lender can be reached, and writes nothing otherwise.

A host holds caps in the budget page, which all hosts share, and lower contact
caps in its own record. It keeps to the contact caps while its proof of contact
lives: a key under a lease that is never renewed but replaced by a new one. It
goes up to its caps only when the newest lease has surely run out. So a process
that starts after a crash and still finds the proof of the one before knows that
no more than the contact caps can have been spent; without it the caps count as
spent.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from ibisport_fleet.budget_page import (
    Account,
    BudgetPage,
    Session,
    Share,
    decode_page,
    encode_page,
)
from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.cap_planning import (
    Demand,
    is_running_low,
    needs_rebalance,
    plan_contact_cap,
    plan_share,
)
from ibisport_fleet.clocks import Clocks
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.host_record import (
    HostRecord,
    build_record_key,
    decode_record,
    encode_record,
)
from ibisport_fleet.ledger import Ledger
from ibisport_fleet.membership import Member
from ibisport_fleet.predecessor import (
    PROOF_LEASE_SECONDS,
    PredecessorState,
    Successor,
    bound_spent,
)
from ibisport_fleet.store import Condition, Conflict, Item, Put, Store

PAGE_KEY = 'ibisport/budgets'
PROOF_PREFIX = 'ibisport/contact/'
# Shares are balanced about so often. The page is not read for it: a write that finds
# another revision brings it, and lenders are hardly ever disturbed.
REBALANCE_INTERVAL_SECONDS = 1.5
MAX_WRITE_ATTEMPTS = 8
# A page that is no older says what a draw would find: under a flood that exceeds its
# budget, a write for each refusal kept other hosts' writes from succeeding.
MAX_PAGE_AGE_SECONDS = 0.25
# The store grows slow from one call to the next, so half of the newest counts.
LATENCY_WEIGHT = 0.5
# Spreads writers that collided, by about the time of a write.
CONFLICT_BACKOFF_SECONDS = 0.004
# With more writers the pause doubles, up to this one.
MAX_CONFLICT_BACKOFF_SECONDS = 0.032
# Whoever doesn't lend lets lenders go first, by so many times as long a pause. Where a
# lender has died all others draw for themselves, and the next one hardly gets a write.
BORROWER_BACKOFF_FACTOR = 8


@dataclass(frozen=True, slots=True)
class _Proof:
    """A lease for the proof of contact.

    Attributes:
        lease: Its id.
        lapses_at: Boot-clock time by which it has surely run out.
    """

    lease: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class _PlannedWrite:
    """A write that may be tried.

    Attributes:
        record: This host's record.
        page: The shared page, or None to leave it alone.
        caps: The caps that the page gives to this host.
        proof: The proof to be written, or None.
        conditions: Revisions that must hold besides those of page and record.
    """

    record: HostRecord
    page: BudgetPage | None = None
    caps: dict[str, int] = field(default_factory=dict)
    proof: _Proof | None = None
    conditions: tuple[Condition, ...] = ()


class BudgetSynchronizer:
    """One process's part of the budgets in the store.

    Attributes:
        ledger: What the process has spent, and its bounds as they surely stand.
        opened: The process before this one is accounted for.
        lapses_at: Boot-clock time by which every proof of contact has run out.
        page_at: Boot-clock time at which the page was last seen.
        has_lenders: It is known who lends; writes give way to theirs.
    """

    def __init__(
        self,
        store: Store,
        catalogue: CatalogueView,
        log: EventLog,
        clocks: Clocks,
        member: Member,
        lends: Callable[[str], bool],
    ) -> None:
        """Begin with nothing.

        Args:
            store: Where budgets are kept.
            catalogue: Which budgets there are.
            log: Where decisions are written.
            clocks: The host's clocks.
            member: This router.
            lends: Whether this router lends a workspace's tokens.
        """
        self.ledger = Ledger()
        self.is_open = False
        self.proofs_expire_at = 0.0
        self.page_seen_at = 0.0
        self.knows_lenders = False
        self._clocks = clocks
        self._started_at = clocks.boot()
        self._host = member.host
        self._lends = lends
        self._store = store
        self._catalogue = catalogue
        self._log = log
        self._incarnation = member.incarnation
        self._sequence = 0
        self._page = BudgetPage()
        self._page_revision: int | None = None
        self._rebalance_at = 0.0
        self._conflict_backoff = CONFLICT_BACKOFF_SECONDS
        self._record_revision = 0
        self._proof: _Proof | None = None
        self._is_proof_stored = False
        self._write_latency = 0.0
        # A write has no answer yet: the next one shows whether it was done.
        self._is_outcome_unknown = False

    @property
    def needs_proof(self) -> bool:
        """Whether the host lends, and so holds more than its requests need."""
        return any(self._lends(name) for name, _ in self._list_budgets())

    @property
    def is_isolated(self) -> bool:
        """Whether the caps bound the process, and not its contact caps."""
        return self.is_open and self._clocks.boot() > self.proofs_expire_at

    def find_account(self, workspace: str) -> Account:
        """Return a workspace's account as it was last seen."""
        return self._page.find(workspace)

    async def renew_proof(self) -> None:
        """Get a lease for the next proof; the next write puts it in place."""
        lease, seconds = await self._store.grant_lease(PROOF_LEASE_SECONDS)
        self._proof = _Proof(lease, self._clocks.boot() + seconds)
        self._is_proof_stored = False

    async def synchronize(self) -> None:
        """Bring the store in step with the ledger."""
        if not self.is_open and self._page_revision is None:
            self._apply_page(await self._store.read(PAGE_KEY))
        # Nothing is drawn before the process before this one is accounted for.
        if not self.is_open and (
            self._predecessor_may_hold_tokens() or self._has_work()
        ):
            await self._open_session()
        if not self._has_work():
            return
        for _ in range(MAX_WRITE_ATTEMPTS):
            if await self._try_write(self._plan_write()):
                break
        now = self._clocks.boot()
        if now >= self._rebalance_at:
            self._rebalance_at = now + draw_jittered_delay(
                REBALANCE_INTERVAL_SECONDS / 2
            )

    def _has_work(self) -> bool:
        """Whether the host lends, holds more than it has spent, or needs tokens."""
        if self._is_outcome_unknown:
            return True
        return any(
            self._lends(name)
            or self.ledger.find(name).wanted
            or self._page.find(name).find_cap(self._host) > self.ledger.find(name).used
            for name, _ in self._list_budgets()
        )

    async def close(self) -> None:
        """Say what was spent in the end; the process serves no more."""
        spent = {name: purse.used for name, purse in self.ledger.local_budgets.items()}
        self.ledger.apply_confirmed(spent, spent)
        record = HostRecord(
            self._incarnation, self._advance_sequence(), final=True, caps=spent
        )
        done = False
        while not done:
            done = await self._try_write(_PlannedWrite(record))

    @property
    def is_predecessor_settled(self) -> bool:
        """Whether the process before this one holds nothing any more."""
        known = self._page_revision is not None
        return self.is_open or (known and not self._predecessor_may_hold_tokens())

    def _predecessor_may_hold_tokens(self) -> bool:
        """Whether the process before this one may have left tokens unspent.

        What it has spent to the last token can be closed with the first write that
        is made anyway: routers that start at once and all write the page keep the
        lenders among them from opening.
        """
        shares = [one.shares.get(self._host) for one in self._page.accounts.values()]
        return any(share.cap > share.used for share in shares if share is not None)

    async def _open_session(self) -> None:
        """End the session that this host's process had before."""
        before = self._page.sessions.get(self._host)
        remains = await self._read_predecessor_state(before)
        after = Successor(self._clocks.boot_id, self._started_at, self._clocks.wall())
        spent = bound_spent(before, remains, after, self._log)
        # Nothing is held without a session. A first write of a process that died
        # before its answer came may still be done: it spent nothing of it.
        self.is_open = before is None
        while not self.is_open:
            # Only the page changes at every try, and a conflict brings it: with two
            # more reads between them a busy lender's writes would come first each time.
            plan = self._plan_opening(spent, remains.proof)
            self.is_open = await self._try_write(plan)
            changed = self._record_revision != remains.record_revision
            # A proof that the write relies on may have run out meanwhile.
            if not self.is_open and (changed or plan.conditions):
                remains = await self._read_predecessor_state(before)
                after = replace(after, wall=self._clocks.wall())
                spent = bound_spent(before, remains, after, self._log)
        self._log.write(
            Event.budget_opened,
            revision=self._page_revision,
            before=None if before is None else before.incarnation,
            bounded=bool(spent),
        )

    def _plan_opening(self, spent: dict[str, int], proof: Item | None) -> _PlannedWrite:
        session = Session(self._incarnation, self._advance_sequence())
        closed = self._page.close_session(self._host, spent)
        conditions: tuple[Condition, ...] = ()
        if spent and proof is not None:
            conditions = (Condition(proof.key, proof.revision),)
        return _PlannedWrite(
            self._build_record(session.sequence, {}, {}, None),
            closed.with_shares(self._host, session, {}),
            conditions=conditions,
        )

    async def _read_predecessor_state(self, before: Session | None) -> PredecessorState:
        """Read what the process before left besides its shares."""
        record = await self._store.read(build_record_key(self._host))
        self._record_revision = 0 if record is None else record.revision
        if before is None:
            return PredecessorState(record, None)
        return PredecessorState(
            record, await self._store.read(PROOF_PREFIX + self._host)
        )

    def _plan_write(self) -> _PlannedWrite:
        now = self._clocks.boot()
        demands = {
            name: self.ledger.find(name).measure_demand(now)
            for name, _ in self._list_budgets()
        }
        shares = {
            name: plan_share(
                self._page.find(name),
                budget,
                self._host,
                demands[name],
                lends=self._lends(name),
            )
            for name, budget in self._list_budgets()
        }
        proof = None if self._is_proof_stored else self._proof
        sequence = self._advance_sequence()
        if not self._is_page_write_due(shares, demands, now):
            caps = {name: self.ledger.find(name).cap for name in demands}
            record = self._build_record(sequence, caps, demands, proof)
            return _PlannedWrite(record, proof=proof)
        caps = {name: share.cap for name, share in shares.items()}
        session = Session(self._incarnation, sequence)
        page = self._page.with_shares(self._host, session, shares)
        record = self._build_record(sequence, caps, demands, proof)
        return _PlannedWrite(record, page, caps, proof)

    def _is_page_write_due(
        self, shares: dict[str, Share], demands: dict[str, Demand], now: float
    ) -> bool:
        """Whether this write changes the shared page as well.

        What callers wait for comes first: if the host's own caps cover it, the
        page waits, and with it the conflicts that its writes may meet.
        """
        purses = self.ledger.local_budgets
        short = [
            name
            for name, demand in demands.items()
            if demand.wanted > purses[name].cap - demand.used
        ]
        if any(
            shares[name].cap > self._page.find(name).find_cap(self._host)
            for name in short
        ):
            return True
        if short and now - self.page_seen_at > MAX_PAGE_AGE_SECONDS:
            # Nothing is left as far as is known; others may have given something back.
            return True
        if any(
            is_running_low(purses[name].cap, shares[name], demand)
            for name, demand in demands.items()
        ):
            return True
        if now < self._rebalance_at or any(one.wanted for one in demands.values()):
            return False
        # What the page says counts here: after a conflict the host's own bound may
        # be lower already, and what lies between them would be held for ever.
        return any(
            needs_rebalance(
                self._page.find(name).find_cap(self._host), share, demands[name]
            )
            for name, share in shares.items()
        )

    def _build_record(
        self,
        sequence: int,
        caps: dict[str, int],
        demands: dict[str, Demand],
        proof: _Proof | None,
    ) -> HostRecord:
        contact_caps = {
            name: plan_contact_cap(cap, demands[name], self._write_latency)
            for name, cap in caps.items()
        }
        # A proof that goes with the write binds the process before it is answered.
        proof_until = 0.0 if proof is None else proof.expires_at
        return HostRecord(
            self._incarnation,
            sequence,
            caps=contact_caps,
            boot_id=self._clocks.boot_id,
            written_at=self._clocks.boot(),
            bound_until=max(self.proofs_expire_at, proof_until),
        )

    async def _try_write(self, plan: _PlannedWrite) -> bool:
        """Try a write; False on a conflict, after which the page is up to date."""
        # Until the answer is here both the old caps and the new may stand.
        self.ledger.apply_unconfirmed(plan.record.caps, plan.caps, self.is_isolated)
        if plan.proof is not None:
            self.proofs_expire_at = max(self.proofs_expire_at, plan.proof.expires_at)
        self._is_outcome_unknown = True
        begun = self._clocks.boot()
        outcome = await self._store.write(
            self._list_conditions(plan), self._list_puts(plan)
        )
        passed = self._clocks.boot() - begun
        self._write_latency += LATENCY_WEIGHT * (passed - self._write_latency)
        self._is_outcome_unknown = False
        if isinstance(outcome, Conflict):
            return await self._resolve_conflict(plan, outcome)
        self._record_revision = outcome.revision
        if plan.page is not None:
            self._page = plan.page
            self._page_revision = outcome.revision
            self.page_seen_at = self._clocks.boot()
        self._confirm(plan)
        return True

    async def _resolve_conflict(self, plan: _PlannedWrite, conflict: Conflict) -> bool:
        """Find out whose write came before ours; True if it was ours itself."""
        key = build_record_key(self._host)
        item = await _find_current(self._store, conflict, key)
        record = None if item is None else decode_record(item.content)
        self._record_revision = 0 if item is None else item.revision
        done = record is not None and record == plan.record
        if plan.page is not None:
            self._apply_page(await _find_current(self._store, conflict, PAGE_KEY))
        if done:
            # An earlier try of this write was done though not answered.
            self._confirm(plan)
            return True
        if self.is_open:
            await self._back_off_after_conflict()
        return False

    async def _back_off_after_conflict(self) -> None:
        """Let others go first, but not while the process is opening.

        An opening that comes after the former process's proof has run out strands
        its whole reserve.
        """
        yields = self.knows_lenders and not self.needs_proof
        patience = BORROWER_BACKOFF_FACTOR if yields else 1
        await asyncio.sleep(random.random() * patience * self._conflict_backoff)
        self._conflict_backoff = min(
            2 * self._conflict_backoff, MAX_CONFLICT_BACKOFF_SECONDS
        )

    def _confirm(self, plan: _PlannedWrite) -> None:
        """Take a write that surely stands in the store."""
        self._conflict_backoff = CONFLICT_BACKOFF_SECONDS
        self.ledger.apply_confirmed(plan.record.caps, plan.caps)
        if plan.proof is self._proof:
            self._is_proof_stored = True

    def _list_conditions(self, plan: _PlannedWrite) -> list[Condition]:
        conditions = [
            Condition(build_record_key(self._host), self._record_revision),
            *plan.conditions,
        ]
        if plan.page is not None:
            conditions.append(Condition(PAGE_KEY, self._page_revision or 0))
        return conditions

    def _list_puts(self, plan: _PlannedWrite) -> list[Put]:
        puts = [Put(build_record_key(self._host), encode_record(plan.record))]
        if plan.page is not None:
            puts.append(Put(PAGE_KEY, encode_page(plan.page)))
        if plan.proof is not None:
            content = msgspec.json.encode((self._incarnation, self._clocks.wall()))
            puts.append(Put(PROOF_PREFIX + self._host, content, plan.proof.lease))
        return puts

    def _apply_page(self, item: Item | None) -> None:
        self._page = BudgetPage() if item is None else decode_page(item.content)
        self._page_revision = 0 if item is None else item.revision
        self.page_seen_at = self._clocks.boot()

    def _advance_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _list_budgets(self) -> list[tuple[str, int]]:
        current = self._catalogue.current
        return [] if current is None else current.list_budgets()


async def _find_current(store: Store, conflict: Conflict, key: str) -> Item | None:
    """Return a key as it is now; the store is asked only if it didn't tell."""
    if key in conflict.absent:
        return None
    return conflict.find(key) or await store.read(key)
