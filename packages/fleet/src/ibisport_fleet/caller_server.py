"""Serves the connections of callers, one request after another."""

import asyncio
from dataclasses import dataclass

from ibisport_fleet.call_handler import CallHandler
from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.connection_tasks import ConnectionTasks
from ibisport_fleet.errors import CallerLeft, ConnectionBroken, RequestInvalid
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.http_messages import Request
from ibisport_fleet.metadata import Dialect
from ibisport_fleet.overload.intake import Intake
from ibisport_fleet.overload.resources import CALLERS_SHARE, Resources
from ibisport_fleet.overload.waiting import FIRST_REQUEST_SECONDS, CloseReason
from ibisport_fleet.request_reader import (
    RequestReader,
    discard_rest,
    flush,
    read_rest,
)
from ibisport_fleet.response_writer import ResponseWriter

# Requests that were sent within the limit are on their way for less than this.
IDLE_MARGIN_SECONDS = 1.0


@dataclass(slots=True)
class _Connection:
    """A connection of a caller.

    Attributes:
        channel: The connection.
        reader: Parses its requests.
        version: Version of the catalogue in force when its last request began, or when
            it was accepted. Its caller may still follow that one.
    """

    channel: Channel
    reader: RequestReader
    version: int


class CallerServer:
    """Serves all connections of callers, one task each.

    Attributes:
        stopping: Whether the process stops, so that answers close their connections.
        connections: The connections of callers.
    """

    def __init__(
        self,
        handler: CallHandler,
        catalogue: CatalogueView,
        dialect: Dialect,
        resources: Resources,
        log: EventLog,
    ) -> None:
        self.stopping = False
        self._handler = handler
        self._catalogue = catalogue
        self._dialect = dialect
        self._log = log
        self._intake = Intake(handler.identify, resources.turns)
        bounds = resources.bound_listener(CALLERS_SHARE)
        self.connections = ConnectionTasks(self._serve, 'caller', log, bounds)

    def close_idle(self) -> None:
        """Close the connections on which no request is arriving.

        Closing a new connection would lose its first request, which arrives a round
        trip later.
        """
        now = asyncio.get_running_loop().time()
        self.connections.waiting.close_quiet(now - FIRST_REQUEST_SECONDS)

    async def _serve(self, channel: Channel) -> None:
        reader = RequestReader(channel, self._find_limits, self._intake)
        connection = _Connection(channel, reader, self._catalogue.version)
        serving = True
        try:
            while serving:
                serving = await self._serve_next(connection)
        except RequestInvalid as error:
            response = self._create_response(channel)
            response.closing = True
            response.refuse(
                error.status, error.code, error.request_id or None, error.retry_after
            )
            self._handler.record_refusal(error.request_id, error.status, error.code)
            with self.connections.waiting.track(channel, None):
                await discard_rest(channel, reader.limits)
        except (ConnectionBroken, CallerLeft):
            # The caller has disconnected, so no answer can be sent.
            return

    async def _serve_next(self, connection: _Connection) -> bool:
        channel, reader = connection.channel, connection.reader
        with self.connections.waiting.track(channel, reader):
            request = await self._receive(connection)
        if request is None:
            return False
        response = self._create_response(channel)
        response.closing = not request.keeps_open
        await self._handler.handle(request, response)
        with self.connections.waiting.track(channel, reader):
            flushed = await flush(channel, self._find_limits().idle_seconds)
        return flushed and not response.closing

    async def _receive(self, connection: _Connection) -> Request | None:
        """Return the next request, or None if the caller left or stayed idle."""
        reader = connection.reader
        loop = asyncio.get_running_loop()
        idle_since = loop.time()
        limit = self._find_idle_limit(connection)
        # A newer version may extend the time until it is over.
        while not await reader.wait_for_start(idle_since + limit + IDLE_MARGIN_SECONDS):
            extended = self._find_idle_limit(connection)
            if extended <= limit:
                self._record_idle(connection, limit)
                return None
            limit = extended
        connection.version = self._catalogue.version
        # Its first bytes may have come late in the idle time.
        rest_seconds = self._find_limits().idle_seconds + IDLE_MARGIN_SECONDS
        return await read_rest(reader, loop.time() + rest_seconds)

    def _record_idle(self, connection: _Connection, limit: float) -> None:
        """Record that a connection is closed since no request arrived in time."""
        self.connections.waiting.closed[CloseReason.idle] += 1
        self._log.write(
            Event.connection_idle,
            limit=limit,
            newest_limit=self._find_limits().idle_seconds,
            unread=connection.channel.has_unread,
        )

    def _find_idle_limit(self, connection: _Connection) -> float:
        """Return the longest limit that a connection's caller may follow now."""
        return self._catalogue.idle_limits.find_longest(connection.version)

    def _find_limits(self) -> Limits:
        return self._catalogue.limits

    def _create_response(self, channel: Channel) -> ResponseWriter:
        standby = self._handler.standby
        return ResponseWriter(
            channel,
            self._dialect,
            lambda: self.stopping,
            lambda: standby.is_active,
            lambda: self._find_limits().idle_seconds,
        )
