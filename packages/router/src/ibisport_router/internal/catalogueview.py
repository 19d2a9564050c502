"""The catalogue at this router: watched from the store, relayed by peers.

News is merged by entry revision, so an old watch, an old peer and a fresh one
can all be listened to at once and nothing reverts.
"""

import threading
from collections.abc import Callable, Iterable

from ibisport_core.catalogue import Catalogue
from ibisport_core.entries import CATALOGUE_PREFIX, EntryKind, name_entry
from ibisport_core.errors import StoreCompacted, StoreError
from ibisport_core.events import Event, log_event
from ibisport_core.messages import CatalogueEntry, CatalogueUpdate
from ibisport_core.store import Change, StoreClient

_RETRY_SECONDS = 0.5


class CatalogueView:
    """Holds the newest catalogue that is known, and tells of its changes."""

    def __init__(self, store: StoreClient, on_change: Callable[[], None]) -> None:
        """Start with an empty catalogue.

        Args:
            store: The key-value service.
            on_change: Called after each change, without a lock held.
        """
        self.current = Catalogue()
        self.loaded = threading.Event()
        self.stopped = threading.Event()
        self._store = store
        self._on_change = on_change
        self._lock = threading.Lock()

    @property
    def revision(self) -> int:
        """The store revision up to which all news is included."""
        return self.current.revision

    def watch(self) -> None:
        """Follow the store until stopped; the task of one thread."""
        while not self.stopped.is_set():
            try:
                self._follow()
            except StoreCompacted:
                continue
            except StoreError as error:
                log_event(Event.watch_lost, detail=str(error))
                self.stopped.wait(_RETRY_SECONDS)

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

    def make_updates(self, target: str) -> tuple[CatalogueUpdate, ...]:
        """Return what the agent of a target is told: its own entry."""
        key = name_entry(EntryKind.target, target)
        version = self.current.versions.get(key)
        if version is None:
            return ()
        entries = _list_entries((version.change,))
        return (CatalogueUpdate(self.current.revision, entries, False),)

    def _follow(self) -> None:
        snapshot = self._store.read_prefix(CATALOGUE_PREFIX)
        changes = [
            Change(one.key, one.content, one.mod_revision) for one in snapshot.records
        ]
        self._merge(changes, snapshot.revision, whole=True)
        batches = self._store.watch(
            CATALOGUE_PREFIX, snapshot.revision + 1, self.stopped
        )
        for batch in batches:
            self._merge(batch.changes, batch.revision, whole=False)

    def _merge(self, changes: Iterable[Change], revision: int, whole: bool) -> None:
        with self._lock:
            before = self.current
            merge = before.with_whole if whole else before.with_changes
            self.current = merge(changes, revision)
            changed = self.current.versions is not before.versions
        self.loaded.set()
        if changed:
            log_event(Event.catalogue_changed, revision=self.current.revision)
            self._on_change()


def _list_entries(changes: Iterable[Change]) -> tuple[CatalogueEntry, ...]:
    return tuple(
        CatalogueEntry(one.key, one.content or b'', one.mod_revision) for one in changes
    )
