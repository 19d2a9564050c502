"""A router's session: its incarnation as the store and the agents know it.

The session record names every agent incarnation that may get paid work of the
session, and is written before the first such work is sent. Every write of the
session to an account compares the record's revision. So whoever changes the
record to ``fenced`` stops all drawing at once, and knows all agents that have
to be told and asked (docs/design/recovery.md).
"""

import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

import orjson

from ibisport_core.errors import (
    LeaseLapsed,
    SessionFenced,
    StoreOutcomeUnknown,
)
from ibisport_core.events import Event, log_event
from ibisport_core.identity import make_session
from ibisport_core.store import Commit, Delete, Put, StoreClient, Unchanged

SESSION_PREFIX = '/ibisport/session/'
ALIVE_PREFIX = '/ibisport/alive/'
GRANT_PREFIX = '/ibisport/grant/'
LIVE = 'live'
FENCED = 'fenced'
_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class ListedAgent:
    """An agent incarnation that may get paid work of a session."""

    target: str
    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class SessionRecord:
    """The session as it stands in the store.

    Attributes:
        state: ``live`` or ``fenced``.
        address: Where its router listens for peers.
        failure_domain: The router's failure domain.
        agents: Who may get paid work of it.
        recoverer: Session that recovers it, once it is fenced.
        recover_by: Unix time after which another may take the recovery over.
    """

    state: str = LIVE
    address: str = ''
    failure_domain: str = ''
    agents: tuple[ListedAgent, ...] = ()
    recoverer: str = ''
    recover_by: float = 0


def name_session(session: str) -> str:
    """Return the store key of a session's record."""
    return f'{SESSION_PREFIX}{session}'


def name_alive(session: str) -> str:
    """Return the store key that lives as long as the session's lease."""
    return f'{ALIVE_PREFIX}{session}'


def name_grant(session: str, workspace: str, budget: str) -> str:
    """Return the store key that says that a session has drawn on a budget."""
    return f'{GRANT_PREFIX}{session}/{workspace}/{budget}'


def list_grants(store: StoreClient, session: str) -> list[tuple[str, str]]:
    """Return workspace and budget of each grant of a session."""
    prefix = f'{GRANT_PREFIX}{session}/'
    found = store.read_prefix(prefix).records
    names = [one.key.removeprefix(prefix).split('/') for one in found]
    return [(workspace, budget) for workspace, budget in names]


def dump_session(record: SessionRecord) -> bytes:
    """Return a session record as JSON."""
    return orjson.dumps(record)


def load_session(content: bytes) -> SessionRecord:
    """Return a session record from JSON."""
    document = orjson.loads(content)
    agents = tuple(ListedAgent(**one) for one in document.pop('agents'))
    return SessionRecord(agents=agents, **document)


@dataclass(slots=True)
class _Stored:
    record: SessionRecord = field(default_factory=SessionRecord)
    listed: frozenset[str] = frozenset()
    revision: int = 0
    lease: int = 0


