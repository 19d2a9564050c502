"""HTTP/1.1 client connections, each for one request at a time."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import httptools

from ibisport_fleet.addresses import Address
from ibisport_fleet.channel import Channel, open_channel
from ibisport_fleet.errors import AnswerInvalid
from ibisport_fleet.framing import FramingMeter
from ibisport_fleet.http_messages import Answer, AnswerHead, Headers, encode_head
from ibisport_fleet.overload.answer_charge import ArrivalCharge, PartCharge

FIRST_INTERIM_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
# Answers without a body, whatever their headers say (RFC 9112, section 6.3).
BODILESS_STATUSES = frozenset((204, 304))
MAX_BODY_BYTES = 8_388_608
# Longer bodies aren't copied to be sent together with their heads.
MAX_JOINED_BYTES = 65_536
# Heads, trailers and interim answers of one exchange.
MAX_FRAMING_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class _BodyPart:
    content: bytes


@dataclass(frozen=True, slots=True)
class _AnswerEnd:
    """The answer is complete according to its framing."""


_AnswerEvent = AnswerHead | _BodyPart | _AnswerEnd


class AnswerObserver(Protocol):
    """Receives the progress of an answer."""

    def handle_head(self, head: AnswerHead) -> None:
        """Handle the head; an exception that is raised here ends the request."""

    def handle_bytes(self, size: int) -> None:
        """Handle the arrival of this many bytes of the body."""


class HttpConnection:
    """A client connection to a target, a router, a relay or the store.

    Attributes:
        address: IP address and port of the peer.
        idle_until: Loop time from which the connection must not be reused.
        keep_alive: Whether the last request was answered completely and the peer
            keeps the connection open.
    """

    def __init__(self, address: Address, channel: Channel) -> None:
        self.address = address
        self.idle_until = 0.0
        self.keep_alive = False
        self._channel = channel
        self._events: deque[_AnswerEvent] = deque()
        self._framing = FramingMeter(MAX_FRAMING_BYTES)
        self._init_parser()

    @property
    def channel(self) -> Channel:
        """The underlying byte stream."""
        return self._channel

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent.

        No data of earlier ones is pending, and the peer hasn't closed the connection.
        """
        channel = self._channel
        pending = self._events or self._parsing or self._malformed or channel.has_unread
        return not (pending or channel.unsent_bytes or channel.peer_left)

    def send(self, request_line: bytes, headers: Headers, body: bytes) -> None:
        """Send a request, with a content length if it has or may have a body."""
        self._framing.reset()
        if body or not request_line.startswith((b'GET ', b'DELETE ', b'HEAD ')):
            headers = (*headers, (b'content-length', b'%d' % len(body)))
        head = encode_head(request_line, headers)
        if len(body) > MAX_JOINED_BYTES:
            # A second copy would double the memory of a request in progress.
            self._channel.write(head)
            self._channel.write(body)
        else:
            self._channel.write(head + body)

    async def read_head(self, observer: AnswerObserver | None = None) -> AnswerHead:
        """Return the head of the next final answer.

        Args:
            observer: Notified of each part of interim answers.

        Raises:
            AnswerInvalid: The bytes are no HTTP answer, or end before one.
            ConnectionBroken: The connection was reset.
        """
        while True:
            event = await self._next_event()
            match event:
                case AnswerHead(status=status) if status >= FIRST_FINAL_STATUS:
                    return event
                case AnswerHead() | _BodyPart() | _AnswerEnd() if observer is not None:
                    # Part of an interim answer.
                    observer.handle_bytes(0)

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        Raises:
            AnswerInvalid: The answer is truncated.
            ConnectionBroken: The connection was reset.
        """
        event = await self._next_event()
        match event:
            case _BodyPart(content=content):
                return content
            case _AnswerEnd():
                return None
            case AnswerHead():
                raise AnswerInvalid('an answer begins within another')

    async def read_body(self, observer: AnswerObserver | None = None) -> bytes:
        """Return the complete body of the answer whose head was read.

        Args:
            observer: Notified of each part.

        Raises:
            AnswerInvalid: The body is truncated or too long.
            ConnectionBroken: The connection was reset.
        """
        parts = bytearray()
        while (part := await self.read_part()) is not None:
            parts += part
            if observer is not None:
                observer.handle_bytes(len(part))
            if len(parts) > MAX_BODY_BYTES:
                raise AnswerInvalid('the body is too long')
        return bytes(parts)

    async def request(
        self,
        request_line: bytes,
        headers: Headers,
        body: bytes,
        observer: AnswerObserver | None = None,
    ) -> Answer:
        """Send a request and return its complete answer.

        Args:
            request_line: HTTP request line.
            headers: Headers, without the content length.
            body: Body.
            observer: Notified of the answer's head and of each part.
        """
        self.keep_alive = False
        self.send(request_line, headers, body)
        head = await self.read_head(observer)
        if observer is not None:
            observer.handle_head(head)
        content = await self.read_body(observer)
        self.keep_alive = head.keeps_open
        return Answer(head, content)

    def charge(self, charge: ArrivalCharge | None) -> None:
        """Count the bytes that arrive from now on, and no longer as before.

        Args:
            charge: Counts them; None: they aren't counted.
        """
        counted = self._channel.charge
        self._channel.charge = charge
        if isinstance(counted, PartCharge):
            counted.update(0)

    def close(self) -> None:
        """Reset the connection; the peer aborts what it still does for it.

        A request that the peer hasn't read is not delivered any more.
        """
        self.charge(None)
        self._channel.abort(drops_sent=True)

    def on_message_begin(self) -> None:
        """Handle the start of an answer."""
        self._parsing = True
        self._headers: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Queue the head; a status that HTTP doesn't have makes it no answer."""
        status = self._parser.get_status_code()
        if not FIRST_INTERIM_STATUS <= status <= LAST_STATUS:
            raise AnswerInvalid(f'no status of HTTP: {status}')
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
        """Queue a part of the body."""
        self._framing.record_body(len(body))
        self._events.append(_BodyPart(body))

    def on_message_complete(self) -> None:
        """Queue the end of an answer."""
        self._parsing = False
        self._events.append(_AnswerEnd())

    def _init_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._parsing = False
        self._framed = True
        self._malformed = False
        self._headers = []

    @property
    def _ends_with_connection(self) -> bool:
        """Whether the end of the connection completes an answer without a length."""
        is_unframed = self._parsing and not (self._framed or self._malformed)
        return is_unframed and self._channel.ended_in_order

    async def _next_event(self) -> _AnswerEvent:
        while not self._events:
            data = await self._channel.read()
            if data:
                self._feed(data)
            elif self._ends_with_connection:
                self.on_message_complete()
            else:
                raise AnswerInvalid('the connection ended before the answer')
        return self._events.popleft()

    def _feed(self, data: bytes) -> None:
        self._framing.record_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._events:
                raise AnswerInvalid(f'not an answer: {error!r}') from error
            # What was parsed before the malformed bytes can still be read; after
            # it, the answer counts as truncated.
            self._malformed = True
            self._channel.abort()
        if self._framing.exceeded:
            self._channel.abort()
            raise AnswerInvalid('more than an answer needs beside its body')


async def open_http_connection(address: Address, deadline: float) -> HttpConnection:
    """Open a connection by a deadline in loop time.

    Raises:
        NobodyListens: The host refused the connection; nothing was sent.
        ConnectionFailed: The connection wasn't established; nothing was sent.
    """
    channel = await open_channel(address, deadline)
    connection = HttpConnection(address, channel)
    connection.idle_until = asyncio.get_running_loop().time()
    return connection
