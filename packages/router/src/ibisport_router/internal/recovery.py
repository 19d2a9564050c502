"""Ends the sessions of routers that died, and gives back what they left.

A lease that lapsed proves nothing: its holder may be paused and wake up. So the
order is (docs/design/recovery.md):

1. The session record is changed to ``fenced``. No write of the session to any
   account can succeed from now on.
2. Every agent incarnation in the record is told to take no more work of the
   session, and answers with the charges that are not known to be settled.
3. Only when all of them have answered, and nothing of the session runs any
   more, is each grant closed at its exact spend and the rest free again.

An agent incarnation that cannot be asked leaves the rest stranded: what ran
there is not known, and tokens that may be spent are never given back.
"""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ibisport_core.errors import (
    FrameInvalid,
    LinkClosed,
    SessionFenced,
    StoreError,
)
from ibisport_core.events import Event, log_event
from ibisport_core.internal.account import (
    Account,
    dump_account,
    load_account,
    name_account,
)
from ibisport_core.internal.clock import read_micros
from ibisport_core.link import Link
from ibisport_core.messages import (
    CLOSED_FLOOR,
    ChargeFloor,
    ChargeRecord,
    Fence,
    FenceReport,
    Settled,
)
from ibisport_core.store import Delete, Put, Unchanged
from ibisport_router.internal.choice_rendezvous import order_targets
from ibisport_router.internal.greeting import connect_peer
from ibisport_router.internal.session import (
    ALIVE_PREFIX,
    FENCED,
    LIVE,
    SESSION_PREFIX,
    ListedAgent,
    SessionRecord,
    dump_session,
    list_grants,
    load_session,
    name_grant,
    name_session,
)

if TYPE_CHECKING:
    from ibisport_router.router import Router

_LOOKS_PER_GRACE = 4
_TAKEOVER_SECONDS = 30.0
_RANK_SECONDS = 2.0
_CONNECT_SECONDS = 1.0
_ANSWER_SECONDS = 2.0
_ACCOUNT_ATTEMPTS = 8


@dataclass(frozen=True, slots=True)
class FoundSession:
    """A session record as it was read.

    Attributes:
        name: The session.
        record: Its record.
        revision: Store revision of the record.
    """

    name: str
    record: SessionRecord
    revision: int


@dataclass(slots=True)
class _Evidence:
    """What the agents of a fenced session have said."""

    missing: list[str] = field(default_factory=list)
    records: list[ChargeRecord] = field(default_factory=list)

    @property
    def running(self) -> int:
        return sum(record.running for record in self.records)


def add_up(records: Iterable[ChargeRecord], floor: int) -> int:
    """Return what the charges from a floor on come to, each counted once.

    Attempts of one request at several agents carry one charge: the whole
    answer counts, else the dearest part.

    Args:
        records: Charges of one budget of one session.
        floor: Charges below it are settled already.
    """
    costs: dict[int, tuple[bool, int]] = defaultdict(lambda: (False, 0))
    for record in records:
        if record.charge >= floor:
            cost = (record.complete, record.tokens)
            costs[record.charge] = max(costs[record.charge], cost)
    return sum(tokens for _, tokens in costs.values())


