"""Compressed bodies of answers between routers and relays (RFC 9110, section 8.4)."""

import zlib

from ibisport_fleet.errors import AnswerInvalid
from ibisport_fleet.http_messages import Answer, Headers, Request

CODING = b'deflate'
ACCEPT_HEADERS: Headers = ((b'accept-encoding', CODING),)
# Shorter bodies fit into a few packets uncompressed.
MIN_CODED_BYTES = 4_096
# The fastest zlib level: higher ones save another tenth in twice the time.
COMPRESSION_LEVEL = 1


def accepts_coding(request: Request) -> bool:
    """Return whether the answer to a request may be compressed."""
    return CODING in (request.find(b'accept-encoding') or b'')


def drop_accept_encoding(headers: Headers) -> Headers:
    """Return a request's headers without ``Accept-Encoding``."""
    return tuple(pair for pair in headers if pair[0] != b'accept-encoding')


def encode_body(headers: Headers, body: bytes) -> tuple[Headers, bytes]:
    """Return headers and body of an answer, compressed if the body is long enough."""
    coded = any(name == b'content-encoding' for name, _ in headers)
    if coded or len(body) < MIN_CODED_BYTES:
        return headers, body
    coding = (b'content-encoding', CODING)
    return (*headers, coding), zlib.compress(body, COMPRESSION_LEVEL)


def decode_body(answer: Answer, max_bytes: int) -> bytes:
    """Return the uncompressed body of an answer.

    Args:
        answer: Answer as received.
        max_bytes: Maximum size of the uncompressed body.

    Raises:
        AnswerInvalid: The body can't be decompressed, or is too long.
    """
    if answer.head.find(b'content-encoding') != CODING:
        return answer.body
    decoder = zlib.decompressobj()
    try:
        body = decoder.decompress(answer.body, max_bytes)
    except zlib.error as error:
        raise AnswerInvalid(f'a coded body: {error}') from error
    if not decoder.eof:
        raise AnswerInvalid('a coded body is too long, or ends early')
    return body
