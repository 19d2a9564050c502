"""Shares one watch of the store among all callers that watch a prefix at a relay.

Routers of a failure domain use the same relay, so the number of calls to the store
depends on how often something changes, and not on the number of routers.
"""

import asyncio
import contextlib
from collections import deque

from ibisport_fleet.errors import StoreError, StoreUnavailable
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.store import Change, Item, Store, WatchOptions, WatchResult
from ibisport_fleet.watch_schedule import WatchSchedule, plan_relay_watch

# Kept for routers that lag; calls of routers that lag further go on to the store.
MAX_KEPT_BYTES = 4_194_304
MAX_KEPT_CHANGES = 2_000
# Routers watch a few prefixes; a caller that asks for more is no router.
MAX_PREFIXES = 8


class SharedWatch:
    """A watch of one prefix: its recent changes and the callers that wait for more."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        after: int,
        schedule: WatchSchedule,
        log: EventLog,
    ) -> None:
        """Start watching.

        Args:
            store: Store that is watched.
            prefix: Prefix of the keys.
            after: Revision after which all changes are kept.
            schedule: Intervals and timeouts of the calls to the store.
            log: Receives the start and the end of the watch.
        """
        loop = asyncio.get_running_loop()
        self._store = store
        self._prefix = prefix
        self._schedule = schedule
        self._log = log
        self._kept: deque[Change] = deque()
        self._kept_bytes = 0
        self._kept_after = after
        self._revision = after
        self._last_answer_at = loop.time()
        self._last_request_at = loop.time()
        # Loop time by which the answer in progress must be complete; 0 if none is.
        self._answer_deadline = 0.0
        self._waiting = 0
        self._failure: StoreError | None = None
        self._updated = asyncio.Event()
        self._task = loop.create_task(self._run())

    @property
    def ended(self) -> bool:
        """Whether the watch has ended and brings no more changes."""
        return self._failure is not None

    @property
    def _unused_at(self) -> float:
        """Loop time from which the watch counts as unused."""
        return self._last_request_at + self._schedule.timeout_seconds

    def covers(self, after: int) -> bool:
        """Return whether all changes after a revision are kept."""
        return after >= self._kept_after

    async def wait_for_changes(self, after: int, wait: float) -> WatchResult:
        """Return the changes after a revision, as a watch of the store does.

        An empty result is returned only if the store has answered since the call:
        the caller takes it as proof that the store can be reached.

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
        self, after: int, requested_at: float, wait: float
    ) -> WatchResult:
        loop = asyncio.get_running_loop()
        deadline = requested_at + wait
        while True:
            changes = tuple(change for change in self._kept if change.revision > after)
            if changes:
                return WatchResult(changes, max(after, self._revision))
            if self._failure is not None:
                raise StoreUnavailable(repr(self._failure))
            expired = loop.time() >= deadline
            if expired and self._last_answer_at >= requested_at:
                return WatchResult((), max(after, self._revision))
            # After the deadline, the store's next answer or failure ends the wait;
            # the watch's own timeout bounds it.
            await self._wait_for_update(None if expired else deadline)

    async def _wait_for_update(self, deadline: float | None) -> None:
        updated = self._updated
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await updated.wait()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        self._log.write(
            Event.watch_shared, prefix=self._prefix, revision=self._kept_after
        )
        try:
            # The watch ends when no caller has asked for the prefix for a while.
            while self._waiting or loop.time() < self._unused_at:
                await self._watch_once()
            self._failure = StoreUnavailable('no calls for the prefix')
        except (StoreError, TimeoutError) as error:
            self._failure = StoreUnavailable(repr(error))
        finally:
            # However the watch ended, no caller may wait for changes that never come.
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
        started_at = loop.time()
        async with asyncio.timeout_at(
            started_at + self._schedule.timeout_seconds
        ) as timeout:
            self._answer_deadline = 0.0
            options = WatchOptions(
                self._schedule.wait, on_bytes=lambda: self._extend_timeout(timeout)
            )
            result = await self._store.watch(self._prefix, self._revision, options)
        for change in result.changes:
            self._append(change)
        self._revision = max(self._revision, result.revision)
        self._last_answer_at = loop.time()
        self._notify_waiters()
        if result.changes:
            # Changes in quick succession are fetched with one call.
            await asyncio.sleep(started_at + self._schedule.min_interval - loop.time())

    def _extend_timeout(self, timeout: asyncio.Timeout) -> None:
        """Extend the timeout of an answer in progress: a large change takes time.

        Args:
            timeout: Timeout of the call.
        """
        now = asyncio.get_running_loop().time()
        self._last_answer_at = now
        self._answer_deadline = (
            self._answer_deadline or now + self._schedule.max_answer_seconds
        )
        if not timeout.expired():
            timeout.reschedule(
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
        updated, self._updated = self._updated, asyncio.Event()
        updated.set()


class WatchCache:
    """The shared watches of a relay, by prefix."""

    def __init__(
        self, store: Store, max_propagation_delay: float, log: EventLog
    ) -> None:
        """Start without any watch.

        Args:
            store: Store that is watched.
            max_propagation_delay: Maximum time until a change takes effect, seconds.
            log: Receives the start and the end of each watch.
        """
        self._store = store
        self._schedule = plan_relay_watch(max_propagation_delay)
        self._log = log
        self._watches: dict[str, SharedWatch] = {}

    def find(self, prefix: str, after: int) -> SharedWatch | None:
        """Return the watch of a prefix, started if needed.

        None if it lacks changes after the revision, or if too many prefixes are
        watched.
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
