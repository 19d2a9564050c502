"""One connection between two processes of ibisport.

A frame is four bytes of length and one Cap'n Proto message. Sending only puts
the frame into the link's queue: a thread of the link writes it, so a peer that
has gone silent never holds up whoever sends. A link that has not been written
out for long, or has not been read from for long, is closed; its requests
resume by offset on the connection that replaces it.
"""

import contextlib
import socket
import struct
import threading
import time
from collections import deque

from ibisport_core.codec import MAX_FRAME_BYTES, decode_message, encode_message
from ibisport_core.errors import FrameInvalid, LinkClosed
from ibisport_core.messages import Message

_LENGTH = struct.Struct('>I')
_READ_BYTES = 256 * 1024
_MOST_QUEUED_BYTES = 64 * 1024 * 1024
_WRITE_BYTES = 128 * 1024
_KEEP_SECONDS = 5.0


class Link:
    """A connection that carries messages both ways.

    Attributes:
        heard_at: Monotonic time of the last byte received.
        peer: Address of the other side, ``host:port``.
    """

    def __init__(self, sock: socket.socket, silence: float) -> None:
        """Take over a connected socket.

        Args:
            sock: The connected socket; the link closes it.
            silence: Seconds without a byte after which the link is dead.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(silence)
        self._sock = sock
        self._read_buffer = bytearray()
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = threading.Condition()
        self._closed = False
        self._writing = False
        self.heard_at = time.monotonic()
        self.peer = '{}:{}'.format(*sock.getpeername()[:2])
        self._writer = threading.Thread(
            target=self._write_queue, name=f'link-writer-{self.peer}', daemon=True
        )
        self._writer.start()

    def __repr__(self) -> str:
        """Name the peer and whether the link is open."""
        state = 'closed' if self._closed else 'open'
        return f'Link({self.peer}, {state})'

    @property
    def closed(self) -> bool:
        """Whether the link carries nothing any more."""
        return self._closed

    def send(self, message: Message) -> None:
        """Queue a message; never waits for the peer.

        Raises:
            LinkClosed: The link is closed, or its queue is full.
        """
        wire = encode_message(message)
        frame = _LENGTH.pack(len(wire)) + wire
        with self._wake:
            if self._closed:
                raise LinkClosed(self.peer)
            overfull = self._queued_bytes + len(frame) > _MOST_QUEUED_BYTES
            if not overfull:
                self._queue.append(frame)
                self._queued_bytes += len(frame)
                self._wake.notify()
        if overfull:
            self.close()
            raise LinkClosed(f'{self.peer} does not read')

    def receive(self) -> Message:
        """Wait for the next message.

        Raises:
            LinkClosed: The peer closed, reset, or has been silent too long.
            FrameInvalid: The bytes are no frame; the link is closed.
        """
        try:
            head = self._read_exactly(_LENGTH.size)
            length = int.from_bytes(head, 'big')
            if length > MAX_FRAME_BYTES:
                raise FrameInvalid(f'a frame of {length} bytes from {self.peer}')
            return decode_message(self._read_exactly(length))
        except (OSError, FrameInvalid) as error:
            self.close()
            if isinstance(error, FrameInvalid):
                raise
            raise LinkClosed(f'{self.peer}: {error}') from error

    def drain(self, deadline: float) -> None:
        """Wait until all is handed to the system, at most until a monotonic time.

        What the writer has taken from the queue counts until it is written: a link
        closed before that cut the answer.
        """
        with self._wake:
            while (
                (self._queue or self._writing)
                and not self._closed
                and time.monotonic() < deadline
            ):
                self._wake.wait(deadline - time.monotonic())

    def close(self) -> None:
        """Close both directions; whoever waits on the link is woken."""
        with self._wake:
            already = self._closed
            self._closed = True
            self._wake.notify_all()
        if already:
            return
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _read_exactly(self, length: int) -> bytes:
        while len(self._read_buffer) < length:
            received = self._sock.recv(_READ_BYTES)
            if not received:
                raise LinkClosed(f'{self.peer} closed')
            self.heard_at = time.monotonic()
            self._read_buffer += received
        taken = bytes(self._read_buffer[:length])
        del self._read_buffer[:length]
        return taken

    def _write_queue(self) -> None:
        while True:
            batch = self._take_batch()
            if batch is None:
                return
            try:
                self._sock.sendall(batch)
            except OSError:
                self.close()
                return

    def _take_batch(self) -> bytes | None:
        with self._wake:
            self._writing = False
            self._wake.notify_all()
            while not self._queue and not self._closed:
                self._wake.wait(_KEEP_SECONDS)
            if self._closed:
                return None
            frames = []
            size = 0
            while self._queue and size < _WRITE_BYTES:
                frames.append(self._queue.popleft())
                size += len(frames[-1])
            self._queued_bytes -= size
            self._writing = True
            return b''.join(frames)


def connect_link(address: str, timeout: float, silence: float) -> Link:
    """Connect to a peer.

    Args:
        address: ``host:port`` of the peer's listener.
        timeout: Seconds to wait for the connection.
        silence: Seconds without a byte after which the link is dead.

    Returns:
        The link.

    Raises:
        LinkClosed: The peer cannot be reached.
    """
    host, _, port = address.rpartition(':')
    try:
        sock = socket.create_connection((host, int(port)), timeout=timeout)
    except OSError as error:
        raise LinkClosed(f'{address}: {error}') from error
    try:
        return Link(sock, silence)
    except OSError as error:
        # A peer that ends resets what it had not accepted. Untold, this ended the
        # task that keeps up the link, and the target was never linked again.
        sock.close()
        raise LinkClosed(f'{address}: {error}') from error


def open_listener(address: str) -> socket.socket:
    """Return a listening socket on ``host:port``; port 0 takes a free one."""
    host, _, port = address.rpartition(':')
    return socket.create_server((host, int(port)), backlog=1024)
