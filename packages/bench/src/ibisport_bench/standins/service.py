"""Stand-in for a plain service that accepts any call and counts its runs."""

import hashlib
import random
import threading
import time
from collections import Counter
from http import HTTPStatus

from pydantic import BaseModel, ValidationError

from ibisport_bench.standins.errors import CallRejected, ConnectionDropped
from ibisport_bench.standins.web import (
    Answer,
    Call,
    Server,
    answer_json,
    pause_while,
    run_server,
)

MS_PER_SECOND = 1000


class ServiceFaults(BaseModel):
    """Faults in force.

    Attributes:
        freeze: Calls wait before they run; their connections stay open.
        break_before_answer: Number of following calls that run without an answer.
        fail_rate: Share of calls that are answered with 500 before they run.
    """

    freeze: bool = False
    break_before_answer: int = 0
    fail_rate: float = 0


class ServiceApi:
    """The service as an HTTP application."""

    def __init__(self, slots: int, work_ms: float, seed: int) -> None:
        """Create an idle service."""
        self._slots = slots
        self._work_ms = work_ms
        self._faults = ServiceFaults()
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._free = threading.Semaphore(slots)
        self._running = 0
        self._runs: list[dict[str, object]] = []
        self._by_request = Counter[str]()
        self._by_content = Counter[str]()
        self._controls = {
            '/runs': self._show_runs,
            '/load': self._show_load,
            '/faults': self._serve_faults,
        }

    def __call__(self, call: Call) -> Answer:
        """Serve one call."""
        if call.path in self._controls:
            return self._controls[call.path](call)
        pause_while(self._is_frozen, call)
        self._fail_randomly()
        with self._free:
            return self._work(call)

    def _work(self, call: Call) -> Answer:
        number = self._record(call)
        time.sleep(self._work_ms / MS_PER_SECOND)
        with self._lock:
            self._running -= 1
            is_answer_dropped = self._faults.break_before_answer > 0
            if is_answer_dropped:
                remaining = self._faults.break_before_answer - 1
                update = {'break_before_answer': remaining}
                self._faults = self._faults.model_copy(update=update)
        if is_answer_dropped:
            raise ConnectionDropped('answer broken')
        return answer_json(
            {
                'path': call.path,
                'method': call.method,
                'body_hash': _hash_body(call),
                'call': number,
            }
        )

    def _record(self, call: Call) -> int:
        request_id = call.get_header('X-Request-Id')
        body_hash = _hash_body(call)
        run = {
            'request_id': request_id,
            'method': call.method,
            'path': call.path,
            'body_hash': body_hash,
            'started_at': time.time(),
        }
        with self._lock:
            self._running += 1
            self._runs.append(run)
            self._by_request[request_id] += 1
            self._by_content[f'{call.path} {body_hash}'] += 1
            return len(self._runs)

    def _fail_randomly(self) -> None:
        with self._lock:
            failed = self._random.random() < self._faults.fail_rate
        if failed:
            raise CallRejected('failed', HTTPStatus.INTERNAL_SERVER_ERROR, 13)

    def _is_frozen(self) -> bool:
        return self._faults.freeze

    def _show_runs(self, call: Call) -> Answer:
        with self._lock:
            return answer_json(
                {
                    'runs': self._runs,
                    'by_request_id': self._by_request,
                    'by_content': self._by_content,
                }
            )

    def _show_load(self, call: Call) -> Answer:
        return answer_json({'running': self._running, 'slots': self._slots})

    def _serve_faults(self, call: Call) -> Answer:
        if call.method == 'POST':
            self._change_faults(call)
        return answer_json(self._faults.model_dump())

    def _change_faults(self, call: Call) -> None:
        try:
            changed = ServiceFaults.model_validate_json(call.body)
        except ValidationError as error:
            raise CallRejected(str(error), HTTPStatus.BAD_REQUEST, 3) from error
        with self._lock:
            fields = changed.model_dump(exclude_unset=True)
            self._faults = self._faults.model_copy(update=fields)


def make_server(
    port: int = 0,
    slots: int = 8,
    work_ms: float = 10,
    seed: int = 0,
    threads: int = 300,
) -> Server:
    """Create the server of the plain service.

    Args:
        port: TCP port on 127.0.0.1; 0 selects a free port.
        slots: Number of calls that run at once; further calls wait.
        work_ms: Duration of each call in milliseconds.
        seed: Seed of the random draws of failures.
        threads: Connections served at once.
    """
    return Server(ServiceApi(slots, work_ms, seed), port, threads)


def _hash_body(call: Call) -> str:
    return hashlib.sha256(call.body).hexdigest()


if __name__ == '__main__':
    run_server(make_server)
