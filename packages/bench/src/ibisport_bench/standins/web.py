"""HTTP plumbing of the stand-ins: cheroot, one thread for each connection."""

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
    """A whole answer.

    Attributes:
        content: Body as sent.
        status: HTTP status.
        content_type: Value of the Content-Type header.
    """

    content: bytes
    status: int = HTTPStatus.OK
    content_type: str = JSON_TYPE


@dataclass(frozen=True, slots=True)
class Stream:
    """An answer sent piece by piece, in chunked transfer coding.

    Attributes:
        pieces: Parts of the body; each is sent as soon as it is yielded.
        content_type: Value of the Content-Type header.
    """

    pieces: Iterator[bytes]
    content_type: str = JSON_TYPE


class Call:
    """One HTTP request as the stand-ins see it.

    Attributes:
        method: HTTP method in capitals.
        path: Path without the query.
        query: Last value of each query field.
        body: Whole body.
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
        """Tell whether the client has closed its end."""
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
    """Return the value as a JSON answer."""
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
            # A generator learns of a lost client by being closed.
            getattr(pieces, 'close', _do_nothing)()

    def _start(self, status: int, content_type: str) -> None:
        phrase = HTTPStatus(status).phrase
        self.req.status = f'{int(status)} {phrase}'.encode()
        self.req.outheaders.append((b'Content-Type', content_type.encode()))

    def _drop(self) -> None:
        self.req.sent_headers = True
        self.req.chunked_write = False
        self.req.close_connection = True
        # The client must see the end even while a thread still has the socket.
        try:
            self.req.conn.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


class _Reader(io.BufferedReader):
    """Reads in C; cheroot's own reader is in Python and costs more than a call."""

    def has_data(self) -> bool:
        """Say no: clients of the stand-ins do not send ahead of an answer."""
        return False


class _Connection(HTTPConnection):  # type: ignore[misc]
    def __init__(self, server: HTTPServer, sock: socket.socket, *options: Any) -> None:
        super().__init__(server, sock, *options)
        self.rfile = _Reader(socket.SocketIO(sock, 'rb'))

    def communicate(self) -> bool:
        # Busy connections keep their thread; idle ones go back to the selector.
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
    """What a program prints once it serves.

    Attributes:
        word: First word of the line that tells the server's address.
        lines: Whole lines that go before.
    """

    word: str = 'ready'
    lines: tuple[str, ...] = ()


class Server:
    """A stand-in's HTTP server."""

    def __init__(
        self,
        application: Application,
        port: int,
        threads: int,
        ready: Ready | None = None,
    ) -> None:
        """Keep what is to be served.

        Args:
            application: Serves each call.
            port: TCP port on 127.0.0.1; 0 takes a free one.
            threads: Connections served at once.
            ready: What is printed once it serves.
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
        """Serve until SIGTERM or SIGINT, then end the process."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        # This starts the pool's threads, which keep a process from ending.
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()
        self._print_ready()
        # A signal that came during a pause may reach another thread, and does not
        # wake a main thread that waits on a lock for good: so look at intervals.
        while not self._stopping.is_set():
            time.sleep(STOP_CHECK_INTERVAL_SECONDS)
        ending = threading.Thread(target=self._server.stop, daemon=True)
        ending.start()
        ending.join(STOP_TIMEOUT_SECONDS)
        # Pool threads may still wait on sockets; nothing is left to be saved.
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
    """Make a server by the flags of the command line and serve.

    Fire looks for unknown flags only when the function has returned, so this
    must not be the function that serves.

    Args:
        make_server: Its parameters are the flags.
    """
    server = fire.Fire(make_server, serialize=_print_nothing)
    server.serve()


def pause_while(condition: Callable[[], object], call: Call | None = None) -> None:
    """Wait while the condition holds.

    Args:
        condition: Asked again after each short pause.
        call: Request to be given up when its client leaves.

    Raises:
        ConnectionDropped: The client left.
    """
    while condition():
        if call is not None and call.is_abandoned():
            raise ConnectionDropped('client left')
        time.sleep(PAUSE_POLL_INTERVAL_SECONDS)


def _print_nothing(_: Server) -> None:
    """Keep Fire from printing the server."""


def _do_nothing() -> None:
    """Stand for the missing ``close`` of a plain iterator."""


def read_json(call: Call) -> Any:
    """Return the body's JSON value; an empty body stands for ``{}``.

    Raises:
        CallRejected: The body is no JSON.
    """
    try:
        return json.loads(call.body or b'{}')
    except ValueError as error:
        raise CallRejected(str(error), HTTPStatus.BAD_REQUEST, 3) from error
