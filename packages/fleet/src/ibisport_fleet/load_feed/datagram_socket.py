"""A UDP socket that never blocks and never queues what it can't send."""

import asyncio
import socket
from collections.abc import Callable

from ibisport_fleet.addresses import Address
from ibisport_fleet.load_feed.messages import MAX_DATAGRAM_BYTES

# Datagrams that are read before other tasks get a turn.
MAX_BATCH = 64


class DatagramSocket:
    """A UDP socket.

    Transports of the event loop queue datagrams without a bound while the link is full;
    a load report that waits is of no use, so it is dropped instead.

    Attributes:
        sent: Number of datagrams sent.
        sent_bytes: Their size, without headers.
        received: Number of datagrams received.
    """

    def __init__(
        self, address: Address, handle: Callable[[bytes, Address], None]
    ) -> None:
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
