"""Reads the requests of one caller's connection."""

import asyncio
from collections import deque

import httptools

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.errors import ConnectionBroken, RequestInvalid
from ibisport_fleet.http_messages import Request

STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestReader:
    """Turns a caller's bytes into whole requests.

    The parser is strict: a request with two lengths, or a length and chunks, is
    refused, so that its bytes can't be read as a second request further on.
    """

    def __init__(self, channel: Channel, limits: Limits) -> None:
        self._channel = channel
        self._limits = limits
        self._connected = asyncio.get_running_loop().time()
        self._parser = httptools.HttpRequestParser(self)
        self._ready: deque[Request] = deque()
        self._started = False
        self._refusal: RequestInvalid | None = None
        self._reset_message()

    @property
    def has_partial_request(self) -> bool:
        """Whether a part of a request has come, and not its end."""
        return self._started

    async def read(self) -> Request | None:
        """Return the next request, or None when the caller has closed.

        Raises:
            RequestInvalid: The bytes are no request, or exceed the limits.
            ConnectionBroken: The connection was reset.
        """
        while not self._ready:
            data = await self._channel.read()
            if not data:
                return None
            self._feed(data)
            if self._refusal is not None:
                raise self._refusal
        return self._ready.popleft()

    def on_message_begin(self) -> None:
        """Note the first byte of a request."""
        self._reset_message()
        self._started = True

    def on_url(self, url: bytes) -> None:
        """Take a piece of the request's target."""
        self._target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take one header."""
        self._headers.append((name.lower(), content))
        self._head_size += len(name) + len(content)
        if self._head_size > self._limits.max_header_bytes:
            raise RequestInvalid(STATUS_HEADERS_TOO_LARGE, 'the head is too long')

    def on_headers_complete(self) -> None:
        """Tell a caller that waits for leave to send its body to go on."""
        expects = [content for name, content in self._headers if name == b'expect']
        if expects and expects[0].lower() == b'100-continue':
            self._channel.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._body += body
        if len(self._body) > self._limits.max_body_bytes:
            raise RequestInvalid(STATUS_TOO_LARGE, 'the body is too long')

    def on_message_complete(self) -> None:
        """Keep the whole request."""
        self._started = False
        self._ready.append(
            Request(
                method=self._parser.get_method().decode('ascii'),
                target=bytes(self._target),
                headers=tuple(self._headers),
                body=bytes(self._body),
                keeps_open=self._parser.should_keep_alive(),
                received_at=asyncio.get_running_loop().time(),
                connected_at=self._connected,
            )
        )

    def _reset_message(self) -> None:
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_size = 0
        self._body = bytearray()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            self._refusal = RequestInvalid(STATUS_BAD_REQUEST, repr(error))
        except httptools.HttpParserError as error:
            inner = error.__context__
            if isinstance(inner, RequestInvalid):
                self._refusal = inner
            else:
                self._refusal = RequestInvalid(STATUS_BAD_REQUEST, repr(error))


async def wait_for_request(
    reader: RequestReader, channel: Channel, idle_until: float
) -> Request | None:
    """Return the next request, or None when the caller left or stayed idle.

    Args:
        reader: Reads the connection.
        channel: The connection.
        idle_until: Loop time until which the request must be whole.
    """
    try:
        async with asyncio.timeout_at(idle_until):
            return await reader.read()
    except (TimeoutError, ConnectionBroken):
        return None
