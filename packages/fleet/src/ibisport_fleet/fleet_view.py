"""What this router believes of the catalogue and of the targets."""

import asyncio
from collections.abc import Callable

from ibisport_fleet.catalogue import Catalogue
from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.store import Change, Item, Listing, Removal
from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.targets import TargetEntry, TargetList


class CatalogueView:
    """The newest catalogue that this router has seen.

    Attributes:
        current: The catalogue, or None before the first.
    """

    def __init__(
        self,
        key: str,
        decode: Callable[[Item], Catalogue],
        log: EventLog,
    ) -> None:
        self.current: Catalogue | None = None
        self._key = key
        self._decode = decode
        self._log = log

    def apply_listing(self, listing: Listing, doubtful_until: float) -> None:
        """Take the catalogue out of a listing of its prefix."""
        for item in listing.items:
            self._apply_item(item)

    def apply_change(self, change: Change, doubtful_until: float) -> None:
        """Take a new version."""
        if isinstance(change, Item):
            self._apply_item(change)

    def _apply_item(self, item: Item) -> None:
        if item.key != self._key:
            return
        try:
            found = self._decode(item)
        except RecordInvalid as error:
            self._log.write(Event.record_refused, reason=str(error)[:200])
            return
        known = self.current
        if known is not None and found.version <= known.version:
            return
        self.current = found
        self._log.write(
            Event.catalogue_changed,
            version=found.version,
            revision=found.revision,
            routes=len(found.routes),
            size=len(item.content),
        )


class TargetView:
    """The targets, and what this router has seen of each."""

    def __init__(
        self,
        decode: Callable[[Item], TargetEntry],
        name_incarnation: Callable[[str], str],
        log: EventLog,
    ) -> None:
        self.targets = TargetList()
        self._decode = decode
        self._parse_incarnation = name_incarnation
        self._log = log
        self._health: dict[tuple[str, int], TargetHealth] = {}
        # The last content of each key that could not be read, so that one that is
        # written again and again is logged once.
        self._unreadable: dict[str, bytes] = {}

    def apply_listing(self, listing: Listing, doubtful_until: float) -> None:
        """Take all entries; those that are missing may only have lapsed."""
        entries = [
            entry for item in listing.items if (entry := self._decode_entry(item))
        ]
        self.targets.replace_all(entries, doubtful_until)
        self._log.write(
            Event.target_added, targets=len(entries), revision=listing.revision
        )
        self._drop_stale_health()

    def apply_change(self, change: Change, doubtful_until: float) -> None:
        """Take one entry that was written or removed."""
        match change:
            case Item():
                self._apply_entry(change)
            case Removal(key=key, revision=revision):
                self._apply_removal(
                    self._parse_incarnation(key), revision, doubtful_until
                )

    def find_health(self, start: tuple[str, int]) -> TargetHealth:
        """Return what is known of the load and failures of one start of a target."""
        found = self._health.get(start)
        if found is None:
            found = TargetHealth()
            self._health[start] = found
        return found

    def list_candidates(self, service: str) -> list[Candidate]:
        """Return the targets of a service that take new work."""
        self._drop_lapsed()
        candidates = [
            Candidate(entry, self.find_health(entry.start_id))
            for entry in self.targets.list_serving(service)
        ]
        return [one for one in candidates if not one.health.replaced]

    def _drop_lapsed(self) -> None:
        for incarnation in self.targets.drop_lapsed(asyncio.get_running_loop().time()):
            self._log.write(Event.target_gone, target=incarnation, reason='lapsed')
            self._drop_stale_health()

    def _drop_stale_health(self) -> None:
        """Forget the health of starts that are no longer listed."""
        listed = {entry.start_id for entry in self.targets.entries}
        for start in self._health.keys() - listed:
            self._health.pop(start)

    def _decode_entry(self, item: Item) -> TargetEntry | None:
        """Return an entry, or None if it names no target that could be used.

        Whoever wrote it, it costs no other entry its place; a known target whose
        entry turns unreadable gets nothing more until it can be read again.
        """
        try:
            entry = self._decode(item)
        except RecordInvalid as error:
            if self._unreadable.get(item.key) != item.content:
                self._log.write(Event.record_refused, reason=str(error)[:200])
            self._unreadable[item.key] = item.content
            self.targets.drop(self._parse_incarnation(item.key))
            return None
        self._unreadable.pop(item.key, None)
        return entry

    def _apply_entry(self, item: Item) -> None:
        entry = self._decode_entry(item)
        if entry is None:
            return
        self.targets.put(entry)
        self._drop_stale_health()
        event = Event.target_draining if entry.draining else Event.target_added
        self._log.write(
            event,
            target=entry.incarnation,
            service=entry.service,
            domain=entry.domain,
            revision=entry.revision,
        )

    def _apply_removal(
        self, incarnation: str, revision: int, doubtful_until: float
    ) -> None:
        if asyncio.get_running_loop().time() < doubtful_until:
            self.targets.mark_lapsed(incarnation, doubtful_until)
            self._log.write(Event.target_lapsed, target=incarnation, revision=revision)
            return
        self.targets.remove(incarnation)
        self._drop_stale_health()
        self._log.write(Event.target_gone, target=incarnation, revision=revision)
