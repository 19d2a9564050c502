"""Serves the balancer's readiness checks and the metrics."""

import asyncio
from collections.abc import Callable

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.connection_tasks import ConnectionTasks
from ibisport_fleet.errors import FleetError
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.http_messages import Request
from ibisport_fleet.overload.intake import Intake
from ibisport_fleet.overload.resources import CHECKS_SHARE, Resources
from ibisport_fleet.request_reader import RequestReader

READY = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
NOT_READY = b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'
METRICS_PATH = b'/metrics'
METRICS_HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/plain; version=0.0.4\r\n'
    b'content-length: %d\r\n\r\n'
)
# Checks have no bodies.
LIMITS = Limits(max_body_bytes=65_536)
IDLE_TIMEOUT_SECONDS = 30.0


class ReadinessServer:
    """Answers readiness checks; the metrics are served on the same address.

    Attributes:
        connections: The connections of the balancer and of metrics scrapers.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        dump_metrics: Callable[[], bytes],
        resources: Resources,
        log: EventLog,
    ) -> None:
        self._is_ready = is_ready
        self._dump_metrics = dump_metrics
        self._intake = Intake(turns=resources.turns)
        bounds = resources.bound_listener(CHECKS_SHARE)
        self.connections = ConnectionTasks(self._serve, 'readiness', log, bounds)

    async def _serve(self, channel: Channel) -> None:
        reader = RequestReader(channel, lambda: LIMITS, self._intake)
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS) as timer:
                while (request := await self._read(reader, channel)) is not None:
                    channel.write(self._answer(request.target))
                    timer.reschedule(
                        asyncio.get_running_loop().time() + IDLE_TIMEOUT_SECONDS
                    )
        except (FleetError, TimeoutError):
            # A balancer that disconnected or sent invalid bytes will check again.
            return

    async def _read(self, reader: RequestReader, channel: Channel) -> Request | None:
        with self.connections.waiting.track(channel, reader):
            return await reader.read()

    def _answer(self, target: bytes) -> bytes:
        if target.startswith(METRICS_PATH):
            text = self._dump_metrics()
            return METRICS_HEAD % len(text) + text
        return READY if self._is_ready() else NOT_READY
