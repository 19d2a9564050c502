"""Distinguishes crashed targets from broken connections."""

import asyncio
from collections.abc import Callable

from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.errors import ConnectionFailed, NobodyListens
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.quarantine.crashes import TargetCrash
from ibisport_fleet.targets import TargetEntry

# The connections to a crashing target break within a millisecond of each other.
GATHERING_SECONDS = 0.01
# Bound the message to other routers, which read 64 KiB: a request takes 27 bytes, its
# parts 29 bytes and 24 more for each.
MAX_DIGESTS = 1_000
MAX_PARTS = 500
MAX_LOGGED_DIGESTS = 16
CONNECT_TIMEOUT_SECONDS = 0.35


class CrashDetector:
    """Checks by a new connection whether a target crashed.

    A target has crashed if it is still listed as serving but refuses connections.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        targets: TargetView,
        log: EventLog,
        report: Callable[[TargetCrash], None],
    ) -> None:
        """Create a detector.

        Args:
            pool: Opens connections and keeps the ones that succeed.
            targets: Listed targets.
            log: Receives crashes.
            report: Called with each crash.
        """
        self._pool = pool
        self._targets = targets
        self._log = log
        self._report = report
        # Parts of broken requests, by start id and digest.
        self._broken_requests: dict[tuple[str, int], dict[str, tuple[str, ...]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_break(
        self, entry: TargetEntry, digest: str, parts: tuple[str, ...]
    ) -> None:
        """Record that a connection broke before the request's answer was complete.

        Args:
            entry: The target.
            digest: The request.
            parts: Parts of its prompt that may have caused it.
        """
        broken = self._broken_requests.get(entry.start_id)
        if broken is not None:
            broken[digest] = parts
            return
        self._broken_requests[entry.start_id] = {digest: parts}
        task = asyncio.get_running_loop().create_task(self._check(entry))
        # The event loop keeps only weak references to tasks.
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, entry: TargetEntry) -> None:
        await asyncio.sleep(GATHERING_SECONDS)
        planned = not self._targets.targets.is_serving(entry)
        crashed = not planned and await self._has_crashed(entry)
        broken = self._broken_requests.pop(entry.start_id)
        if not crashed:
            return
        digests = tuple(sorted(broken))[:MAX_DIGESTS]
        self._log.write(
            Event.target_ended,
            target=entry.incarnation,
            requests=len(broken),
            digests=digests[:MAX_LOGGED_DIGESTS],
        )
        parts = _limit_parts({digest: broken[digest] for digest in digests})
        self._report(TargetCrash(entry.incarnation, digests, parts))

    async def _has_crashed(self, entry: TargetEntry) -> bool:
        deadline = asyncio.get_running_loop().time() + CONNECT_TIMEOUT_SECONDS
        try:
            connection = await self._pool.open(entry.address, deadline)
        except NobodyListens:
            return True
        except ConnectionFailed:
            # An unresponsive network path says nothing about the target.
            return False
        self._pool.release(connection, None)
        return False


def _limit_parts(
    parts_by_digest: dict[str, tuple[str, ...]],
) -> dict[str, tuple[str, ...]]:
    """Return the parts of as many requests as one message holds."""
    limited = {}
    left = MAX_PARTS
    for digest, parts in parts_by_digest.items():
        left -= len(parts)
        if parts and left >= 0:
            limited[digest] = parts
    return limited
