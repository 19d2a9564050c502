"""Asks the engine on a relay's host for reports while routers subscribe to them."""

import asyncio
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from ibisport_fleet.addresses import Address
from ibisport_fleet.datagrams import DatagramSocket
from ibisport_fleet.errors import FleetError, RecordInvalid
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.http_connection import HttpConnection, open_http_connection
from ibisport_fleet.load_feed.messages import EngineReport
from ibisport_fleet.load_feed.publisher import POLL_INTERVAL_SECONDS, LoadPublisher

MAX_REPORT_SECONDS = 0.5
# Routers hear of an engine that answers again within this time.
MAX_BACKOFF_SECONDS = 2.0
MIN_LOG_INTERVAL_SECONDS = 10.0


class ReportCodec(Protocol):
    """Codec of a platform's load reports."""

    request_line: bytes

    def decode_report(self, content: bytes) -> EngineReport:
        """Return the state that an engine's answer tells.

        Raises:
            RecordInvalid: The answer can't be decoded.
        """


@dataclass(slots=True)
class PollSchedule:
    """When to ask the engine next.

    Attributes:
        failures: Consecutive reports that are missing.
        logged_lost: Whether the log says that reports are missing.
        logged_at: Loop time of that log line, or None.
    """

    failures: int = 0
    logged_lost: bool = False
    logged_at: float | None = None

    def record(self, *, answered: bool) -> None:
        """Record whether a report has arrived."""
        self.failures = 0 if answered else self.failures + 1

    def compute_interval(self) -> float:
        """Return the seconds from one poll to the next."""
        growth = 2.0 ** min(self.failures, 8)
        return min(POLL_INTERVAL_SECONDS * growth, MAX_BACKOFF_SECONDS)

    def find_change(self, now: float) -> Event | None:
        """Return the event to log: at most one in ten seconds, with the last state."""
        lost = self.failures > 0
        recent = (
            self.logged_at is not None
            and now < self.logged_at + MIN_LOG_INTERVAL_SECONDS
        )
        if lost == self.logged_lost or recent:
            return None
        self.logged_lost = lost
        self.logged_at = now
        return Event.load_report_lost if lost else Event.load_report_regained


class EnginePoller:
    """Task that polls the engine and sends its reports to subscribers.

    Attributes:
        polls: Number of reports that were asked for.
    """

    def __init__(
        self,
        engine: Address,
        codec: ReportCodec,
        publisher: LoadPublisher,
        log: EventLog,
    ) -> None:
        """Prepare without a connection.

        Args:
            engine: Address of the engine.
            codec: Encodes the request and decodes the answer.
            publisher: The subscribers.
            log: Receives the start and the end of missing reports.
        """
        self.polls = 0
        self._engine = engine
        self._codec = codec
        self._publisher = publisher
        self._log = log
        self._schedule = PollSchedule()
        self._subscribed = asyncio.Event()
        self._connection: HttpConnection | None = None
        host, port = engine
        self._headers = ((b'host', f'{host}:{port}'.encode()),)

    def handle_datagram(self, datagram: bytes, source: Address) -> None:
        """Apply a subscription, and start polling if it is the first one."""
        # The loop's time is that of the last wait. A datagram may have arrived since,
        # and would bound the router's clock too high.
        if self._publisher.apply_subscription(datagram, source, time.monotonic()):
            self._subscribed.set()

    async def run(self, udp: DatagramSocket) -> None:
        """Poll while there are subscribers, forever.

        Args:
            udp: Sends the reports.
        """
        loop = asyncio.get_running_loop()
        while True:
            await self._subscribed.wait()
            if not self._publisher.count_subscribers(time.monotonic()):
                self._subscribed.clear()
                self.close()
                continue
            started_at = loop.time()
            await self._poll(udp, started_at + MAX_REPORT_SECONDS)
            next_at = started_at + self._schedule.compute_interval()
            await asyncio.sleep(next_at - loop.time())

    def close(self) -> None:
        """Close the connection to the engine."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _poll(self, udp: DatagramSocket, deadline: float) -> None:
        """Ask for a report, and send it to the subscribers that should get it."""
        asked_at = time.monotonic()
        report = await self._fetch(deadline)
        self._record(report)
        if report is not None:
            due = self._publisher.list_datagrams(report, asked_at, time.monotonic())
            for datagram, receiver in due:
                udp.send(datagram, receiver)

    async def _fetch(self, deadline: float) -> EngineReport | None:
        """Return a report; None if it is missing, late or unreadable."""
        self.polls += 1
        try:
            async with asyncio.timeout_at(deadline):
                return await self._ask(deadline)
        except (FleetError, TimeoutError):
            self.close()
            return None

    async def _ask(self, deadline: float) -> EngineReport:
        connection = self._connection
        if connection is None or not connection.reusable:
            self.close()
            connection = await open_http_connection(self._engine, deadline)
            self._connection = connection
        answer = await connection.request(self._codec.request_line, self._headers, b'')
        if not connection.keep_alive:
            self.close()
        if answer.head.status != HTTPStatus.OK:
            raise RecordInvalid(f'status {answer.head.status} instead of a report')
        return self._codec.decode_report(answer.body)

    def _record(self, report: EngineReport | None) -> None:
        self._schedule.record(answered=report is not None)
        event = self._schedule.find_change(asyncio.get_running_loop().time())
        if event is not None:
            host, port = self._engine
            self._log.write(event, engine=f'{host}:{port}')
