"""Serves the connections of callers, one request after another."""

import asyncio
from dataclasses import dataclass

from ibisport_fleet.call_handler import CallHandler
from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.connection_tasks import ConnectionTasks
from ibisport_fleet.errors import ConnectionBroken, RequestInvalid
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.metadata import Dialect
from ibisport_fleet.request_reader import RequestReader, wait_for_request
from ibisport_fleet.response_writer import ResponseWriter

# Callers reuse a connection that was idle for up to four fifths of the limit.
IDLE_MARGIN_SECONDS = 1.0
# A caller sends its first request right after it has connected: this covers a round
# trip of some ms and one lost packet.
FIRST_REQUEST_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """A connection that waits for a complete request.

    Attributes:
        reader: Parses its requests.
        idle_since: Loop time at which the wait began.
    """

    reader: RequestReader
    idle_since: float


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
        log: EventLog,
    ) -> None:
        self.stopping = False
        self._handler = handler
        self._catalogue = catalogue
        self._dialect = dialect
        self.connections = ConnectionTasks(self._serve, 'caller', log)
        self._idle: dict[Channel, _IdleConnection] = {}

    def close_idle(self) -> None:
        """Close the connections on which no request is arriving.

        A long body takes time on a slow link, and closing its connection would lose
        the request without an answer. So would closing a new connection, whose first
        request arrives a round trip later.
        """
        latest = asyncio.get_running_loop().time() - FIRST_REQUEST_SECONDS
        for channel, idle in tuple(self._idle.items()):
            if not (
                idle.reader.has_partial_request
                or channel.has_unread
                or idle.idle_since > latest
            ):
                channel.close()

    async def _serve(self, channel: Channel) -> None:
        limits = self._current_limits()
        reader = RequestReader(channel, limits)
        try:
            while await self._serve_next(reader, channel, limits):
                limits = self._current_limits()
        except RequestInvalid as error:
            response = self._create_response(channel)
            response.closing = True
            response.refuse(error.status, 'invalid', None, None)
        except ConnectionBroken:
            # The caller has disconnected, so no answer can be sent.
            return

    async def _serve_next(
        self, reader: RequestReader, channel: Channel, limits: Limits
    ) -> bool:
        idle_until = asyncio.get_running_loop().time() + limits.idle_seconds
        self._idle[channel] = _IdleConnection(reader, asyncio.get_running_loop().time())
        try:
            request = await wait_for_request(
                reader, channel, idle_until + IDLE_MARGIN_SECONDS
            )
        finally:
            self._idle.pop(channel, None)
        if request is None:
            return False
        response = self._create_response(channel)
        response.closing = not request.keeps_open
        await self._handler.handle(request, response)
        return not response.closing

    def _create_response(self, channel: Channel) -> ResponseWriter:
        standby = self._handler.standby
        return ResponseWriter(
            channel, self._dialect, lambda: self.stopping, lambda: standby.is_active
        )

    def _current_limits(self) -> Limits:
        current = self._catalogue.current
        return Limits() if current is None else current.limits
