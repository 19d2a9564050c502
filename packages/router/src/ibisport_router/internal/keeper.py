"""Keeps the router's session and its budgets: the lease, the record, the money.

When a peer has ended the session, the keeper opens a new one at once; requests
in flight end under the old one, whose charges its recovery settles.
"""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING

from ibisport_core.errors import SessionFenced, StoreError
from ibisport_core.events import Event, log_event
from ibisport_core.messages import CLOSED_FLOOR, ChargeFloor, Settled
from ibisport_router.internal.bank import Bank, BankOptions
from ibisport_router.internal.ledger import Ledger
from ibisport_router.internal.session import ListedAgent, Session

if TYPE_CHECKING:
    from ibisport_router.router import Router

_OPEN_RETRY_SECONDS = 0.5
_KEEPS_PER_LEASE = 4


class SessionKeeper:
    """Owns the current session and bank of a router."""

    def __init__(self, router: Router) -> None:
        """Name the first session; ``keep`` opens it.

        Args:
            router: Whose session it is.
        """
        self._router = router
        self._lock = threading.Lock()
        # Held from the choice of who leaves the record to its write: a link that
        # opened between the two stood, unlisted, until the next look.
        self._record_lock = threading.Lock()
        self._random = random.Random()
        self._gone: dict[str, list[tuple[Ledger, int]]] = {}
        self._wake = threading.Event()
        self._told: frozenset[ChargeFloor] = frozenset()
        self.session, self.bank = self._make_session()

    def may_pay(self, incarnation: str) -> bool:
        """Whether paid work may go to an agent incarnation."""
        return self.session.is_open and self.session.is_listed(incarnation)

    def list_agent(self, agent: ListedAgent) -> None:
        """Write an agent into the session record; ``keep`` tries again.

        Args:
            agent: The agent; its link names its incarnation by now.
        """
        try:
            self._write_agent(agent)
        except (StoreError, SessionFenced) as error:
            log_event(Event.store_failed, detail=str(error))
            self._wake.set()

    def note_agent_gone(self, incarnation: str) -> None:
        """Note that an agent incarnation is gone or out of use.

        It stays in the session record until every charge of now is settled:
        some of them may have run there.
        """
        bank = self.bank
        open_charges = [(one, one.next_number) for one in bank.list_ledgers()]
        with self._lock:
            self._gone[incarnation] = open_charges
        log_event(Event.agent_gone, agent=incarnation)

    def make_settled(self) -> Settled:
        """Return all settled floors, for an agent that has just been linked."""
        bank = self.bank
        return Settled(bank.session.name, bank.list_floors())

    def keep(self) -> None:
        """Keep the session open; the task of one thread."""
        pace = self._router.settings.lease_seconds / _KEEPS_PER_LEASE
        while not self._router.stopping.is_set():
            pause = pace
            try:
                self._keep_once()
            except SessionFenced:
                log_event(Event.session_lost, session=self.session.name)
                self.session, self.bank = self._make_session()
                pause = 0
            except StoreError as error:
                log_event(Event.store_failed, detail=str(error))
                # All routers lose the store at once; they come back apart.
                pause = min(pace, self._random.uniform(1, 2) * _OPEN_RETRY_SECONDS)
            if self._wake.wait(pause):
                # An agent waits to be listed: soon, but not at once again.
                self._wake.clear()
                self._router.stopping.wait(min(pause, _OPEN_RETRY_SECONDS))

    def close_soon(self) -> None:
        """Wake ``keep`` so that it sees that the router stops."""
        self._wake.set()

    def settle(self) -> None:
        """Settle at a fixed pace and tell the agents; the task of one thread."""
        while not self._router.stopping.wait(self._router.settings.settle_every):
            self._settle_once()

    def is_idle(self) -> bool:
        """Whether no charge is open."""
        return all(ledger.is_idle for ledger in self.bank.list_ledgers())

    def close(self) -> None:
        """Give all grants back and end the session; a peer does it otherwise."""
        try:
            self.bank.close()
            self.session.close()
        except (StoreError, SessionFenced) as error:
            log_event(Event.session_lost, detail=str(error))
            return
        floors = tuple(
            ChargeFloor(one.workspace, one.budget, CLOSED_FLOOR)
            for one in self.bank.list_ledgers()
        )
        self._router.targets.send_all(Settled(self.session.name, floors))
        log_event(Event.session_closed, session=self.session.name)

    def _make_session(self) -> tuple[Session, Bank]:
        router = self._router
        settings = router.settings
        session = Session(
            router.store,
            router.link_address,
            settings.failure_domain,
            settings.lease_seconds,
        )
        options = BankOptions(settings.grant_horizon, settings.idle_after)
        return session, Bank(router.store, session, options, router.peers.recall)

    def _keep_once(self) -> None:
        if self.session.is_open:
            self.session.keep_alive()
        else:
            self.session.open()
            log_event(Event.session_opened, session=self.session.name)
        with self._record_lock:
            self._update_record()

    def _write_agent(self, agent: ListedAgent) -> None:
        with self._record_lock:
            self.session.list_agents([agent], frozenset())

    def _update_record(self) -> None:
        """Write who is connected into the record, and take off who is gone."""
        links = self._router.targets.list_links()
        connected = [link.listed for link in links if link.is_connected]
        # A link that has greeted and isn't open yet counts: its agent is listed.
        in_use = frozenset(link.incarnation for link in links)
        removable = self._choose_removable(in_use)
        self.session.list_agents(connected, removable)
        with self._lock:
            for incarnation in removable | in_use:
                self._gone.pop(incarnation, None)

    def _choose_removable(self, in_use: frozenset[str]) -> frozenset[str]:
        """Return agents out of use that no unsettled charge can concern.

        An agent that has moved to another address is gone for its former link only:
        taking it off the record refused all its work for half a second.

        Args:
            in_use: Incarnations that a link has greeted last.
        """
        with self._lock:
            return frozenset(
                incarnation
                for incarnation, charges in self._gone.items()
                if incarnation not in in_use
                and all(ledger.has_settled(number) for ledger, number in charges)
            )

    def _settle_once(self) -> None:
        bank, session = self.bank, self.session
        try:
            floors = bank.settle()
        except (StoreError, SessionFenced):
            return
        risen = tuple(floor for floor in floors if floor not in self._told)
        self._told = frozenset(floors)
        if risen:
            self._router.targets.send_all(Settled(session.name, risen))
