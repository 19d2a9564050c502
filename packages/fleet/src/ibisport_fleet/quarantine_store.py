"""Keeps the quarantine in the store, where it outlives all routers."""

import asyncio
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.errors import RecordInvalid, StoreError
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.quarantine import MAX_QUARANTINED, Quarantine
from ibisport_fleet.store import (
    Condition,
    Conflict,
    Item,
    Listing,
    Put,
    Store,
    Written,
)

# Each router lists the prefix of routers every second or two; the page lies below it,
# so reading it costs no call of its own.
PAGE_KEY = 'ibisport/router-quarantine'
# The router that saw the last end writes; others do if it hasn't by then.
TAKEOVER_DELAY_SECONDS = 3.0
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
CONFLICT_BACKOFF_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class QuarantinePage:
    """All quarantined requests.

    Attributes:
        until: Wall-clock times, in seconds, by digest.
    """

    until: dict[str, float]


@dataclass(frozen=True, slots=True)
class _Change:
    """What the page doesn't say yet.

    Attributes:
        until: Wall-clock time until which a request is quarantined; None: it isn't.
        due: Loop time from which this router writes it.
    """

    until: float | None
    due_at: float


_DECODER = msgspec.json.Decoder(QuarantinePage)


class QuarantineStore:
    """Writes changes of the quarantine to the store, and takes those of others."""

    def __init__(self, quarantine: Quarantine, store: Store, log: EventLog) -> None:
        self._quarantine = quarantine
        self._store = store
        self._log = log
        self._page: Mapping[str, float] = {}
        self._revision = 0
        # Of the newest listing; a page that an older one lacks isn't gone.
        self._listed_revision = 0
        self._changes: dict[str, _Change] = {}
        self._changed = asyncio.Event()
        self._backoff = MIN_BACKOFF_SECONDS

    def save(self, digest: str, until: float | None, *, own: bool) -> None:
        """Write a change, as soon as the store takes it.

        Args:
            digest: The request.
            until: Wall-clock time until which it is quarantined; None: it isn't.
            own: This router found it out, and no other one writes it.
        """
        now = asyncio.get_running_loop().time()
        wait = 0.0 if own else TAKEOVER_DELAY_SECONDS * (1 + random.random())
        self._changes[digest] = _Change(until, now + wait)
        self._changed.set()

    def apply_listing(self, listing: Listing) -> None:
        """Take the page out of a listing, which may be stale."""
        if listing.revision < self._listed_revision:
            return
        self._listed_revision = listing.revision
        items = [item for item in listing.items if item.key == PAGE_KEY]
        if items:
            self._apply_item(items[0])
        elif self._revision and listing.revision > self._revision:
            self._apply_page({}, 0)

    async def run(self) -> None:
        """Write what is due, for ever."""
        while True:
            await self._wait_until_due()
            try:
                await self._write_due()
            except StoreError as error:
                self._log.write(Event.quarantine_unsaved, reason=repr(error))
                await asyncio.sleep(draw_jittered_delay(self._backoff))
                self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)

    async def _wait_until_due(self) -> None:
        """Wait until a change is due."""
        self._changed.clear()
        due = min((one.due_at for one in self._changes.values()), default=None)
        try:
            async with asyncio.timeout_at(due):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _write_due(self) -> None:
        now = asyncio.get_running_loop().time()
        due = {name: one for name, one in self._changes.items() if one.due_at <= now}
        missing = {
            name: one for name, one in due.items() if self._is_missing(name, one)
        }
        self._discard_changes(due.keys() - missing.keys())
        if not missing:
            return
        kept = self._merge_page(missing)
        content = msgspec.json.encode(QuarantinePage(kept))
        written = await self._store.write(
            (Condition(PAGE_KEY, self._revision),), (Put(PAGE_KEY, content),)
        )
        self._backoff = MIN_BACKOFF_SECONDS
        match written:
            case Written(revision=revision):
                self._apply_page(kept, revision)
                # One that came meanwhile stays.
                self._discard_changes(
                    name for name in missing if self._changes.get(name) is missing[name]
                )
            case Conflict():
                self._apply_conflict(written)
                await asyncio.sleep(draw_jittered_delay(CONFLICT_BACKOFF_SECONDS))
        self._changed.set()

    def _apply_conflict(self, conflict: Conflict) -> None:
        found = conflict.find(PAGE_KEY)
        if found is None:
            self._apply_page({}, 0)
        else:
            self._apply_item(found)

    def _discard_changes(self, digests: Iterable[str]) -> None:
        for digest in tuple(digests):
            self._changes.pop(digest)

    def _is_missing(self, digest: str, change: _Change) -> bool:
        """Whether the page doesn't say what a change says; clocks of routers differ."""
        return (change.until is None) == (digest in self._page)

    def _merge_page(self, changes: Mapping[str, _Change]) -> dict[str, float]:
        """Return the latest entries of the page with some changes."""
        page = dict(self._page)
        for digest, change in changes.items():
            if change.until is None:
                page.pop(digest)
            else:
                page[digest] = change.until
        latest = sorted(page.items(), key=lambda entry: entry[1])
        return dict(latest[-MAX_QUARANTINED:])

    def _apply_item(self, item: Item) -> None:
        if item.revision <= self._revision:
            return
        try:
            page = decode_page(item)
        except RecordInvalid as error:
            self._log.write(Event.record_refused, reason=str(error)[:200])
            # The next write replaces it.
            page = QuarantinePage({})
        self._apply_page(page.until, item.revision)

    def _apply_page(self, entries: Mapping[str, float], revision: int) -> None:
        """Take a page; what was on the one before and isn't now is lifted."""
        for digest in self._page.keys() - entries.keys():
            if digest not in self._changes:
                self._quarantine.lift(digest)
        for digest, until in entries.items():
            change = self._changes.get(digest)
            if change is None or change.until is not None:
                self._quarantine.put(digest, until)
        self._page = entries
        self._revision = revision


def decode_page(item: Item) -> QuarantinePage:
    """Return the page that an item holds.

    Raises:
        RecordInvalid: It can't be read.
    """
    try:
        return _DECODER.decode(item.content)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RecordInvalid(f'{item.key}: {error!r}') from error
