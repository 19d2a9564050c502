"""Keeps a copy of a prefix of the store up to date."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from ibisport_fleet.errors import HistoryLost, StoreError
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.store import Change, Listing, Store
from ibisport_fleet.targets import RETURN_GRACE_S

# A watch that waits longer could sit on a silent connection beyond the time in
# which a change must be in force (2 s): wait and time-out together stay below
# the 3 s that count as an outage.
WATCH_WAIT_S = 1.5
RETRY_PAUSE_S = 0.15
# Entries live for 3.6 s and are renewed every 1.2 s: an outage shorter than the
# difference makes none lapse. A watch that waits may have begun 1.5 s before.
LEAST_OUTAGE_S = 2.2


class Follower(Protocol):
    """Takes what a watch brings."""

    def take_listing(self, listing: Listing, doubtful: bool) -> None:
        """Take all keys of the prefix; missing ones may come back if doubtful."""

    def take_change(self, change: Change, doubtful: bool) -> None:
        """Take one change; a removed key may come back if doubtful."""


class Contact:
    """When the store answered, and whether what it lacks may only have lapsed.

    An entry lapses after three heartbeats, so only an outage of some seconds can
    make a living target's entry go. A watch that was merely cut, or whose history
    was dropped, is no outage: what is missing then is gone.
    """

    def __init__(self, now: float) -> None:
        self.failing = False
        self._last_answer = now
        self._doubtful_until = 0.0

    def note_answer(self, now: float) -> float | None:
        """Note an answer; return the seconds of the outage that it ends, if any."""
        away = now - self._last_answer
        was_failing, self.failing = self.failing, False
        self._last_answer = now
        if not was_failing:
            return None
        if away >= LEAST_OUTAGE_S:
            self._doubtful_until = now + RETURN_GRACE_S
        return away

    def note_failure(self) -> bool:
        """Note a failed call; return whether it is the first in a row."""
        was_failing, self.failing = self.failing, True
        return not was_failing

    def is_doubtful(self, now: float) -> bool:
        """Whether an outage has just ended, so that entries may still come back."""
        return now < self._doubtful_until


class PrefixWatch:
    """One task that follows one prefix."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        follower: Follower,
        log: EventLog,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._follower = follower
        self._log = log
        self._contact = Contact(asyncio.get_running_loop().time())
        self._revision: int | None = None

    async def run(self, on_first: Callable[[], None]) -> None:
        """Follow the prefix for ever; ``on_first`` is called at the first listing."""
        while True:
            try:
                await self._take_next(on_first)
            except HistoryLost:
                self._log.write(Event.watch_lost, prefix=self._prefix)
                self._revision = None
            except StoreError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _take_next(self, on_first: Callable[[], None]) -> None:
        if self._revision is None:
            listing = await self._store.scan(self._prefix)
            doubtful = self._note_answer()
            self._follower.take_listing(listing, doubtful)
            self._revision = listing.revision
            on_first()
            return
        changes = await self._store.watch(self._prefix, self._revision, WATCH_WAIT_S)
        doubtful = self._note_answer()
        for change in changes.changes:
            self._follower.take_change(change, doubtful)
        self._revision = max(self._revision, changes.revision)

    def _note_answer(self) -> bool:
        now = asyncio.get_running_loop().time()
        away = self._contact.note_answer(now)
        if away is not None:
            self._log.write(
                Event.store_regained, prefix=self._prefix, away_s=round(away, 3)
            )
        return self._contact.is_doubtful(now)

    def _note_failure(self, error: StoreError) -> None:
        if self._contact.note_failure():
            self._log.write(Event.store_lost, prefix=self._prefix, reason=repr(error))
