"""A byte stream over TCP that one task reads and writes."""

import array
import asyncio
import contextlib
import fcntl
import socket
import termios
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import cast

from ibisport_fleet.end_poll import EndPoll
from ibisport_fleet.errors import (
    ConnectionBroken,
    ConnectionFailed,
    FleetError,
    NobodyListens,
)
from ibisport_fleet.overload.answer_charge import ArrivalCharge
from ibisport_fleet.overload.memory_budget import MemoryExhausted, MemoryUse, Part
from ibisport_fleet.socket_state import (
    has_peer_ended,
    has_received,
    measure_packet_age,
    reset_on_close,
)

# Above this many unread bytes reading is paused, so that a single connection can't
# exhaust the memory of the process.
MAX_UNREAD_BYTES = 262_144
# The same for connections that peers open: there may be thousands of them.
MAX_ACCEPTED_UNREAD_BYTES = 16_384
# Unsent bytes above which writers to such connections wait.
MAX_UNSENT_BYTES = 16_384
# Receive buffer of such a connection in the operating system, which doubles the value
# that it is told. A smaller one doesn't take what the first window allows a peer to
# send, and packets are lost.
RECEIVE_BUFFER_BYTES = 32_768
MAX_KERNEL_BYTES = 2 * RECEIVE_BUFFER_BYTES
# A connection whose sent bytes stay unacknowledged for this time is dead: nothing else
# reveals a peer that lost power or a path that drops packets.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_PROBES = 2
NO_ROOM = 'no room for what a peer sends'


