"""In-memory transports that behave like the two ends of a TCP connection."""

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, cast

Address = tuple[str, int]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]
SEGMENT_BYTES = 4_096
# The same limit as in asyncio's own transports.
HIGH_WATER_BYTES = 65_536
_EOF = b''


@dataclass(frozen=True, slots=True)
class Link:
    """Properties of the network link from one host to another.

    Attributes:
        delay: One-way delay in seconds.
        rate: Bytes per second of each connection; 0 for no limit.
        buffer_bytes: Bytes of a connection that the operating systems of both hosts
            buffer; these are delivered even if the sending process exits.
    """

    delay: float = 0.001
    rate: float = 0.0
    buffer_bytes: int = 65_536


class Network(Protocol):
    """Network that provides the links between hosts."""

    def find_link(self, source: str, destination: str) -> Link:
        """Return the link from one host to another."""


class MemoryTransport(asyncio.Transport):
    """One end of a connection.

    Attributes:
        host: The host that this end belongs to.
        peer: The other end.
        disconnected: Whether the connection has ended at this end.
    """

    def __init__(
        self,
        net: Network,
        host: str,
        factory: ProtocolFactory,
        local_address: Address,
        peer_address: Address,
    ) -> None:
        super().__init__({'sockname': local_address, 'peername': peer_address})
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
        # Timers with equal times may fire in any order, so each one takes the oldest
        # segment.
        self._in_flight: deque[bytes | None] = deque()
        self._unread: deque[bytes] = deque()

    def connect(self) -> None:
        """Notify the protocol that the connection is established."""
        self._protocol.connection_made(self)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        return cast(asyncio.BaseProtocol, self._protocol)

    def is_closing(self) -> bool:
        """Tell whether the transport is closing or closed."""
        return self._closing

    def can_write_eof(self) -> bool:
        """Return False: half-closed connections aren't supported."""
        return False

    def pause_reading(self) -> None:
        """Leave received bytes in the operating system's buffer."""
        self._reading_paused = True

    def resume_reading(self) -> None:
        """Deliver received bytes to the protocol again."""
        self._reading_paused = False
        self._loop.call_soon(self._deliver, context=self._context)

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set the buffer sizes at which writing is paused and resumed."""
        self._high = HIGH_WATER_BYTES if high is None else high
        self._low = self._high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the operating system hasn't accepted yet."""
        return len(self._buffer)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes; they are buffered until the operating system accepts them."""
        if self._closing:
            return
        self._buffer += data
        self._flush()
        if len(self._buffer) > self._high and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()

    def close(self) -> None:
        """Close once the operating system has accepted all buffered bytes."""
        self._closing = True
        self._flush()

    def abort(self) -> None:
        """Reset the connection; bytes that the system hasn't accepted yet are lost."""
        if not self.disconnected:
            self._send(None)
            self._disconnect(None)

    def close_on_exit(self) -> None:
        """Close as an operating system does on exit, without notifying the protocol."""
        self._buffer.clear()
        if not self.disconnected:
            self._send(None if any(self._unread) else _EOF)
        self._closing = self.disconnected = True

    def schedule_arrival(self, segment: bytes | None, arrives_at: float) -> None:
        """Schedule the arrival of a segment.

        Args:
            segment: The bytes; empty for the end of the stream, None for a reset.
            arrives_at: Loop time of the arrival.
        """
        self._in_flight.append(segment)
        self._loop.call_at(arrives_at, self._receive, context=self._context)

    def acknowledge(self, size: int) -> None:
        """Free buffer space after the other end has read bytes."""
        self._unacknowledged -= size
        self._loop.call_soon(self._flush, context=self._context)

    def _flush(self) -> None:
        link = self._net.find_link(self.host, self.peer.host)
        while self._buffer and self._unacknowledged < link.buffer_bytes:
            segment_bytes = min(SEGMENT_BYTES, link.buffer_bytes - self._unacknowledged)
            segment = bytes(self._buffer[:segment_bytes])
            del self._buffer[:segment_bytes]
            self._unacknowledged += len(segment)
            self._send(segment)
        if self._writing_paused and len(self._buffer) <= self._low:
            self._writing_paused = False
            self._loop.call_soon(self._protocol.resume_writing, context=self._context)
        if self._closing and not (self._buffer or self.disconnected):
            self._send(None if any(self._unread) else _EOF)
            self._disconnect(None)

    def _send(self, segment: bytes | None) -> None:
        link = self._net.find_link(self.host, self.peer.host)
        seconds = len(segment or _EOF) / link.rate if link.rate else 0.0
        self._send_finished_at = (
            max(self._send_finished_at, self._loop.time()) + seconds
        )
        self.peer.schedule_arrival(segment, self._send_finished_at + link.delay)

    def _receive(self) -> None:
        segment = self._in_flight.popleft()
        if self.disconnected:
            if segment:
                self._send(None)
        elif segment is None:
            self._disconnect(ConnectionResetError('reset by the peer'))
        else:
            self._unread.append(segment)
            self._deliver()

    def _deliver(self) -> None:
        while self._unread and not (self._reading_paused or self._closing):
            segment = self._unread.popleft()
            if segment:
                self.peer.acknowledge(len(segment))
                self._protocol.data_received(segment)
            elif not self._protocol.eof_received():
                self.close()

    def _disconnect(self, error: Exception | None) -> None:
        self._buffer.clear()
        self._closing = self.disconnected = True
        notify = self._protocol.connection_lost
        self._loop.call_soon(notify, error, context=self._context)
