"""One HTTP exchange after the other on a connection of ours."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import httptools

from ibisport_fleet.addresses import Address
from ibisport_fleet.channel import Channel, open_channel
from ibisport_fleet.errors import AnswerInvalid
from ibisport_fleet.http_messages import Answer, AnswerHead, Headers, encode_head

FIRST_FINAL_STATUS = 200
# Answers that have no body, whatever their headers say (RFC 9112, section 6.3).
BODILESS_STATUSES = frozenset((204, 304))
# The parser's own buffers are small; this bounds what one answer may take.
MAX_BODY_BYTES = 8_388_608


@dataclass(frozen=True, slots=True)
class _BodyPart:
    content: bytes


@dataclass(frozen=True, slots=True)
class _AnswerEnd:
    """The answer is whole, as far as its framing tells."""


_AnswerEvent = AnswerHead | _BodyPart | _AnswerEnd


class AnswerObserver(Protocol):
    """Follows how an answer comes."""

    def handle_head(self, head: AnswerHead) -> None:
        """Note the head; what it raises ends the exchange."""

    def handle_bytes(self, size: int) -> None:
        """Note that so many bytes of the body came."""


class HttpConnection:
    """A connection of ours to a target or to the store.

    Attributes:
        address: The peer's IP number and port.
        idle_until: Loop time from which the connection must not be used again.
        answered: The last request has its whole answer, and the peer keeps the
            connection.
    """

    def __init__(self, address: Address, channel: Channel) -> None:
        self.address = address
        self.idle_until = 0.0
        self.keep_alive = False
        self._channel = channel
        self._events: deque[_AnswerEvent] = deque()
        self._reset_parser()

    @property
    def channel(self) -> Channel:
        """The bytes below."""
        return self._channel

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent: nothing is left over."""
        channel = self._channel
        busy = self._events or self._parsing or self._malformed or channel.has_unread
        return not (busy or channel.ended) and channel.flushed

    def send(self, start: bytes, headers: Headers, body: bytes) -> None:
        """Send one request; its length is stated if it has a body."""
        if body or not start.startswith((b'GET ', b'DELETE ', b'HEAD ')):
            headers = (*headers, (b'content-length', b'%d' % len(body)))
        self._channel.write(encode_head(start, headers) + body)

    async def read_head(self, watcher: AnswerObserver | None = None) -> AnswerHead:
        """Return the head of the next final answer.

        Args:
            watcher: Is told of each part of interim answers.

        Raises:
            AnswerInvalid: The bytes are no answer, or end before it.
            ConnectionBroken: The connection was reset.
        """
        while True:
            piece = await self._next_event()
            match piece:
                case AnswerHead(status=status) if status >= FIRST_FINAL_STATUS:
                    return piece
                case AnswerHead() | _BodyPart() | _AnswerEnd() if watcher is not None:
                    # What belongs to an interim answer.
                    watcher.handle_bytes(0)

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None after its end.

        Raises:
            AnswerInvalid: The answer ends early.
            ConnectionBroken: The connection was reset.
        """
        piece = await self._next_event()
        match piece:
            case _BodyPart(content=content):
                return content
            case _AnswerEnd():
                return None
            case AnswerHead():
                raise AnswerInvalid('an answer begins within another')

    async def read_body(self, watcher: AnswerObserver | None = None) -> bytes:
        """Return the whole body that follows a head.

        Args:
            watcher: Is told of each part.

        Raises:
            AnswerInvalid: It ends early, or is longer than can be kept.
            ConnectionBroken: The connection was reset.
        """
        parts = bytearray()
        while (part := await self.read_part()) is not None:
            parts += part
            if watcher is not None:
                watcher.handle_bytes(len(part))
            if len(parts) > MAX_BODY_BYTES:
                raise AnswerInvalid('the body is too long')
        return bytes(parts)

    async def request(
        self,
        start: bytes,
        headers: Headers,
        body: bytes,
        watcher: AnswerObserver | None = None,
    ) -> Answer:
        """Send one request and return its whole answer.

        Args:
            start: The request line.
            headers: Its headers, but for the length.
            body: Its body.
            watcher: Is told of the answer's head and of each part.
        """
        self.keep_alive = False
        self.send(start, headers, body)
        head = await self.read_head(watcher)
        if watcher is not None:
            watcher.handle_head(head)
        content = await self.read_body(watcher)
        self.keep_alive = head.keeps_open
        return Answer(head, content)

    def close(self) -> None:
        """Drop the connection, and with it whatever runs for it."""
        self._channel.abort()

    def on_message_begin(self) -> None:
        """Note the first byte of an answer."""
        self._parsing = True
        self._headers: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take one header."""
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Keep the head."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        names = {name for name, _ in headers}
        framed = (
            b'content-length' in names
            or b'transfer-encoding' in names
            or status in BODILESS_STATUSES
            or status < FIRST_FINAL_STATUS
        )
        self._framed = framed
        keeps_open = framed and self._parser.should_keep_alive()
        self._events.append(AnswerHead(status, headers, keeps_open, framed))

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._events.append(_BodyPart(body))

    def on_message_complete(self) -> None:
        """Note the end of an answer."""
        self._parsing = False
        self._events.append(_AnswerEnd())

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._parsing = False
        self._framed = True
        self._malformed = False
        self._headers = []

    async def _next_event(self) -> _AnswerEvent:
        while not self._events:
            data = await self._channel.read()
            if data:
                self._feed(data)
            elif self._parsing and not self._framed:
                # Without a length the end of the connection ends the answer.
                self.on_message_complete()
            else:
                raise AnswerInvalid('the connection ended before the answer')
        return self._events.popleft()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._events:
                raise AnswerInvalid(f'not an answer: {error!r}') from error
            # What was whole before the bad bytes may still be read; the rest
            # shows as an early end.
            self._malformed = True
            self._channel.abort()


async def open_http_connection(address: Address, deadline: float) -> HttpConnection:
    """Connect to a target or to the store by a loop time.

    Raises:
        NobodyListens: The host refused it; nothing was sent.
        ConnectionFailed: Nothing stands by then; nothing was sent.
    """
    channel = await open_channel(address, deadline)
    exchange = HttpConnection(address, channel)
    exchange.idle_until = asyncio.get_running_loop().time()
    return exchange
