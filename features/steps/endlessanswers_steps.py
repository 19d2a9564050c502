"""Steps on answers without an end."""

import asyncio
import itertools
import tracemalloc

from behave import then, when

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.errors import AnswerInvalid, ConnectionBroken, RequestInvalid
from ibisport_fleet.http_connection import open_http_connection
from ibisport_fleet.overload.memory_budget import MemoryUse
from ibisport_fleet.request_reader import RequestReader
from ibisport_fleet.sse import EventSplitter

MIB = 1_048_576
PART = b'x' * 4_096
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# What is sent first, and then again and again.
ENDLESS = {
    'one header': (HEAD + b'X-Long: ', PART),
    'headers': (HEAD, b'X-Name: value\r\n' * 256),
    'trailers': (CHUNKED + b'1\r\nx\r\n0\r\n', b'X-Name: value\r\n' * 256),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 128),
    'a status line': (b'HTTP/1.1 200 ', PART),
    'a chunk extension': (CHUNKED + b'1;x=', PART),
    'no HTTP': (b'', PART),
}
TIMEOUT_SECONDS = 20.0
# By then the connection is idle.
SENT_LATER_SECONDS = 0.2
# More than any bound: a sender that gets this far was read without an end.
MAX_PARTS = 16_384


class _Server:
    """Sends a head and then parts without end."""

    def __init__(self, head, part, count=MAX_PARTS):
        self.received = 0
        self._pieces = (head, part, count)

    async def serve(self, reader, writer):
        """Answer on one connection."""
        head, part, count = self._pieces
        try:
            writer.write(head)
            for _ in range(count):
                writer.write(part)
                await writer.drain()
        except ConnectionError:
            writer.close()


def _count_bytes(channel, server):
    """Count what the router reads from a server."""
    read = channel.read

    async def read_and_count():
        data = await read()
        server.received += len(data)
        return data

    channel.read = read_and_count


async def _request(server):
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    loop = asyncio.get_running_loop()
    address = listener.sockets[0].getsockname()
    connection = await open_http_connection(address, loop.time() + 1.0)
    _count_bytes(connection.channel, server)
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await connection.request(b'GET / HTTP/1.1', (), b'')
    finally:
        connection.close()
        listener.close()


@when('a target sends {kind} without end')
def send_endless(context, kind):
    context.server = _Server(*ENDLESS[kind])
    tracemalloc.start()
    try:
        asyncio.run(_request(context.server))
    except ConnectionBroken as error:
        context.failure = error
    finally:
        context.peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()


@then(
    'the request fails after at most {size:d} MiB, in at most {memory:d} MiB of memory'
)
def check_given_up(context, size, memory):
    assert isinstance(context.failure, AnswerInvalid), context.failure
    assert context.server.received <= size * MIB, context.server.received
    assert context.peak <= memory * MIB, context.peak


class _LaterServer:
    """Answers, and goes on sending a little later."""

    def __init__(self):
        self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        """Answer on one connection."""
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(HEAD + b'Content-Length: 0\r\n\r\n')
            await asyncio.sleep(SENT_LATER_SECONDS)
            while True:
                writer.write(PART)
                await writer.drain()
        except ConnectionError:
            self.ended.set()
            writer.close()


async def _go_on_sending():
    """Return the connection that is reused after its peer went on sending."""
    server = _LaterServer()
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    address = listener.sockets[0].getsockname()
    pool = ConnectionPool()
    connection = await pool.open(address, asyncio.get_running_loop().time() + 1.0)
    await connection.request(b'GET / HTTP/1.1', (), b'')
    pool.release(connection, TIMEOUT_SECONDS)
    await asyncio.wait_for(server.ended.wait(), TIMEOUT_SECONDS)
    listener.close()
    return pool.acquire_idle(address)


@when('a target goes on sending after its answer')
def go_on_sending(context):
    context.reused = asyncio.run(_go_on_sending())


@then('the idle connection is closed, and not used again')
def check_idle_closed(context):
    assert context.reused is None


@when('a stream brings an event of 64 MiB in parts of 4 KiB')
def send_endless_event(context):
    context.splitter = splitter = EventSplitter()
    context.fed = 0
    context.failure = None
    while context.fed < 64 * MIB and context.failure is None:
        try:
            splitter.feed(PART)
        except AnswerInvalid as error:
            context.failure = error
        context.fed += len(PART)


@then('it fails after at most {size:d} MiB')
def check_event(context, size):
    assert context.failure is not None
    assert context.fed <= size * MIB, context.fed


@when('a target sends 40,000 chunks of one byte')
def send_small_chunks(context):
    server = _Server(CHUNKED, b'1\r\nx\r\n' * 400, 100)
    original = server.serve

    async def serve(reader, writer):
        await original(reader, writer)
        writer.write(b'0\r\n\r\n')

    server.serve = serve
    context.answer = asyncio.run(_request(server))


@then('the request gets its answer of 40,000 bytes')
def check_answer(context):
    assert context.answer.body == b'x' * 40_000


POST = b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
ENDLESS_REQUESTS = {
    'one header': (b'GET /x HTTP/1.1\r\nX-Long: ', PART),
    'a path': (b'GET /', PART),
    'a chunk extension': (POST + b'1;x=', PART),
    'trailers': (POST + b'1\r\nx\r\n0\r\n', b'X-Name: value\r\n' * 256),
}


class _EndlessChannel:
    """Brings a head and then parts without end."""

    def __init__(self, head, part):
        self.received = 0
        self.memory = MemoryUse()
        self._pieces = itertools.chain([head], itertools.repeat(part, MAX_PARTS))

    async def read(self):
        """Return the next piece."""
        piece = next(self._pieces, b'')
        self.received += len(piece)
        return piece


@when('a caller or another router sends {kind} without end')
def send_endless_request(context, kind):
    context.channel = _EndlessChannel(*ENDLESS_REQUESTS[kind])
    context.failure = None

    async def read():
        await RequestReader(context.channel, Limits).read()

    try:
        asyncio.run(read())
    except RequestInvalid as error:
        context.failure = error


@then('the request is refused after at most {size:d} MiB')
def check_refused(context, size):
    assert context.failure is not None, context.channel.received
    assert context.channel.received <= size * MIB, context.channel.received
