"""Calls to the one target that an agent stands beside."""

import contextlib
import time
from collections.abc import Iterator
from dataclasses import dataclass

import urllib3

from ibisport_core.errors import Statement, TargetFailed
from ibisport_core.internal.clock import make_seconds
from ibisport_core.messages import Header, Submit

_FORWARDED_HEADERS = frozenset(('content-type', 'retry-after', 'location', 'etag'))
_CONNECT_TIMEOUT_SECONDS = 2.0
_MAX_READ_TIMEOUT_SECONDS = 60.0
_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target's answer whose body is still to be read.

    Attributes:
        status: HTTP status.
        headers: The headers that go on to the caller.
    """

    status: int
    headers: tuple[Header, ...]
    _response: urllib3.BaseHTTPResponse

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes, in pieces of what is there.

        Raises:
            TargetFailed: The target broke off or went silent.
        """
        try:
            while True:
                piece = self._response.read1(_READ_BYTES)
                if not piece:
                    return
                yield piece
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise TargetFailed(str(error), Statement.outcome_unknown) from error

    def abort(self) -> None:
        """Close the connection, from any thread: the target stops the work."""
        with contextlib.suppress(Exception):
            self._response.shutdown()  # type: ignore[attr-defined]

    def close(self) -> None:
        """Give the connection back, or close it when the body was not read."""
        with contextlib.suppress(Exception):
            self._response.close()
            self._response.release_conn()


class TargetClient:
    """HTTP client of one target."""

    def __init__(self, address: str, most_calls: int) -> None:
        """Set the pool up.

        Args:
            address: ``host:port`` of the target.
            most_calls: How many calls may be in flight.
        """
        host, _, port = address.rpartition(':')
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=most_calls, retries=False
        )

    def call(self, submit: Submit) -> TargetAnswer:
        """Send a request on and return its answer's head.

        Args:
            submit: The request.

        Returns:
            The answer, its body unread.

        Raises:
            TargetFailed: With ``did_not_run`` when no connection was made,
                else with ``outcome_unknown``.
        """
        headers = {one.name: one.content for one in submit.headers}
        headers['X-Request-Id'] = submit.request_id.hex()
        headers['X-Priority'] = str(submit.priority)
        left = make_seconds(submit.deadline) - time.time()
        silence = max(0.1, min(left, _MAX_READ_TIMEOUT_SECONDS))
        try:
            response = self._pool.urlopen(
                submit.method,
                submit.path,
                body=submit.body,
                headers=headers,
                preload_content=False,
                redirect=False,
                timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_SECONDS, read=silence),
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise TargetFailed(str(error), Statement.did_not_run) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            statement = _classify_error(error)
            raise TargetFailed(str(error), statement) from error
        return TargetAnswer(response.status, _filter_headers(response), response)

    def close(self) -> None:
        """Close the pool."""
        self._pool.close()


def _classify_error(error: Exception) -> Statement:
    if isinstance(error, urllib3.exceptions.ConnectTimeoutError):
        return Statement.did_not_run
    return Statement.outcome_unknown


def _filter_headers(response: urllib3.BaseHTTPResponse) -> tuple[Header, ...]:
    pairs = response.headers.items()
    return tuple(
        Header(*pair) for pair in pairs if pair[0].lower() in _FORWARDED_HEADERS
    )
