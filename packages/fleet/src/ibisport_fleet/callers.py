"""Serves one caller's connection after the other request."""

import asyncio
from dataclasses import dataclass

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.connection_tasks import ConnectionTasks
from ibisport_fleet.errors import ConnectionBroken, RequestInvalid
from ibisport_fleet.eventlog import EventLog
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.handling import CallHandler
from ibisport_fleet.metadata import Dialect
from ibisport_fleet.request_reader import RequestReader, wait_for_request
from ibisport_fleet.response_writer import ResponseWriter

# Callers reuse a connection that was idle for up to four fifths of the limit.
IDLE_MARGIN_S = 1.0
# A caller sends its request right after it has connected: a round trip of some ms,
# and one lost packet.
FIRST_REQUEST_S = 0.25


@dataclass(frozen=True, slots=True)
class _Idle:
    """A connection without a whole request.

    Attributes:
        reader: Reads it.
        since: Loop time from which it has been so.
    """

    reader: RequestReader
    since: float


class CallerServer:
    """All connections of callers, one task each.

    Attributes:
        leaving: The process ends: answers close their connections.
        connections: The connections of callers.
    """

    def __init__(
        self,
        handler: CallHandler,
        catalogue: CatalogueView,
        dialect: Dialect,
        log: EventLog,
    ) -> None:
        self.leaving = False
        self._handler = handler
        self._catalogue = catalogue
        self._dialect = dialect
        self.connections = ConnectionTasks(self._serve, 'caller', log)
        self._idle: dict[Channel, _Idle] = {}

    def close_idle(self) -> None:
        """Close the connections on which no request is on its way.

        A long body takes its time on a slow link; cutting it off would lose the
        request without a word. So would closing a connection that has just come,
        whose first request is a round trip behind it.
        """
        latest = asyncio.get_running_loop().time() - FIRST_REQUEST_S
        for channel, idle in tuple(self._idle.items()):
            if not (
                idle.reader.has_partial_request
                or channel.has_unread
                or idle.since > latest
            ):
                channel.close()

    async def _serve(self, channel: Channel) -> None:
        limits = self._limits()
        reader = RequestReader(channel, limits)
        try:
            while await self._serve_next(reader, channel, limits):
                limits = self._limits()
        except RequestInvalid as error:
            replies = self._open_replies(channel)
            replies.closing = True
            replies.refuse(error.status, 'invalid', None, None)
        except ConnectionBroken:
            # The caller is gone, and with it whoever could be told.
            return

    async def _serve_next(
        self, reader: RequestReader, channel: Channel, limits: Limits
    ) -> bool:
        idle_until = asyncio.get_running_loop().time() + limits.idle_seconds
        self._idle[channel] = _Idle(reader, asyncio.get_running_loop().time())
        try:
            request = await wait_for_request(
                reader, channel, idle_until + IDLE_MARGIN_S
            )
        finally:
            self._idle.pop(channel, None)
        if request is None:
            return False
        replies = self._open_replies(channel)
        replies.closing = not request.keeps_open
        await self._handler.handle(request, replies)
        return not replies.closing

    def _open_replies(self, channel: Channel) -> ResponseWriter:
        return ResponseWriter(channel, self._dialect, lambda: self.leaving)

    def _limits(self) -> Limits:
        current = self._catalogue.current
        return Limits() if current is None else current.limits
