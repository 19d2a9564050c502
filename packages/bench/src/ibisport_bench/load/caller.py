"""Sends one request, retries it as the refusals say, times and checks its answer.

All times count from the moment at which the request was due, so that delays in the load
tool or in a stalled server are included (no coordinated omission).
"""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import orjson
import urllib3

from ibisport_bench.load import recording
from ibisport_bench.load.answer_check import check_answer
from ibisport_bench.load.arrivals import Arrival
from ibisport_bench.load.config import LoadConfig
from ibisport_bench.load.recording import Recorder

_MAX_READ_BYTES = 65_536
_MS_PER_SECOND = 1000
_OK_STATUS = 200
_RETRYABLE_STATUSES = frozenset((429, 502, 503))
_SERVICE_PATH = '/portal/order'
_CHAT_PATH = '/v1/chat/completions'


@dataclass(slots=True)
class _ReceivedBody:
    first_at: float = 0
    last_at: float = 0
    gaps: list[float] = field(default_factory=list)
    chunks: list[bytes] = field(default_factory=list)

    def add(self, chunk: bytes) -> None:
        """Record a chunk of the answer that has just arrived."""
        now = time.monotonic()
        if self.first_at:
            self.gaps.append(now - self.last_at)
        else:
            self.first_at = now
        self.last_at = now
        self.chunks.append(chunk)


class Caller:
    """Sends requests to routers; shared by all threads of a run."""

    def __init__(
        self, config: LoadConfig, routers: Sequence[str], recorder: Recorder
    ) -> None:
        """Create the connection pool.

        Args:
            config: Configuration of the run.
            routers: Addresses of routers, ``host:port``.
            recorder: Receives times and counts.
        """
        self._config = config
        self._routers = routers
        self._recorder = recorder
        self._http = urllib3.PoolManager(maxsize=512, retries=False)

    def run(self, arrival: Arrival, due_at: float) -> None:
        """Send a request; retry until it is answered, refused for good or given up.

        Args:
            arrival: The request.
            due_at: Monotonic time at which it is due.
        """
        self._recorder.observe(
            arrival.workspace, recording.LATE, time.monotonic() - due_at
        )
        for attempt in range(self._config.most_tries):
            delay = self._attempt(arrival, due_at, attempt)
            if delay is None:
                return
            if time.monotonic() + delay - due_at > self._config.patience:
                break
            time.sleep(delay)
        self._recorder.count('given_up')

    def close(self) -> None:
        """Close the connections."""
        self._http.clear()

    def _attempt(self, arrival: Arrival, due_at: float, attempt: int) -> float | None:
        """Send once; return seconds until the next attempt, None if there is none."""
        received = _ReceivedBody()
        try:
            response = self._send(arrival, attempt)
            if response.status == _OK_STATUS:
                self._read_body(response, received)
        except (urllib3.exceptions.HTTPError, OSError):
            self._recorder.count('refused.connection_broken')
            return float(attempt + 1)
        if response.status != _OK_STATUS:
            return self._record_refusal(response)
        self._record_answer(arrival, due_at, received)
        return None

    def _send(self, arrival: Arrival, attempt: int) -> urllib3.BaseHTTPResponse:
        self._sleep_caller_delay()
        router = self._routers[(arrival.router + attempt) % len(self._routers)]
        path = _SERVICE_PATH if arrival.service else _CHAT_PATH
        return self._http.request(
            'POST',
            f'http://{router}{path}',
            body=_make_body(arrival),
            headers={
                'Authorization': f'Bearer key-{arrival.workspace}',
                'Content-Type': 'application/json',
                'Idempotency-Key': f'{self._config.seed}-{arrival.number}',
            },
            preload_content=False,
            timeout=self._config.patience,
        )

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, received: _ReceivedBody
    ) -> None:
        try:
            while chunk := response.read1(_MAX_READ_BYTES):
                received.add(chunk)
        finally:
            response.release_conn()

    def _record_answer(
        self, arrival: Arrival, due_at: float, received: _ReceivedBody
    ) -> None:
        return_delay = self._config.caller_delay_ms / _MS_PER_SECOND
        workspace = arrival.workspace
        self._recorder.count('answered')
        total = received.last_at + return_delay - due_at
        self._recorder.observe(workspace, recording.TOTAL, total)
        if arrival.service:
            return
        if arrival.streamed:
            first = received.first_at + return_delay - due_at
            self._recorder.observe(workspace, recording.FIRST, first)
            self._recorder.observe(workspace, recording.GAP, *received.gaps)
        self._recorder.count('chunks', len(received.chunks))
        verdict = check_answer(
            b''.join(received.chunks), arrival.streamed, arrival.prompt, arrival.tokens
        )
        self._recorder.count(f'verdict.{type(verdict).__name__.lower()}')

    def _record_refusal(self, response: urllib3.BaseHTTPResponse) -> float | None:
        code = _parse_error_code(response.data)
        self._recorder.count(f'refused.{response.status}.{code}')
        if response.status not in _RETRYABLE_STATUSES:
            self._recorder.count('refused_for_good')
            return None
        return float(response.headers.get('Retry-After', '1'))

    def _sleep_caller_delay(self) -> None:
        if self._config.caller_delay_ms:
            time.sleep(self._config.caller_delay_ms / _MS_PER_SECOND)


def _make_body(arrival: Arrival) -> bytes:
    if arrival.service:
        return orjson.dumps({'order': arrival.number})
    return orjson.dumps(
        {
            'model': 'acoustics',
            'messages': [{'role': 'user', 'content': arrival.prompt}],
            'stream': arrival.streamed,
            'max_tokens': arrival.tokens,
        }
    )


def _parse_error_code(body: bytes) -> str:
    try:
        return str(orjson.loads(body)['error']['code'])
    except (ValueError, KeyError, TypeError):
        return 'unreadable'
