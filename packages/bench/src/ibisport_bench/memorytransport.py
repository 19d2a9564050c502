"""Both ends of a connection that lies in memory, with the manners of TCP."""

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, cast

Address = tuple[str, int]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]
SEGMENT_BYTES = 4_096
# The bounds of asyncio's own transports.
HIGH_WATER_BYTES = 65_536
_EOF = b''


@dataclass(frozen=True, slots=True)
class Link:
    """How bytes go from one host to another.

    Attributes:
        delay: Seconds on the way.
        rate: Bytes a second of each connection; 0 is without a bound.
        room: Bytes of a connection that the systems of both hosts hold; a process
            that ends doesn't take these with it.
    """

    delay: float = 0.001
    rate: float = 0.0
    buffer_bytes: int = 65_536


class Network(Protocol):
    """What carries the bytes."""

    def find_link(self, source: str, destination: str) -> Link:
        """Return how bytes go from one host to another."""


class MemoryTransport(asyncio.Transport):
    """One end of a connection.

    Attributes:
        host: The host that it belongs to.
        peer: The other end.
        gone: The connection has ended here.
    """

    def __init__(
        self,
        net: Network,
        host: str,
        factory: ProtocolFactory,
        own: Address,
        other: Address,
    ) -> None:
        super().__init__({'sockname': own, 'peername': other})
        self.peer = self
        self.host = host
        self.disconnected = False
        self._net = net
        self._loop = asyncio.get_running_loop()
        self._context = contextvars.copy_context()
        self._protocol: Any = factory()
        self._buffer = bytearray()
        self._high, self._low = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self._writing_paused = False
        self._reading_paused = False
        self._closing = False
        self._send_finished_at = 0.0
        self._unacknowledged = 0
        # Timers of equal times may fire in any order, so each takes the oldest.
        self._in_flight: deque[bytes | None] = deque()
        self._unread: deque[bytes] = deque()

    def connect(self) -> None:
        """Tell the protocol that the connection stands."""
        self._protocol.connection_made(self)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set who is told of what comes."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return who is told of what comes."""
        return cast(asyncio.BaseProtocol, self._protocol)

    def is_closing(self) -> bool:
        """Whether nothing more can be written."""
        return self._closing

    def can_write_eof(self) -> bool:
        """Tell that one direction can't be closed alone."""
        return False

    def pause_reading(self) -> None:
        """Leave what comes with the system."""
        self._reading_paused = True

    def resume_reading(self) -> None:
        """Take what has come."""
        self._reading_paused = False
        self._loop.call_soon(self._deliver, context=self._context)

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set at which sizes of the buffer writers are stopped and go on."""
        self._high = HIGH_WATER_BYTES if high is None else high
        self._low = self._high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        """Return how many bytes the system hasn't taken yet."""
        return len(self._buffer)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Hand bytes to the system, or keep them until it takes them."""
        if self._closing:
            return
        self._buffer += data
        self._flush()
        if len(self._buffer) > self._high and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()

    def close(self) -> None:
        """Close as soon as the system has taken all."""
        self._closing = True
        self._flush()

    def abort(self) -> None:
        """Reset the connection; what the system hasn't taken is lost."""
        if not self.disconnected:
            self._send(None)
            self._disconnect(None)

    def close_on_exit(self) -> None:
        """Close as the system does for a process that ended; it is told nothing."""
        self._buffer.clear()
        if not self.disconnected:
            self._send(None if any(self._unread) else _EOF)
        self._closing = self.disconnected = True

    def schedule_arrival(self, piece: bytes | None, when: float) -> None:
        """Take a piece at a loop time; empty: the end, None: a reset."""
        self._in_flight.append(piece)
        self._loop.call_at(when, self._receive, context=self._context)

    def acknowledge(self, size: int) -> None:
        """Note that the other end has read so many bytes."""
        self._unacknowledged -= size
        self._loop.call_soon(self._flush, context=self._context)

    def _flush(self) -> None:
        link = self._net.find_link(self.host, self.peer.host)
        while self._buffer and self._unacknowledged < link.buffer_bytes:
            most = min(SEGMENT_BYTES, link.buffer_bytes - self._unacknowledged)
            piece = bytes(self._buffer[:most])
            del self._buffer[:most]
            self._unacknowledged += len(piece)
            self._send(piece)
        if self._writing_paused and len(self._buffer) <= self._low:
            self._writing_paused = False
            self._loop.call_soon(self._protocol.resume_writing, context=self._context)
        if self._closing and not (self._buffer or self.disconnected):
            self._send(None if any(self._unread) else _EOF)
            self._disconnect(None)

    def _send(self, piece: bytes | None) -> None:
        link = self._net.find_link(self.host, self.peer.host)
        seconds = len(piece or _EOF) / link.rate if link.rate else 0.0
        self._send_finished_at = (
            max(self._send_finished_at, self._loop.time()) + seconds
        )
        self.peer.schedule_arrival(piece, self._send_finished_at + link.delay)

    def _receive(self) -> None:
        piece = self._in_flight.popleft()
        if self.disconnected:
            if piece:
                self._send(None)
        elif piece is None:
            self._disconnect(ConnectionResetError('reset by the peer'))
        else:
            self._unread.append(piece)
            self._deliver()

    def _deliver(self) -> None:
        while self._unread and not (self._reading_paused or self._closing):
            piece = self._unread.popleft()
            if piece:
                self.peer.acknowledge(len(piece))
                self._protocol.data_received(piece)
            elif not self._protocol.eof_received():
                self.close()

    def _disconnect(self, failure: Exception | None) -> None:
        self._buffer.clear()
        self._closing = self.disconnected = True
        lost = self._protocol.connection_lost
        self._loop.call_soon(lost, failure, context=self._context)
