"""One caller's request: sent, retried as it is told, timed and checked.

All times count from when the request was meant to be sent, so a wait in the
load tool or in a stalled server is never left out.
"""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import orjson
import urllib3

from ibisport_bench.load import recording
from ibisport_bench.load.arrivals import Arrival
from ibisport_bench.load.config import LoadConfig
from ibisport_bench.load.recording import Recorder
from ibisport_bench.load.wholeness import check_answer

_READ_BYTES = 65_536
_MILLIS = 1000
_OK = 200
_RETRY_STATUSES = frozenset((429, 502, 503))
_SERVICE_PATH = '/portal/order'
_CHAT_PATH = '/v1/chat/completions'


@dataclass(slots=True)
class _Reading:
    first_at: float = 0
    last_at: float = 0
    gaps: list[float] = field(default_factory=list)
    pieces: list[bytes] = field(default_factory=list)

    def take(self, piece: bytes) -> None:
        """Take a piece of the answer that has just come."""
        now = time.monotonic()
        if self.first_at:
            self.gaps.append(now - self.last_at)
        else:
            self.first_at = now
        self.last_at = now
        self.pieces.append(piece)


class Caller:
    """Sends requests to routers; one caller serves all threads."""

    def __init__(
        self, config: LoadConfig, routers: Sequence[str], recorder: Recorder
    ) -> None:
        """Set the connections up.

        Args:
            config: The run.
            routers: Addresses of routers, ``host:port``.
            recorder: Where times and counts go.
        """
        self._config = config
        self._routers = routers
        self._recorder = recorder
        self._http = urllib3.PoolManager(maxsize=512, retries=False)

    def run(self, arrival: Arrival, due: float) -> None:
        """Carry a request through to its answer or its last refusal.

        Args:
            arrival: The request.
            due: Monotonic time at which it should have been sent.
        """
        self._recorder.observe(
            arrival.workspace, recording.LATE, time.monotonic() - due
        )
        for turn in range(self._config.most_tries):
            pause = self._try(arrival, due, turn)
            if pause is None:
                return
            if time.monotonic() + pause - due > self._config.patience:
                break
            time.sleep(pause)
        self._recorder.count('given_up')

    def close(self) -> None:
        """Close the connections."""
        self._http.clear()

    def _try(self, arrival: Arrival, due: float, turn: int) -> float | None:
        """Send once; return seconds until the next try, or None at the end."""
        reading = _Reading()
        try:
            response = self._send(arrival, turn)
            if response.status == _OK:
                self._read(response, reading)
        except (urllib3.exceptions.HTTPError, OSError):
            self._recorder.count('refused.connection_broken')
            return float(turn + 1)
        if response.status != _OK:
            return self._note_refusal(response)
        self._note_answer(arrival, due, reading)
        return None

    def _send(self, arrival: Arrival, turn: int) -> urllib3.BaseHTTPResponse:
        self._delay()
        router = self._routers[(arrival.router + turn) % len(self._routers)]
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

    def _read(self, response: urllib3.BaseHTTPResponse, reading: _Reading) -> None:
        try:
            while piece := response.read1(_READ_BYTES):
                reading.take(piece)
        finally:
            response.release_conn()

    def _note_answer(self, arrival: Arrival, due: float, reading: _Reading) -> None:
        back = self._config.caller_delay_ms / _MILLIS
        workspace = arrival.workspace
        self._recorder.count('answered')
        total = reading.last_at + back - due
        self._recorder.observe(workspace, recording.TOTAL, total)
        if arrival.service:
            return
        if arrival.streamed:
            first = reading.first_at + back - due
            self._recorder.observe(workspace, recording.FIRST, first)
            self._recorder.observe(workspace, recording.GAP, *reading.gaps)
        self._recorder.count('chunks', len(reading.pieces))
        verdict = check_answer(
            b''.join(reading.pieces), arrival.streamed, arrival.prompt, arrival.tokens
        )
        self._recorder.count(f'verdict.{type(verdict).__name__.lower()}')

    def _note_refusal(self, response: urllib3.BaseHTTPResponse) -> float | None:
        code = _read_code(response.data)
        self._recorder.count(f'refused.{response.status}.{code}')
        if response.status not in _RETRY_STATUSES:
            self._recorder.count('refused_for_good')
            return None
        return float(response.headers.get('Retry-After', '1'))

    def _delay(self) -> None:
        if self._config.caller_delay_ms:
            time.sleep(self._config.caller_delay_ms / _MILLIS)


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


def _read_code(body: bytes) -> str:
    try:
        return str(orjson.loads(body)['error']['code'])
    except (ValueError, KeyError, TypeError):
        return 'unreadable'
