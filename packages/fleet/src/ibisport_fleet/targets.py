"""The list of targets and their states: serving, draining, lapsed or departed."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ibisport_fleet.addresses import Address

# Entries that lapsed in an outage of the store are back within two seconds of its
# return, as the platform documents; the rest covers transmission.
RETURN_GRACE_SECONDS = 2.3
# Starts that have departed and whose ids are no longer listed. Writes of such a start
# that arrive later are few and come soon.
MAX_DEPARTED_STARTS = 4_096


@dataclass(frozen=True, slots=True)
class Build:
    """The software that a target runs.

    Attributes:
        service: Name of the service.
        version: Version of the software within the service.
    """

    service: str
    version: str


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One incarnation of a target, as it registered itself.

    Attributes:
        incarnation: The id, which a target may keep when it restarts.
        service: Name of the service that the target belongs to.
        address: IP address and port; other targets may reuse it later.
        domain: The failure domain.
        slots: Requests that the target runs concurrently.
        draining: The target accepts no new requests.
        revision: The store's revision of the entry.
        started_at_ms: Unix time of the start in milliseconds; 0 if not given.
        cold_seconds: Time until the target is warm, from the write of the entry on.
        software_version: Version of the target's software.
    """

    incarnation: str
    service: str
    address: Address
    domain: str
    slots: int
    draining: bool
    revision: int
    started_at_ms: int = 0
    cold_seconds: float = 0.0
    software_version: str = ''

    @property
    def start_id(self) -> tuple[str, int]:
        """Identifies one start of a target; a restart resets its health."""
        return self.incarnation, self.started_at_ms

    @property
    def build(self) -> Build:
        """The software that the target runs."""
        return Build(self.service, self.software_version)


class TargetList:
    """All known targets.

    A target that drains never serves again unless it restarts under its id. An entry
    that is missing after an outage of the store is kept for a short time, since it may
    only have lapsed.
    """

    def __init__(self) -> None:
        self._entries: dict[str, TargetEntry] = {}
        self._build_counts: Counter[Build] = Counter()
        self._lapsed: dict[str, TargetEntry] = {}
        # Last valid entries of the ids whose entries are invalid now.
        self._dropped: dict[str, TargetEntry] = {}
        # By id, start time of the newest start that has drained or was removed; in the
        # order in which they departed.
        self._departed_starts: dict[str, int] = {}
        self._lapsed_until = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def entries(self) -> tuple[TargetEntry, ...]:
        """Entries of all known targets, including draining ones."""
        return tuple(self._entries.values())

    @property
    def builds(self) -> Iterable[Build]:
        """The builds of all known targets, including draining ones."""
        return self._build_counts.keys()

    def list_serving(self) -> list[TargetEntry]:
        """Return the targets of all services that accept new requests."""
        return [entry for entry in self._entries.values() if not entry.draining]

    def find(self, incarnation: str) -> TargetEntry | None:
        """Return the entry of an incarnation, or None if it isn't known."""
        return self._entries.get(incarnation)

    def is_serving(self, entry: TargetEntry) -> bool:
        """Return whether this start of a target is listed and not draining."""
        known = self._entries.get(entry.incarnation)
        return (
            known is not None
            and known.start_id == entry.start_id
            and not known.draining
        )

    def is_superseded(self, entry: TargetEntry) -> bool:
        """Return whether the list has another start or build under the entry's id."""
        known = self._entries.get(entry.incarnation)
        return known is not None and (
            known.start_id != entry.start_id or known.build != entry.build
        )

    def put(self, entry: TargetEntry) -> None:
        """Add or replace an entry that the store contains.

        A write of a previous start may reach the store after the first one of the
        current start, so entries of older starts are ignored.
        """
        known = self._find_last_valid(entry.incarnation)
        if known is not None and entry.started_at_ms < known.started_at_ms:
            return
        self._lapsed.pop(entry.incarnation, None)
        self._dropped.pop(entry.incarnation, None)
        if entry.draining:
            self._record_departure(entry)
        elif entry.started_at_ms <= self._departed_starts.get(entry.incarnation, -1):
            entry = replace(entry, draining=True)
        self._forget(entry.incarnation)
        self._entries[entry.incarnation] = entry
        self._build_counts[entry.build] += 1

    def remove(self, incarnation: str) -> None:
        """Remove an entry that was removed from the store outside of an outage."""
        entry = self._find_last_valid(incarnation)
        if entry is not None:
            self._record_departure(entry)
        self._forget(incarnation)
        self._lapsed.pop(incarnation, None)
        self._dropped.pop(incarnation, None)

    def mark_departed(self, entry: TargetEntry) -> None:
        """Treat a start of a target as draining, whatever its entry says later."""
        self._record_departure(entry)
        known = self._entries.get(entry.incarnation)
        if known is not None and known.start_id == entry.start_id:
            self._entries[entry.incarnation] = replace(known, draining=True)

    def drop(self, incarnation: str) -> None:
        """Stop using a target until a valid entry of it arrives."""
        entry = self._entries.get(incarnation)
        if entry is not None:
            self._dropped[incarnation] = entry
        self._forget(incarnation)
        self._lapsed.pop(incarnation, None)

    def forget_dropped(self, incarnation: str) -> None:
        """Forget the last valid entry of an id whose invalid entry isn't listed."""
        self._dropped.pop(incarnation, None)

    def mark_lapsed(self, incarnation: str, until: float) -> None:
        """Keep an entry that is missing after an outage until a loop time."""
        entry = self._entries.get(incarnation)
        if entry is not None:
            self._lapsed[incarnation] = entry
            self._lapsed_until = until

    def replace_all(self, entries: Iterable[TargetEntry], until: float) -> None:
        """Apply a full listing.

        Args:
            entries: All entries that the store contains.
            until: Loop time until which missing entries are kept.
        """
        listed = set()
        for entry in entries:
            listed.add(entry.incarnation)
            self.put(entry)
        for incarnation in set(self._entries) - listed:
            self.mark_lapsed(incarnation, until)

    def _find_last_valid(self, incarnation: str) -> TargetEntry | None:
        return self._entries.get(incarnation) or self._dropped.get(incarnation)

    def _forget(self, incarnation: str) -> None:
        entry = self._entries.pop(incarnation, None)
        if entry is None:
            return
        self._build_counts[entry.build] -= 1
        if not self._build_counts[entry.build]:
            del self._build_counts[entry.build]

    def _record_departure(self, entry: TargetEntry) -> None:
        newest = self._departed_starts.pop(entry.incarnation, -1)
        self._departed_starts[entry.incarnation] = max(newest, entry.started_at_ms)
        if len(self._departed_starts) > MAX_DEPARTED_STARTS + len(self._entries):
            gone = (name for name in self._departed_starts if name not in self._entries)
            self._departed_starts.pop(next(gone))

    def drop_lapsed(self, now: float) -> list[TargetEntry]:
        """Remove lapsed entries after their deadline, and return them."""
        if not self._lapsed or now < self._lapsed_until:
            return []
        dropped = list(self._lapsed.values())
        for entry in dropped:
            self.remove(entry.incarnation)
        return dropped
