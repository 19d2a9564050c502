"""Crowds of clients that send much, finish nothing, and stay connected."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ibisport_bench.soak.callers import SITE_HOST
from ibisport_bench.soak.http_messages import encode_message
from ibisport_platform.headers import HOST
from ibisport_platform.stand_in_records import encode_request_headers

# The catalogue's default limit of a body, and the relay's.
BODY_BYTES = 4_194_304
RELAY_BODY_BYTES = 2_097_152
ANSWER_SECONDS = 30.0
RETURN_SECONDS = 0.05
MAX_VISITS = 3
# An eighth of those of a router's machine.
MAX_DESCRIPTORS = 512
PART = b'x' * 65_536
CALLERS, RELAY, READINESS, PEERS = 'callers', 'relay', 'readiness', 'peers'
KEY = 'key-ample'
IDS = (f'crowd-{number}' for number in itertools.count(1))


@dataclass(frozen=True, slots=True)
class Crowd:
    """What each client of a crowd does.

    Attributes:
        clients: Number of clients.
        begin: Returns the first bytes of a client's request with an id.
        piece: What is sent next, again and again.
        count: How often.
        pause: Pause after each piece, seconds.
        reads: Whether the clients read answers.
        listener: The listener that they connect to.
        max_descriptors: Descriptors of the process that they connect to.
    """

    clients: int
    begin: Callable[[str], bytes]
    piece: bytes = b''
    count: int = 1
    pause: float = 0.0
    reads: bool = True
    listener: str = CALLERS
    max_descriptors: int = MAX_DESCRIPTORS


def begin_request(request_id, framing, path='/read/x', seconds=ANSWER_SECONDS):
    """Return the head of a caller's request with a line that states its framing."""
    headers = encode_request_headers(request_id, KEY, (1, 9), seconds)
    headers.append((HOST, SITE_HOST.encode()))
    lines = b''.join(b'%b: %b\r\n' % pair for pair in headers)
    return f'POST {path} HTTP/1.1\r\n'.encode() + lines + framing + b'\r\n\r\n'


def make_request(request_id, path='/read/x', length=1, seconds=ANSWER_SECONDS):
    """Return a complete request that is to be answered within some seconds."""
    framing = b'Content-Length: %d' % length
    return begin_request(request_id, framing, path, seconds) + b'x' * length


def _announce(length, path='/read/x'):
    framing = b'Content-Length: %d' % length
    return lambda request_id: begin_request(request_id, framing, path)


def _begin_chunks(request_id):
    return begin_request(request_id, b'Transfer-Encoding: chunked')


def _begin_head(request_id):
    return b'POST /read/x HTTP/1.1\r\n'


def _begin_call(request_id):
    framing = b'Content-Length: %d' % RELAY_BODY_BYTES
    return b'POST /kv-txn HTTP/1.1\r\nHost: store\r\n' + framing + b'\r\n\r\n'


def _begin_small_requests(request_id):
    return encode_message('GET /none HTTP/1.1', [(HOST, b'none')], b'') * 20_000


def _begin_large_answers(request_id):
    return make_request(request_id, '/read/x?fill=1000000') * 8


def _begin_large_stream(request_id):
    return make_request(request_id, '/talk/x?events=9&fill=300000')


def _ask_for_endless(path):
    return lambda request_id: make_request(request_id, path)


def _begin_metrics_requests(request_id):
    return b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n' * 5_000


def _begin_large_calls(request_id):
    return b'GET /kv-key?key=bulk HTTP/1.1\r\nHost: store\r\n\r\n' * 8


