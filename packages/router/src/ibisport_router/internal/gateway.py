"""The callers' HTTP listener: every request gets its final answer here."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

import orjson
from cheroot import wsgi

from ibisport_core.errors import (
    IbisportError,
    Refusal,
    RequestInvalid,
    RouterNotReady,
    RouterStopping,
    StreamsFull,
)
from ibisport_core.events import Event, log_event
from ibisport_router.internal.exchange import Exchange
from ibisport_router.internal.intake import HttpRequest, Intake

if TYPE_CHECKING:
    from ibisport_router.internal.attempt import Reply
    from ibisport_router.internal.orders import Order
    from ibisport_router.router import Router

_SPARE_THREADS = 16
_MOST_BODY_BYTES = 8 * 1024 * 1024
_JSON = 'application/json'
StartResponse = Callable[[str, list[tuple[str, str]]], object]
_REASONS = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    402: 'Payment Required',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class Gateway:
    """Serves callers through cheroot, a pool thread for each open request."""

    def __init__(self, router: Router) -> None:
        """Open the listener; ``start`` serves.

        Args:
            router: Who carries requests out.
        """
        self._router = router
        self._intake = Intake(router.settings.default_patience)
        self._open = 0
        self._lock = threading.Lock()
        host, _, port = router.settings.serve.rpartition(':')
        threads = router.settings.streams + _SPARE_THREADS
        self._server = wsgi.Server(
            (host, int(port)),
            self._answer,
            # cheroot never grows its pool by itself, so all threads stand ready;
            # the spare ones give the refusals above the limit.
            numthreads=threads,
            max=threads,
            request_queue_size=1024,
        )
        self._server.keep_alive_conn_limit = threads
        self._server.max_request_body_size = _MOST_BODY_BYTES
        self._server.prepare()

    @property
    def address(self) -> str:
        """Where callers connect, ``host:port``."""
        return '{}:{}'.format(*self._server.bind_addr[:2])

    @property
    def open_requests(self) -> int:
        """Requests that have not got their whole answer."""
        return self._open

    def start(self) -> None:
        """Serve in threads."""
        threading.Thread(target=self._server.serve, name='gateway', daemon=True).start()

    def stop(self) -> None:
        """Close the listener; whoever calls has waited for open requests."""
        self._server.stop()

    def _answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        return self._serve(environ, start_response)

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        try:
            self._enter()
        except Refusal as refusal:
            return iter(_refuse(refusal, start_response))
        started = time.time()
        try:
            order = self._intake.read(
                _read_request(environ), self._router.catalogue.current
            )
            exchange = Exchange(self._router, order)
            reply = self._open_within_limits(order, exchange)
        except Refusal as refusal:
            self._leave()
            self._note_refusal(refusal)
            return iter(_refuse(refusal, start_response))
        except Exception as error:
            self._leave()
            log_event(Event.unexpected_failure, detail=repr(error))
            return iter(_refuse(_hide(error), start_response))
        headers = [(one.name, one.content) for one in reply.headers]
        start_response(_name_status(reply.status), headers)
        return self._stream(order, exchange, reply, started)

    def _open_within_limits(self, order: Order, exchange: Exchange) -> Reply:
        limits = self._router.limits
        limits.enter(order)
        try:
            return exchange.open()
        except BaseException:
            limits.leave(order)
            raise

    def _stream(
        self, order: Order, exchange: Exchange, reply: Reply, started: float
    ) -> Iterator[bytes]:
        """Yield the body; a stream that breaks off says so in its last event."""
        watch = self._router.watch_stream(order, started)
        try:
            for piece in reply.pieces:
                watch.note_piece()
                yield piece
        except Refusal as refusal:
            self._note_refusal(refusal)
            yield _make_error_event(refusal)
        finally:
            exchange.close()
            watch.note_end()
            self._router.limits.leave(order)
            self._leave()

    def _enter(self) -> None:
        with self._lock:
            if self._router.stopping.is_set():
                raise RouterStopping(retry_at=time.time())
            if not self._router.catalogue.loaded.is_set():
                raise RouterNotReady(retry_at=time.time() + 1)
            if self._open >= self._router.settings.streams:
                raise StreamsFull(retry_at=time.time() + 1)
            self._open += 1

    def _leave(self) -> None:
        with self._lock:
            self._open -= 1

    def _note_refusal(self, refusal: Refusal) -> None:
        labels = {'code': refusal.code, 'statement': refusal.statement.value}
        self._router.metrics.count('ibisport_refusals_total', labels)


def _read_request(environ: dict[str, Any]) -> HttpRequest:
    headers = {
        name: content
        for name, content in environ.items()
        if name.startswith('HTTP_') or name == 'CONTENT_TYPE'
    }
    return HttpRequest(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=environ.get('QUERY_STRING', ''),
        headers=headers,
        body=_read_body(environ),
    )


def _read_body(environ: dict[str, Any]) -> bytes:
    body: bytes
    if environ.get('wsgi.input_terminated'):
        body = environ['wsgi.input'].read()
        return body
    try:
        length = int(environ.get('CONTENT_LENGTH') or 0)
    except ValueError:
        raise RequestInvalid('Content-Length is no number') from None
    if not 0 <= length <= _MOST_BODY_BYTES:
        raise RequestInvalid('the body is too long')
    body = environ['wsgi.input'].read(length) if length else b''
    if len(body) < length:
        raise RequestInvalid('the body was cut off')
    return body


def make_error(refusal: Refusal) -> dict[str, Any]:
    """Return a refusal as the JSON that callers get."""
    return {
        'error': {
            'code': refusal.code,
            'type': refusal.code,
            'statement': refusal.statement.value,
            'message': refusal.detail,
            'retry_at': refusal.retry_at,
        }
    }


def _refuse(refusal: Refusal, start_response: StartResponse) -> tuple[bytes]:
    body = orjson.dumps(make_error(refusal))
    headers = [('Content-Type', _JSON), ('Content-Length', str(len(body)))]
    if refusal.retry_at is not None:
        left = max(0, int(refusal.retry_at - time.time() + 0.999))
        headers.append(('Retry-After', str(left)))
    start_response(_name_status(refusal.status), headers)
    return (body,)


def _make_error_event(refusal: Refusal) -> bytes:
    return b'data: ' + orjson.dumps(make_error(refusal)) + b'\n\n'


def _name_status(status: int) -> str:
    return f'{status} {_REASONS.get(status, "Answer")}'


def _hide(error: Exception) -> Refusal:
    """Tell the caller of a fault of ours, without its insides."""
    if isinstance(error, IbisportError):
        return Refusal(error.code)
    return Refusal('internal failure')
