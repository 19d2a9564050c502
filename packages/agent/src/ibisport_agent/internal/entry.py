"""The agent's view of its own catalogue entry."""

import threading

import orjson

from ibisport_core.messages import CatalogueUpdate


class TargetView:
    """The latest known state of the agent's own target entry.

    Routers forward the entry. An older revision never replaces a newer one, so
    a router that has lost its connection to the store can't undo a drain.
    """

    def __init__(self, target: str) -> None:
        """Start at revision 0, as a live target.

        Args:
            target: Name of the target.
        """
        self.key = f'/ibisport/catalogue/target/{target}'
        self.revision = 0
        self.state = 'live'
        self.checks_fencing = False
        self._lock = threading.Lock()

    def apply_update(self, update: CatalogueUpdate) -> bool:
        """Apply the newer revision of the agent's entry, if there is one.

        Args:
            update: Entries from a router; those of other targets are ignored.

        Returns:
            Whether the agent's own entry changed.
        """
        changed = False
        with self._lock:
            for entry in update.entries:
                if entry.key == self.key and entry.revision > self.revision:
                    self._apply_document(entry.document)
                    self.revision = entry.revision
                    changed = True
        return changed

    def _apply_document(self, document: bytes) -> None:
        if not document:
            self.state = 'retired'
            return
        entry = orjson.loads(document)
        self.state = entry.get('state', 'live')
        self.checks_fencing = bool(entry.get('checks_fencing', False))