class Session:
    """This router's own session."""

    def __init__(
        self, store: StoreClient, address: str, failure_domain: str, lease_seconds: int
    ) -> None:
        """Name a fresh session; ``open`` writes it.

        Args:
            store: The key-value service.
            address: Where this router listens for peers.
            failure_domain: The router's failure domain.
            lease_seconds: Time to live of its lease.
        """
        self.name = make_session()
        self.fenced = threading.Event()
        self._store = store
        self._lease_seconds = lease_seconds
        self._lock = threading.Lock()
        self._stored = _Stored(
            SessionRecord(address=address, failure_domain=failure_domain)
        )

    @property
    def is_open(self) -> bool:
        """Whether the store knows the session, and it is not fenced."""
        return bool(self._stored.revision) and not self.fenced.is_set()

    def open(self) -> None:
        """Write the record and take the lease.

        Raises:
            StoreError: The store does not serve; try again.
        """
        with self._lock:
            if not self._stored.revision:
                self._write(self._stored.record)
            self._renew_lease()

    def keep_alive(self) -> None:
        """Keep the lease; take a new one when it lapsed.

        A lapsed lease alone changes nothing: only the record decides.

        Raises:
            StoreError: The store does not serve.
            SessionFenced: The record says that the session is ended.
        """
        with self._lock:
            self._check_record()
            try:
                self._store.keep_lease(self._stored.lease)
            except LeaseLapsed:
                self._renew_lease()

    def is_listed(self, incarnation: str) -> bool:
        """Whether paid work may be sent to an agent incarnation."""
        return incarnation in self._stored.listed

    def list_agents(
        self, added: Sequence[ListedAgent], removed: frozenset[str]
    ) -> None:
        """Write agent incarnations into the record, before work is sent.

        Args:
            added: The agents.
            removed: Incarnations that are gone and have no unsettled charge.

        Raises:
            StoreError: The record was not written.
            SessionFenced: The session is ended.
        """
        with self._lock:
            if not self.is_open:
                raise SessionFenced(self.name)
            record = self._stored.record
            kept = {one.incarnation: one for one in (*record.agents, *added)}
            agents = tuple(one for name, one in kept.items() if name not in removed)
            if agents != record.agents:
                self._write(
                    SessionRecord(
                        address=record.address,
                        failure_domain=record.failure_domain,
                        agents=agents,
                    )
                )

    def commit(
        self, conditions: Sequence[Unchanged], writes: Sequence[Put | Delete]
    ) -> Commit:
        """Write to the store on the condition that the session is live.

        Raises:
            SessionFenced: The session is ended; nothing was written.
            StoreError: As the store's client says.
        """
        if not self.is_open:
            raise SessionFenced(self.name)
        # No lock during the call: a revision that is out of date by then only
        # makes it fail, and the caller tries again with the new one.
        own = Unchanged(name_session(self.name), self._stored.revision)
        commit = self._store.commit((*conditions, own), writes)
        if not commit.succeeded:
            with self._lock:
                self._check_record()
        return commit

    def close(self) -> None:
        """Remove record and lease after all grants were given back.

        Raises:
            StoreError: The store does not serve; a peer recovers the session.
        """
        with self._lock:
            own = name_session(self.name)
            condition = Unchanged(own, self._stored.revision)
            alive = Delete(name_alive(self.name))
            self._store.commit([condition], [Delete(own), alive])
            self.fenced.set()

    def _write(self, record: SessionRecord) -> None:
        key = name_session(self.name)
        condition = Unchanged(key, self._stored.revision)
        for _ in range(_ATTEMPTS):
            try:
                commit = self._store.commit(
                    [condition], [Put(key, dump_session(record))]
                )
            except StoreOutcomeUnknown:
                if self._was_written(key, record):
                    return
                continue
            if commit.succeeded:
                self._note_written(record, commit.revision)
                return
            if self._was_written(key, record):
                return
        raise StoreOutcomeUnknown(key)

    def _was_written(self, key: str, record: SessionRecord) -> bool:
        """Read back; only this session and a recoverer write the record."""
        found = self._store.read(key)
        if found is None:
            if self._stored.revision:
                self._note_fenced()
            return False
        if load_session(found.content).state != LIVE:
            self._note_fenced()
        if found.content != dump_session(record):
            return False
        self._note_written(record, found.mod_revision)
        return True

    def _note_written(self, record: SessionRecord, revision: int) -> None:
        before = self._stored.listed
        listed = frozenset(one.incarnation for one in record.agents)
        self._stored.record = record
        self._stored.listed = listed
        self._stored.revision = revision
        for agent in listed - before:
            log_event(Event.agent_listed, session=self.name, agent=agent)
        for agent in before - listed:
            log_event(Event.agent_unlisted, session=self.name, agent=agent)

    def _check_record(self) -> None:
        found = self._store.read(name_session(self.name))
        if found is None or load_session(found.content).state != LIVE:
            self._note_fenced()
            return
        self._stored.revision = found.mod_revision

    def _note_fenced(self) -> None:
        self.fenced.set()
        raise SessionFenced(self.name)

    def _renew_lease(self) -> None:
        lease = self._store.grant_lease(self._lease_seconds)
        alive = Put(name_alive(self.name), self.name.encode(), lease)
        own = Unchanged(name_session(self.name), self._stored.revision)
        self._stored.lease = 0
        if not self._store.commit([own], [alive]).succeeded:
            self._check_record()
            return
        self._stored.lease = lease
