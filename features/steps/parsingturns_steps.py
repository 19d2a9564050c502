"""Steps on requests that are costly to parse."""

import asyncio
import itertools

from behave import then, when

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.overload.intake import Intake
from ibisport_fleet.overload.memory_budget import MemoryUse
from ibisport_fleet.request_reader import RequestReader

KIB = 1_024
PIECE_BYTES = 60_000
CHUNKED = b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNKS = 40_000


class _Work:
    """Other work on the event loop.

    Attributes:
        runs: How often it ran.
        parsed: Bytes that were parsed since its last run.
        most_parsed: Most bytes that were parsed between two runs.
    """

    def __init__(self):
        self.runs = self.parsed = self.most_parsed = 0

    async def run(self):
        """Run in each iteration of the loop."""
        while True:
            self.runs += 1
            self.most_parsed = max(self.most_parsed, self.parsed)
            self.parsed = 0
            await asyncio.sleep(0)


class _Channel:
    """A connection on which all bytes have arrived."""

    def __init__(self, content):
        self.memory = MemoryUse()
        starts = range(0, len(content), PIECE_BYTES)
        self._pieces = [content[start : start + PIECE_BYTES] for start in starts]

    async def read(self):
        """Return the next piece without waiting."""
        return self._pieces.pop(0) if self._pieces else b''


class _MeasuredReader(RequestReader):
    """Tells other work how much is parsed."""

    work = None

    def _feed(self, data):
        self.work.parsed += len(data)
        super()._feed(data)


async def _read_all(contents):
    """Return what other work saw while all connections were read, and the requests."""
    work = _Work()
    working = asyncio.ensure_future(work.run())
    intake = Intake()

    async def read(content):
        reader = _MeasuredReader(_Channel(content), Limits, intake)
        reader.work = work
        requests = []
        while (request := await reader.read()) is not None:
            requests.append(request)
        return requests

    requests = await asyncio.gather(*map(read, contents))
    working.cancel()
    return work, requests


@when('a connection brings 1,000 small requests at once')
def bring_requests(context):
    content = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n' * 1_000
    context.work, (requests,) = asyncio.run(_read_all([content]))
    assert len(requests) == 1_000, len(requests)


@then('other work has run at least 1,000 times before the last one was returned')
def check_runs(context):
    assert context.work.runs >= 1_000, context.work.runs


@when('a request with a path of 60,000 and headers of 16,000 bytes is read')
def read_long_head(context):
    head = b'GET /%b HTTP/1.1\r\nX-Long: %b\r\n\r\n' % (b'x' * 60_000, b'x' * 16_000)
    context.channel = _Channel(head)
    request = asyncio.run(_read_one(context.channel))
    assert len(request.target) > 60_000, len(request.target)


async def _read_one(channel):
    return await RequestReader(channel, Limits).read()


@then('its connection uses at least 76,000 bytes')
def check_charged(context):
    assert context.channel.memory.size >= 76_000, context.channel.memory.size


@when('{count:d} connections bring chunks of one byte')
def bring_chunks(context, count):
    content = CHUNKED + b'1\r\nx\r\n' * CHUNKS + b'0\r\n\r\n'
    context.work, context.requests = asyncio.run(
        _read_all(itertools.repeat(content, count))
    )


@then('at most {size:d} KiB of each are parsed between two runs of other work')
def check_parsed(context, size):
    bound = size * KIB * len(context.requests)
    assert context.work.most_parsed <= bound, context.work.most_parsed


@then('all of the bodies are complete')
def check_bodies(context):
    requests = list(itertools.chain.from_iterable(context.requests))
    assert len(requests) == len(context.requests), len(requests)
    assert all(request.body == b'x' * CHUNKS for request in requests)
