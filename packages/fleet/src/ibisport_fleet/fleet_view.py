"""This router's copies of the catalogue and of the list of targets."""

import asyncio
from collections.abc import Callable, Set
from typing import TypeVar

from ibisport_fleet.addresses import Address
from ibisport_fleet.catalogue import Catalogue, Limits, Workspace
from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.idle_limits import IdleLimits
from ibisport_fleet.rate_shares.limit import RateLimit
from ibisport_fleet.store import Change, Item, Listing, Removal
from ibisport_fleet.stream_versions.build_history import BuildHistory
from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.targets import Build, TargetEntry, TargetList

_Record = TypeVar('_Record')


class CatalogueView:
    """The newest catalogue that this router has received.

    Attributes:
        current: The catalogue, or None before the first one arrives.
        idle_limits: The idle limits of its versions.
    """

    def __init__(
        self,
        key: str,
        decode: Callable[[Item], Catalogue],
        log: EventLog,
    ) -> None:
        self.current: Catalogue | None = None
        self.idle_limits = IdleLimits(Limits().idle_seconds)
        self._key = key
        self._decode = decode
        self._log = log

    @property
    def limits(self) -> Limits:
        """The limits in force."""
        return Limits() if self.current is None else self.current.limits

    @property
    def version(self) -> int:
        """The version in force, or 0 before the first one arrives."""
        return 0 if self.current is None else self.current.version

    def find_workspace(self, name: str) -> Workspace | None:
        """Return a workspace of the newest catalogue, or None."""
        return None if self.current is None else self.current.workspaces.get(name)

    def apply_listing(self, listing: Listing, doubtful_until: float) -> None:
        """Apply the catalogue of a listing of its prefix."""
        for item in listing.items:
            self._apply_item(item)

    def apply_change(self, change: Change, doubtful_until: float) -> None:
        """Apply a new version; a removal is ignored."""
        if isinstance(change, Item):
            self._apply_item(change)

    def _apply_item(self, item: Item) -> None:
        if item.key != self._key:
            return
        try:
            catalogue = _decode_record(self._decode, item)
        except RecordInvalid as error:
            self._log.write(Event.record_refused, reason=str(error)[:200])
            return
        known = self.current
        if known is not None and catalogue.version <= known.version:
            return
        self.current = catalogue
        self.idle_limits.record(catalogue.version, catalogue.limits.idle_seconds)
        self._log.write(
            Event.catalogue_changed,
            version=catalogue.version,
            revision=catalogue.revision,
            routes=len(catalogue.routes),
            size=len(item.content),
            idle_seconds=catalogue.limits.idle_seconds,
        )


