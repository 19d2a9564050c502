"""HTTP calls to the agent's target."""

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
    """A target's answer with its body not yet read.

    Attributes:
        status: HTTP status.
        headers: The headers that are forwarded to the caller.
    """

    status: int
    headers: tuple[Header, ...]
    _response: urllib3.BaseHTTPResponse

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives, in chunks of the bytes available.

        Raises:
            TargetFailed: The connection broke or the read timed out.
        """
        try:
            while True:
                chunk = self._response.read1(_READ_BYTES)
                if not chunk:
                    return
                yield chunk
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise TargetFailed(str(error), Statement.outcome_unknown) from error

    def abort(self) -> None:
        """Shut down the connection so that the target stops; thread-safe."""
        with contextlib.suppress(Exception):
            self._response.shutdown()  # type: ignore[attr-defined]

    def close(self) -> None:
        """Release the connection to the pool, or close it if the body is unread."""
        with contextlib.suppress(Exception):
            self._response.close()
            self._response.release_conn()


class TargetClient:
    """HTTP client of one target."""

    def __init__(self, address: str, max_calls: int) -> None:
        """Create the connection pool.

        Args:
            address: ``host:port`` of the target.
            max_calls: Maximum number of concurrent calls; the pool keeps as many
                connections.
        """
        host, _, port = address.rpartition(':')
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=max_calls, retries=False
        )

    def call(self, submit: Submit) -> TargetAnswer:
        """Forward a request and return its answer's head.

        Args:
            submit: The request.

        Returns:
            The answer with its body unread.

        Raises:
            TargetFailed: With ``did_not_run`` if no connection was established,
                otherwise with ``outcome_unknown``.
        """
        headers = {header.name: header.content for header in submit.headers}
        headers['X-Request-Id'] = submit.request_id.hex()
        headers['X-Priority'] = str(submit.priority)
        remaining = make_seconds(submit.deadline) - time.time()
        read_timeout = max(0.1, min(remaining, _MAX_READ_TIMEOUT_SECONDS))
        try:
            response = self._pool.urlopen(
                submit.method,
                submit.path,
                body=submit.body,
                headers=headers,
                preload_content=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_SECONDS, read=read_timeout
                ),
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
