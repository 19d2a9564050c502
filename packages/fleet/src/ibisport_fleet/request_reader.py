"""Parses the requests of one connection."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

import httptools

from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.errors import ConnectionBroken, RequestInvalid, forget_frames
from ibisport_fleet.framing import FramingMeter
from ibisport_fleet.http_messages import Request, find_header
from ibisport_fleet.overload.intake import Intake
from ibisport_fleet.overload.memory_budget import SMALL_BYTES, MemoryExhausted, Part
from ibisport_fleet.overload.parsing_turns import MAX_PARTS_PER_SLICE

STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
STATUS_HEADERS_TOO_LARGE = 431
# Room for the request line, and for the four bytes of each header that don't count for
# the limit, of which a header has one at least.
REQUEST_LINE_BYTES = 65_536
HEADER_FRAMING_FACTOR = 5
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Bytes that are parsed without a look at the room that is left.
SLICE_BYTES = 16_384
# Memory of a header and of a request beside their bytes.
HEADER_OVERHEAD_BYTES = 160
REQUEST_OVERHEAD_BYTES = 1_024
# A growing buffer is an eighth larger than its content.
GROWTH_FACTOR = 1.125
# Requests that were sent completely end within about this time.
NO_ROOM_RETRY_AFTER_SECONDS = 0.5
# How long the rest of a refused request is read, so that its caller gets the refusal
# instead of a reset.
DISCARD_SECONDS = 2.0
# The same in bytes, as a multiple of the longest body.
DISCARD_FACTOR = 2


class RequestReader:
    """Parses the bytes of a caller into complete requests.

    The parser is strict: a request with two lengths, or with a length and chunks, is
    refused, so that a target can't parse its bytes as a second, smuggled request.

    What the reader keeps, and the request that it has returned last, counts for the
    memory of the connection.

    Attributes:
        limits: The limits of the request that has begun last.
    """

    def __init__(
        self,
        channel: Channel,
        find_limits: Callable[[], Limits],
        intake: Intake | None = None,
    ) -> None:
        """Begin with the first request of a connection.

        Args:
            channel: The connection.
            find_limits: Returns the limits in force. It is called at the first byte of
                each request, so that head and body are judged by the same limits.
            intake: What the requests of all connections have in common.
        """
        self._channel = channel
        self._find_limits = find_limits
        self.limits = find_limits()
        self._intake = Intake() if intake is None else intake
        self._connected_at = asyncio.get_running_loop().time()
        self._parser = httptools.HttpRequestParser(self)
        self._framing = FramingMeter(_bound_framing(self.limits))
        # Complete requests, and the memory that each of them uses.
        self._complete_requests: deque[tuple[Request, int]] = deque()
        self._unparsed = memoryview(b'')
        self._returned_bytes = 0
        self._queued_bytes = 0
        self._parts = 0
        self._is_costly = False
        self._started = False
        self._error: RequestInvalid | None = None
        self._reset_message()

    @property
    def has_pending(self) -> bool:
        """Whether any part of a request has arrived that wasn't returned."""
        return self._started or self.has_queued

    @property
    def has_queued(self) -> bool:
        """Whether bytes, requests or a refusal are queued."""
        refused = self._error is not None
        return refused or bool(self._unparsed or self._complete_requests)

    async def wait_for_start(self, deadline: float) -> bool:
        """Wait until a request has begun to arrive; return whether one has.

        Also returns True once the caller has closed the connection.

        Args:
            deadline: Loop time until which to wait.
        """
        if self.has_pending:
            return True
        self._returned_bytes = 0
        self._charge()
        with self._channel.memory.wait_for_peer(self._give_up):
            return await self._channel.wait_for_bytes(deadline)

    async def read(self) -> Request | None:
        """Return the next request, or None once the caller has closed the connection.

        Where the intake says so, a request isn't returned if its peer has closed the
        connection by then.

        Raises:
            RequestInvalid: The bytes are no valid request, exceed the limits, or found
                no room.
            ConnectionBroken: The connection was reset.
        """
        self._returned_bytes = 0
        if self.has_pending:
            # Requests that were sent ahead don't keep other work from running.
            await asyncio.sleep(0)
        with self._channel.memory.wait_for_peer(self._give_up):
            try:
                await self._fill_queue()
            except RequestInvalid as error:
                self.drop()
                self._error = None
                raise forget_frames(error) from None
        if not self._complete_requests:
            return None
        if self._intake.drops_departed and self._channel.peer_left:
            # Its end may lie unread behind the request; nobody waits for the answer.
            self.drop()
            return None
        request, self._returned_bytes = self._complete_requests.popleft()
        self._queued_bytes -= self._returned_bytes
        return request

    def on_message_begin(self) -> None:
        """Begin a new request at its first byte."""
        self._reset_message()
        self._started = True
        self.limits = self._find_limits()
        self._framing.max_bytes = _bound_framing(self.limits)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self._target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Append a header and check the length of the head."""
        self._headers.append((name.lower(), content))
        self._head_size += len(name) + len(content)
        if self._head_size > self.limits.max_header_bytes:
            raise RequestInvalid(STATUS_HEADERS_TOO_LARGE, 'the head is too long')

    def on_headers_complete(self) -> None:
        """Refuse a body that is too long, or for which there is no room.

        Answers ``Expect: 100-continue``, for which the caller holds the body back.
        """
        self._announced = _find_length(self._headers)
        if self._announced > self.limits.max_body_bytes:
            raise RequestInvalid(STATUS_TOO_LARGE, 'the body is too long')
        self._charge()
        expected = find_header(self._headers, b'expect') or b''
        if expected.lower() == b'100-continue':
            self._channel.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body and check its length."""
        self._parts += 1
        self._framing.record_body(len(body))
        self._body += body
        if len(self._body) > self.limits.max_body_bytes:
            raise RequestInvalid(STATUS_TOO_LARGE, 'the body is too long')

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._parts += 1
        self._started = False
        self._framing.reset()
        used_bytes = REQUEST_OVERHEAD_BYTES + self._head_bytes + len(self._body)
        request = self._build_request(bytes(self._body))
        self._reset_message()
        self._complete_requests.append((request, used_bytes))
        self._queued_bytes += used_bytes

    @property
    def _head_bytes(self) -> int:
        """Memory of the head of the message that is arriving."""
        overhead = HEADER_OVERHEAD_BYTES * len(self._headers)
        return len(self._target) + self._head_size + overhead

    def _build_request(self, body: bytes) -> Request:
        return Request(
            method=self._parser.get_method().decode('ascii'),
            target=bytes(self._target),
            headers=tuple(self._headers),
            body=body,
            keeps_open=self._parser.should_keep_alive(),
            received_at=asyncio.get_running_loop().time(),
            connected_at=self._connected_at,
            memory=self._channel.memory,
            caller=self._channel,
        )

    def _reset_message(self) -> None:
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_size = 0
        self._announced = 0
        self._body = bytearray()
        self._is_identified = False

    async def _fill_queue(self) -> None:
        """Read until a request is complete, or the caller has closed the connection.

        Raises:
            RequestInvalid: The bytes are no valid request, exceed the limits, or found
                no room. Complete requests ahead of them are returned first.
        """
        self._charge()
        while not self._complete_requests:
            if self._error is not None:
                raise self._error
            if not self._unparsed:
                self._unparsed = memoryview(await self._channel.read())
            if not self._unparsed:
                return
            await self._parse_slice()

    async def _parse_slice(self) -> None:
        """Parse some bytes; requests that they complete are queued.

        Raises:
            RequestInvalid: There is no room for them.
        """
        if self._is_costly:
            # The bytes stay queued meanwhile: the wait may be cancelled.
            async with self._intake.turns.take():
                self._feed_slice()
        else:
            self._feed_slice()
        if self._error is None:
            self._charge()

    def _feed_slice(self) -> None:
        data = self._unparsed[:SLICE_BYTES]
        # A view refers to all bytes that were read, even if it is empty.
        self._unparsed = self._unparsed[SLICE_BYTES:] or memoryview(b'')
        if data:
            self._feed(data)

    def _feed(self, data: memoryview) -> None:
        self._parts = 0
        self._framing.record_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # The parser completes the request that asks for it.
            _, used_bytes = self._complete_requests.pop()
            self._queued_bytes -= used_bytes
            self._refuse(RequestInvalid(STATUS_BAD_REQUEST, repr(error)))
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, RequestInvalid):
                self._refuse(cause)
            else:
                self._refuse(RequestInvalid(STATUS_BAD_REQUEST, repr(error)))
        self._is_costly = self._parts > MAX_PARTS_PER_SLICE
        if self._framing.exceeded and self._error is None:
            self._refuse(RequestInvalid(STATUS_HEADERS_TOO_LARGE, 'framing too long'))

    def _refuse(self, error: RequestInvalid) -> None:
        """Raise an error behind the complete requests, and drop what follows them."""
        self._error = error
        self._started = False
        self._unparsed = memoryview(b'')
        self._reset_message()

    def _charge(self) -> None:
        """Count what the reader keeps.

        Raises:
            RequestInvalid: There is no room for it.
        """
        partial = len(self._unparsed)
        if self._started:
            body_bytes = max(self._announced, len(self._body) * GROWTH_FACTOR)
            partial += self._head_bytes + int(body_bytes)
            if body_bytes > SMALL_BYTES and not self._is_identified:
                self._is_identified = True
                head = self._build_request(b'')
                self._channel.memory.assign(self._intake.identify(head))
        held = self._returned_bytes + self._queued_bytes + partial
        try:
            self._channel.memory.resize(Part.request, held)
        except MemoryExhausted as error:
            raise build_no_room() from error

    def _give_up(self) -> None:
        """Refuse a request that is incomplete, since others need the room."""
        self._error = build_no_room()
        self.drop()
        self._channel.interrupt(build_no_room)

    def drop(self) -> None:
        """Drop all that has arrived and wasn't returned."""
        self._reset_message()
        self._complete_requests.clear()
        self._unparsed = memoryview(b'')
        self._queued_bytes = 0
        self._channel.memory.resize(Part.request, 0)


