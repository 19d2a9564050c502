"""Stand-in for clients: sends requests to routers and reads the answers."""

import asyncio
import random
import re
from dataclasses import dataclass, field

from http_io import encode_head, read_chunk, read_head

_EVENT_ID = re.compile(rb'^id: ?(\d+)', re.MULTILINE)


@dataclass
class Outcome:
    """What a client saw of one attempt.

    Attributes:
        id: The attempt's id.
        status: Status of the answer; 0 without one.
        sealed: Whether it had a worker's seal.
        complete: Whether the answer came to its end.
        events: Ids of the events.
        body: The body.
        headers: Headers of the answer.
    """

    id: str
    status: int = 0
    sealed: bool = False
    complete: bool = False
    events: list = field(default_factory=list)
    body: bytes = b''
    headers: dict = field(default_factory=dict)

    def __str__(self):
        """Describe the outcome for the record."""
        end = 'whole' if self.complete else 'broken off'
        return f'{self.id}: {self.status or "no answer"}, {len(self.events)} events, {end}'


def draw_id():
    """Return a new id of an attempt."""
    return f'{random.randrange(16**16):016x}'


def build_request(host, path, key, headers, body, method='POST', attempt=None):
    """Return the id and the bytes of a request with a length."""
    attempt = attempt or draw_id()
    fields = [
        ('Host', host),
        ('Attempt-Id', attempt),
        *headers,
        ('Authorization', f'Bearer {key}'),
    ]
    if body or method == 'POST':
        fields.append(('Content-Length', len(body)))
    return attempt, encode_head(f'{method} {path} HTTP/1.1', fields) + body


async def send(address, attempt, content, timeout):
    """Send a request on a new connection and return the outcome."""
    outcome = Outcome(attempt)
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address, limit=2**22), 1
        )
    except (OSError, asyncio.TimeoutError):
        return outcome
    try:
        writer.write(content)
        await asyncio.wait_for(read_answer(reader, outcome), timeout)
    except (OSError, EOFError, ValueError, asyncio.TimeoutError):
        pass
    finally:
        writer.transport.abort()
    return outcome


async def read_answer(reader, outcome):
    """Read one answer into an outcome; it is complete if this returns normally."""
    head = await read_head(reader)
    if head is None:
        raise EOFError('no answer')
    outcome.status = head.status
    outcome.headers = head.headers
    outcome.sealed = 'response-seal' in head.headers
    if head.headers.get('transfer-encoding', '').lower() == 'chunked':
        while chunk := await read_chunk(reader):
            outcome.body += chunk
            outcome.events += [int(found) for found in _EVENT_ID.findall(chunk)]
    else:
        length = int(head.headers.get('content-length', 0))
        outcome.body = await reader.readexactly(length)
    outcome.complete = True
