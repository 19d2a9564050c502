"""Tells targets that ended from connections that broke."""

import asyncio
from collections.abc import Callable

from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.errors import ConnectionFailed, NobodyListens
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.quarantine import TargetCrash
from ibisport_fleet.targets import TargetEntry

# The connections of a target that ends break within a millisecond of each other.
GATHERING_SECONDS = 0.01
# What one message to another router holds.
MAX_DIGESTS = 1_000
CONNECT_TIMEOUT_SECONDS = 0.35


class CrashDetector:
    """Connects anew to a target at which a request broke.

    A target that ended unplanned is still listed, and nobody listens at its address.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        targets: TargetView,
        log: EventLog,
        report: Callable[[TargetCrash], None],
    ) -> None:
        """Begin with nothing.

        Args:
            pool: Opens connections, and keeps those that stand.
            targets: What is listed.
            log: Where ends are written.
            report: Is called with each end.
        """
        self._pool = pool
        self._targets = targets
        self._log = log
        self._report = report
        self._broken_requests: dict[tuple[str, int], set[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_break(self, entry: TargetEntry, digest: str) -> None:
        """Note a request whose connection broke before its answer was whole."""
        broken = self._broken_requests.get(entry.start_id)
        if broken is not None:
            broken.add(digest)
            return
        self._broken_requests[entry.start_id] = {digest}
        task = asyncio.get_running_loop().create_task(self._check(entry))
        # The loop itself keeps no reference to a task.
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, entry: TargetEntry) -> None:
        await asyncio.sleep(GATHERING_SECONDS)
        planned = not self._targets.targets.is_serving(entry)
        ended = not planned and await self._has_crashed(entry)
        digests = self._broken_requests.pop(entry.start_id)
        if not ended:
            return
        self._log.write(
            Event.target_ended, target=entry.incarnation, requests=len(digests)
        )
        named = tuple(sorted(digests))[:MAX_DIGESTS]
        self._report(TargetCrash(entry.incarnation, named))

    async def _has_crashed(self, entry: TargetEntry) -> bool:
        deadline = asyncio.get_running_loop().time() + CONNECT_TIMEOUT_SECONDS
        try:
            exchange = await self._pool.open(entry.address, deadline)
        except NobodyListens:
            return True
        except ConnectionFailed:
            # A path that fell silent says nothing of the target.
            return False
        self._pool.release(exchange, None)
        return False
