"""The budgets of one router session: draws, settlements and returns.

One thread settles and returns in the background; a request draws only when the
ledger cannot cover it. Several requests that need the same budget share one
draw, since the ledger's write lock admits one writer.
"""

import contextlib
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from ibisport_core.errors import (
    BudgetBusy,
    BudgetExhausted,
    SessionFenced,
    StoreError,
    StoreOutcomeUnknown,
)
from ibisport_core.events import Event, log_event
from ibisport_core.internal.account import (
    Account,
    Grant,
    dump_account,
    load_account,
    name_account,
)
from ibisport_core.messages import ChargeFloor
from ibisport_core.store import Delete, Put, StoreClient, Unchanged
from ibisport_router.internal.grants import (
    Draw,
    Short,
    choose_draw,
    choose_refill,
    choose_return,
)
from ibisport_router.internal.ledger import Charge, Ledger
from ibisport_router.internal.session import Session, name_grant

_WRITE_ATTEMPTS = 8
_STORE_RETRY_SECONDS = 1.0
_PATIENCE_SECONDS = 10.0

Recaller = Callable[[str, str, frozenset[str]], tuple[int, int]]
Decide = Callable[[Account, Grant], int | None]


@dataclass(frozen=True, slots=True)
class BankOptions:
    """How a bank draws and returns.

    Attributes:
        horizon: Seconds of demand that a grant should cover.
        idle_after: Seconds without demand after which a grant goes back.
    """

    horizon: float
    idle_after: float


