"""One watch of the store for all who ask a relay for the changes of a prefix.

Routers of a failure domain ask the same relay, so the store is asked as often as
something changes, and not as often as that for each router.
"""

import asyncio
import contextlib
from collections import deque

from ibisport_fleet.errors import StoreError, StoreUnavailable
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.store import Change, Item, Store, WatchOptions, WatchResult
from ibisport_fleet.watch_schedule import WatchSchedule, plan_relay_watch

# What is kept for routers that lag; who lags further is passed on to the store.
MAX_KEPT_BYTES = 4_194_304
MAX_KEPT_CHANGES = 2_000
# Routers follow a few prefixes; what asks for more is no router.
MAX_PREFIXES = 8


class SharedWatch:
    """One prefix: its changes since a revision, and who waits for the next ones."""

    def __init__(
        self, store: Store, prefix: str, after: int, pace: WatchSchedule, log: EventLog
    ) -> None:
        """Begin to watch.

        Args:
            store: Where the changes come from.
            prefix: What the keys begin with.
            after: The revision from which on all changes are kept.
            pace: How the store is asked.
            log: Where the begin and the end are written.
        """
        loop = asyncio.get_running_loop()
        self._store = store
        self._prefix = prefix
        self._schedule = pace
        self._log = log
        self._kept: deque[Change] = deque()
        self._kept_bytes = 0
        self._kept_after = after
        self._revision = after
        self._last_answer_at = loop.time()
        self._last_request_at = loop.time()
        # Loop time by which the answer that is on its way must be whole.
        self._answer_deadline = 0.0
        self._waiting = 0
        self._failure: StoreError | None = None
        self._updated = asyncio.Event()
        self._task = loop.create_task(self._run())

    @property
    def ended(self) -> bool:
        """Whether nothing new will come."""
        return self._failure is not None

    @property
    def _unused_at(self) -> float:
        """Loop time from which nobody seems to ask any more."""
        return self._last_request_at + self._schedule.timeout_seconds

    def covers(self, after: int) -> bool:
        """Whether all changes after a revision are kept."""
        return after >= self._kept_after

    async def wait_for_changes(self, after: int, wait: float) -> WatchResult:
        """Return the changes after a revision, as the store's own watch does.

        An answer without changes is given only if the store has answered meanwhile:
        who asks takes it for a sign that the store can be reached.

        Raises:
            StoreUnavailable: The store doesn't answer.
        """
        self._last_request_at = asyncio.get_running_loop().time()
        self._waiting += 1
        try:
            return await self._wait_for_changes(after, self._last_request_at, wait)
        finally:
            self._waiting -= 1

    async def _wait_for_changes(
        self, after: int, asked_at: float, wait: float
    ) -> WatchResult:
        loop = asyncio.get_running_loop()
        until = asked_at + wait
        while True:
            changes = tuple(one for one in self._kept if one.revision > after)
            if changes:
                return WatchResult(changes, max(after, self._revision))
            if self._failure is not None:
                raise StoreUnavailable(repr(self._failure))
            due = loop.time() >= until
            if due and self._last_answer_at >= asked_at:
                return WatchResult((), max(after, self._revision))
            # The next answer of the store, or its failure, is bounded in time.
            await self._wait_for_update(None if due else until)

    async def _wait_for_update(self, until: float | None) -> None:
        news = self._updated
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                await news.wait()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        self._log.write(
            Event.watch_shared, prefix=self._prefix, revision=self._kept_after
        )
        try:
            # A prefix that nobody asks for any more isn't watched.
            while self._waiting or loop.time() < self._unused_at:
                await self._watch_once()
            self._failure = StoreUnavailable('nobody asked')
        except (StoreError, TimeoutError) as error:
            self._failure = StoreUnavailable(repr(error))
        finally:
            # Whatever ended it, nobody may wait for what doesn't come.
            self._failure = self._failure or StoreUnavailable('the watch has ended')
            self._notify_waiters()
            self._log.write(
                Event.watch_ended,
                prefix=self._prefix,
                revision=self._revision,
                waiting=self._waiting,
                reason=repr(self._failure),
            )

    async def _watch_once(self) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        async with asyncio.timeout_at(begun + self._schedule.timeout_seconds) as timer:
            self._answer_deadline = 0.0
            terms = WatchOptions(
                self._schedule.wait, on_bytes=lambda: self._extend_timeout(timer)
            )
            found = await self._store.watch(self._prefix, self._revision, terms)
        for change in found.changes:
            self._append(change)
        self._revision = max(self._revision, found.revision)
        self._last_answer_at = loop.time()
        self._notify_waiters()
        if found.changes:
            # Changes that follow each other closely come together.
            await asyncio.sleep(begun + self._schedule.min_interval - loop.time())

    def _extend_timeout(self, timer: asyncio.Timeout) -> None:
        """Note that an answer is on its way: a large change may take its time.

        Args:
            timer: What gives the answer up.
        """
        now = asyncio.get_running_loop().time()
        self._last_answer_at = now
        self._answer_deadline = (
            self._answer_deadline or now + self._schedule.max_answer_seconds
        )
        if not timer.expired():
            timer.reschedule(
                min(now + self._schedule.timeout_seconds, self._answer_deadline)
            )

    def _append(self, change: Change) -> None:
        self._kept.append(change)
        self._kept_bytes += _count_bytes(change)
        while self._kept_bytes > MAX_KEPT_BYTES or len(self._kept) > MAX_KEPT_CHANGES:
            dropped = self._kept.popleft()
            self._kept_bytes -= _count_bytes(dropped)
            self._kept_after = max(self._kept_after, dropped.revision)

    def _notify_waiters(self) -> None:
        news, self._updated = self._updated, asyncio.Event()
        news.set()


class WatchCache:
    """The prefixes that a relay watches."""

    def __init__(self, store: Store, change_bound: float, log: EventLog) -> None:
        """Begin with none.

        Args:
            store: Where the changes come from.
            change_bound: Longest time after which a change must be in force, seconds.
            log: Where the begin and the end of each watch are written.
        """
        self._store = store
        self._schedule = plan_relay_watch(change_bound)
        self._log = log
        self._watches: dict[str, SharedWatch] = {}

    def find(self, prefix: str, after: int) -> SharedWatch | None:
        """Return the watch of a prefix.

        None if it lacks changes after a revision, or if too many are watched.
        """
        self._watches = {
            name: watch for name, watch in self._watches.items() if not watch.ended
        }
        found = self._watches.get(prefix)
        if found is None:
            if len(self._watches) >= MAX_PREFIXES:
                return None
            found = SharedWatch(self._store, prefix, after, self._schedule, self._log)
            self._watches[prefix] = found
        return found if found.covers(after) else None


def _count_bytes(change: Change) -> int:
    return len(change.content) if isinstance(change, Item) else 0
