"""One relayed TCP connection: a reader and a writer thread for each way."""

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
    """A way through the relay."""

    to_target = 'to_target'
    to_client = 'to_client'


BOTH_DIRECTIONS = frozenset(Direction)
TimedChunk = tuple[float, bytes]


class RelayLink:
    """A client's connection and the one to the target.

    Attributes:
        delay: Seconds by which bytes read from now on are delivered late.
    """

    def __init__(
        self, client: socket.socket, target: socket.socket, delay: float
    ) -> None:
        """Take both sockets over."""
        for sock in (client, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.delay = delay
        self._client = client
        self._target = target
        self._closed = threading.Event()
        self._forwarding = {way: threading.Event() for way in Direction}
        self._ended: set[Direction] = set()
        self._lock = threading.Lock()
        self.resume()

    def start(self) -> None:
        """Start to forward both ways."""
        self._start_direction(Direction.to_target, self._client, self._target)
        self._start_direction(Direction.to_client, self._target, self._client)

    def silence(self, directions: frozenset[Direction]) -> None:
        """Forward nothing, not even an end, on these ways."""
        for way in directions:
            self._forwarding[way].clear()

    def resume(self) -> None:
        """Forward again, also what was held back."""
        for flowing in self._forwarding.values():
            flowing.set()

    def is_closed(self) -> bool:
        """Tell whether both connections have ended."""
        return self._closed.is_set()

    def close(self) -> None:
        """End both connections."""
        self._closed.set()
        self.resume()
        for sock in (self._client, self._target):
            # It may have ended before.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _start_direction(
        self, way: Direction, source: socket.socket, sink: socket.socket
    ) -> None:
        pieces: queue.Queue[TimedChunk] = queue.Queue(MAX_QUEUED_CHUNKS)
        for run, sock in ((self._read, source), (self._write, sink)):
            threading.Thread(target=run, args=(way, sock, pieces), daemon=True).start()

    def _read(
        self, way: Direction, source: socket.socket, pieces: queue.Queue[TimedChunk]
    ) -> None:
        content = b' '
        while content:
            try:
                content = source.recv(MAX_READ_BYTES)
            except OSError:
                content = b''
            if not self._put(pieces, (time.monotonic() + self.delay, content)):
                return

    def _put(self, pieces: queue.Queue[TimedChunk], piece: TimedChunk) -> bool:
        while not self._closed.is_set():
            try:
                pieces.put(piece, timeout=POLL_INTERVAL_SECONDS)
            except queue.Full:
                continue
            return True
        return False

    def _get(self, pieces: queue.Queue[TimedChunk]) -> TimedChunk:
        while not self._closed.is_set():
            with contextlib.suppress(queue.Empty):
                return pieces.get(timeout=POLL_INTERVAL_SECONDS)
        return (0, b'')

    def _write(
        self, way: Direction, sink: socket.socket, pieces: queue.Queue[TimedChunk]
    ) -> None:
        content = b' '
        while content:
            deliver_at, content = self._get(pieces)
            time.sleep(max(0, deliver_at - time.monotonic()))
            self._forwarding[way].wait()
            try:
                self._deliver(sink, content)
            except OSError:
                break
        self._record_end(way)

    def _deliver(self, sink: socket.socket, content: bytes) -> None:
        if content:
            sink.sendall(content)
        else:
            sink.shutdown(socket.SHUT_WR)

    def _record_end(self, way: Direction) -> None:
        with self._lock:
            self._ended.add(way)
            ended = self._ended == BOTH_DIRECTIONS
        if ended:
            self.close()
