"""Runs a task for each accepted connection."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from weakref import WeakSet

from ibisport_fleet.channel import Channel
from ibisport_fleet.errors import ConnectionBroken
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.overload.memory_budget import MemoryBudget, MemoryUse
from ibisport_fleet.overload.waiting import WaitingConnections


@dataclass(frozen=True, slots=True)
class ListenerBounds:
    """What the connections of a listener may use.

    Attributes:
        memory: The memory that they share with those of other listeners.
        max_connections: The number of connections.
    """

    memory: MemoryBudget
    max_connections: int


class ConnectionTasks:
    """Tasks of all connections of a listener.

    A task is cancelled as soon as its peer disconnects, so that no work is done for
    an absent peer.

    Attributes:
        waiting: The connections on which no request is in progress.
        rejected: Number of connections that were closed for want of descriptors.
    """

    def __init__(
        self,
        serve: Callable[[Channel], Awaitable[None]],
        name: str,
        log: EventLog,
        bounds: ListenerBounds | None = None,
    ) -> None:
        """Start without any connection.

        Args:
            serve: Serves a connection until it ends.
            name: Name of the tasks in the log.
            log: Receives the failures of tasks.
            bounds: What the connections may use; None: there is no bound.
        """
        self.waiting = WaitingConnections()
        self.rejected = 0
        self._bounds = bounds
        self._serve = serve
        self._name = name
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()
        # A channel is referenced until its transport has sent all written data.
        self._channels: WeakSet[Channel] = WeakSet()

    @property
    def flushed(self) -> bool:
        """Whether all written data has been handed to the operating system."""
        return not any(channel.unsent_bytes for channel in self._channels)

    def __len__(self) -> int:
        return len(self._tasks)

    def accept(self) -> Channel:
        """Return the protocol object of a new connection."""
        memory = None if self._bounds is None else self._bounds.memory
        return Channel(self._start, MemoryUse(memory))

    def _start(self, channel: Channel) -> None:
        if self._bounds is not None and len(self) >= self._bounds.max_connections:
            self.rejected += 1
            if not self.waiting.close_longest():
                channel.abort()
                return
        self._channels.add(channel)
        task = asyncio.get_running_loop().create_task(self._run(channel))
        # The loop keeps only weak references to tasks.
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        channel.on_lost = partial(_cancel, task)

    async def _run(self, channel: Channel) -> None:
        try:
            await self._serve(channel)
        finally:
            # The garbage collector may find the channel late.
            channel.interrupt(partial(ConnectionBroken, 'the connection is closed'))
            channel.memory.release()
            channel.close()

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        failure = task.exception()
        if failure is not None:
            self._log.write_error(Event.task_failed, failure, task=self._name)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