SHORT = b'x' * (BODY_BYTES - 1)
LARGE_CHUNK = b'%x\r\n%b\r\n' % (len(PART), PART)
CROWDS = {
    'whole bodies short of their end': Crowd(40, _announce(BODY_BYTES), SHORT),
    'whole bodies of 600 clients short of their end': Crowd(
        600, _announce(BODY_BYTES), SHORT, max_descriptors=2_048
    ),
    'pieces of bodies short of their end': Crowd(
        40, _announce(BODY_BYTES), PART[:-1], BODY_BYTES // len(PART), 0.02
    ),
    'one chunk short of its end': Crowd(
        40, _begin_chunks, b'%x\r\n%b' % (BODY_BYTES, SHORT)
    ),
    'large chunks without the last': Crowd(
        40, _begin_chunks, LARGE_CHUNK, BODY_BYTES // len(PART)
    ),
    'chunks of one byte without the last': Crowd(
        40, _begin_chunks, b'1\r\nx\r\n' * 4_096, 256
    ),
    'large chunks without end': Crowd(40, _begin_chunks, LARGE_CHUNK, 512),
    'bodies announced far over the limit': Crowd(
        40, _announce(1_000_000_000_000), PART, 512
    ),
    'whole bodies to slow streams': Crowd(
        40, _announce(BODY_BYTES, '/talk/x?events=16&pause=0.5'), SHORT + b'x'
    ),
    'many requests without reading': Crowd(40, _begin_small_requests, reads=False),
    'requests for large answers without reading': Crowd(
        40, _begin_large_answers, reads=False
    ),
    'requests for large streams without reading': Crowd(
        120, _begin_large_stream, reads=False
    ),
    'requests that get bytes without end': Crowd(
        120, _ask_for_endless('/read/x?endless=noise')
    ),
    'requests that get heads without end': Crowd(
        120, _ask_for_endless('/read/x?endless=head')
    ),
    'requests that get bodies without end': Crowd(
        120, _ask_for_endless('/read/x?endless=length')
    ),
    'requests that get unframed bodies without end': Crowd(
        120, _ask_for_endless('/read/x?endless=unframed')
    ),
    'requests that get streams without end': Crowd(
        120, _ask_for_endless('/talk/x?endless=chunks')
    ),
    'heads of many small headers': Crowd(160, _begin_head, b'ab:\r\n' * 8_000),
    'half of a head': Crowd(600, _begin_head, b'Host: x'),
    'calls short of their end to a relay': Crowd(
        80, _begin_call, b'x' * (RELAY_BODY_BYTES - 1), listener=RELAY
    ),
    'half of a call to a relay': Crowd(600, _begin_head, b'Host: x', listener=RELAY),
    'bodies short of their end to the readiness check': Crowd(
        40, _announce(BODY_BYTES), SHORT, listener=READINESS
    ),
    'half of a head to the readiness check': Crowd(
        600, _begin_head, b'Host: x', listener=READINESS
    ),
    'requests for metrics without reading': Crowd(
        40, _begin_metrics_requests, reads=False, listener=READINESS
    ),
    'calls for large values to a relay without reading': Crowd(
        40, _begin_large_calls, reads=False, listener=RELAY
    ),
    'half of a head to the port for other routers': Crowd(
        600, _begin_head, b'Host: x', listener=PEERS
    ),
}


class RunningCrowd:
    """A crowd that is connected to an address until it is told to leave.

    Attributes:
        statuses: Status of the first answer by the id of its request.
        connected: Number of connections so far.
    """

    def __init__(self, crowd, address):
        self.statuses = {}
        self.connected = 0
        self._crowd = crowd
        self._address = address
        self._tasks = [
            asyncio.ensure_future(self._come_again()) for _ in range(crowd.clients)
        ]
        self._sent = asyncio.Semaphore(0)

    async def wait_until_sent(self, seconds):
        """Wait until each client has sent all, or some seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                for _ in self._tasks:
                    await self._sent.acquire()

    async def leave(self):
        """Reset all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)

    async def _come_again(self):
        for _ in range(MAX_VISITS):
            with contextlib.suppress(OSError):
                await self._visit()
            await asyncio.sleep(RETURN_SECONDS)
        self._sent.release()

    async def _visit(self):
        request_id = next(IDS)
        reader, writer = await asyncio.open_connection(*self._address)
        self.connected += 1
        sending = asyncio.ensure_future(self._send(writer, request_id))
        try:
            if self._crowd.reads:
                await self._read(reader, request_id)
            else:
                writer.transport.pause_reading()
                await asyncio.Event().wait()
        finally:
            sending.cancel()
            writer.transport.abort()

    async def _send(self, writer, request_id):
        with contextlib.suppress(OSError):
            writer.write(self._crowd.begin(request_id))
            for _ in range(self._crowd.count):
                writer.write(self._crowd.piece)
                await writer.drain()
                await asyncio.sleep(self._crowd.pause)
            self._sent.release()

    async def _read(self, reader, request_id):
        words = (await reader.readline()).split()
        if words:
            self.statuses[request_id] = int(words[1])
        while not reader.at_eof():
            await reader.read(len(PART))
