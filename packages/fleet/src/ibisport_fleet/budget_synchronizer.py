"""Synchronizes a host's caps and its host record with the store.

Lenders hold the tokens that other routers borrow. A host that doesn't lend holds
only the tokens that its requests need while no lender is reachable, and otherwise
writes nothing.

A cap is the most that a host's process may spend of a budget. A host has caps in the
budget page, which all hosts share, and lower contact caps in its own record. It
respects the contact caps while its contact proof may be valid. Afterwards its bound
grows with time, up to its caps. A process that starts after a crash and knows how long
ago its predecessor was last in contact with the store therefore knows how much of the
caps can have been spent; see ``contact_proofs``. If it doesn't, the caps count as
spent.
"""

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import replace

from ibisport_fleet.budget_page import (
    Account,
    BudgetPage,
    Session,
    Share,
    decode_page,
)
from ibisport_fleet.budget_writes import PAGE_KEY, PlannedWrite, find_current
from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.cap_planning import (
    Demand,
    is_running_low,
    needs_rebalance,
    plan_contact_cap,
    plan_share,
)
from ibisport_fleet.clocks import Clocks
from ibisport_fleet.contact_proofs import (
    PROOF_PREFIX,
    ContactProof,
    ContactProofs,
    FoundProofs,
)
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.host_record import (
    HostRecord,
    build_record_key,
    find_valid_record,
)
from ibisport_fleet.ledger import Ledger
from ibisport_fleet.membership import Member
from ibisport_fleet.predecessor import (
    PredecessorState,
    SpentBound,
    Successor,
    bound_spent,
)
from ibisport_fleet.store import Conflict, Item, Store

# Longest delay until the next rebalance of the shares is due; the shortest is half of
# it. A rebalance doesn't read the page: a conflicting write returns the current one,
# and lenders' writes rarely conflict.
REBALANCE_INTERVAL_SECONDS = 1.5
MAX_WRITE_ATTEMPTS = 8
# If the known page is at most this old and has too few tokens left for a request, the
# request is refused without a write. Under load that exceeds a budget, one write per
# refusal would keep other hosts' writes from succeeding.
MAX_PAGE_AGE_SECONDS = 0.25
# Weight of the newest write in the moving average of write latencies. It is high
# because the store can slow down between two calls.
LATENCY_WEIGHT = 0.5
# Spreads conflicting writers over about the duration of a write.
CONFLICT_BACKOFF_SECONDS = 0.004
# The backoff doubles with each conflict, up to this bound.
MAX_CONFLICT_BACKOFF_SECONDS = 0.032
# Hosts that don't lend back off longer, by this factor, so that lenders write first.
# When a lender dies, all other hosts draw tokens themselves, and without this the next
# lender's writes hardly ever succeed.
BORROWER_BACKOFF_FACTOR = 8


