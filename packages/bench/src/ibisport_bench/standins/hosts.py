"""Stand-in for the platform's delayed list of live and leaving hosts."""

import threading
import time
from enum import StrEnum
from http import HTTPStatus

from pydantic import BaseModel, TypeAdapter, ValidationError

from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.web import Answer, Call, Server, answer_json, run_server

MS_PER_SECOND = 1000


class HostState(StrEnum):
    """State of a host; ``gone`` removes it from the list."""

    live = 'live'
    leaving = 'leaving'
    gone = 'gone'


class HostEntry(BaseModel):
    """A host as posted by a test and, one lag later, as listed by the platform.

    Attributes:
        host: IP address or name.
        failure_domain: Failure domain of the host.
        state: ``live``, ``leaving``, or ``gone``.
        seen_at: Unix time of the change in seconds; set by the stand-in.
    """

    host: str
    failure_domain: str = ''
    state: HostState = HostState.live
    seen_at: float = 0


class HostList:
    """Host changes, each visible one lag after it was posted."""

    def __init__(self, lag_ms: float) -> None:
        """Create an empty list; the lag is in milliseconds."""
        self._lag = lag_ms / MS_PER_SECOND
        self._lock = threading.Lock()
        self._changes: list[tuple[float, HostEntry]] = []

    def __call__(self, call: Call) -> Answer:
        """Serve one call."""
        if call.path != '/hosts':
            raise CallRejected('no such path', HTTPStatus.NOT_FOUND, 5)
        if call.method == 'POST':
            self._change(_read_entries(call))
        return answer_json(self._list_visible())

    def _change(self, entries: list[HostEntry]) -> None:
        visible_at = time.monotonic() + self._lag
        with self._lock:
            for entry in entries:
                entry.seen_at = time.time()
                self._changes.append((visible_at, entry))

    def _list_visible(self) -> list[dict[str, object]]:
        now = time.monotonic()
        with self._lock:
            visible = {
                entry.host: entry
                for visible_at, entry in self._changes
                if visible_at <= now
            }
        return [
            entry.model_dump()
            for entry in visible.values()
            if entry.state is not HostState.gone
        ]


def make_server(port: int = 0, lag_ms: float = 2000, threads: int = 300) -> Server:
    """Create the server of the host list.

    Args:
        port: TCP port on 127.0.0.1; 0 selects a free port.
        lag_ms: Milliseconds after which a change is visible.
        threads: Connections served at once.
    """
    return Server(HostList(lag_ms), port, threads)


def _read_entries(call: Call) -> list[HostEntry]:
    adapter = TypeAdapter(HostEntry | list[HostEntry])
    try:
        posted = adapter.validate_json(call.body)
    except ValidationError as error:
        raise CallRejected(str(error), HTTPStatus.BAD_REQUEST, 3) from error
    return posted if isinstance(posted, list) else [posted]


if __name__ == '__main__':
    run_server(make_server)
