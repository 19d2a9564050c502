"""UDP sockets that never block and never queue what they can't send."""

import asyncio
import socket
from collections.abc import Callable

from ibisport_fleet.addresses import Address
from ibisport_fleet.event_log import Event, EventLog

MAX_DATAGRAM_BYTES = 256
# Datagrams that are read before other tasks get a turn.
MAX_BATCH = 64
# The process before on this host may hold the port until its end.
BIND_BACKOFF_SECONDS = 1.0

DatagramHandler = Callable[[bytes, Address], None]


class DatagramSocket:
    """A UDP socket.

    Transports of the event loop queue datagrams without a bound while the link is full;
    a message that waits would soon be of no use, so it is dropped instead.

    Attributes:
        sent: Number of datagrams sent.
        sent_bytes: Their size, without headers.
        received: Number of datagrams received.
    """

    def __init__(self, address: Address, handle: DatagramHandler) -> None:
        """Bind the socket and start reading.

        Args:
            address: IP address and port.
            handle: Gets each datagram and its sender.

        Raises:
            OSError: The address can't be bound.
        """
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self._handle = handle
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        try:
            self._socket.bind(address)
        except OSError:
            self._socket.close()
            raise
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._read)

    @property
    def address(self) -> Address:
        """IP address and port of the socket."""
        host, port = self._socket.getsockname()
        return host, port

    def send(self, datagram: bytes, receiver: Address) -> None:
        """Send a datagram; it is dropped if it can't be sent at once."""
        try:
            self._socket.sendto(datagram, receiver)
        except OSError:
            return
        self.sent += 1
        self.sent_bytes += len(datagram)

    def close(self) -> None:
        """Stop reading, and close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        for _ in range(MAX_BATCH):
            try:
                # One byte more than the maximum shows that a datagram was truncated.
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            self.received += 1
            self._handle(datagram, source)


class DatagramEndpoint:
    """The UDP socket of a router, which several kinds of messages share.

    The first byte of a datagram tells its kind. Without its socket a router works as it
    does while all datagrams are lost.
    """

    def __init__(self, address: Address, log: EventLog) -> None:
        """Prepare without a socket.

        Args:
            address: IP address and port to bind.
            log: Told while the address can't be bound.
        """
        self._address = address
        self._log = log
        self._handlers: dict[int, DatagramHandler] = {}
        self._socket: DatagramSocket | None = None

    def add_handler(self, kind: int, handle: DatagramHandler) -> None:
        """Handle the datagrams with a first byte; each has one handler."""
        self._handlers[kind] = handle

    def send(self, datagram: bytes, receiver: Address) -> None:
        """Send a datagram; it is dropped if it can't be sent at once."""
        if self._socket is not None:
            self._socket.send(datagram, receiver)

    async def run(self) -> None:
        """Keep the socket open, forever."""
        udp = await open_socket(self._address, self._dispatch, self._log)
        self._socket = udp
        try:
            await asyncio.Future()
        finally:
            self._socket = None
            udp.close()

    def _dispatch(self, datagram: bytes, source: Address) -> None:
        handle = self._handlers.get(datagram[0]) if datagram else None
        if handle is not None:
            handle(datagram, source)


async def open_socket(
    address: Address, handle: DatagramHandler, log: EventLog
) -> DatagramSocket:
    """Return a bound socket; try again until the address is free."""
    reported = False
    while True:
        try:
            return DatagramSocket(address, handle)
        except OSError as error:
            if not reported:
                log.write(Event.load_feed_unavailable, reason=repr(error))
            reported = True
        await asyncio.sleep(BIND_BACKOFF_SECONDS)