class BudgetSynchronizer:
    """Maintains this process's shares, host record and contact proof in the store.

    Attributes:
        ledger: What the process has spent, and the bounds known to be stored.
        is_open: Whether the predecessor's spending is settled and the session of this
            process is open.
        proofs: The contact proofs of this process.
        page_seen_at: Boot-clock time at which the page was last read or written.
        write_answered_at: Boot-clock time at which the store last answered a write.
        answer_seconds: How long that answer took.
        knows_lenders: Whether the lenders are known. If so, a host that doesn't lend
            backs off longer, so that their writes come first.
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
        """Initialize without a session, shares or a proof.

        Args:
            store: The store that holds the budget page and the host records.
            catalogue: The catalogue that defines the budgets.
            log: The event log.
            clocks: The host's clocks.
            member: This router.
            lends: Returns whether this router lends a workspace's tokens.
        """
        self.ledger = Ledger()
        self.is_open = False
        self.proofs = ContactProofs(store, clocks)
        self.page_seen_at = 0.0
        self.write_answered_at = -math.inf
        self.answer_seconds = 0.0
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
        self._write_latency = 0.0
        # A write was not answered; the next one shows whether it was applied.
        self._is_outcome_unknown = False

    @property
    def needs_proof(self) -> bool:
        """Whether this host lends, and so holds more than its requests need."""
        return any(self._lends(name) for name, _ in self._list_budgets())

    @property
    def released(self) -> float:
        """How far the bounds of an open session have grown; 0 before it is open."""
        return self.proofs.released if self.is_open else 0.0

    def find_account(self, workspace: str) -> Account:
        """Return a workspace's account in the last known page."""
        return self._page.find(workspace)

    def estimate_used(self, workspace: str) -> int:
        """Return the tokens of a budget that are spent or reserved, as far as known."""
        account = self._page.find(workspace)
        own = account.shares.get(self._host, Share())
        return account.used - own.used + self.ledger.find(workspace).used

    async def synchronize(self) -> None:
        """Write the state of the ledger to the store."""
        if not self.is_open and self._page_revision is None:
            self._apply_page(await self._store.read(PAGE_KEY))
        # No tokens are drawn before the predecessor's spending is settled.
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
        """Return whether there may be something to write.

        That is so if the host lends, has unspent tokens or needs tokens, or if it is
        unknown whether the last write was applied.
        """
        if self._is_outcome_unknown:
            return True
        return any(
            self._lends(name)
            or self.ledger.find(name).wanted
            or self._page.find(name).find_cap(self._host) > self.ledger.find(name).used
            for name, _ in self._list_budgets()
        )

    async def close(self) -> None:
        """Write the final spending; the process serves no more requests."""
        spent = {
            name: local_budget.used
            for name, local_budget in self.ledger.local_budgets.items()
        }
        self.ledger.apply_confirmed(spent, spent)
        record = HostRecord(
            self._incarnation, self._advance_sequence(), final=True, caps=spent
        )
        is_written = False
        while not is_written:
            is_written = await self._try_write(PlannedWrite(record))

    @property
    def is_predecessor_settled(self) -> bool:
        """Whether the predecessor is known to hold no unspent tokens."""
        is_page_known = self._page_revision is not None
        return self.is_open or (
            is_page_known and not self._predecessor_may_hold_tokens()
        )

    def _predecessor_may_hold_tokens(self) -> bool:
        """Return whether the predecessor may have left unspent tokens.

        Fully spent shares don't count: the first write that is needed anyway closes
        them. If all routers that start at the same time wrote the page, they would
        keep the lenders among them from opening their sessions.
        """
        shares = [
            account.shares.get(self._host) for account in self._page.accounts.values()
        ]
        return any(share.cap > share.used for share in shares if share is not None)

    async def _open_session(self) -> None:
        """Close the predecessor's session and open one for this process."""
        predecessor = self._page.sessions.get(self._host)
        state = await self._read_predecessor_state(predecessor)
        successor = Successor(
            self._clocks.boot_id, self._started_at, self._clocks.wall()
        )
        bound = bound_spent(predecessor, state, successor, self._log)
        # A host without a session in the page holds no tokens, so there is nothing to
        # close. If a process died before its first write was answered, the write may
        # still be applied, but its tokens were never spent.
        self.is_open = predecessor is None
        before = self._page
        while not self.is_open:
            # Usually only the page changes between attempts, and a conflict returns
            # it. Two more reads per attempt would let a busy lender's writes win every
            # time.
            before = self._page
            plan = self._plan_opening(bound)
            self.is_open = await self._try_write(plan)
            # A delayed write of the predecessor may have changed the record.
            is_record_changed = self._record_revision != state.record_revision
            if not self.is_open and is_record_changed:
                state = await self._read_predecessor_state(predecessor)
                successor = replace(successor, wall=self._clocks.wall())
                bound = bound_spent(
                    predecessor, state, successor, self._log, bound.ended_by
                )
        counted, unused = before.count_closed(
            self._host, bound.list_spent(before, self._host)
        )
        self._log.write(
            Event.budget_opened,
            revision=self._page_revision,
            before=None if predecessor is None else predecessor.incarnation,
            bounded=bound.released < 1,
            evidence=bound.evidence,
            released=round(bound.released, 3),
            counted=counted,
            unused=unused,
        )

    def _plan_opening(self, bound: SpentBound) -> PlannedWrite:
        session = Session(self._incarnation, self._advance_sequence())
        spent = bound.list_spent(self._page, self._host)
        closed = self._page.close_session(self._host, spent)
        return PlannedWrite(
            self._build_record(session.sequence, {}, {}, None),
            closed.with_shares(self._host, session, {}),
        )

    async def _read_predecessor_state(
        self, predecessor: Session | None
    ) -> PredecessorState:
        """Read what the predecessor left in the store besides its shares."""
        record = await self._store.read(build_record_key(self._host))
        self._record_revision = 0 if record is None else record.revision
        if predecessor is None:
            return PredecessorState(record, FoundProofs(None, ()))
        listing = await self._store.scan(f'{PROOF_PREFIX}{self._host}')
        return PredecessorState(record, FoundProofs.from_listing(self._host, listing))

    def _plan_write(self) -> PlannedWrite:
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
        proof = self.proofs.find_unstored()
        sequence = self._advance_sequence()
        if not self._is_page_write_due(shares, demands, now):
            caps = {name: self.ledger.find(name).cap for name in demands}
            record = self._build_record(sequence, caps, demands, proof)
            return PlannedWrite(record, proof=proof)
        caps = {name: share.cap for name, share in shares.items()}
        session = Session(self._incarnation, sequence)
        page = self._page.with_shares(self._host, session, shares)
        record = self._build_record(sequence, caps, demands, proof)
        return PlannedWrite(record, page, caps, proof)

    def _is_page_write_due(
        self, shares: dict[str, Share], demands: dict[str, Demand], now: float
    ) -> bool:
        """Return whether the next write includes the budget page.

        Tokens that requests wait for take precedence: if the host's caps cover them,
        the page write, which may conflict, is postponed.
        """
        local_budgets = self.ledger.local_budgets
        short = [
            name
            for name, demand in demands.items()
            if demand.wanted > local_budgets[name].cap - demand.used
        ]
        if any(
            shares[name].cap > self._page.find(name).find_cap(self._host)
            for name in short
        ):
            return True
        if short and now - self.page_seen_at > MAX_PAGE_AGE_SECONDS:
            # The known page has no tokens left, but other hosts may have returned some.
            return True
        if any(
            is_running_low(local_budgets[name].cap, shares[name], demand)
            for name, demand in demands.items()
        ):
            return True
        if now < self._rebalance_at or any(
            workspace_demand.wanted for workspace_demand in demands.values()
        ):
            return False
        # Compares with the cap in the page, not in the ledger: after a conflict the
        # ledger's cap may be lower already, and the difference would be held
        # indefinitely.
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
        proof: ContactProof | None,
    ) -> HostRecord:
        contact_caps = {
            name: plan_contact_cap(cap, demands[name], self._write_latency)
            for name, cap in caps.items()
        }
        # A proof in the same write binds the process even before the write is answered.
        bound_until = self.proofs.expire_at
        full_cap_at = self.proofs.full_cap_at
        if proof is not None:
            bound_until = max(bound_until, proof.expires_at)
            full_cap_at = max(full_cap_at, proof.full_cap_at)
        return HostRecord(
            self._incarnation,
            sequence,
            caps=contact_caps,
            boot_id=self._clocks.boot_id,
            written_at=self._clocks.boot(),
            bound_until=bound_until,
            full_cap_at=full_cap_at,
        )

    async def _try_write(self, plan: PlannedWrite) -> bool:
        """Attempt a write; return False on a conflict, after updating the page."""
        # Until the answer arrives, the store may hold the old caps or the new ones.
        self.ledger.apply_unconfirmed(
            plan.record.caps,
            plan.caps,
            self.released,
            renews=plan.proof is not None,
        )
        self.proofs.apply_sent(plan.proof)
        self._is_outcome_unknown = True
        started_at = self._clocks.boot()
        outcome = await self._store.write(
            plan.list_conditions(
                self._host, self._record_revision, self._page_revision
            ),
            plan.list_puts(self._host, self._clocks),
        )
        self.write_answered_at = self._clocks.boot()
        latency = self.write_answered_at - started_at
        self.answer_seconds = latency
        self._write_latency += LATENCY_WEIGHT * (latency - self._write_latency)
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

    async def _resolve_conflict(self, plan: PlannedWrite, conflict: Conflict) -> bool:
        """Apply the state after a conflict; return whether the plan is stored."""
        key = build_record_key(self._host)
        item = await find_current(self._store, conflict, key)
        record = find_valid_record(item, self._log)
        self._record_revision = 0 if item is None else item.revision
        is_stored = record is not None and record == plan.record
        if plan.page is not None:
            self._apply_page(await find_current(self._store, conflict, PAGE_KEY))
        if is_stored:
            # An earlier attempt of this write was applied but not answered.
            self._confirm(plan)
            return True
        if self.is_open:
            await self._back_off_after_conflict()
        return False

    async def _back_off_after_conflict(self) -> None:
        """Wait for a random time so that other writers can succeed.

        Not used while a session opens: if the predecessor's contact proof expires
        first, its whole reserve is stranded.
        """
        yields_to_lenders = self.knows_lenders and not self.needs_proof
        factor = BORROWER_BACKOFF_FACTOR if yields_to_lenders else 1
        await asyncio.sleep(random.random() * factor * self._conflict_backoff)
        self._conflict_backoff = min(
            2 * self._conflict_backoff, MAX_CONFLICT_BACKOFF_SECONDS
        )

    def _confirm(self, plan: PlannedWrite) -> None:
        """Apply a write that is known to be stored."""
        self._conflict_backoff = CONFLICT_BACKOFF_SECONDS
        self.ledger.apply_confirmed(plan.record.caps, plan.caps)
        self.proofs.apply_stored(plan.proof)

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
