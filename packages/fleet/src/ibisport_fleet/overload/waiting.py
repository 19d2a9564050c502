"""Connections that wait for a request, the longest wait first."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from ibisport_fleet.channel import Channel
from ibisport_fleet.request_reader import RequestReader

# A peer sends its first request right after it has connected: this covers a round trip
# of some ms and one lost packet.
FIRST_REQUEST_SECONDS = 0.25
# Connections that are examined to make room for a new one.
MAX_EXAMINED = 64


class CloseReason(Enum):
    """Why a process closes a connection that waits for its peer."""

    idle = 'idle'
    stopping = 'stopping'
    descriptors = 'descriptors'


@dataclass(frozen=True, slots=True)
class _Wait:
    """A wait for a peer.

    Attributes:
        reader: Parses the requests of the connection; None: the last one was refused,
            and what follows is discarded.
        begun_at: Loop time at which it began.
    """

    reader: RequestReader | None
    begun_at: float

    @property
    def has_pending(self) -> bool:
        """Whether part of a request has arrived."""
        return self.reader is not None and self.reader.has_pending

    def may_end(self, channel: Channel) -> bool:
        """Return whether its end can't lose a request that has arrived as a whole.

        A caller that doesn't read its answer isn't owed one to what it sends behind.
        """
        if self.reader is None or channel.unsent_bytes:
            return True
        return not (self.reader.has_queued or channel.has_unread)


class WaitingConnections:
    """The connections of a listener on which no request is in progress.

    Attributes:
        closed: Number of connections that the process has closed, by reason.
    """

    def __init__(self) -> None:
        self.closed: Counter[CloseReason] = Counter()
        self._waits: dict[Channel, _Wait] = {}

    @property
    def counts(self) -> dict[str, int]:
        """The number of closed connections by the name of a metric."""
        return {f'closed_{reason.value}': self.closed[reason] for reason in CloseReason}

    @contextmanager
    def track(self, channel: Channel, reader: RequestReader | None) -> Iterator[None]:
        """Count a connection as waiting meanwhile.

        Args:
            channel: The connection.
            reader: Parses its requests; None: it discards what arrives.
        """
        now = asyncio.get_running_loop().time()
        self._waits[channel] = _Wait(reader, now)
        try:
            yield
        finally:
            self._waits.pop(channel, None)

    def close_longest(self) -> bool:
        """Close the connection that has waited longest; return whether there is one.

        Connections whose requests have arrived meanwhile are passed over.
        """
        channel = self._find_longest()
        if channel is None:
            return False
        del self._waits[channel]
        self.closed[CloseReason.descriptors] += 1
        if channel.unsent_bytes:
            channel.abort()
        else:
            channel.close()
        return True

    def _find_longest(self) -> Channel | None:
        latest = asyncio.get_running_loop().time() - FIRST_REQUEST_SECONDS
        for channel, wait in islice(self._waits.items(), MAX_EXAMINED):
            if wait.begun_at > latest:
                return None
            if wait.may_end(channel):
                return channel
        return None

    def close_quiet(self, waiting_since: float) -> None:
        """Close the connections on which no request is arriving.

        A long body takes time on a slow link, and closing its connection would lose
        the request without an answer.

        Args:
            waiting_since: Loop time; connections that wait since later are kept.
        """
        for channel, wait in tuple(self._waits.items()):
            is_quiet = not (wait.has_pending or channel.has_unread)
            if is_quiet and wait.begun_at <= waiting_since:
                del self._waits[channel]
                self.closed[CloseReason.stopping] += 1
                channel.close()
