"""Keeps a copy of a prefix of the store up to date."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ibisport_fleet.errors import HistoryLost, StoreError
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.store import Change, Listing, Store

# A watch that waits longer could sit on a silent connection beyond the time in
# which a change must be in force (2 s): wait and time-out together stay below
# the 3 s that count as an outage.
WATCH_WAIT_S = 1.5
RETRY_PAUSE_S = 0.15


class Follower(Protocol):
    """Takes what a watch brings."""

    def take_listing(self, listing: Listing, after_outage: bool) -> None:
        """Take all keys of the prefix."""

    def take_change(self, change: Change, after_outage: bool) -> None:
        """Take one change."""


@dataclass(slots=True)
class StoreContact:
    """When the store last answered.

    Attributes:
        last_answer: Loop time of the last answer to a watch or listing.
        failing: The last call failed.
        returned: Loop time of the last answer that followed a failure.
    """

    last_answer: float = 0.0
    failing: bool = False
    returned: float = 0.0


class PrefixWatch:
    """One task that follows one prefix."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        follower: Follower,
        log: EventLog,
        contact: StoreContact,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._follower = follower
        self._log = log
        self._contact = contact
        self._revision: int | None = None
        self._settle_seconds = 0.0

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
            self._note_answer()
            self._follower.take_listing(listing, self._after_outage())
            self._revision = listing.revision
            on_first()
            return
        changes = await self._store.watch(self._prefix, self._revision, WATCH_WAIT_S)
        self._note_answer()
        for change in changes.changes:
            self._follower.take_change(change, self._after_outage())
        self._revision = max(self._revision, changes.revision)

    def _after_outage(self) -> bool:
        return self._contact.last_answer < self._contact.returned + self._settle_seconds

    def _note_answer(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._contact.failing:
            self._log.write(
                Event.store_regained,
                prefix=self._prefix,
                away_s=round(now - self._contact.last_answer, 3),
            )
            self._contact.failing = False
            self._contact.returned = now
            self._settle_seconds = AFTER_OUTAGE_S
        self._contact.last_answer = now

    def _note_failure(self, error: StoreError) -> None:
        if not self._contact.failing:
            self._contact.failing = True
            self._log.write(
                Event.store_lost, prefix=self._prefix, reason=repr(error)
            )


# Removals that come so soon after an outage may only be entries that lapsed in it.
AFTER_OUTAGE_S = 2.3
