"""Linearizable multi-version key-value data, guarded by a single lock."""

import queue
import threading
import time
from bisect import bisect_left, insort
from dataclasses import dataclass, field

from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.store.records import Change, KeyRange, Pair

FIRST_REVISION = 1
Batch = tuple[Change, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Watch:
    """A subscription to a key range; its queue receives a batch per revision.

    Attributes:
        key_range: Keys whose changes are reported.
        start_revision: First revision that is reported.
        batches: Queue of the changes of each revision; None ends the watch.
    """

    key_range: KeyRange
    start_revision: int
    batches: queue.SimpleQueue[Batch | None] = field(default_factory=queue.SimpleQueue)


class Database:
    """Key-value pairs, their history and the watches on them.

    Callers hold ``lock`` around each method; single attributes may be read
    without it.

    Attributes:
        lock: Re-entrant lock that guards all data.
        revision: Last committed revision.
        compacted: Revision of the last compaction; older ones cannot be read.
        changes: All changes, oldest first; compaction keeps them, so that checkers
            can read the whole history.
    """

    def __init__(self) -> None:
        """Create an empty database at etcd's first revision."""
        self.lock = threading.RLock()
        self.revision = FIRST_REVISION
        self.compacted = 0
        self.changes: list[Change] = []
        self._pairs: dict[bytes, Pair] = {}
        self._keys: list[bytes] = []
        self._watches: set[Watch] = set()
        self._pending: list[Change] = []

    def get(self, key: bytes) -> Pair | None:
        """Return the pair of a key, including uncommitted changes."""
        return self._pairs.get(key)

    def select(self, key_range: KeyRange, revision: int = 0) -> list[Pair]:
        """Return the pairs of a key range, sorted by key.

        Raises:
            CallRejected: The revision is compacted or in the future.
        """
        if not revision or revision == self.revision:
            return [self._pairs[key] for key in self._select_keys(key_range)]
        if revision > self.revision:
            raise CallRejected(
                'etcdserver: mvcc: required revision is a future one', 400, 11
            )
        if revision < self.compacted:
            raise CallRejected(
                'etcdserver: mvcc: required revision has been compacted', 400, 11
            )
        return self._replay(key_range, revision)

    def put(self, key: bytes, value: bytes, lease: int) -> Pair | None:
        """Set a key at the next revision and return its previous pair."""
        previous = self._pairs.get(key)
        current = Pair(
            key=key,
            value=value,
            create_revision=previous.create_revision if previous else self.revision + 1,
            mod_revision=self.revision + 1,
            version=previous.version + 1 if previous else 1,
            lease=lease,
        )
        if previous is None:
            insort(self._keys, key)
        self._pairs[key] = current
        self._pending.append(Change(current, previous, time.time()))
        return previous

    def delete(self, key_range: KeyRange) -> list[Pair]:
        """Delete a key range at the next revision and return the deleted pairs."""
        deleted = [self._pairs[key] for key in self._select_keys(key_range)]
        for previous in deleted:
            self._pairs.pop(previous.key)
            self._keys.pop(bisect_left(self._keys, previous.key))
            tombstone = Pair(previous.key, mod_revision=self.revision + 1)
            self._pending.append(Change(tombstone, previous, time.time()))
        return deleted

    def commit(self) -> bool:
        """Commit the pending changes as one revision; False if there are none."""
        if not self._pending:
            return False
        batch = tuple(self._pending)
        self._pending.clear()
        self.revision += 1
        self.changes.extend(batch)
        for watch in self._watches:
            self._notify_watch(watch, batch)
        return True

    def compact(self, revision: int) -> None:
        """Make the revisions before the given one unreadable.

        Raises:
            CallRejected: The revision is already compacted or in the future.
        """
        if revision > self.revision:
            raise CallRejected(
                'etcdserver: mvcc: required revision is a future one', 400, 11
            )
        if revision <= self.compacted:
            raise CallRejected(
                'etcdserver: mvcc: required revision has been compacted', 400, 11
            )
        self.compacted = revision

    def add_watch(self, watch: Watch) -> None:
        """Register a watch and send it the changes since its start revision."""
        if watch.start_revision <= self.revision:
            for batch in self._split_history(watch.start_revision):
                self._notify_watch(watch, batch)
        self._watches.add(watch)

    def remove_watch(self, watch: Watch) -> None:
        """Unregister a watch."""
        self._watches.discard(watch)

    def cut_watches(self) -> None:
        """End all open watches."""
        for watch in self._watches:
            watch.batches.put(None)

    def _notify_watch(self, watch: Watch, batch: Batch) -> None:
        if batch[0].pair.mod_revision < watch.start_revision:
            return
        matching = tuple(
            change for change in batch if watch.key_range.covers(change.pair.key)
        )
        if matching:
            watch.batches.put(matching)

    def _split_history(self, start_revision: int) -> list[Batch]:
        by_revision: dict[int, list[Change]] = {}
        first = bisect_left(
            self.changes, start_revision, key=lambda entry: entry.pair.mod_revision
        )
        for change in self.changes[first:]:
            by_revision.setdefault(change.pair.mod_revision, []).append(change)
        return [tuple(changes) for changes in by_revision.values()]

    def _select_keys(self, key_range: KeyRange) -> list[bytes]:
        if not key_range.end:
            return [key_range.start] if key_range.start in self._pairs else []
        first = bisect_left(self._keys, key_range.start)
        if key_range.end == b'\0':
            return self._keys[first:]
        return self._keys[first : bisect_left(self._keys, key_range.end)]

    def _replay(self, key_range: KeyRange, revision: int) -> list[Pair]:
        found: dict[bytes, Pair] = {}
        for change in self.changes:
            if change.pair.mod_revision > revision:
                break
            if key_range.covers(change.pair.key):
                found[change.pair.key] = change.pair
        return [found[key] for key in sorted(found) if found[key].version]
