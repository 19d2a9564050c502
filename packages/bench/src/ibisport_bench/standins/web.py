"""HTTP server of the stand-ins, based on cheroot with a thread per connection."""

import io
import json
import os
import select
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import fire
from cheroot.server import Gateway, HTTPConnection, HTTPServer
from cheroot.workers.threadpool import ThreadPool

from ibisport_bench.standins.errors import CallRejected, ConnectionDropped

HOST = '127.0.0.1'
JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream'
CONNECTION_TIMEOUT_SECONDS = 600
SHUTDOWN_TIMEOUT_SECONDS = 1
STOP_TIMEOUT_SECONDS = 5
STOP_CHECK_INTERVAL_SECONDS = 0.1
LISTEN_BACKLOG = 1024
MAX_IDLE_CONNECTIONS = 100_000
PAUSE_POLL_INTERVAL_SECONDS = 0.05
IDLE_POLL_MS = 20


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer.

    Attributes:
        content: Encoded body.
        status: HTTP status.
        content_type: Value of the Content-Type header.
    """

    content: bytes
    status: int = HTTPStatus.OK
    content_type: str = JSON_TYPE


@dataclass(frozen=True, slots=True)
class Stream:
    """Answer that is streamed in chunked transfer coding.

    Attributes:
        pieces: Chunks of the body; each is sent as soon as it is yielded.
        content_type: Value of the Content-Type header.
    """

    pieces: Iterator[bytes]
    content_type: str = JSON_TYPE


class Call:
    """HTTP request to a stand-in.

    Attributes:
        method: HTTP method in upper case.
        path: Path without the query.
        query: Last value of each query parameter.
        body: Complete body.
    """

    def __init__(self, request: Any) -> None:
        """Read the whole request."""
        self._request = request
        self.method: str = request.method.decode()
        self.path: str = request.path.decode()
        self.query = dict(parse_qsl(request.qs.decode()))
        self.body: bytes = request.rfile.read()

    def get_header(self, name: str, default: str = '') -> str:
        """Return a header's value, or the default."""
        header = self._request.inheaders.get(name.title().encode())
        return default if header is None else header.decode()

    def is_abandoned(self) -> bool:
        """Return whether the client has closed its end of the connection."""
        poll = select.poll()
        sock = self._request.conn.socket
        poll.register(sock, select.POLLIN)
        if not poll.poll(0):
            return False
        try:
            return not sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return True


Application = Callable[[Call], Answer | Stream]


def answer_json(value: object, status: int = HTTPStatus.OK) -> Answer:
    """Return an answer with a value encoded as JSON."""
    return Answer(json.dumps(value).encode(), status)


class _Gateway(Gateway):  # type: ignore[misc]
    def respond(self) -> None:
        try:
            answer = self._call_application()
            self._send(answer)
        except ConnectionDropped:
            self._drop()

    def _call_application(self) -> Answer | Stream:
        try:
            return self.req.server.application(Call(self.req))
        except CallRejected as error:
            return answer_json(
                {
                    'error': error.message,
                    'code': error.grpc_code,
                    'message': error.message,
                },
                error.status,
            )

    def _send(self, answer: Answer | Stream) -> None:
        match answer:
            case Answer(content=content, status=status, content_type=content_type):
                self._start(status, content_type)
                length = str(len(content)).encode()
                self.req.outheaders.append((b'Content-Length', length))
                self.req.ensure_headers_sent()
                self.req.write(content)
            case Stream(pieces=pieces, content_type=content_type):
                self._start(HTTPStatus.OK, content_type)
                self.req.ensure_headers_sent()
                self._send_pieces(pieces)

    def _send_pieces(self, pieces: Iterator[bytes]) -> None:
        try:
            for piece in pieces:
                self.req.write(piece)
        finally:
            # Closing the generator makes it clean up when the client has disconnected.
            getattr(pieces, 'close', _do_nothing)()

    def _start(self, status: int, content_type: str) -> None:
        phrase = HTTPStatus(status).phrase
        self.req.status = f'{int(status)} {phrase}'.encode()
        self.req.outheaders.append((b'Content-Type', content_type.encode()))

    def _drop(self) -> None:
        self.req.sent_headers = True
        self.req.chunked_write = False
        self.req.close_connection = True
        # Without the shutdown, the client sees no end of the connection while
        # another thread still holds the socket.
        try:
            self.req.conn.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


