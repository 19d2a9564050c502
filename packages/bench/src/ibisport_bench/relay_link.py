"""One relayed TCP connection, with a reader and a writer thread per direction."""

import contextlib
import queue
import socket
import threading
import time
from enum import StrEnum

MAX_READ_BYTES = 65536
MAX_QUEUED_CHUNKS = 64
POLL_INTERVAL_SECONDS = 0.5


class Direction(StrEnum):
    """Direction in which bytes pass through the relay."""

    to_target = 'to_target'
    to_client = 'to_client'


BOTH_DIRECTIONS = frozenset(Direction)
TimedChunk = tuple[float, bytes]


class RelayLink:
    """A client's connection and the corresponding connection to the target.

    Attributes:
        delay: Seconds by which bytes that are read from now on are delayed.
    """

    def __init__(
        self, client: socket.socket, target: socket.socket, delay: float
    ) -> None:
        """Take ownership of both sockets."""
        for sock in (client, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.delay = delay
        self._client = client
        self._target = target
        self._closed = threading.Event()
        self._forwarding = {direction: threading.Event() for direction in Direction}
        self._ended: set[Direction] = set()
        self._lock = threading.Lock()
        self.resume()

    def start(self) -> None:
        """Start forwarding in both directions."""
        self._start_direction(Direction.to_target, self._client, self._target)
        self._start_direction(Direction.to_client, self._target, self._client)

    def silence(self, directions: frozenset[Direction]) -> None:
        """Stop forwarding in these directions, including the end of a stream."""
        for direction in directions:
            self._forwarding[direction].clear()

    def resume(self) -> None:
        """Resume forwarding, starting with the bytes that were held back."""
        for flowing in self._forwarding.values():
            flowing.set()

    def is_closed(self) -> bool:
        """Tell whether the link is closed."""
        return self._closed.is_set()

    def close(self) -> None:
        """Close both connections."""
        self._closed.set()
        self.resume()
        for sock in (self._client, self._target):
            # The connection may have ended already.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _start_direction(
        self, direction: Direction, source: socket.socket, destination: socket.socket
    ) -> None:
        chunks: queue.Queue[TimedChunk] = queue.Queue(MAX_QUEUED_CHUNKS)
        for forward, sock in ((self._read, source), (self._write, destination)):
            threading.Thread(
                target=forward, args=(direction, sock, chunks), daemon=True
            ).start()

    def _read(
        self,
        direction: Direction,
        source: socket.socket,
        chunks: queue.Queue[TimedChunk],
    ) -> None:
        content = b' '
        while content:
            try:
                content = source.recv(MAX_READ_BYTES)
            except OSError:
                content = b''
            if not self._put(chunks, (time.monotonic() + self.delay, content)):
                return

    def _put(self, chunks: queue.Queue[TimedChunk], chunk: TimedChunk) -> bool:
        while not self._closed.is_set():
            try:
                chunks.put(chunk, timeout=POLL_INTERVAL_SECONDS)
            except queue.Full:
                continue
            return True
        return False

    def _get(self, chunks: queue.Queue[TimedChunk]) -> TimedChunk:
        while not self._closed.is_set():
            with contextlib.suppress(queue.Empty):
                return chunks.get(timeout=POLL_INTERVAL_SECONDS)
        return (0, b'')

    def _write(
        self,
        direction: Direction,
        destination: socket.socket,
        chunks: queue.Queue[TimedChunk],
    ) -> None:
        content = b' '
        while content:
            deliver_at, content = self._get(chunks)
            time.sleep(max(0, deliver_at - time.monotonic()))
            self._forwarding[direction].wait()
            try:
                self._deliver(destination, content)
            except OSError:
                break
        self._record_end(direction)

    def _deliver(self, destination: socket.socket, content: bytes) -> None:
        if content:
            destination.sendall(content)
        else:
            destination.shutdown(socket.SHUT_WR)

    def _record_end(self, direction: Direction) -> None:
        with self._lock:
            self._ended.add(direction)
            ended = self._ended == BOTH_DIRECTIONS
        if ended:
            self.close()
