"""Linearizable multi-version key-value data under a single lock."""

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
    """A waiting watch; batches of one revision arrive in its queue.

    Attributes:
        wanted: Keys to be reported.
        start_revision: First revision to be reported.
        batches: Changes by revision; None ends the watch.
    """

    key_range: KeyRange
    start_revision: int
    batches: queue.SimpleQueue[Batch | None] = field(default_factory=queue.SimpleQueue)


class Database:
    """Pairs, their history and the watches on them.

    Methods other than ``lock`` users' reads must run inside ``with lock``.

    Attributes:
        lock: Re-entrant lock of all data.
        revision: Last committed revision.
        compacted: Revisions up to this one cannot be read any more.
        changes: All changes, oldest first; kept beyond compaction for checkers.
    """

    def __init__(self) -> None:
        """Start empty, at etcd's first revision."""
        self.lock = threading.RLock()
        self.revision = FIRST_REVISION
        self.compacted = 0
        self.changes: list[Change] = []
        self._pairs: dict[bytes, Pair] = {}
        self._keys: list[bytes] = []
        self._watches: set[Watch] = set()
        self._pending: list[Change] = []

    def get(self, key: bytes) -> Pair | None:
        """Return the pair of a key, uncommitted changes included."""
        return self._pairs.get(key)

    def select(self, wanted: KeyRange, revision: int = 0) -> list[Pair]:
        """Return the pairs in the range, in key order.

        Raises:
            CallRejected: The revision is compacted or not yet reached.
        """
        if not revision or revision == self.revision:
            return [self._pairs[key] for key in self._select_keys(wanted)]
        if revision > self.revision:
            raise CallRejected(
                'etcdserver: mvcc: required revision is a future one', 400, 11
            )
        if revision < self.compacted:
            raise CallRejected(
                'etcdserver: mvcc: required revision has been compacted', 400, 11
            )
        return self._replay(wanted, revision)

    def put(self, key: bytes, value: bytes, lease: int) -> Pair | None:
        """Set a key at the next revision and return the pair before."""
        before = self._pairs.get(key)
        after = Pair(
            key=key,
            value=value,
            create_revision=before.create_revision if before else self.revision + 1,
            mod_revision=self.revision + 1,
            version=before.version + 1 if before else 1,
            lease=lease,
        )
        if before is None:
            insort(self._keys, key)
        self._pairs[key] = after
        self._pending.append(Change(after, before, time.time()))
        return before

    def delete(self, wanted: KeyRange) -> list[Pair]:
        """Delete the range at the next revision and return the pairs before."""
        deleted = [self._pairs[key] for key in self._select_keys(wanted)]
        for before in deleted:
            self._pairs.pop(before.key)
            self._keys.pop(bisect_left(self._keys, before.key))
            tombstone = Pair(before.key, mod_revision=self.revision + 1)
            self._pending.append(Change(tombstone, before, time.time()))
        return deleted

    def commit(self) -> bool:
        """Make pending changes one revision; tell whether there were any."""
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
        """Forget what stood before the revision.

        Raises:
            CallRejected: It is compacted already or lies in the future.
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
        """Register a watch and replay what it has missed."""
        if watch.start_revision <= self.revision:
            for batch in self._split_history(watch.start_revision):
                self._notify_watch(watch, batch)
        self._watches.add(watch)

    def remove_watch(self, watch: Watch) -> None:
        """Forget a watch."""
        self._watches.discard(watch)

    def cut_watches(self) -> None:
        """End all waiting watches."""
        for watch in self._watches:
            watch.batches.put(None)

    def _notify_watch(self, watch: Watch, batch: Batch) -> None:
        if batch[0].pair.mod_revision < watch.start_revision:
            return
        seen = tuple(one for one in batch if watch.key_range.covers(one.pair.key))
        if seen:
            watch.batches.put(seen)

    def _split_history(self, start_revision: int) -> list[Batch]:
        by_revision: dict[int, list[Change]] = {}
        first = bisect_left(
            self.changes, start_revision, key=lambda one: one.pair.mod_revision
        )
        for change in self.changes[first:]:
            by_revision.setdefault(change.pair.mod_revision, []).append(change)
        return [tuple(changes) for changes in by_revision.values()]

    def _select_keys(self, wanted: KeyRange) -> list[bytes]:
        if not wanted.end:
            return [wanted.start] if wanted.start in self._pairs else []
        first = bisect_left(self._keys, wanted.start)
        if wanted.end == b'\0':
            return self._keys[first:]
        return self._keys[first : bisect_left(self._keys, wanted.end)]

    def _replay(self, wanted: KeyRange, revision: int) -> list[Pair]:
        found: dict[bytes, Pair] = {}
        for change in self.changes:
            if change.pair.mod_revision > revision:
                break
            if wanted.covers(change.pair.key):
                found[change.pair.key] = change.pair
        return [found[key] for key in sorted(found) if found[key].version]