class Bank:
    """All ledgers of one session."""

    def __init__(
        self,
        store: StoreClient,
        session: Session,
        options: BankOptions,
        recall: Recaller,
    ) -> None:
        """Start with no ledger.

        Args:
            store: The key-value service, for reads.
            session: Whose writes these are.
            options: How to draw and return.
            recall: Asks the named sessions to give spare tokens back.
        """
        self.session = session
        self._store = store
        self._options = options
        self._recall = recall
        self._lock = threading.Lock()
        self._ledgers: dict[tuple[str, str], Ledger] = {}

    def reserve(
        self, workspace: str, budget: str, tokens: int, deadline: float
    ) -> Charge:
        """Reserve tokens of a budget, drawing and waiting where that helps.

        Args:
            workspace: The workspace that pays.
            budget: Its budget.
            tokens: The most that the request can cost.
            deadline: Unix time after which the caller has no use for it.

        Returns:
            The charge; ``end`` must be called with it once.

        Raises:
            BudgetExhausted: The budget does not cover it.
            BudgetBusy: It might, later: the rest is held for other requests,
                or the store does not serve.
        """
        ledger = self.find(workspace, budget)
        ledger.note_demand(tokens)
        patience = time.monotonic() + min(_PATIENCE_SECONDS, deadline - time.time())
        recalled = False
        while True:
            charge = ledger.reserve(tokens)
            if charge is not None:
                return charge
            refusal = self._draw(ledger, tokens, recalled)
            recalled = True
            if refusal is None:
                continue
            if time.monotonic() >= patience or not ledger.covers_soon(tokens):
                raise refusal
            ledger.wait_change(patience)

    def end(self, charge: Charge, tokens: int) -> None:
        """End a charge at what it came to; 0 voids it."""
        self.find(charge.workspace, charge.budget).end(charge, tokens)

    def find(self, workspace: str, budget: str) -> Ledger:
        """Return a budget's ledger, made on its first use."""
        with self._lock:
            key = (workspace, budget)
            if key not in self._ledgers:
                self._ledgers[key] = Ledger(workspace, budget)
            return self._ledgers[key]

    def list_ledgers(self) -> list[Ledger]:
        """Return all ledgers."""
        with self._lock:
            return list(self._ledgers.values())

    def settle(self) -> tuple[ChargeFloor, ...]:
        """Settle what has changed and return what lies idle.

        Returns:
            The floors that stand in the store, for the agents.

        Raises:
            StoreError: The store does not serve.
            SessionFenced: The session is ended.
        """
        for ledger in self.list_ledgers():
            idle = ledger.idle_since < time.monotonic() - self._options.idle_after
            surplus = choose_return(ledger.view(), self._options.horizon, idle, False)
            if surplus > 0:
                self.give_back(ledger, surplus)
            elif not ledger.is_settled:
                self._write(ledger, self._make_refill(ledger))
        return self.list_floors()

    def list_floors(self) -> tuple[ChargeFloor, ...]:
        """Return the settled floor of every budget."""
        return tuple(
            ChargeFloor(one.workspace, one.budget, one.settled_floor)
            for one in self.list_ledgers()
            if one.settled_floor
        )

    def give_spare(self, workspace: str, budget: str) -> int:
        """Give back what a peer that runs short may need more.

        Returns:
            Tokens given back.
        """
        key = (workspace, budget)
        ledger = self._ledgers.get(key)
        if ledger is None:
            return 0
        spare = choose_return(ledger.view(), self._options.horizon, False, True)
        return self.give_back(ledger, spare) if spare else 0

    def give_back(self, ledger: Ledger, tokens: int) -> int:
        """Give tokens of a grant back to the budget.

        They are withheld before the write, and used again only when the write
        certainly took no effect.

        Returns:
            Tokens given back.
        """
        with ledger.write_lock:
            kept = ledger.view().granted - tokens
            if not ledger.withhold(kept):
                return 0
            try:
                self._write_locked(ledger, lambda account, stored: kept)
            except StoreOutcomeUnknown:
                raise
            except StoreError:
                ledger.restore()
                raise
        log_event(Event.grant_returned, workspace=ledger.workspace, tokens=tokens)
        return tokens

    def close(self) -> None:
        """Settle and close every grant; all charges must have ended.

        Raises:
            StoreError: The store does not serve; a peer recovers the session.
        """
        for ledger in self.list_ledgers():
            self._close_grant(ledger)

    def _draw(
        self, ledger: Ledger, needed: int, recalled: bool
    ) -> BudgetBusy | BudgetExhausted | None:
        """Draw for a request; return why there is not enough."""
        try:
            short = self._draw_once(ledger, needed)
            if short is not None and not recalled:
                self._recall_from_others(ledger)
                short = self._draw_once(ledger, needed)
        except StoreError:
            return BudgetBusy(
                'the store does not serve; the grant at this router is used up',
                retry_at=time.time() + _STORE_RETRY_SECONDS,
            )
        except SessionFenced:
            return BudgetBusy(
                'this router renews its session',
                retry_at=time.time() + _STORE_RETRY_SECONDS,
            )
        return None if short is None else _explain_short(short, needed)

    def _draw_once(self, ledger: Ledger, needed: int) -> Short | None:
        short: list[Short] = []

        def decide(account: Account, stored: Grant) -> int | None:
            chosen = choose_draw(
                account,
                self.session.name,
                ledger.view(),
                needed,
                self._options.horizon,
            )
            match chosen:
                case Draw(granted=granted):
                    return granted
                case Short():
                    short.append(chosen)
                    return None

        with ledger.write_lock:
            if ledger.view().available >= needed:
                return None
            self._write_locked(ledger, decide)
        return short[-1] if short else None

    def _recall_from_others(self, ledger: Ledger) -> None:
        record = self._store.read(name_account(ledger.workspace, ledger.budget))
        if record is None:
            return
        grants = load_account(record.content).grants
        holders = frozenset(
            name for name, grant in grants.items() if grant.granted > grant.spent
        )
        others = holders - {self.session.name}
        if others:
            returned, asked = self._recall(ledger.workspace, ledger.budget, others)
            log_event(
                Event.budget_short,
                workspace=ledger.workspace,
                holders=len(others),
                asked=asked,
                returned=returned,
            )

    def _make_refill(self, ledger: Ledger) -> Decide:
        def decide(account: Account, _: Grant) -> int:
            horizon = self._options.horizon
            return choose_refill(account, self.session.name, ledger.view(), horizon)

        return decide

    def _write(self, ledger: Ledger, decide: Decide) -> None:
        with ledger.write_lock:
            self._write_locked(ledger, decide)

    def _write_locked(self, ledger: Ledger, decide: Decide) -> None:
        """Write the session's grant by compare-and-swap until it is decided.

        An unanswered write is never guessed at: the next round reads the
        account, and its own write settles the matter, since the comparison of
        the unanswered one can then hold no more.
        """
        unanswered: StoreOutcomeUnknown | None = None
        for _ in range(_WRITE_ATTEMPTS):
            try:
                if self._write_once(ledger, decide):
                    return
            except StoreOutcomeUnknown as error:
                unanswered = error
        raise unanswered or StoreOutcomeUnknown(
            f'{ledger.workspace}/{ledger.budget} is written by many'
        )

    def _write_once(self, ledger: Ledger, decide: Decide) -> bool:
        key = name_account(ledger.workspace, ledger.budget)
        record = self._store.read(key)
        if record is None:
            decide(Account(), Grant())
            return True
        account = load_account(record.content)
        stored = account.grants.get(self.session.name, Grant())
        granted = decide(account, stored)
        if granted is None:
            return True
        grant = ledger.make_grant(stored, granted)
        changed = account.with_grant(self.session.name, grant)
        writes: list[Put | Delete] = [Put(key, dump_account(changed))]
        if not stored.sequence:
            index = name_grant(self.session.name, ledger.workspace, ledger.budget)
            writes.append(Put(index, b'{}'))
        condition = Unchanged(key, record.mod_revision)
        if not self.session.commit([condition], writes).succeeded:
            return False
        ledger.adopt(grant)
        return True

    def _close_grant(self, ledger: Ledger) -> None:
        key = name_account(ledger.workspace, ledger.budget)
        index = name_grant(self.session.name, ledger.workspace, ledger.budget)
        for _ in range(_WRITE_ATTEMPTS):
            record = self._store.read(key)
            if record is None:
                return
            account = load_account(record.content)
            closed = account.without_grant(self.session.name, ledger.view().spent)
            if closed is account:
                return
            writes = (Put(key, dump_account(closed)), Delete(index))
            condition = Unchanged(key, record.mod_revision)
            with contextlib.suppress(StoreOutcomeUnknown):
                if self.session.commit([condition], writes).succeeded:
                    return
        raise StoreOutcomeUnknown(key)


def _explain_short(short: Short, needed: int) -> BudgetBusy | BudgetExhausted:
    if short.held_elsewhere >= short.missing:
        return BudgetBusy(
            'the rest of the budget is held for requests in flight elsewhere',
            retry_at=time.time() + _STORE_RETRY_SECONDS,
        )
    return BudgetExhausted(f'the budget does not cover {needed} tokens')
