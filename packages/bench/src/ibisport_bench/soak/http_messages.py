"""HTTP messages on streams, decoded independently of the product's code."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'


class MessageInvalid(Exception):
    """The bytes are not a valid HTTP message."""


@dataclass(frozen=True, slots=True)
class Head:
    """Start line and headers of a message; header names are in lower case."""

    start_line: bytes
    headers: dict[bytes, bytes]

    @property
    def status(self) -> int:
        """Status code of a response.

        Raises:
            MessageInvalid: The start line has none.
        """
        try:
            return int(self.start_line.split(b' ')[1])
        except (IndexError, ValueError) as error:
            raise MessageInvalid(repr(self.start_line)) from error

    @property
    def keeps_open(self) -> bool:
        """Whether another message may follow on the connection."""
        return self.headers.get(b'connection', b'').lower() != b'close'


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of the next message."""
    content = await reader.readuntil(HEAD_END)
    start_line, *lines = content.removesuffix(HEAD_END).split(LINE_END)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(b':')
        if not separator:
            raise MessageInvalid(repr(line))
        headers[name.strip().lower()] = value.strip()
    return Head(start_line, headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> AsyncIterator[bytes]:
    """Yield the chunks of a message's body; an early end raises IncompleteReadError."""
    if head.headers.get(b'transfer-encoding') != b'chunked':
        length = int(head.headers.get(b'content-length', b'0'))
        if length:
            yield await reader.readexactly(length)
        return
    while True:
        size = int(await reader.readuntil(LINE_END), 16)
        chunk = await reader.readexactly(size + len(LINE_END))
        if not size:
            return
        yield chunk[:size]


async def skip_body(reader: asyncio.StreamReader, head: Head) -> int:
    """Read a message's body to its end and return its length."""
    return sum([len(chunk) async for chunk in read_body(reader, head)])


def encode_message(
    start_line: str, headers: list[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Encode a whole message with a content-length header."""
    lines = [start_line.encode()] + [name + b': ' + value for name, value in headers]
    lines.append(b'content-length: %d' % len(body))
    return LINE_END.join(lines) + HEAD_END + body
