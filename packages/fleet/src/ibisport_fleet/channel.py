"""A byte stream over TCP, seen by one task."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from ibisport_fleet.errors import (
    ConnectionBroken,
    ConnectionFailed,
    NobodyListens,
)

# Above this many unread bytes the peer is made to wait, so that one connection
# can't take the memory of the process.
MAX_UNREAD_BYTES = 262_144
# A connection on which sent bytes stay unacknowledged for so long is dead:
# nothing else shows a peer that lost power or a path that fell silent.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_PROBES = 2


class Channel(asyncio.Protocol):
    """One TCP connection.

    Attributes:
        on_lost: Called once when the connection has ended, if set.
    """

    def __init__(self, on_open: Callable[['Channel'], None] | None = None) -> None:
        self.on_lost: Callable[[], None] | None = None
        self._on_open = on_open
        self._transport: asyncio.Transport | None = None
        self._unread: deque[bytes] = deque()
        self._unread_bytes = 0
        self._ended = False
        self._failure: BaseException | None = None
        self._reading_paused = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._writing_paused = False

    @property
    def ended(self) -> bool:
        """Whether the peer closed, or the connection broke."""
        return self._ended

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come that nobody read."""
        return bool(self._unread)

    @property
    def flushed(self) -> bool:
        """Whether everything written has been handed to the system."""
        return self._transport is None or not self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and set its time-outs."""
        # uvloop's transports have the methods but not the class.
        self._transport = cast(asyncio.Transport, transport)
        _set_socket_options(transport.get_extra_info('socket'))
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Keep what came until it is read."""
        self._unread.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._require_transport().pause_reading()
        _wake(self._read_waiter)

    def eof_received(self) -> bool:
        """Note that the peer sends no more; the connection is closed."""
        self._end(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection has ended."""
        self._end(exc)

    def pause_writing(self) -> None:
        """Make writers wait: the peer reads too slowly."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writing_paused = False
        _wake(self._write_waiter)

    async def read(self) -> bytes:
        """Return the next bytes, empty at the end of the peer's bytes.

        Raises:
            ConnectionBroken: The connection was reset.
        """
        while not self._unread:
            if self._failure is not None:
                raise ConnectionBroken('the connection was reset') from self._failure
            if self._ended:
                return b''
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        data = self._unread.popleft()
        self._unread_bytes -= len(data)
        if self._reading_paused and self._unread_bytes <= MAX_UNREAD_BYTES // 2:
            self._reading_paused = False
            if not self._ended:
                self._require_transport().resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Send bytes; they are lost without a word if the connection ended."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the peer has taken most of what was written."""
        while self._writing_paused and not self._ended:
            self._write_waiter = asyncio.get_running_loop().create_future()
            await self._write_waiter

    def close(self) -> None:
        """Close once all that was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that what was sent can't look complete."""
        if self._transport is not None:
            self._transport.abort()

    def _end(self, failure: BaseException | None) -> None:
        if self._failure is None:
            self._failure = failure
        if self._ended:
            return
        self._ended = True
        _wake(self._read_waiter)
        _wake(self._write_waiter)
        if self.on_lost is not None:
            self.on_lost()

    def _require_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport


async def open_channel(address: tuple[str, int], deadline: float) -> Channel:
    """Connect to an address.

    Args:
        address: IP number and port.
        deadline: Loop time until which the connection must stand.

    Raises:
        NobodyListens: The host refused it.
        ConnectionFailed: It does not stand by then.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(deadline):
            _, channel = await loop.create_connection(Channel, *address)
    except ConnectionRefusedError as error:
        raise NobodyListens(f'nobody listens at {address}') from error
    except (OSError, TimeoutError) as error:
        raise ConnectionFailed(f'no connection to {address}: {error!r}') from error
    return channel


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _set_socket_options(raw: socket.socket | None) -> None:
    if raw is None:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
