"""Stand-in for the platform's rate-limited weight store."""

import threading
import time
from collections import Counter
from collections.abc import Iterator
from http import HTTPStatus

from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.web import (
    Answer,
    Call,
    Server,
    Stream,
    answer_json,
    run_server,
)

PATH_PREFIX = '/weights/'
CHUNK_BYTES = 65536
CONTENT_TYPE = 'application/octet-stream'


class WeightStore:
    """Serves weight files of equal size; all downloads share one rate."""

    def __init__(self, size: int, bytes_per_second: float) -> None:
        """Set the size of each weight file and the total download rate."""
        self._size = size
        self._bytes_per_second = bytes_per_second
        self._lock = threading.Lock()
        self._next_at = time.monotonic()
        self._started = Counter[str]()
        self._finished = Counter[str]()

    def __call__(self, call: Call) -> Answer | Stream:
        """Serve one call."""
        if call.path == '/counts':
            return self._show_counts()
        name = call.path.removeprefix(PATH_PREFIX)
        if name == call.path or not name:
            raise CallRejected('no such path', HTTPStatus.NOT_FOUND, 5)
        return Stream(self._fetch(name), CONTENT_TYPE)

    def _fetch(self, name: str) -> Iterator[bytes]:
        with self._lock:
            self._started[name] += 1
        remaining = self._size
        while remaining:
            length = min(remaining, CHUNK_BYTES)
            time.sleep(max(0, self._reserve(length) - time.monotonic()))
            remaining -= length
            yield bytes(length)
        with self._lock:
            self._finished[name] += 1

    def _reserve(self, length: int) -> float:
        with self._lock:
            start = max(self._next_at, time.monotonic())
            self._next_at = start + length / self._bytes_per_second
            return self._next_at

    def _show_counts(self) -> Answer:
        with self._lock:
            return answer_json({'started': self._started, 'finished': self._finished})


def make_server(
    port: int = 0,
    size: int = 1_000_000,
    bytes_per_second: float = 10_000_000,
    threads: int = 300,
) -> Server:
    """Create the server of the weight store.

    Args:
        port: TCP port on 127.0.0.1; 0 selects a free port.
        size: Size of each weight file in bytes.
        bytes_per_second: Rate shared by all downloads.
        threads: Connections served at once.
    """
    return Server(WeightStore(size, bytes_per_second), port, threads)


if __name__ == '__main__':
    run_server(make_server)
