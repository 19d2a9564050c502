"""HTTP calls to the key-value service, with each failure given its type."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
)

from ibisport_core.errors import (
    LeaseLapsed,
    StoreCompacted,
    StoreError,
    StoreOutcomeUnknown,
    StoreRejected,
    StoreUnavailable,
)

CONNECT_TIMEOUT = 1.0
POOL_SIZE = 8
LABEL_HEADER = 'X-Client-Label'
Fields = dict[str, Any]

_OK = 200
_CLIENT_FAULTS = range(400, 500)
_BUSY = 429
_UNAVAILABLE = 503
# Only these texts prove that nothing was proposed: etcd answers 503 as well
# when a proposal timed out or the leader changed, and then it may take effect.
_NOT_RUN = ('no leader', 'too many requests', 'rate limit', 'service is down')
_NOT_SENT = (NewConnectionError, ConnectTimeoutError, EmptyPoolError)


@dataclass(frozen=True, slots=True)
class Call:
    """One call of the gateway.

    Attributes:
        path: Path of the method, such as ``/v3/kv/range``.
        fields: JSON document that is posted.
        changes: Whether the call can take effect in the store.
        repeatable: Whether sending it twice does no harm.
    """

    path: str
    fields: Mapping[str, Any]
    changes: bool = False
    repeatable: bool = True


class Endpoint:
    """One address of the service, with its bounded pool of connections."""

    def __init__(self, address: str, label: str, call_timeout: float) -> None:
        """Open nothing yet; the first call connects.

        Args:
            address: ``ip:port``.
            label: Sent with each call, so that the service can tell callers.
            call_timeout: Seconds to wait for an answer.
        """
        host, _, port = address.rpartition(':')
        self.address = address
        self._timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT, call_timeout),
            read=call_timeout,
        )
        self._pool_timeout = call_timeout
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=POOL_SIZE,
            block=True,
            retries=False,
            headers={'Content-Type': 'application/json', LABEL_HEADER: label},
        )

    def post(self, call: Call) -> bytes:
        """Make one call and return the answer's body.

        Raises:
            StoreError: The subtype tells what is known of the call's effect.
        """
        try:
            response = self._pool.request(
                'POST',
                call.path,
                body=orjson.dumps(call.fields),
                timeout=self._timeout,
                pool_timeout=self._pool_timeout,
            )
        except HTTPError as error:
            raise classify_failure(call, error) from error
        if response.status != _OK:
            raise classify_status(call, response.status, response.data)
        return response.data

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()


def classify_failure(call: Call, error: HTTPError) -> StoreError:
    """Return the typed error of a call that got no answer."""
    detail = f'{call.path}: {error}'
    if call.changes and not isinstance(error, _NOT_SENT):
        return StoreOutcomeUnknown(detail)
    return StoreUnavailable(detail)


def classify_status(call: Call, status: int, body: bytes) -> StoreError:
    """Return the typed error of an answer that is not a success."""
    reason = body.decode(errors='replace')
    detail = f'{call.path}: {status} {reason}'
    if 'lease not found' in reason:
        return LeaseLapsed(detail)
    if 'has been compacted' in reason:
        return StoreCompacted(detail)
    if status in _CLIENT_FAULTS and status != _BUSY:
        return StoreRejected(detail)
    if call.changes and not _proves_not_run(status, reason):
        return StoreOutcomeUnknown(detail)
    return StoreUnavailable(detail)


def _proves_not_run(status: int, reason: str) -> bool:
    if status == _BUSY:
        return True
    lowered = reason.lower()
    return status == _UNAVAILABLE and any(text in lowered for text in _NOT_RUN)


def parse_answer(call: Call, body: bytes) -> Fields:
    """Return the document of an answer, the first line of a streamed one.

    Raises:
        StoreOutcomeUnknown: The answer of a change is not a JSON object.
        StoreUnavailable: The answer of a read is not a JSON object.
    """
    try:
        answer = orjson.loads(body.split(b'\n', 1)[0])
    except orjson.JSONDecodeError:
        answer = None
    if isinstance(answer, dict):
        return answer
    detail = f'{call.path}: the answer is no JSON object'
    raise StoreOutcomeUnknown(detail) if call.changes else StoreUnavailable(detail)
