"""HTTP messages on streams, read with no code of the product."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'


class MessageInvalid(Exception):
    """The bytes are no message of the protocol."""


@dataclass(frozen=True, slots=True)
class Head:
    """First line and headers of a message; names in lower case."""

    start_line: bytes
    headers: dict[bytes, bytes]

    @property
    def status(self) -> int:
        """Status of an answer."""
        try:
            return int(self.start_line.split(b' ')[1])
        except (IndexError, ValueError) as error:
            raise MessageInvalid(repr(self.start_line)) from error

    @property
    def keeps_open(self) -> bool:
        """Whether another message may follow."""
        return self.headers.get(b'connection', b'').lower() != b'close'


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Return the next message's head."""
    content = await reader.readuntil(HEAD_END)
    start, *lines = content.removesuffix(HEAD_END).split(LINE_END)
    headers = {}
    for line in lines:
        name, found, value = line.partition(b':')
        if not found:
            raise MessageInvalid(repr(line))
        headers[name.strip().lower()] = value.strip()
    return Head(start, headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> AsyncIterator[bytes]:
    """Yield the pieces of a message's body; an early end raises."""
    if head.headers.get(b'transfer-encoding') != b'chunked':
        length = int(head.headers.get(b'content-length', b'0'))
        if length:
            yield await reader.readexactly(length)
        return
    while True:
        size = int(await reader.readuntil(LINE_END), 16)
        piece = await reader.readexactly(size + len(LINE_END))
        if not size:
            return
        yield piece[:size]


async def skip_body(reader: asyncio.StreamReader, head: Head) -> int:
    """Read a message's body to its end and return its length."""
    return sum([len(piece) async for piece in read_body(reader, head)])


def encode_message(
    start: str, headers: list[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Return a whole message with its length."""
    lines = [start.encode()] + [name + b': ' + value for name, value in headers]
    lines.append(b'content-length: %d' % len(body))
    return LINE_END.join(lines) + HEAD_END + body