class _Reader(io.BufferedReader):
    """Buffered reader in C; cheroot's Python reader costs more than serving a call."""

    def has_data(self) -> bool:
        """Return False: clients of the stand-ins don't pipeline requests."""
        return False


class _Connection(HTTPConnection):  # type: ignore[misc]
    def __init__(self, server: HTTPServer, sock: socket.socket, *options: Any) -> None:
        super().__init__(server, sock, *options)
        self.rfile = _Reader(socket.SocketIO(sock, 'rb'))

    def communicate(self) -> bool:
        # A busy connection keeps its thread; an idle one returns to the selector.
        while super().communicate():  # type: ignore[no-untyped-call]
            if not self._wait_for_request():
                return True
        return False

    def _wait_for_request(self) -> bool:
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(IDLE_POLL_MS))


class _ApplicationServer(HTTPServer):  # type: ignore[misc]
    ConnectionClass = _Connection
    application: Application
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS


@dataclass(frozen=True, slots=True)
class Ready:
    """Lines that a program prints once it accepts connections.

    Attributes:
        word: First word of the last line, which contains the server's address.
        lines: Lines that are printed before it.
    """

    word: str = 'ready'
    lines: tuple[str, ...] = ()


class Server:
    """HTTP server of a stand-in."""

    def __init__(
        self,
        application: Application,
        port: int,
        threads: int,
        ready: Ready | None = None,
    ) -> None:
        """Create a server without starting it.

        Args:
            application: Handler of each call.
            port: TCP port on 127.0.0.1; 0 selects a free port.
            threads: Connections served at once.
            ready: Lines to print once the server accepts connections.
        """
        self._ready = ready or Ready()
        self._stopping = threading.Event()
        self._server = _ApplicationServer((HOST, port), _Gateway)
        self._server.application = application
        self._server.requests = ThreadPool(self._server, min=threads, max=threads)
        self._server.timeout = CONNECTION_TIMEOUT_SECONDS
        self._server.shutdown_timeout = SHUTDOWN_TIMEOUT_SECONDS
        self._server.request_queue_size = LISTEN_BACKLOG

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then exit the process."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        # This starts the threads of the pool, which keep the process alive.
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()
        self._print_ready()
        # A signal sent while the process is paused may be delivered to another thread
        # and then doesn't wake a main thread that waits on a lock without a timeout,
        # so the main thread polls.
        while not self._stopping.is_set():
            time.sleep(STOP_CHECK_INTERVAL_SECONDS)
        ending = threading.Thread(target=self._server.stop, daemon=True)
        ending.start()
        ending.join(STOP_TIMEOUT_SECONDS)
        # Pool threads may still block on sockets, and there is no state to save.
        os._exit(0)

    def _print_ready(self) -> None:
        port = self._server.bind_addr[1]
        own_line = f'{self._ready.word} {HOST}:{port}'
        for line in (*self._ready.lines, own_line):
            sys.stdout.write(f'{line}\n')
        sys.stdout.flush()

    def _stop(self, number: int, frame: object) -> None:
        self._stopping.set()


def run_server(make_server: Callable[..., Server]) -> None:
    """Create a server from the command line's flags and serve.

    Fire reports unknown flags only after the function has returned, so the
    function that it calls must not be the one that serves.

    Args:
        make_server: Creates the server; its parameters are the flags.
    """
    server = fire.Fire(make_server, serialize=_print_nothing)
    server.serve()


def pause_while(condition: Callable[[], object], call: Call | None = None) -> None:
    """Block while a condition holds.

    Args:
        condition: Evaluated every ``PAUSE_POLL_INTERVAL_SECONDS``.
        call: Request whose client may disconnect meanwhile.

    Raises:
        ConnectionDropped: The client disconnected.
    """
    while condition():
        if call is not None and call.is_abandoned():
            raise ConnectionDropped('client left')
        time.sleep(PAUSE_POLL_INTERVAL_SECONDS)


def _print_nothing(_: Server) -> None:
    """Prevent Fire from printing the server."""


def _do_nothing() -> None:
    """Replace the ``close`` method that plain iterators lack."""


def read_json(call: Call) -> Any:
    """Parse the body of a call as JSON; an empty body stands for ``{}``.

    Raises:
        CallRejected: The body is not valid JSON.
    """
    try:
        return json.loads(call.body or b'{}')
    except ValueError as error:
        raise CallRejected(str(error), HTTPStatus.BAD_REQUEST, 3) from error
