"""Shared fixtures: callers of a fleet that begin, leave and resume streams."""

import asyncio
import re
from dataclasses import dataclass, field

from running_router import KEY

EVENT = re.compile(rb'id: (\d+)\ndata: d\d+ (\S+)\n\n')
LAST_EVENT = 8
# Callers come back within some milliseconds.
RETURN_SECONDS = 0.005
STATUS = re.compile(rb'HTTP/1.1 (\d+)')
RETRY_AFTER = re.compile(rb'\r\nretry-after: (\S+)\r\n', re.IGNORECASE)
USAGE = 'Token-Usage: 100,40\r\n'


@dataclass
class Stream:
    """What a caller has of one stream.

    Attributes:
        name: Id of the request that brought its first event.
        events: Pairs of the id and the version of each event.
        statuses: Status of the answer to each request, or None.
        refused_after: Seconds until the last answer without an event, or None.
        retry_after: The Retry-After value of that answer, or None.
    """

    name: str
    events: list = field(default_factory=list)
    statuses: list = field(default_factory=list)
    refused_after: float | None = None
    retry_after: bytes | None = None

    @property
    def versions(self):
        """The versions that its events are of."""
        return {version for _, version in self.events}

    @property
    def is_whole(self):
        """Whether it has each event once, in order."""
        ids = [number for number, _ in self.events]
        return ids == list(range(1, LAST_EVENT + 1))


class StreamCaller:
    """Begins and resumes streams of one fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._requests = 0

    async def begin(self, router, leave_after=None, name=None):
        """Begin a stream; leave it after some events, if given."""
        stream = Stream(name or self._make_name())
        await self._receive(router, stream, stream.name, '', leave_after)
        return stream

    async def resume(self, router, stream, resumes=True):
        """Go on with a stream after its last event."""
        await asyncio.sleep(RETURN_SECONDS)
        last = stream.events[-1][0] if stream.events else None
        extra = '' if last is None else f'Last-Event-Id: {last}\r\n'
        if resumes is True:
            resumes = stream.name
        if resumes is not None and last is not None:
            extra += f'Resumes: {resumes}\r\n'
        await self._receive(router, stream, self._make_name(), extra, None)

    def _make_name(self):
        self._requests += 1
        return f'c{self._requests}'

    async def _receive(self, router, stream, name, extra, leave_after):
        sent_at = self._fleet.now
        known = len(stream.events)
        try:
            connection = await asyncio.open_connection(*router.address)
        except ConnectionRefusedError:
            stream.statuses.append(None)
            return
        connection[1].write(
            (
                f'POST /stream/{stream.name} HTTP/1.1\r\nHost: h.example\r\n'
                f'Attempt-Id: {name}\r\n'
                f'Authorization: Bearer {KEY}\r\n{USAGE}{extra}'
                f'Content-Length: 2\r\n\r\nab'
            ).encode()
        )
        content = await _read_answer(connection[0], leave_after)
        connection[1].close()
        stream.events += _parse_events(content)
        status = STATUS.match(content)
        stream.statuses.append(None if status is None else int(status.group(1)))
        if len(stream.events) == known:
            stream.refused_after = self._fleet.now - sent_at
            told = RETRY_AFTER.search(content)
            stream.retry_after = None if told is None else told.group(1)


async def _read_answer(reader, leave_after):
    """Return the bytes of an answer, or those until some events are there."""
    content = b''
    try:
        while not _is_enough(content, leave_after) and (
            data := await reader.read(65_536)
        ):
            content += data
    except ConnectionError:
        return content
    return content


def _is_enough(content, leave_after):
    plain = b'content-length' in content.lower() and b'\r\n\r\n' in content
    if plain or content.endswith(b'\r\n0\r\n\r\n'):
        return True
    return leave_after is not None and len(_parse_events(content)) >= leave_after


def _parse_events(content):
    chunks = re.sub(rb'[0-9a-f]+\r\n(id: \d+\ndata: [^\n]*\n\n)\r\n', rb'\1', content)
    return [
        (int(number), version.decode()) for number, version in EVENT.findall(chunks)
    ]
