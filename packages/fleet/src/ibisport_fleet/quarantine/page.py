"""Keeps the quarantine in the store, where it outlives all router processes."""

import asyncio
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.errors import RecordInvalid, StoreError
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.item_decoding import decode_item
from ibisport_fleet.quarantine.policy import MAX_QUARANTINED, Quarantine
from ibisport_fleet.store import (
    Condition,
    Conflict,
    Item,
    Listing,
    Put,
    Store,
    Written,
)

# The page lies under the prefix that each router lists every one to two seconds, so
# reading it takes no additional call.
PAGE_KEY = 'ibisport/router-quarantine'
# The router that made a change writes it; another router does so if the page still
# lacks it after one to two times this long.
TAKEOVER_DELAY_SECONDS = 3.0
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
CONFLICT_BACKOFF_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class QuarantinePage:
    """Stored record of all quarantined requests.

    Attributes:
        until: Wall-clock times in seconds until which requests are quarantined, by
            digest.
    """

    until: dict[str, float]


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of one request that the page may not contain yet.

    Attributes:
        until: Wall-clock time until which the request is quarantined; None: it isn't.
        due_at: Loop time from which this router writes the change.
    """

    until: float | None
    due_at: float


_DECODER = msgspec.json.Decoder(QuarantinePage)


class QuarantineStore:
    """Synchronizes the quarantine with its page in the store."""

    def __init__(self, quarantine: Quarantine, store: Store, log: EventLog) -> None:
        self._quarantine = quarantine
        self._store = store
        self._log = log
        self._page: Mapping[str, float] = {}
        self._revision = 0
        # Revision of the newest listing. A stale listing may lack a page that exists.
        self._listed_revision = 0
        self._changes: dict[str, _Change] = {}
        self._changed = asyncio.Event()
        self._backoff = MIN_BACKOFF_SECONDS

    def save(self, digest: str, until: float | None, *, own: bool) -> None:
        """Schedule a change to be written; failed writes are retried.

        Args:
            digest: The request.
            until: Wall-clock time until which it is quarantined; None: it isn't.
            own: This router made the change, and writes it at once.
        """
        now = asyncio.get_running_loop().time()
        delay = 0.0 if own else TAKEOVER_DELAY_SECONDS * (1 + random.random())
        self._changes[digest] = _Change(until, now + delay)
        self._changed.set()

    def apply_listing(self, listing: Listing) -> None:
        """Apply the page of a listing, which may be stale."""
        if listing.revision < self._listed_revision:
            return
        self._listed_revision = listing.revision
        items = [item for item in listing.items if item.key == PAGE_KEY]
        if items:
            self._apply_item(items[0])
        elif self._revision and listing.revision > self._revision:
            self._apply_page({}, 0)

    async def run(self) -> None:
        """Write changes that are due until cancelled."""
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
        due_at = min((change.due_at for change in self._changes.values()), default=None)
        try:
            async with asyncio.timeout_at(due_at):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _write_due(self) -> None:
        now = asyncio.get_running_loop().time()
        due = {
            digest: change
            for digest, change in self._changes.items()
            if change.due_at <= now
        }
        missing = {
            digest: change
            for digest, change in due.items()
            if self._is_missing(digest, change)
        }
        self._discard_changes(due.keys() - missing.keys())
        if not missing:
            return
        entries = self._merge_page(missing)
        content = msgspec.json.encode(QuarantinePage(entries))
        written = await self._store.write(
            (Condition(PAGE_KEY, self._revision),), (Put(PAGE_KEY, content),)
        )
        self._backoff = MIN_BACKOFF_SECONDS
        match written:
            case Written(revision=revision):
                self._apply_page(entries, revision)
                # Changes that were scheduled during the write stay.
                self._discard_changes(
                    digest
                    for digest in missing
                    if self._changes.get(digest) is missing[digest]
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
        """Return whether the page lacks a change.

        Times aren't compared, since the clocks of routers differ.
        """
        return (change.until is None) == (digest in self._page)

    def _merge_page(self, changes: Mapping[str, _Change]) -> dict[str, float]:
        """Return the page's entries with changes merged in.

        Beyond ``MAX_QUARANTINED`` entries, those that end earliest are dropped.
        """
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
            # The next write replaces the invalid page.
            page = QuarantinePage({})
        self._apply_page(page.until, item.revision)

    def _apply_page(self, entries: Mapping[str, float], revision: int) -> None:
        """Apply a page of the store to the quarantine.

        Requests that were on the previous page and aren't on this one are lifted,
        except those with a change that isn't written yet.
        """
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
    """Return the quarantine page in an item of the store.

    Raises:
        RecordInvalid: The content is no valid page.
    """
    return decode_item(_DECODER.decode, item)
