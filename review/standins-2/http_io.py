"""Reads and writes HTTP/1.1 messages for the stand-ins."""

import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    """A request or an answer.

    Attributes:
        start: The start line.
        headers: Values by name in lower case; the last one wins.
        body: The complete body.
    """

    start: str
    headers: dict
    body: bytes = b''

    @property
    def method(self):
        """Method of a request."""
        return self.start.split(' ')[0]

    @property
    def target(self):
        """Path and query of a request."""
        return self.start.split(' ')[1]

    @property
    def status(self):
        """Status of an answer."""
        return int(self.start.split(' ')[1])


async def read_head(reader):
    """Return a message without its body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_chunk(reader):
    """Return the next chunk of a body, empty at its end."""
    size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
    content = await reader.readexactly(size + 2)
    return content[:-2]


async def read_message(reader):
    """Return a complete message, or None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.headers.get('transfer-encoding', '').lower() == 'chunked':
        while chunk := await read_chunk(reader):
            message.body += chunk
    else:
        length = int(message.headers.get('content-length', 0))
        message.body = await reader.readexactly(length)
    return message


def encode_head(start, headers):
    """Return the bytes of a start line and headers."""
    lines = [start, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'


def encode_answer(status, headers, body):
    """Return the bytes of an answer with a content length."""
    fields = [*headers, ('Content-Length', len(body))]
    return encode_head(f'HTTP/1.1 {status} -', fields) + body
