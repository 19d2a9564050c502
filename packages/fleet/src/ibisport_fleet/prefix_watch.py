"""Keeps a copy of a prefix of the store up to date."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from ibisport_fleet.errors import (
    ChangesTooLong,
    HistoryLost,
    StoreError,
    StoreUnavailable,
)
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.store import Change, Listing, Store, WatchOptions
from ibisport_fleet.store_contact import StoreContact
from ibisport_fleet.watch_schedule import WatchSchedule

MIN_BACKOFF_SECONDS = 0.15
# The pause doubles up to this one, so that an outage isn't filled with calls.
MAX_BACKOFF_SECONDS = 0.6
# Changes that are longer by so much than all keys together are listed instead: a watch
# brings each version since, and a narrow link never catches up with large ones.
MAX_EXCESS_BYTES = 262_144


class Subscriber(Protocol):
    """Takes what a watch brings."""

    def apply_listing(self, listing: Listing, doubtful_until: float) -> None:
        """Take all keys of the prefix; missing ones may come back until then."""

    def apply_change(self, change: Change, doubtful_until: float) -> None:
        """Take one change; a removed key may come back until then."""


class PrefixWatch:
    """One task that follows one prefix.

    Attributes:
        confirmed_at: Loop time of the last answer; what is known was the newest then.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        follower: Subscriber,
        log: EventLog,
        contact: StoreContact,
        plan: Callable[[], WatchSchedule],
    ) -> None:
        """Begin with nothing.

        Args:
            store: Where the prefix is.
            prefix: What the keys begin with.
            follower: Takes what is found.
            log: Where outages are written.
            contact: Is told of each answer.
            plan: Tells how the next watch is to be made.
        """
        self.confirmed_at = asyncio.get_running_loop().time()
        self._plan_schedule = plan
        self._store = store
        self._prefix = prefix
        self._subscriber = follower
        self._log = log
        self._contact = contact
        self._failing = False
        self._revision: int | None = None
        self._max_revision = 0
        self._backoff = MIN_BACKOFF_SECONDS
        self._listed_bytes = 0

    async def run(self, on_first: Callable[[], None]) -> None:
        """Follow the prefix for ever; ``on_first`` is called at the first listing."""
        while True:
            try:
                await self._update_once(on_first)
            except HistoryLost:
                self._log.write(Event.watch_lost, prefix=self._prefix)
                self._revision = None
            except ChangesTooLong:
                self._revision = None
            except StoreError as error:
                self._record_failure(error)
                # A watch brings each version since, and a listing the newest alone.
                self._revision = None
                await asyncio.sleep(self._backoff)
                self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)

    async def _update_once(self, on_first: Callable[[], None]) -> None:
        pace = self._plan_schedule()
        if self._revision is None:
            listing = await self._store.scan(self._prefix, shared=pace.shared)
            if listing.revision < self._max_revision:
                raise StoreUnavailable(f'a listing of revision {listing.revision}')
            self._record_answer()
            self._subscriber.apply_listing(listing, self._contact.doubtful_until)
            self._revision = self._max_revision = listing.revision
            self._listed_bytes = sum(len(item.content) for item in listing.items)
            on_first()
            return
        begun = asyncio.get_running_loop().time()
        most_bytes = self._listed_bytes + MAX_EXCESS_BYTES
        terms = WatchOptions(pace.wait, most_bytes, pace.shared)
        changes = await self._store.watch(self._prefix, self._revision, terms)
        self._record_answer()
        for change in changes.changes:
            self._subscriber.apply_change(change, self._contact.doubtful_until)
        self._revision = max(self._revision, changes.revision)
        self._max_revision = self._revision
        if changes.changes:
            # Changes that follow each other closely come together.
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(begun + pace.min_interval - now)

    def _record_answer(self) -> None:
        self.confirmed_at = asyncio.get_running_loop().time()
        away = self._contact.record_answer(self.confirmed_at)
        self._backoff = MIN_BACKOFF_SECONDS
        if self._failing:
            self._failing = False
            self._log.write(
                Event.store_regained, prefix=self._prefix, away_s=round(away, 3)
            )

    def _record_failure(self, error: StoreError) -> None:
        if not self._failing:
            self._failing = True
            self._log.write(Event.store_lost, prefix=self._prefix, reason=repr(error))
