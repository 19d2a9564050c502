"""Connections that wait for a request, the longest wait first."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from ibisport_fleet.channel import Channel
from ibisport_fleet.request_reader import RequestReader

# A peer sends its first request right after it has connected: this covers a round trip
# of some ms and one lost packet.
FIRST_REQUEST_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class _Wait:
    """A wait for a complete request.

    Attributes:
        reader: Parses the requests of the connection.
        begun_at: Loop time at which it began.
    """

    reader: RequestReader
    begun_at: float


class WaitingConnections:
    """The connections of a listener on which no request is in progress."""

    def __init__(self) -> None:
        self._waits: dict[Channel, _Wait] = {}

    @contextmanager
    def track(self, channel: Channel, reader: RequestReader) -> Iterator[None]:
        """Count a connection as waiting meanwhile."""
        now = asyncio.get_running_loop().time()
        self._waits[channel] = _Wait(reader, now)
        try:
            yield
        finally:
            self._waits.pop(channel, None)

    def close_longest(self) -> bool:
        """Close the connection that has waited longest; return whether there is one."""
        latest = asyncio.get_running_loop().time() - FIRST_REQUEST_SECONDS
        channel, wait = next(iter(self._waits.items()), (None, None))
        if channel is None or wait is None or wait.begun_at > latest:
            return False
        del self._waits[channel]
        if channel.flushed:
            channel.close()
        else:
            channel.abort()
        return True

    def close_quiet(self, waiting_since: float) -> None:
        """Close the connections on which no request is arriving.

        A long body takes time on a slow link, and closing its connection would lose
        the request without an answer.

        Args:
            waiting_since: Loop time; connections that wait since later are kept.
        """
        for channel, wait in tuple(self._waits.items()):
            is_quiet = not (wait.reader.has_partial_request or channel.has_unread)
            if is_quiet and wait.begun_at <= waiting_since:
                channel.close()
