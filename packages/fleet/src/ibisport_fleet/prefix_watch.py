"""Delivers the keys of a prefix, and then every change of them, to a subscriber."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ibisport_fleet.clocks import read_boot_clock
from ibisport_fleet.errors import (
    ChangesTooLong,
    HistoryLost,
    StoreError,
    StoreUnavailable,
)
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.store import Change, Listing, Store, WatchOptions
from ibisport_fleet.store_contact import StoreContact
from ibisport_fleet.watch_schedule import WatchSchedule

MIN_BACKOFF_SECONDS = 0.15
# The backoff doubles with each failure, up to this bound, to limit the number of calls
# in an outage.
MAX_BACKOFF_SECONDS = 0.6
# Between attempts to apply what a subscriber failed to apply.
ERROR_BACKOFF_SECONDS = 1.0
# If the changes since the last answer are longer than the last listing by more than
# this, the prefix is listed again: a watch returns every version since that answer, and
# over a narrow link it would never catch up with large versions.
MAX_EXCESS_BYTES = 262_144


class Subscriber(Protocol):
    """Receives the listings and changes of a prefix."""

    def apply_listing(self, listing: Listing, doubtful_until: float) -> None:
        """Apply all keys of the prefix; missing keys may reappear until this time."""

    def apply_change(self, change: Change, doubtful_until: float) -> None:
        """Apply a change; a removed key may reappear until this time."""


@dataclass(frozen=True, slots=True)
class SubscriberGroup:
    """Several subscribers of one prefix, each of which picks its own keys."""

    subscribers: tuple[Subscriber, ...]

    def apply_listing(self, listing: Listing, doubtful_until: float) -> None:
        """Apply all keys of the prefix at each subscriber."""
        for subscriber in self.subscribers:
            subscriber.apply_listing(listing, doubtful_until)

    def apply_change(self, change: Change, doubtful_until: float) -> None:
        """Apply a change at each subscriber."""
        for subscriber in self.subscribers:
            subscriber.apply_change(change, doubtful_until)


class PrefixWatch:
    """Task that lists and watches a prefix.

    Attributes:
        confirmed_at: Loop time of the last answer, when the known state was current.
        current_at: Boot-clock time at which the last answered call began. Its answer
            may have waited since then, while this process was suspended.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        subscriber: Subscriber,
        log: EventLog,
        contact: StoreContact,
        plan_schedule: Callable[[], WatchSchedule],
    ) -> None:
        """Start without any known state.

        Args:
            store: Store that is watched.
            prefix: Prefix of the keys.
            subscriber: Receives listings and changes.
            log: Receives the start and the end of outages.
            contact: Records each answer of the store.
            plan_schedule: Returns the schedule of the next watch.
        """
        self.confirmed_at = asyncio.get_running_loop().time()
        self.current_at = -math.inf
        self._plan_schedule = plan_schedule
        self._store = store
        self._prefix = prefix
        self._subscriber = subscriber
        self._log = log
        self._contact = contact
        self._failing = False
        self._revision: int | None = None
        self._max_revision = 0
        self._backoff = MIN_BACKOFF_SECONDS
        self._listed_bytes = 0

    async def run(self, on_listed: Callable[[], None]) -> None:
        """Watch the prefix forever; ``on_listed`` is called after each listing."""
        while True:
            try:
                await self._update_once(on_listed)
            except Exception as error:
                await self._recover(error)

    async def _recover(self, error: Exception) -> None:
        """Prepare to list the prefix again, after a delay if that may fail as well.

        A watch would return every version since the last answer; a listing returns only
        the newest one of each key.
        """
        self._revision = None
        match error:
            case HistoryLost():
                self._log.write(Event.watch_lost, prefix=self._prefix)
            case ChangesTooLong():
                return
            case StoreError():
                self._record_failure(error)
                await asyncio.sleep(self._backoff)
                self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
            case _:
                # A restart of the process would read the same record again.
                self._log.write_error(Event.task_failed, error, task=self._prefix)
                await asyncio.sleep(ERROR_BACKOFF_SECONDS)

    async def _update_once(self, on_listed: Callable[[], None]) -> None:
        schedule = self._plan_schedule()
        called_at = read_boot_clock()
        if self._revision is None:
            listing = await self._store.scan(self._prefix, shared=schedule.shared)
            if listing.revision < self._max_revision:
                raise StoreUnavailable(f'stale listing of revision {listing.revision}')
            answered_at = self._record_answer()
            self._subscriber.apply_listing(listing, self._contact.doubtful_until)
            self._confirm(called_at, answered_at)
            self._revision = self._max_revision = listing.revision
            self._listed_bytes = sum(len(item.content) for item in listing.items)
            on_listed()
            return
        started_at = asyncio.get_running_loop().time()
        max_bytes = self._listed_bytes + MAX_EXCESS_BYTES
        options = WatchOptions(schedule.wait, max_bytes, schedule.shared)
        result = await self._store.watch(self._prefix, self._revision, options)
        answered_at = self._record_answer()
        for change in result.changes:
            self._subscriber.apply_change(change, self._contact.doubtful_until)
        self._confirm(called_at, answered_at)
        self._revision = max(self._revision, result.revision)
        self._max_revision = self._revision
        if result.changes:
            # Changes in quick succession are fetched with one call.
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(started_at + schedule.min_interval - now)

    def _confirm(self, called_at: float, answered_at: float) -> None:
        """Record that the state of an answer is applied."""
        self.current_at = called_at
        self.confirmed_at = answered_at

    def _record_answer(self) -> float:
        """Record that the store has answered; return the loop time."""
        answered_at = asyncio.get_running_loop().time()
        outage = self._contact.record_answer(answered_at)
        self._backoff = MIN_BACKOFF_SECONDS
        if self._failing:
            self._failing = False
            self._log.write(
                Event.store_regained, prefix=self._prefix, away_s=round(outage, 3)
            )
        return answered_at

    def _record_failure(self, error: StoreError) -> None:
        if not self._failing:
            self._failing = True
            self._log.write(Event.store_lost, prefix=self._prefix, reason=repr(error))
