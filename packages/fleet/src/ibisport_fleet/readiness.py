"""Tells the balancer whether new connections may come."""

import asyncio
from collections.abc import Callable
from functools import partial

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.errors import FleetError
from ibisport_fleet.requestreader import RequestReader

READY = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
NOT_READY = b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'
METRICS_PATH = b'/metrics'
METRICS_HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/plain; version=0.0.4\r\n'
    b'content-length: %d\r\n\r\n'
)
IDLE_SECONDS = 30.0


class ReadinessServer:
    """Answers on the readiness address; the metrics are served there as well."""

    def __init__(
        self, is_ready: Callable[[], bool], dump_metrics: Callable[[], bytes]
    ) -> None:
        self._is_ready = is_ready
        self._dump_metrics = dump_metrics
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self) -> Channel:
        """Return the protocol of a new connection."""
        return Channel(self._start)

    def _start(self, channel: Channel) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        channel.on_lost = partial(_cancel, task)

    async def _serve(self, channel: Channel) -> None:
        reader = RequestReader(channel, Limits())
        try:
            async with asyncio.timeout(IDLE_SECONDS) as timer:
                while (request := await reader.read()) is not None:
                    channel.write(self._answer(request.target))
                    timer.reschedule(asyncio.get_running_loop().time() + IDLE_SECONDS)
        except (FleetError, TimeoutError):
            # A balancer that left or sent rubbish asks again by itself.
            return
        finally:
            channel.close()

    def _answer(self, target: bytes) -> bytes:
        if target.startswith(METRICS_PATH):
            text = self._dump_metrics()
            return METRICS_HEAD % len(text) + text
        return READY if self._is_ready() else NOT_READY


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
