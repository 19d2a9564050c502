"""Coded bodies of answers between our own processes (RFC 9110, section 8.4)."""

import zlib

from ibisport_fleet.errors import AnswerInvalid
from ibisport_fleet.http_messages import Answer, Headers, Request

CODING = b'deflate'
ACCEPT_HEADERS: Headers = ((b'accept-encoding', CODING),)
# Shorter bodies fit into a few packets as they are.
MIN_CODED_BYTES = 4_096
# The fastest level: the higher ones save a tenth more for twice the time.
COMPRESSION_LEVEL = 1


def accepts_coding(request: Request) -> bool:
    """Whether the answer to a request may be coded."""
    return CODING in (request.find(b'accept-encoding') or b'')


def drop_accept_encoding(headers: Headers) -> Headers:
    """Return a request's headers without the codings that it accepts."""
    return tuple(pair for pair in headers if pair[0] != b'accept-encoding')


def encode_body(headers: Headers, body: bytes) -> tuple[Headers, bytes]:
    """Return the headers and the body of an answer, coded if that is worth it."""
    coded = any(name == b'content-encoding' for name, _ in headers)
    if coded or len(body) < MIN_CODED_BYTES:
        return headers, body
    coding = (b'content-encoding', CODING)
    return (*headers, coding), zlib.compress(body, COMPRESSION_LEVEL)


def decode_body(answer: Answer, most_bytes: int) -> bytes:
    """Return the body of an answer as it was before it was coded.

    Args:
        answer: As it came.
        most_bytes: Longest body that may be kept.

    Raises:
        AnswerInvalid: It can't be decoded, or is longer.
    """
    if answer.head.find(b'content-encoding') != CODING:
        return answer.body
    decoder = zlib.decompressobj()
    try:
        body = decoder.decompress(answer.body, most_bytes)
    except zlib.error as error:
        raise AnswerInvalid(f'a coded body: {error}') from error
    if not decoder.eof:
        raise AnswerInvalid('a coded body is too long, or ends early')
    return body
