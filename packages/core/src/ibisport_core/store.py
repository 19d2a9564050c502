"""Typed client of the platform's key-value service.

It speaks the JSON gateway that etcd publishes for its version 3 interface:
keys and values in base64, 64-bit integers as strings.
"""

import base64
import random
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from ibisport_core.errors import (
    LeaseLapsed,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from ibisport_core.internal.gateway import Call, Endpoint, Fields, parse_answer
from ibisport_core.internal.watching import WatchStream

CALL_TIMEOUT = 2.0
PAGE_SIZE = 2000
MOST_ATTEMPTS = 20
FIRST_PAUSE = 0.01
LONGEST_PAUSE = 0.5


@dataclass(frozen=True, slots=True)
class Record:
    """A key's present value.

    Attributes:
        key: The key.
        content: The value.
        mod_revision: Store revision of its last write.
        lease: Lease that it hangs on, or 0.
    """

    key: str
    content: bytes
    mod_revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All records below a prefix, sorted by key, as of one store revision."""

    records: tuple[Record, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Unchanged:
    """Condition: the key's last write is this one; 0: the key is absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of one key, tied to a lease unless that is 0."""

    key: str
    content: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Removal of one key; an absent key does no harm."""

    key: str


@dataclass(frozen=True, slots=True)
class Commit:
    """Answer of a transaction.

    Attributes:
        succeeded: Whether the conditions held and the writes were made.
        revision: Store revision after it; that of the writes if they were made.
    """

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """News of one key; ``content`` is None when it was deleted."""

    key: str
    content: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """News up to and including a revision; without changes it is progress."""

    changes: tuple[Change, ...]
    revision: int


Build = Callable[[Record | None], bytes | None]


class StoreClient:
    """Client of the service; safe to use from many threads."""

    def __init__(
        self,
        endpoints: tuple[str, ...],
        label: str = '',
        call_timeout: float = CALL_TIMEOUT,
    ) -> None:
        """Keep the addresses; the first call connects.

        Args:
            endpoints: Addresses ``ip:port`` of the service, tried in turn.
            label: Names this client to the service.
            call_timeout: Seconds to wait for an answer of one endpoint.
        """
        self._label = label
        self._endpoints = tuple(
            Endpoint(address, label, call_timeout) for address in endpoints
        )
        # Index of the endpoint that served last; a race on it does no harm.
        self._preferred = 0

    def read(self, key: str) -> Record | None:
        """Return the key's record, or None when it is absent.

        Raises:
            StoreUnavailable: No endpoint served it.
        """
        answer = self._call(Call('/v3/kv/range', {'key': _encode(key.encode())}))
        records = _parse_records(answer)
        return records[0] if records else None

    def read_prefix(self, prefix: str) -> Snapshot:
        """Return all records whose keys start with the prefix, in pages.

        Raises:
            StoreUnavailable: No endpoint served it.
            StoreCompacted: Reading took so long that the revision is gone.
        """
        start = prefix.encode()
        answer = self._read_page(start, start, 0)
        records = _parse_records(answer)
        revision = _parse_revision(answer)
        while answer.get('more'):
            answer = self._read_page(records[-1].key.encode() + b'\0', start, revision)
            records.extend(_parse_records(answer))
        return Snapshot(tuple(records), revision)

    def commit(
        self,
        conditions: Sequence[Unchanged],
        writes: Sequence[Put | Delete],
    ) -> Commit:
        """Make all writes at once if all conditions hold, else none.

        Raises:
            StoreUnavailable: It took no effect for certain.
            StoreOutcomeUnknown: It was sent and not answered.
            LeaseLapsed: A write's lease is gone; nothing was written.
        """
        fields = {
            'compare': [_encode_condition(condition) for condition in conditions],
            'success': [_encode_write(write) for write in writes],
        }
        changes = bool(writes)
        answer = self._call(Call('/v3/kv/txn', fields, changes, not changes))
        succeeded = bool(answer.get('succeeded', False))
        return Commit(succeeded, _parse_revision(answer))

    def grant_lease(self, seconds: int) -> int:
        """Return a new lease that lapses unless it is kept within the seconds.

        Raises:
            StoreUnavailable: There is no new lease for certain.
            StoreOutcomeUnknown: There may be one; it lapses by itself.
        """
        fields = {'TTL': str(seconds)}
        answer = self._call(Call('/v3/lease/grant', fields, True, False))
        return int(answer['ID'])

    def keep_lease(self, lease: int) -> None:
        """Prolong the lease by its full time from now.

        Raises:
            LeaseLapsed: The lease is gone.
            StoreUnavailable: It was not prolonged for certain.
            StoreOutcomeUnknown: It may have been prolonged.
        """
        fields = {'ID': str(lease)}
        answer = self._call(Call('/v3/lease/keepalive', fields, changes=True))
        kept = answer.get('result') or answer
        if int(kept.get('TTL', 0)) <= 0:
            raise LeaseLapsed(f'lease {lease} is gone')

    def revoke_lease(self, lease: int) -> None:
        """End the lease and delete its keys; one that is gone is no error.

        Raises:
            StoreUnavailable: It was not ended for certain.
            StoreOutcomeUnknown: It may have been ended.
        """
        fields = {'ID': str(lease)}
        try:
            self._call(Call('/v3/lease/revoke', fields, changes=True))
        except LeaseLapsed:
            return

    def watch(
        self,
        prefix: str,
        from_revision: int,
        stopped: threading.Event,
    ) -> Iterator[WatchBatch]:
        """Yield what changes below the prefix, and each second progress.

        Args:
            prefix: Start of the keys.
            from_revision: First revision wanted: the last batch's plus one.
            stopped: Ends the iteration within a second.

        Raises:
            StoreUnavailable: It was cut or went silent: watch anew from the
                last batch's revision plus one, and nothing is missed.
            StoreCompacted: Those revisions are gone: read the prefix anew.
        """
        stream = self._open_watch(prefix, from_revision)
        revision = from_revision - 1
        try:
            for answer in stream.lines(stopped):
                batch = _parse_batch(answer, revision)
                revision = batch.revision
                yield batch
        finally:
            stream.close()

    def close(self) -> None:
        """Close the idle connections; watches end by their own event."""
        for endpoint in self._endpoints:
            endpoint.close()

    def _read_page(self, first: bytes, prefix: bytes, revision: int) -> Fields:
        fields = {
            'key': _encode(first),
            'range_end': _encode(_end_of_prefix(prefix)),
            'limit': str(PAGE_SIZE),
            'revision': str(revision),
        }
        return self._call(Call('/v3/kv/range', fields))

    def _call(self, call: Call) -> Fields:
        unknown: StoreError | None = None
        last = StoreError('no endpoint is set')
        for index in self._order():
            try:
                return self._call_one(index, call)
            except StoreUnavailable as error:
                last = error
            except StoreOutcomeUnknown as error:
                last = unknown = error
                if not call.repeatable:
                    break
        raise unknown or last

    def _call_one(self, index: int, call: Call) -> Fields:
        try:
            body = self._endpoints[index].post(call)
        except (StoreUnavailable, StoreOutcomeUnknown):
            self._preferred = (index + 1) % len(self._endpoints)
            raise
        self._preferred = index
        return parse_answer(call, body)

    def _order(self) -> list[int]:
        count = len(self._endpoints)
        first = self._preferred
        return [(first + step) % count for step in range(count)]

    def _open_watch(self, prefix: str, from_revision: int) -> WatchStream:
        wanted = {
            'key': _encode(prefix.encode()),
            'range_end': _encode(_end_of_prefix(prefix.encode())),
            'start_revision': str(from_revision),
            'progress_notify': True,
        }
        call = Call('/v3/watch', {'create_request': wanted})
        last = StoreError('no endpoint is set')
        for index in self._order():
            try:
                return WatchStream(self._endpoints[index].address, self._label, call)
            except StoreUnavailable as error:
                last = error
        raise last


def commit_resolved(
    client: StoreClient,
    key: str,
    build: Build,
    rng: random.Random,
    deadline: float,
) -> Record | None:
    """Compare and swap one key until ``build`` is content with it.

    ``build`` is shown the present record and returns the value to write, or
    None when there is nothing to do. After a conflict or a lost answer it is
    shown the record again, so it must recognise an earlier write of its own,
    for instance by a writer id and a sequence number.

    Args:
        client: The store.
        key: The key.
        build: Decides on the next value; its errors pass through.
        rng: Jitters the pauses.
        deadline: ``time.monotonic()`` after which no new attempt is made.

    Returns:
        The record that ``build`` was content with or that was written.

    Raises:
        StoreUnavailable: Nothing was written for certain.
        StoreOutcomeUnknown: A write was sent and could not be read back.
    """
    swap = _Swap(client, key, build)
    for _ in pace_attempts(rng, deadline):
        if swap.attempt():
            return swap.record
    raise swap.explain()


def pace_attempts(rng: random.Random, deadline: float) -> Iterator[int]:
    """Yield attempt numbers with growing, jittered pauses between them.

    Args:
        rng: Jitters the pauses.
        deadline: ``time.monotonic()`` after which no new attempt is made; the
            first one is always made.
    """
    for attempt in range(MOST_ATTEMPTS):
        yield attempt
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2**attempt) * rng.uniform(0.5, 1)
        if time.monotonic() + pause > deadline:
            return
        time.sleep(pause)


class _Swap:
    """State of one compare and swap over its attempts."""

    def __init__(self, client: StoreClient, key: str, build: Build) -> None:
        self.record: Record | None = None
        self._client = client
        self._key = key
        self._build = build
        self._failure: StoreError | None = None
        # Revision that an unanswered write was conditional on. That write can
        # still land for as long as the key stays at this revision.
        self._open_revision: int | None = None

    def attempt(self) -> bool:
        """Return whether the key is as ``build`` wants it."""
        try:
            return self._read_and_write()
        except StoreUnavailable as error:
            self._failure = error
        except StoreOutcomeUnknown as error:
            self._failure = error
            self._open_revision = _revision_of(self.record)
        return False

    def explain(self) -> StoreError:
        """Return the error that says what is known after the last attempt."""
        detail = f'{self._key}: {self._failure or "others kept changing it"}'
        if self._open_revision is None:
            return StoreUnavailable(detail)
        return StoreOutcomeUnknown(detail)

    def _read_and_write(self) -> bool:
        self.record = self._client.read(self._key)
        revision = _revision_of(self.record)
        if revision != self._open_revision:
            self._open_revision = None
        content = self._build(self.record)
        if content is None:
            return True
        self._failure = None
        conditions = (Unchanged(self._key, revision),)
        commit = self._client.commit(conditions, (Put(self._key, content),))
        if commit.succeeded:
            self._open_revision = None
            self.record = Record(self._key, content, commit.revision, 0)
        return commit.succeeded


def _revision_of(record: Record | None) -> int:
    return 0 if record is None else record.mod_revision


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _end_of_prefix(prefix: bytes) -> bytes:
    """Return the first key after all that start with the prefix."""
    return prefix[:-1] + bytes([prefix[-1] + 1])


def _encode_condition(condition: Unchanged) -> Fields:
    return {
        'key': _encode(condition.key.encode()),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(condition.mod_revision),
    }


def _encode_write(write: Put | Delete) -> Fields:
    match write:
        case Put(key, content, lease):
            put = {'key': _encode(key.encode()), 'value': _encode(content)}
            return {'request_put': {**put, 'lease': str(lease)}}
        case Delete(key):
            return {'request_delete_range': {'key': _encode(key.encode())}}


def _parse_revision(answer: Fields) -> int:
    return int(answer.get('header', {}).get('revision', 0))


def _parse_records(answer: Fields) -> list[Record]:
    return [_parse_record(pair) for pair in answer.get('kvs', ())]


def _parse_record(pair: Fields) -> Record:
    return Record(
        key=_decode(pair['key']).decode(),
        content=_decode(pair.get('value', '')),
        mod_revision=int(pair['mod_revision']),
        lease=int(pair.get('lease', 0)),
    )


def _parse_batch(answer: Fields | None, revision: int) -> WatchBatch:
    # The answer that opens a watch tells a revision whose changes are still
    # to come, so only changes and progress move the revision on.
    if answer is None or answer.get('created'):
        return WatchBatch((), revision)
    changes = tuple(_parse_change(event) for event in answer.get('events', ()))
    if not changes:
        return WatchBatch((), max(revision, _parse_revision(answer)))
    newest = max(change.mod_revision for change in changes)
    return WatchBatch(changes, max(revision, newest))


def _parse_change(event: Fields) -> Change:
    record = _parse_record(event['kv'])
    deleted = event.get('type') == 'DELETE'
    return Change(record.key, None if deleted else record.content, record.mod_revision)
