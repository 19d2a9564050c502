"""The catalogue at this router: watched from the store, relayed by peers.

News is merged by entry revision, so an old watch, an old peer and a fresh one
can all be listened to at once and nothing reverts.
"""

import random
import threading
from collections.abc import Callable, Iterable

from ibisport_core.catalogue import Catalogue, find_change
from ibisport_core.entries import CATALOGUE_PREFIX, EntryKind, name_entry
from ibisport_core.errors import StoreCompacted, StoreError
from ibisport_core.events import Event, log_event
from ibisport_core.messages import CatalogueEntry, CatalogueUpdate
from ibisport_core.store import Change, StoreClient

_RETRY_SECONDS = 0.5
OnChange = Callable[[frozenset[str]], None]


class CatalogueView:
    """Holds the newest catalogue that is known, and tells of its changes."""

    def __init__(
        self, store: StoreClient, on_change: Callable[[frozenset[str]], None]
    ) -> None:
        """Start with an empty catalogue.

        Args:
            store: The key-value service.
            on_change: Called after each change with the keys of the entries
                that changed, without a lock held.
        """
        self.current = Catalogue()
        self.loaded = threading.Event()
        self.stopped = threading.Event()
        self._store = store
        self._on_change = on_change
        self._lock = threading.Lock()
        self._random = random.Random()
        self._followed = 0

    @property
    def revision(self) -> int:
        """The store revision up to which all news is included."""
        return self.current.revision

    def watch(self) -> None:
        """Follow the store until stopped; the task of one thread.

        A watch that ends is opened again where it ended; the whole catalogue
        is read only at first, and when the store has forgotten that revision.
        """
        while not self.stopped.is_set():
            try:
                self._follow()
            except StoreCompacted:
                self._followed = 0
            except StoreError as error:
                log_event(Event.watch_lost, detail=str(error))
                # All routers lose the store at once; they come back apart.
                pause = self._random.uniform(_RETRY_SECONDS, 2 * _RETRY_SECONDS)
                self.stopped.wait(pause)

    def take_update(self, update: CatalogueUpdate) -> None:
        """Merge news from a peer."""
        changes = [
            Change(one.key, one.document or None, one.revision)
            for one in update.entries
        ]
        self._merge(changes, update.revision, update.whole)

    def make_news(self, known: int) -> CatalogueUpdate | None:
        """Return the news for a peer that knows a revision, if there is any."""
        current = self.current
        if known >= current.revision:
            return None
        whole = not current.can_update(known)
        changes = current.list_changes(0 if whole else known)
        return CatalogueUpdate(current.revision, _list_entries(changes), whole)

    def make_update(self, target: str) -> CatalogueUpdate:
        """Return what the agent of a target is told: its own entry, if any."""
        change = find_change(self.current, name_entry(EntryKind.target, target))
        changes = () if change is None else (change,)
        return CatalogueUpdate(self.current.revision, _list_entries(changes), False)

    def _follow(self) -> None:
        if not self._followed:
            self._read_whole()
        batches = self._store.watch(CATALOGUE_PREFIX, self._followed + 1, self.stopped)
        for batch in batches:
            self._merge(batch.changes, batch.revision, whole=False)
            self._followed = max(self._followed, batch.revision)

    def _read_whole(self) -> None:
        snapshot = self._store.read_prefix(CATALOGUE_PREFIX)
        changes = [
            Change(one.key, one.content, one.mod_revision) for one in snapshot.records
        ]
        self._merge(changes, snapshot.revision, whole=True)
        self._followed = snapshot.revision

    def _merge(self, changes: Iterable[Change], revision: int, whole: bool) -> None:
        with self._lock:
            before = self.current
            merge = before.with_whole if whole else before.with_changes
            self.current = merge(changes, revision)
            changed = _find_changed(before, self.current)
        self.loaded.set()
        if changed:
            log_event(Event.catalogue_changed, revision=self.current.revision)
            self._on_change(changed)


def _find_changed(before: Catalogue, after: Catalogue) -> frozenset[str]:
    if after.versions is before.versions:
        return frozenset()
    changed = {
        key
        for key, version in after.versions.items()
        if before.versions.get(key) is not version
    }
    return frozenset(changed | (set(before.versions) - set(after.versions)))


def _list_entries(changes: Iterable[Change]) -> tuple[CatalogueEntry, ...]:
    return tuple(
        CatalogueEntry(one.key, one.content or b'', one.mod_revision) for one in changes
    )