def build_no_room() -> RequestInvalid:
    """Return the refusal of a request for which there is no room."""
    delay = draw_jittered_delay(NO_ROOM_RETRY_AFTER_SECONDS)
    return RequestInvalid(STATUS_UNAVAILABLE, 'no room for it', 'no_memory', delay)


def _bound_framing(limits: Limits) -> int:
    return REQUEST_LINE_BYTES + HEADER_FRAMING_FACTOR * limits.max_header_bytes


def _find_length(headers: list[tuple[bytes, bytes]]) -> int:
    stated = find_header(headers, b'content-length') or b''
    return int(stated) if stated.isdigit() else 0


async def read_rest(reader: RequestReader, deadline: float) -> Request | None:
    """Return a request that has begun, or None if the caller disconnected.

    Args:
        reader: Parses the requests of the connection.
        deadline: Loop time by which the request must be complete.

    Raises:
        RequestInvalid: The bytes are no valid request, exceed the limits, found no
            room, or are incomplete at that time.
    """
    try:
        async with asyncio.timeout_at(deadline):
            return await reader.read()
    except ConnectionBroken:
        return None
    except TimeoutError as error:
        reader.drop()
        reason = 'the request is incomplete'
        raise RequestInvalid(STATUS_TIMEOUT, reason) from error


async def discard_rest(channel: Channel, limits: Limits) -> None:
    """Drop what a caller still sends of a refused request, for a limited time.

    Args:
        channel: The connection; its refusal is written.
        limits: Limits of requests; a caller that exceeds them by much is cut off.
    """
    max_bytes = DISCARD_FACTOR * limits.max_body_bytes
    deadline = asyncio.get_running_loop().time() + DISCARD_SECONDS
    with contextlib.suppress(TimeoutError, ConnectionBroken):
        async with asyncio.timeout_at(deadline):
            await channel.discard(max_bytes)


async def flush(channel: Channel, max_seconds: float) -> bool:
    """Wait until a caller has read most of its answer; return whether it has.

    Args:
        channel: The connection; it is reset if the caller stops reading, or if others
            need the room.
        max_seconds: Time after which it is reset if nothing was read.
    """
    loop = asyncio.get_running_loop()
    unsent_bytes = channel.unsent_bytes + 1
    with channel.memory.wait_for_peer(channel.abort):
        while channel.unsent_bytes < unsent_bytes:
            unsent_bytes = channel.unsent_bytes
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(loop.time() + max_seconds):
                    await channel.drain()
                channel.memory.resize(Part.answer, 0)
                return True
    channel.abort()
    return False
