"""The list of targets: which there are, which leave, and which are gone."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ibisport_fleet.addresses import Address

# Entries that lapsed while the service was away are back within two seconds of
# its return; the platform's pages give the figure. A bit more is for the way.
RETURN_GRACE_SECONDS = 2.3


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One incarnation of a target, as it registered itself.

    Attributes:
        incarnation: Its id, which it may keep when it starts again.
        service: The service that it belongs to.
        address: IP number and port; used again by others once it is gone.
        domain: Its failure domain.
        slots: Requests that it runs at once.
        draining: It takes no new work.
        revision: The store's revision of the entry.
        born: Unix time of its start in milliseconds; 0 if it doesn't say.
    """

    incarnation: str
    service: str
    address: Address
    domain: str
    slots: int
    draining: bool
    revision: int
    started_at_ms: int = 0

    @property
    def start_id(self) -> tuple[str, int]:
        """One start of a target: what is known of another start doesn't hold."""
        return self.incarnation, self.started_at_ms


class TargetList:
    """All targets that are known.

    One that drains never comes back, unless it starts again under its id, and one that
    vanished while the store was away is kept until a moment after the store's return:
    its entry may only have lapsed.
    """

    def __init__(self) -> None:
        self._entries: dict[str, TargetEntry] = {}
        self._lapsed: dict[str, TargetEntry] = {}
        # The newest start of each id that has left.
        self._departed_starts: dict[str, int] = {}
        self._lapsed_until = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def entries(self) -> tuple[TargetEntry, ...]:
        """All known targets, leaving ones too."""
        return tuple(self._entries.values())

    def list_serving(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that take new work."""
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and not entry.draining
        ]

    def find(self, incarnation: str) -> TargetEntry | None:
        """Return a target's entry, or None if it isn't known."""
        return self._entries.get(incarnation)

    def is_serving(self, entry: TargetEntry) -> bool:
        """Whether a start of a target is listed and takes new work."""
        known = self._entries.get(entry.incarnation)
        return (
            known is not None
            and known.start_id == entry.start_id
            and not known.draining
        )

    def put(self, entry: TargetEntry) -> None:
        """Take an entry that is in the store.

        What a former start wrote may be done after the words of the present one.
        """
        known = self._entries.get(entry.incarnation)
        if known is not None and entry.started_at_ms < known.started_at_ms:
            return
        self._lapsed.pop(entry.incarnation, None)
        if entry.draining:
            self._record_departure(entry)
        elif entry.started_at_ms <= self._departed_starts.get(entry.incarnation, -1):
            entry = replace(entry, draining=True)
        self._entries[entry.incarnation] = entry

    def remove(self, incarnation: str) -> None:
        """Forget an entry that the store removed while it was at hand."""
        entry = self._entries.get(incarnation)
        if entry is not None:
            self._record_departure(entry)
        self.drop(incarnation)

    def drop(self, incarnation: str) -> None:
        """Use a target no more until it can be read again."""
        self._entries.pop(incarnation, None)
        self._lapsed.pop(incarnation, None)

    def mark_lapsed(self, incarnation: str, until: float) -> None:
        """Keep an entry that went while the store was away, up to a loop time."""
        entry = self._entries.get(incarnation)
        if entry is not None:
            self._lapsed[incarnation] = entry
            self._lapsed_until = until

    def replace_all(self, entries: Iterable[TargetEntry], until: float) -> None:
        """Take a full listing after an outage.

        Args:
            entries: All entries that the store has now.
            until: Loop time up to which missing ones are kept.
        """
        listed = set()
        for entry in entries:
            listed.add(entry.incarnation)
            self.put(entry)
        for incarnation in set(self._entries) - listed:
            self.mark_lapsed(incarnation, until)

    def _record_departure(self, entry: TargetEntry) -> None:
        newest = self._departed_starts.get(entry.incarnation, -1)
        self._departed_starts[entry.incarnation] = max(newest, entry.started_at_ms)

    def drop_lapsed(self, now: float) -> list[str]:
        """Forget lapsed entries whose time has run out, and return them."""
        if not self._lapsed or now < self._lapsed_until:
            return []
        gone = list(self._lapsed)
        for incarnation in gone:
            self.remove(incarnation)
        return gone