class Recovery:
    """Watches the sessions of all routers and recovers the dead ones."""

    def __init__(self, router: Router) -> None:
        """Start knowing nothing.

        Args:
            router: Who recovers.
        """
        self._router = router
        self._missing_since: dict[str, float] = {}
        self.stranded: dict[str, int] = {}

    def watch(self) -> None:
        """Look at all sessions at a fixed pace; the task of one thread."""
        settings = self._router.settings
        pace = settings.recover_after / _LOOKS_PER_GRACE
        while not self._router.stopping.wait(pace):
            try:
                self.look()
            except (StoreError, SessionFenced) as error:
                log_event(Event.recovery_failed, detail=str(error))
                # Time during which the store cannot be asked counts for
                # nobody's death: after an outage all leases have lapsed.
                self._missing_since.clear()

    def look(self) -> None:
        """Look at all sessions once.

        Raises:
            StoreError: The store does not serve.
        """
        store = self._router.store
        found = [
            FoundSession(
                one.key.removeprefix(SESSION_PREFIX),
                load_session(one.content),
                one.mod_revision,
            )
            for one in store.read_prefix(SESSION_PREFIX).records
        ]
        alive = {
            one.key.removeprefix(ALIVE_PREFIX)
            for one in store.read_prefix(ALIVE_PREFIX).records
        }
        self._tell_peers(found, alive)
        names = {session.name for session in found}
        self.stranded = {
            name: count for name, count in self.stranded.items() if name in names
        }
        for session in found:
            self._judge(session, alive)

    def _tell_peers(self, found: list[FoundSession], alive: set[str]) -> None:
        self._router.peers.note_sessions(
            {
                session.name: session.record.address
                for session in found
                if session.record.state == LIVE and session.name in alive
            }
        )

    def _judge(self, session: FoundSession, alive: set[str]) -> None:
        if session.record.state == FENCED:
            self._go_on(session)
            return
        if session.name in alive or session.name == self._router.session.name:
            self._missing_since.pop(session.name, None)
            return
        now = time.monotonic()
        if session.name not in self._missing_since:
            log_event(Event.session_missed, session=session.name)
        since = self._missing_since.setdefault(session.name, now)
        patience = self._router.settings.recover_after + self._rank(session, alive)
        if now - since < patience:
            return
        if self._router.peers.answers(session.name, session.record.address):
            self._missing_since[session.name] = now
            log_event(Event.recovery_put_off, session=session.name)
            return
        self._fence(session)

    def _rank(self, session: FoundSession, alive: set[str]) -> float:
        """Return seconds to wait, so that one router after another tries."""
        own = self._router.session.name
        order = order_targets(alive | {own}, session.name.encode())
        return _RANK_SECONDS * order.index(own)

    def _fence(self, session: FoundSession) -> None:
        log_event(Event.recovery_began, session=session.name)
        taken = self._take(session)
        if taken is not None:
            self._recover(taken)

    def _go_on(self, session: FoundSession) -> None:
        own = session.record.recoverer == self._router.session.name
        if not own and time.time() < session.record.recover_by:
            return
        taken = self._take(session)
        if taken is not None:
            self._recover(taken)

    def _take(self, session: FoundSession) -> FoundSession | None:
        """Write ``fenced`` and ourselves into the record, if it is unchanged."""
        record = replace(
            session.record,
            state=FENCED,
            recoverer=self._router.session.name,
            recover_by=time.time() + _TAKEOVER_SECONDS,
        )
        key = name_session(session.name)
        commit = self._router.store.commit(
            [Unchanged(key, session.revision)], [Put(key, dump_session(record))]
        )
        if not commit.succeeded:
            return None
        return FoundSession(session.name, record, commit.revision)

    def _recover(self, session: FoundSession) -> None:
        evidence = _Evidence()
        threads = [
            threading.Thread(
                target=self._ask, args=(agent, session.name, evidence), daemon=True
            )
            for agent in session.record.agents
        ]
        for asked in threads:
            asked.start()
        for waited in threads:
            waited.join(_CONNECT_SECONDS + 2 * _ANSWER_SECONDS)
        if any(thread.is_alive() for thread in threads):
            evidence.missing.append('an agent that did not answer in time')
        if evidence.missing or evidence.running:
            self._wait(session, evidence)
            return
        self._close_grants(session, evidence)

    def _wait(self, session: FoundSession, evidence: _Evidence) -> None:
        log_event(
            Event.recovery_waits,
            session=session.name,
            missing=evidence.missing,
            running=evidence.running,
        )
        stranded = sum(
            self._mark_stranded(session, name_account(*names))
            for names in list_grants(self._router.store, session.name)
        )
        self.stranded[session.name] = stranded
        self._router.metrics.set_gauge(
            'ibisport_stranded_tokens', {'session': session.name}, stranded
        )

    def _mark_stranded(self, session: FoundSession, key: str) -> int:
        """Mark a grant as fenced, for operators, and return what it strands."""
        store = self._router.store
        found = store.read(key)
        account = load_account(found.content) if found else Account()
        grant = account.grants.get(session.name)
        if found is None or grant is None:
            return 0
        if not grant.fenced:
            marked = account.with_grant(session.name, replace(grant, fenced=True))
            fence = Unchanged(name_session(session.name), session.revision)
            conditions = (Unchanged(key, found.mod_revision), fence)
            # When it fails, the next look marks it.
            store.commit(conditions, [Put(key, dump_account(marked))])
        return grant.granted - grant.spent

    def _ask(self, agent: ListedAgent, session: str, evidence: _Evidence) -> None:
        try:
            report = ask_agent(self._router, agent, session)
        except (LinkClosed, FrameInvalid) as error:
            evidence.missing.append(f'{agent.target}: {error}')
            return
        evidence.records.extend(report.records)

    def _close_grants(self, session: FoundSession, evidence: _Evidence) -> None:
        records = defaultdict(list)
        for record in evidence.records:
            records[record.workspace, record.budget].append(record)
        freed = sum(
            self._close_grant(session, names, records[names])
            for names in list_grants(self._router.store, session.name)
        )
        key = name_session(session.name)
        condition = Unchanged(key, session.revision)
        self._router.store.commit([condition], [Delete(key)])
        self._router.metrics.set_gauge(
            'ibisport_stranded_tokens', {'session': session.name}, 0
        )
        self.stranded.pop(session.name, None)
        floors = tuple(ChargeFloor(*names, CLOSED_FLOOR) for names in records)
        self._router.targets.send_all(Settled(session.name, floors))
        log_event(Event.recovery_done, session=session.name, freed=freed)

    def _close_grant(
        self,
        session: FoundSession,
        account_name: tuple[str, str],
        records: list[ChargeRecord],
    ) -> int:
        """Close one grant at its exact spend and return what is free again."""
        store = self._router.store
        key = name_account(*account_name)
        index = name_grant(session.name, *account_name)
        fence = Unchanged(name_session(session.name), session.revision)
        for _ in range(_ACCOUNT_ATTEMPTS):
            found = store.read(key)
            account = load_account(found.content) if found else Account()
            grant = account.grants.get(session.name)
            if found is None or grant is None:
                store.commit([fence], [Delete(index)])
                return 0
            spent = min(grant.spent + add_up(records, grant.floor), grant.granted)
            closed = account.without_grant(session.name, spent)
            conditions = (Unchanged(key, found.mod_revision), fence)
            writes = (Put(key, dump_account(closed)), Delete(index))
            if store.commit(conditions, writes).succeeded:
                return grant.granted - spent
        raise StoreError(f'{key} is written by many')


def ask_agent(router: Router, agent: ListedAgent, session: str) -> FenceReport:
    """Fence a session at an agent incarnation and return its report.

    Args:
        router: Who asks.
        agent: The incarnation that may have got paid work of the session.
        session: The session to fence.

    Raises:
        LinkClosed: The incarnation cannot be asked, or is gone.
        FrameInvalid: It answered with no frame.
    """
    link, welcome = connect_peer(
        router, agent.address, _CONNECT_SECONDS, _ANSWER_SECONDS
    )
    try:
        if welcome.session != agent.incarnation:
            raise LinkClosed(f'{agent.target} has lost the incarnation to be asked')
        return _ask_on_link(link, session)
    finally:
        link.close()


def _ask_on_link(link: Link, session: str) -> FenceReport:
    fence = Fence(session, read_micros())
    link.send(fence)
    while True:
        answer = link.receive()
        if isinstance(answer, FenceReport) and answer.call == fence.call:
            return answer