class TargetView:
    """The listed targets and their health.

    Attributes:
        targets: The listed targets.
        listings: Number of full listings so far.
        builds_changed: Set by each full listing and by each build that appears.
    """

    def __init__(
        self,
        decode: Callable[[Item], TargetEntry],
        parse_incarnation: Callable[[str], str],
        log: EventLog,
    ) -> None:
        self.targets = TargetList()
        self._decode = decode
        self._parse_incarnation = parse_incarnation
        self._log = log
        self._health: dict[tuple[str, int], TargetHealth] = {}
        # The last invalid content of each key that the store contains, so that an entry
        # that is rewritten without a change is logged once.
        self._unreadable: dict[str, bytes] = {}
        self.listings = 0
        self.builds_changed = asyncio.Event()
        self._builds = BuildHistory()

    def list_builds(self, service: str, since: float) -> Set[Build] | None:
        """Return the builds of a service that were listed since a loop time.

        Returns:
            The builds; None if the list wasn't known all the time.
        """
        return self._builds.find(service, self.targets.builds, since)

    def list_all_builds(self, since: float) -> Set[Build]:
        """Return the builds that were seen listed since a loop time.

        The list may not have been known all the time.
        """
        return self._builds.list_since(self.targets.builds, since)

    def is_known_since(self, since: float) -> bool:
        """Return whether the list has been known without a gap since a loop time."""
        return self._builds.is_known_since(since)

    def apply_listing(self, listing: Listing, doubtful_until: float) -> None:
        """Apply a full listing; missing entries may have lapsed in an outage."""
        self._builds.restart(asyncio.get_running_loop().time())
        for key in self._unreadable.keys() - {item.key for item in listing.items}:
            self._unreadable.pop(key)
            self.targets.forget_dropped(self._parse_incarnation(key))
        first_listing = not self.listings
        entries = [
            entry
            for item in listing.items
            if (entry := self._read_entry(item, first_listing=first_listing))
        ]
        self.listings += 1
        self.builds_changed.set()
        self.targets.replace_all(entries, doubtful_until)
        self._log.write(
            Event.target_added, targets=len(entries), revision=listing.revision
        )
        self._drop_stale_health()

    def apply_change(self, change: Change, doubtful_until: float) -> None:
        """Apply an entry that was written or removed."""
        match change:
            case Item():
                self._apply_entry(change)
            case Removal(key=key, revision=revision):
                self._unreadable.pop(key, None)
                self._apply_removal(
                    self._parse_incarnation(key), revision, doubtful_until
                )

    def find_health(self, start_id: tuple[str, int]) -> TargetHealth:
        """Return the health of one start of a target; create it if necessary."""
        health = self._health.get(start_id)
        if health is None:
            health = TargetHealth()
            self._health[start_id] = health
        return health

    def list_limits(self) -> dict[str, RateLimit]:
        """Return the known rate limits, by the target's incarnation."""
        limits = {
            entry.incarnation: self.find_health(entry.start_id).limit
            for entry in self.targets.entries
        }
        return {target: limit for target, limit in limits.items() if limit is not None}

    def find_limit(self, incarnation: str) -> RateLimit | None:
        """Return the rate limit of a target, or None if none is known."""
        entry = self.targets.find(incarnation)
        return None if entry is None else self.find_health(entry.start_id).limit

    def record_leaving(self, entry: TargetEntry) -> None:
        """Send a target no new requests, since it has said in an answer that it leaves.

        Its entry in the store may say so later or never.
        """
        if self.targets.is_serving(entry):
            self._log.write(
                Event.target_draining,
                target=entry.incarnation,
                service=entry.service,
                domain=entry.domain,
                revision=entry.revision,
                answered=True,
            )
        self.targets.mark_departed(entry)

    def list_candidates(self, service: str) -> list[Candidate]:
        """Return the targets of a service that accept new requests.

        A process is the only one at its address, so of several entries with the same
        address all but the one that appeared last are those of ended targets.
        """
        self._drop_lapsed()
        holders: dict[Address, Candidate] = {}
        for entry in self.targets.list_serving():
            candidate = Candidate(entry, self.find_health(entry.start_id))
            known = holders.get(entry.address)
            if candidate.health.is_current and (
                known is None or _appeared_later(candidate, known)
            ):
                holders[entry.address] = candidate
        return [
            candidate
            for candidate in holders.values()
            if candidate.entry.service == service
        ]

    def _drop_lapsed(self) -> None:
        now = asyncio.get_running_loop().time()
        for entry in self.targets.drop_lapsed(now):
            self._builds.record(entry.build, now)
            self._log.write(
                Event.target_gone, target=entry.incarnation, reason='lapsed'
            )
            self._drop_stale_health()

    def _drop_stale_health(self) -> None:
        """Drop the health of starts that are no longer listed."""
        listed = {entry.start_id for entry in self.targets.entries}
        for stale in self._health.keys() - listed:
            self._health.pop(stale)

    def _read_entry(self, item: Item, *, first_listing: bool) -> TargetEntry | None:
        """Return an entry whose warm-up is recorded, or None if that isn't possible."""
        entry = self._decode_entry(item)
        if entry is None:
            return None
        try:
            self._record_entry(entry, first_listing=first_listing)
        except Exception as error:
            self._refuse_entry(item, RecordInvalid(f'{item.key}: {error!r}'))
            return None
        self._unreadable.pop(item.key, None)
        return entry

    def _decode_entry(self, item: Item) -> TargetEntry | None:
        """Return an entry, or None if its content is invalid.

        An invalid entry doesn't affect the other entries. A known target whose entry
        becomes invalid gets no more requests until its entry is valid again.
        """
        try:
            return _decode_record(self._decode, item)
        except RecordInvalid as error:
            self._refuse_entry(item, error)
            return None

    def _refuse_entry(self, item: Item, error: RecordInvalid) -> None:
        """Use a target no more whose entry is invalid or can't be applied."""
        if self._unreadable.get(item.key) != item.content:
            self._log.write(Event.record_refused, reason=str(error)[:200])
        self._unreadable[item.key] = item.content
        self._drop(self._parse_incarnation(item.key))

    def _drop(self, incarnation: str) -> None:
        known = self.targets.find(incarnation)
        if known is not None:
            self._builds.record(known.build, asyncio.get_running_loop().time())
        self.targets.drop(incarnation)

    def _apply_entry(self, item: Item) -> None:
        entry = self._read_entry(item, first_listing=False)
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

    def _record_entry(self, entry: TargetEntry, *, first_listing: bool) -> None:
        """Record what an entry that the list doesn't have yet says of a warm-up.

        A start that appears is taken for cold, whatever its entry says, unless it may
        have begun before this process.
        """
        known = self.targets.find(entry.incarnation)
        if known is not None and known.revision >= entry.revision:
            return
        now = asyncio.get_running_loop().time()
        self._builds.record((known or entry).build, now)
        if entry.build not in self.targets.builds:
            self.builds_changed.set()
        warm_up = self.find_health(entry.start_id).warm_up
        is_new = known is None or known.start_id != entry.start_id
        if is_new and not first_listing:
            warm_up.appeared_at = now
        if entry.cold_seconds:
            warm_up.cold_until = max(warm_up.cold_until, now + entry.cold_seconds)

    def _apply_removal(
        self, incarnation: str, revision: int, doubtful_until: float
    ) -> None:
        if asyncio.get_running_loop().time() < doubtful_until:
            self.targets.mark_lapsed(incarnation, doubtful_until)
            self._log.write(Event.target_lapsed, target=incarnation, revision=revision)
            return
        known = self.targets.find(incarnation)
        if known is not None:
            self._builds.record(known.build, asyncio.get_running_loop().time())
        self.targets.remove(incarnation)
        self._drop_stale_health()
        self._log.write(Event.target_gone, target=incarnation, revision=revision)


def _decode_record(decode: Callable[[Item], _Record], item: Item) -> _Record:
    """Return a decoded record; whatever its decoder raises concerns it alone.

    Raises:
        RecordInvalid: The record can't be decoded.
    """
    try:
        return decode(item)
    except RecordInvalid:
        raise
    except Exception as error:
        raise RecordInvalid(f'{item.key}: {error!r}') from error


def _appeared_later(candidate: Candidate, other: Candidate) -> bool:
    """Return whether a target appeared after another one.

    The revision decides between entries of the first listing: a target that is gone
    doesn't write its entry any more.
    """
    appearance = candidate.health.warm_up.appeared_at, candidate.entry.revision
    return appearance > (other.health.warm_up.appeared_at, other.entry.revision)