class Channel(asyncio.Protocol):
    """A TCP connection.

    Attributes:
        on_lost: Called once when the connection ends, if set.
        memory: The memory that an accepted connection uses.
        charge: Counts the bytes that have arrived and aren't processed, if set. Those
            that were read last count until the next read.
        ended_in_order: Whether the peer closed its sending half after it had received
            all written data. A peer that closes sooner resets the connection, and the
            reset may come after the end.
    """

    def __init__(
        self,
        on_open: Callable[['Channel'], None] | None = None,
        memory: MemoryUse | None = None,
    ) -> None:
        self.on_lost: Callable[[], None] | None = None
        self.memory = MemoryUse() if memory is None else memory
        self.charge: ArrivalCharge | None = None
        self.ended_in_order = False
        self._on_open = on_open
        self._is_accepted = memory is not None
        self._max_unread_bytes = (
            MAX_ACCEPTED_UNREAD_BYTES if self._is_accepted else MAX_UNREAD_BYTES
        )
        self._interruption: Callable[[], FleetError] | None = None
        self._transport: asyncio.Transport | None = None
        self._unread: deque[bytes] = deque()
        self._unread_bytes = 0
        self._returned_bytes = 0
        self._ended = False
        self._failure: BaseException | None = None
        self._reading_paused = False
        self._end_poll = EndPoll()
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._writing_paused = False

    @property
    def ended(self) -> bool:
        """Whether the peer closed the connection, or it was lost."""
        return self._ended

    @property
    def peer_left(self) -> bool:
        """Whether the peer has closed the connection, also if that wasn't read yet.

        The event loop reads the end of a connection only after all bytes before it.
        """
        return self._ended or has_peer_ended(_find_socket(self._transport))

    @property
    def packet_age(self) -> float | None:
        """Seconds since the last packet of the peer, if the system tells."""
        return measure_packet_age(_find_socket(self._transport))

    @property
    def has_unread(self) -> bool:
        """Whether received bytes are waiting to be read, here or in the system."""
        return bool(self._unread) or has_received(_find_socket(self._transport))

    @property
    def unsent_bytes(self) -> int:
        """Written bytes that the operating system hasn't been handed yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its timeouts."""
        # uvloop's transports implement asyncio.Transport without inheriting from it.
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info('socket')
        _set_socket_options(raw)
        if self._is_accepted:
            self._transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
            if raw is not None:
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes until they are read."""
        if self._interruption is not None:
            return
        self._unread.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > self._max_unread_bytes and not self._reading_paused:
            self._pause_reading()
        self._count_arrived()
        _wake(self._read_waiter)

    def eof_received(self) -> bool:
        """Handle the end of the peer's bytes; the connection is closed."""
        raw = _find_socket(self._transport)
        self.ended_in_order = not (self.unsent_bytes or _count_unacknowledged(raw))
        self._end(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        self._end(exc)

    def pause_writing(self) -> None:
        """Suspend writers, as the peer reads too slowly."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Resume writers."""
        self._writing_paused = False
        _wake(self._write_waiter)

    async def wait_for_bytes(self, deadline: float) -> bool:
        """Wait until bytes or the end of the stream have arrived; return whether.

        An event loop that was held up finds the deadline due before it reads bytes
        that arrived in time.

        Args:
            deadline: Loop time until which to wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while not (self._unread or self._ended or self._interruption):
                    self._read_waiter = asyncio.get_running_loop().create_future()
                    await self._read_waiter
        return self.has_unread or self._ended or self._interruption is not None

    async def read(self) -> bytes:
        """Return the next received bytes, or empty bytes at the end of the stream.

        Raises:
            ConnectionBroken: The connection was reset.
        """
        self._returned_bytes = 0
        while not self._unread:
            self._count_arrived()
            if self._interruption is not None:
                raise self._interruption()
            if self._failure is not None:
                raise ConnectionBroken('the connection was reset') from self._failure
            if self._ended:
                return b''
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        data = self._unread.popleft()
        self._unread_bytes -= len(data)
        self._returned_bytes = len(data)
        if self._unread_bytes <= self._max_unread_bytes // 2:
            self._resume_reading()
        return data

    def interrupt(self, build_error: Callable[[], FleetError]) -> None:
        """Drop the unread bytes, and let the reader get an error in their place.

        Args:
            build_error: Returns the error. One that was raised and is kept would refer
                to its frames, and these to bytes.
        """
        self._interruption = build_error
        self._unread.clear()
        self._unread_bytes = 0
        self.memory.resize(Part.unread, 0)
        _wake(self._read_waiter)

    async def discard(self, max_bytes: int) -> None:
        """Drop what arrives until the peer has ended, or has sent too much."""
        self._interruption = None
        self._resume_reading()
        # A name for the bytes would keep them until the next ones have arrived.
        while max_bytes > 0 and (size := len(await self.read())):
            max_bytes -= size

    def write(self, data: bytes) -> None:
        """Send bytes; they are dropped without an error if the connection has ended."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until most of the written data has been sent."""
        while self._writing_paused and not self._ended:
            self._write_waiter = asyncio.get_running_loop().create_future()
            await self._write_waiter

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self, *, drops_sent: bool = False) -> None:
        """Close the connection at once, so that truncated data can't look complete.

        What the process hasn't sent yet is dropped.

        Args:
            drops_sent: Whether the operating system also drops what it was handed and
                the peer hasn't received, instead of delivering it.
        """
        if drops_sent:
            reset_on_close(_find_socket(self._transport))
        if self._transport is not None:
            self._transport.abort()

    def _count_arrived(self) -> None:
        """Count what has arrived; end the connection if there is no room for it."""
        if self.charge is None:
            return
        try:
            self.charge.update(self._unread_bytes + self._returned_bytes)
        except MemoryExhausted:
            self.interrupt(partial(MemoryExhausted, NO_ROOM))
            self._end(None)
            self.abort(drops_sent=True)

    def _pause_reading(self) -> None:
        self._reading_paused = True
        self._require_transport().pause_reading()
        # They count while reading is paused, here and in the operating system.
        kernel_bytes = self._is_accepted * MAX_KERNEL_BYTES
        try:
            self.memory.resize(Part.unread, self._unread_bytes + kernel_bytes)
        except MemoryExhausted:
            if self.memory.evict is None:
                self.interrupt(partial(ConnectionBroken, NO_ROOM))
                self.abort()
            else:
                self.memory.evict()
        if self._is_accepted:
            # The event loop doesn't read the end of the connection meanwhile.
            self._end_poll.begin(lambda: self.peer_left, partial(self._end, None))

    def _resume_reading(self) -> None:
        if not self._reading_paused:
            return
        self._reading_paused = False
        self._end_poll.cancel()
        self.memory.resize(Part.unread, 0)
        if not self._ended:
            self._require_transport().resume_reading()

    def _end(self, failure: BaseException | None) -> None:
        if self._failure is None:
            self._failure = failure
        if self._ended:
            return
        self._ended = True
        self._end_poll.cancel()
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
        address: IP address and port.
        deadline: Loop time by which the connection must be established.

    Raises:
        NobodyListens: The host refused the connection.
        ConnectionFailed: The connection wasn't established by the deadline.
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


def _find_socket(transport: asyncio.Transport | None) -> socket.socket | None:
    if transport is None:
        return None
    raw: socket.socket | None = transport.get_extra_info('socket')
    return raw


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _count_unacknowledged(raw: socket.socket | None) -> int:
    """Return the number of sent bytes that the peer's system hasn't acknowledged."""
    if raw is None:
        return 0
    counted = array.array('i', (0,))
    try:
        fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, counted)
    except OSError:
        # Not every system tells.
        return 0
    return counted[0]


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
