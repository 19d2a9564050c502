"""Parses the requests of one connection."""

import asyncio
from collections import deque

import httptools

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.errors import ConnectionBroken, RequestInvalid
from ibisport_fleet.framing import FramingMeter
from ibisport_fleet.http_messages import Request

STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431
# Room for the request line, and for the four bytes of each header that don't count for
# the limit, of which a header has one at least.
REQUEST_LINE_BYTES = 65_536
HEADER_FRAMING_FACTOR = 5
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestReader:
    """Parses the bytes of a caller into complete requests.

    The parser is strict: a request with two lengths, or with a length and chunks, is
    refused, so that a target can't parse its bytes as a second, smuggled request.
    """

    def __init__(self, channel: Channel, limits: Limits) -> None:
        self._channel = channel
        self._limits = limits
        self._connected_at = asyncio.get_running_loop().time()
        self._parser = httptools.HttpRequestParser(self)
        self._framing = FramingMeter(
            REQUEST_LINE_BYTES + HEADER_FRAMING_FACTOR * limits.max_header_bytes
        )
        self._complete_requests: deque[Request] = deque()
        self._started = False
        self._error: RequestInvalid | None = None
        self._reset_message()

    @property
    def has_partial_request(self) -> bool:
        """Whether the beginning of a request has arrived, but not its end."""
        return self._started

    async def read(self) -> Request | None:
        """Return the next request, or None once the caller has closed the connection.

        Raises:
            RequestInvalid: The bytes are no valid request, or exceed the limits.
            ConnectionBroken: The connection was reset.
        """
        while not self._complete_requests:
            data = await self._channel.read()
            if not data:
                return None
            self._feed(data)
            if self._error is not None:
                raise self._error
        return self._complete_requests.popleft()

    def on_message_begin(self) -> None:
        """Begin a new request at its first byte."""
        self._reset_message()
        self._started = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self._target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Append a header and check the length of the head."""
        self._headers.append((name.lower(), content))
        self._head_size += len(name) + len(content)
        if self._head_size > self._limits.max_header_bytes:
            raise RequestInvalid(STATUS_HEADERS_TOO_LARGE, 'the head is too long')

    def on_headers_complete(self) -> None:
        """Answer ``Expect: 100-continue``, for which the caller holds the body back."""
        expects = [content for name, content in self._headers if name == b'expect']
        if expects and expects[0].lower() == b'100-continue':
            self._channel.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body and check its length."""
        self._framing.record_body(len(body))
        self._body += body
        if len(self._body) > self._limits.max_body_bytes:
            raise RequestInvalid(STATUS_TOO_LARGE, 'the body is too long')

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._started = False
        self._framing.reset()
        self._complete_requests.append(
            Request(
                method=self._parser.get_method().decode('ascii'),
                target=bytes(self._target),
                headers=tuple(self._headers),
                body=bytes(self._body),
                keeps_open=self._parser.should_keep_alive(),
                received_at=asyncio.get_running_loop().time(),
                connected_at=self._connected_at,
            )
        )

    def _reset_message(self) -> None:
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_size = 0
        self._body = bytearray()

    def _feed(self, data: bytes) -> None:
        self._framing.record_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            self._error = RequestInvalid(STATUS_BAD_REQUEST, repr(error))
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, RequestInvalid):
                self._error = cause
            else:
                self._error = RequestInvalid(STATUS_BAD_REQUEST, repr(error))
        if self._framing.exceeded and self._error is None:
            self._error = RequestInvalid(STATUS_HEADERS_TOO_LARGE, 'framing too long')


async def wait_for_request(
    reader: RequestReader, channel: Channel, idle_until: float
) -> Request | None:
    """Return the next request, or None if the caller disconnected or stayed idle.

    Args:
        reader: Parses the requests of the connection.
        channel: The connection.
        idle_until: Loop time by which the request must be complete.
    """
    try:
        async with asyncio.timeout_at(idle_until):
            return await reader.read()
    except (TimeoutError, ConnectionBroken):
        return None
