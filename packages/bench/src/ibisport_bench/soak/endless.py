"""Answers without an end, of targets in trouble."""

import asyncio

from ibisport_bench.soak.http_messages import LINE_END

PIECE = b'x' * 65_536
CHUNK = b'%x\r\n%b\r\n' % (len(PIECE), PIECE)
LENGTH = (b'content-length', b'1000000000000')
CHUNKED = (b'transfer-encoding', b'chunked')


async def send_without_end(
    kind: str, headers: list[tuple[bytes, bytes]], writer: asyncio.StreamWriter
) -> None:
    """Send until the connection is closed.

    Args:
        kind: ``noise`` for bytes that are no HTTP, ``head`` for a header, ``length``
            and ``chunks`` for a body, ``unframed`` for one without a length.
        headers: Headers of an answer.
        writer: The connection.

    Raises:
        ConnectionError: The connection was closed.
    """
    piece = CHUNK if kind == 'chunks' else PIECE
    match kind:
        case 'noise':
            start = b''
        case 'head':
            start = _encode_head(headers) + b'x: '
        case 'length':
            start = _encode_head([*headers, LENGTH]) + LINE_END
        case 'chunks':
            start = _encode_head([*headers, CHUNKED]) + LINE_END
        case _:
            start = _encode_head(headers) + LINE_END
    writer.write(start)
    while True:
        writer.write(piece)
        await writer.drain()


def _encode_head(headers: list[tuple[bytes, bytes]]) -> bytes:
    lines = b''.join(b'%b: %b\r\n' % pair for pair in headers)
    return b'HTTP/1.1 200 OK\r\n' + lines
