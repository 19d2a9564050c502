"""One watch of the key-value service: a connection and its reading thread."""

import queue
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from ibisport_core.errors import StoreCompacted, StoreError, StoreUnavailable
from ibisport_core.internal.gateway import (
    CONNECT_TIMEOUT,
    LABEL_HEADER,
    Call,
    Fields,
    classify_failure,
    classify_status,
)

# A store that sends no progress is watched anew this often, which costs it
# one call; a connection that went silent for good is given up as early.
SILENCE_LIMIT = 6.0
TICK = 1.0
_LONGEST_LINE = 64 * 1024 * 1024
_READ_SIZE = 64 * 1024
_QUEUED_LINES = 64
_OK = 200
_Arrival = bytes | StoreError


class WatchStream:
    """Lines of one watch; a thread reads them, the consumer takes them."""

    def __init__(self, address: str, label: str, call: Call) -> None:
        """Connect and send the wish to watch.

        Raises:
            StoreUnavailable: The service was not reached or refused.
            StoreCompacted: The first revision wanted is gone.
        """
        self._call = call
        self._arrivals: queue.Queue[_Arrival] = queue.Queue(_QUEUED_LINES)
        self._closed = threading.Event()
        host, _, port = address.rpartition(':')
        # A pool of its own: a watch holds its connection for hours.
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=SILENCE_LIMIT),
            headers={'Content-Type': 'application/json', LABEL_HEADER: label},
        )
        self._response = self._open()
        self._silent_at = time.monotonic() + SILENCE_LIMIT
        self._thread = threading.Thread(
            target=self._read_lines,
            name='store-watch',
            daemon=True,
        )
        self._thread.start()

    def lines(self, stopped: threading.Event) -> Iterator[Fields | None]:
        """Yield the answers as they come, and None on each quiet tick.

        Args:
            stopped: Ends the iteration within a tick.

        Raises:
            StoreError: The watch was cut, went silent or was refused.
        """
        while not stopped.is_set():
            arrival = self._take()
            yield None if arrival is None else _parse_line(arrival)

    def close(self) -> None:
        """End the reading thread and close the connection."""
        self._closed.set()
        # The receiving half may be shut already, by the peer or by its end.
        with suppress(OSError, ValueError, RuntimeError):
            self._response.shutdown()

    def _open(self) -> urllib3.BaseHTTPResponse:
        try:
            response = self._pool.request(
                'POST',
                self._call.path,
                body=orjson.dumps(self._call.fields),
                preload_content=False,
            )
        except HTTPError as error:
            raise classify_failure(self._call, error) from error
        if response.status != _OK:
            refusal = response.data
            self._pool.close()
            raise classify_status(self._call, response.status, refusal)
        return response

    def _take(self) -> bytes | None:
        """Return the next line, or None after a quiet tick."""
        try:
            arrival = self._arrivals.get(timeout=TICK)
        except queue.Empty:
            self._check_silence()
            return None
        if isinstance(arrival, StoreError):
            raise arrival
        self._silent_at = time.monotonic() + SILENCE_LIMIT
        return arrival

    def _check_silence(self) -> None:
        if time.monotonic() > self._silent_at:
            raise StoreUnavailable('the watch went silent')

    def _read_lines(self) -> None:
        try:
            self._pump()
        except (HTTPError, OSError, ValueError) as error:
            self._hand_over(StoreUnavailable(f'the watch was cut: {error}'))
        finally:
            self._response.close()
            self._pool.close()

    def _pump(self) -> None:
        pending = b''
        while not self._closed.is_set():
            block = self._response.read1(_READ_SIZE)
            if not block:
                raise ValueError('the service ended it')
            *whole, pending = (pending + block).split(b'\n')
            if len(pending) > _LONGEST_LINE:
                raise ValueError('a line is too long')
            for line in filter(None, whole):
                self._hand_over(line)

    def _hand_over(self, arrival: _Arrival) -> None:
        while not self._closed.is_set():
            with suppress(queue.Full):
                self._arrivals.put(arrival, timeout=TICK)
                return


def _parse_line(line: bytes) -> Fields:
    try:
        document: Any = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise StoreUnavailable('the watch sent no JSON') from error
    if not isinstance(document, dict):
        raise StoreUnavailable('the watch sent no JSON object')
    _check_line(document)
    return document.get('result') or {}


def _check_line(document: Fields) -> None:
    answer = document.get('result') or {}
    if int(answer.get('compact_revision', 0)):
        raise StoreCompacted('the watch starts before the kept revisions')
    if 'error' in document or answer.get('canceled'):
        raise StoreUnavailable('the watch was cancelled')
