"""Forwards store calls for routers that can't reach the store themselves.

A router that is cut off from the store, or that the store throttles, still reaches
the hosts of its targets, and these may still reach the store. A relay forwards a call
and returns its answer.

Watches aren't forwarded individually: routers of a failure domain ask the same relay
for the changes of a prefix, and it watches the store once for all of them.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from http import HTTPStatus
from typing import Protocol

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.connection_tasks import ConnectionTasks
from ibisport_fleet.content_coding import (
    accepts_coding,
    drop_accept_encoding,
    encode_body,
)
from ibisport_fleet.errors import FleetError, RequestInvalid, StoreError
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.http_connection import HttpConnection, open_http_connection
from ibisport_fleet.http_messages import (
    AnswerHead,
    Headers,
    Request,
    drop_connection_headers,
    encode_head,
)
from ibisport_fleet.load_feed.engine_poller import ReportCodec
from ibisport_fleet.overload.answer_charge import AnswerCharge, PartCharge
from ibisport_fleet.overload.intake import Intake
from ibisport_fleet.overload.memory_budget import Part
from ibisport_fleet.overload.resources import CALLERS_SHARE, Resources
from ibisport_fleet.request_reader import RequestReader, discard_rest, flush
from ibisport_fleet.settings import HostSettings
from ibisport_fleet.store import Store, WatchResult
from ibisport_fleet.store_call import MAX_ANSWER_SECONDS, MAX_SILENCE_SECONDS
from ibisport_fleet.watch_cache import WatchCache

# A call that waits for changes takes up to 1.5 s; no caller waits longer than this.
MAX_CALL_SECONDS = 3.0
# Routers keep their connections open; idle ones are closed after this time.
IDLE_TIMEOUT_SECONDS = 60.0
# Part of the stop grace that is reserved for the exit of the process itself.
EXIT_MARGIN_SECONDS = 0.5
# Interval at which a draining relay checks whether its last answers are sent. An answer
# takes 4 ms, but nothing waits for the process to exit.
DRAIN_POLL_SECONDS = 0.02
# The store hasn't received the call: the router tries another path at once.
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n'
    b'connection: close\r\n\r\n'
)
# The store doesn't answer; the connection stays open.
UNAVAILABLE = b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'
CLOSE: Headers = ((b'connection', b'close'),)
# Encoded answers to watches that are kept for the other routers.
MAX_CACHED_ANSWERS = 4
# Interim answer (RFC 2518, section 10.1), sent periodically while a long answer
# arrives.
PROCESSING = b'HTTP/1.1 102 Processing\r\n\r\n'
PROGRESS_INTERVAL_SECONDS = 0.25
# Fits the largest value of the store, encoded, with its framing.
RELAY_LIMITS = Limits(max_body_bytes=2_097_152, idle_seconds=IDLE_TIMEOUT_SECONDS)


@dataclass(frozen=True, slots=True)
class WatchCall:
    """Parameters of a watch call.

    Attributes:
        prefix: Prefix of the keys.
        after: Revision after which changes are requested.
        wait: Maximum wait for a change, seconds.
    """

    prefix: str
    after: int
    wait: float


class WatchCodec(Protocol):
    """Codec of a platform's watch calls."""

    def decode_watch_call(self, request: Request) -> WatchCall | None:
        """Return the parameters of a watch call; None if it is another call."""

    def encode_result(self, result: WatchResult) -> tuple[Headers, bytes]:
        """Return the headers and the body of the answer to a watch call."""


@dataclass(frozen=True, slots=True)
class RelayAdapters:
    """Platform-specific parts of a relay.

    Attributes:
        open_store: Opens the store on the direct path.
        watch_codec: Codec of watch calls.
        report_codec: Codec of engines' load reports; None: the relay has no load feed.
    """

    open_store: Callable[[EventLog], Store]
    watch_codec: WatchCodec
    report_codec: ReportCodec | None = None


class Relay:
    """Accepts connections of routers and forwards their calls to the store.

    Attributes:
        connections: Connections of routers.
        in_flight: Number of calls that have no answer yet.
    """

    def __init__(
        self, settings: HostSettings, adapters: RelayAdapters, log: EventLog
    ) -> None:
        self._store_address = settings.store_address
        self._watch_codec = adapters.watch_codec
        store = adapters.open_store(log)
        self._watches = WatchCache(store, settings.bounds.max_propagation_delay, log)
        # Routers that wait for the same changes get the same encoded answer.
        self._encode_cached = lru_cache(MAX_CACHED_ANSWERS)(self._encode_watch_answer)
        self._idle_connections: list[HttpConnection] = []
        self._draining = False
        resources = Resources(settings.resources)
        self._intake = Intake(turns=resources.turns, drops_departed=True)
        bounds = resources.bound_listener(CALLERS_SHARE)
        self.connections = ConnectionTasks(self._serve, 'relay', log, bounds)
        self.in_flight = 0

    async def drain(self, deadline: float) -> None:
        """Accept no new calls, and wait until those in flight are answered.

        The outcome of a call that is cut off is unknown: its router has to find out
        whether a write of a budget was executed.

        Args:
            deadline: Loop time by which the answers must be sent.
        """
        loop = asyncio.get_running_loop()
        deadline = min(deadline, loop.time() + MAX_CALL_SECONDS)
        self._draining = True
        self.connections.waiting.close_quiet(loop.time())
        while len(self.connections) and loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _serve(self, channel: Channel) -> None:
        reader = RequestReader(channel, lambda: RELAY_LIMITS, self._intake)
        try:
            await self._serve_calls(reader, channel)
        except RequestInvalid:
            channel.write(REFUSAL)
            with self.connections.waiting.track(channel, None):
                await discard_rest(channel, RELAY_LIMITS)
        except (FleetError, TimeoutError):
            # The reset tells the router that the call may have been executed.
            channel.abort()

    async def _serve_calls(self, reader: RequestReader, channel: Channel) -> None:
        while not self._draining:
            with self.connections.waiting.track(channel, reader):
                request = await reader.read()
            if request is None:
                return
            if self._draining:
                channel.write(REFUSAL)
                break
            self.in_flight += 1
            try:
                await self._answer(request, channel)
            finally:
                self.in_flight -= 1
            # The next call waits until its router has taken this answer.
            with self.connections.waiting.track(channel, reader):
                if not await flush(channel, IDLE_TIMEOUT_SECONDS):
                    return
        # Data that is still buffered when the process exits is lost.
        while channel.unsent_bytes and not channel.ended:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _answer(self, request: Request, channel: Channel) -> None:
        call = self._watch_codec.decode_watch_call(request)
        watch = None if call is None else self._watches.find(call.prefix, call.after)
        if call is None or watch is None:
            await self._forward(request, channel)
            return
        try:
            result = await watch.wait_for_changes(call.after, call.wait)
        except StoreError:
            channel.write(UNAVAILABLE)
            return
        channel.write(self._encode_cached(result, accepts_coding(request)))

    def _encode_watch_answer(self, result: WatchResult, coded: bool) -> bytes:
        """Return the encoded answer to a watch call."""
        return _encode_answer(
            HTTPStatus.OK, *self._watch_codec.encode_result(result), coded=coded
        )

    async def _forward(self, incoming: Request, channel: Channel) -> None:
        deadline = asyncio.get_running_loop().time() + MAX_CALL_SECONDS
        connection = await self._acquire(deadline)
        request_line = f'{incoming.method} '.encode() + incoming.target + b' HTTP/1.1'
        headers = drop_accept_encoding(drop_connection_headers(incoming.headers))
        connection.charge(PartCharge(channel.memory, Part.upstream))
        try:
            async with asyncio.timeout_at(deadline) as timeout:
                progress = _ProgressReporter(channel, timeout)
                answer = await connection.request(
                    request_line, headers, incoming.body, progress
                )
        except BaseException:
            connection.close()
            raise
        connection.charge(None)
        if connection.keep_alive and connection.reusable:
            self._idle_connections.append(connection)
        else:
            connection.close()
        closing = CLOSE if self._draining else ()
        kept = (*drop_connection_headers(answer.head.headers), *closing)
        coded = accepts_coding(incoming)
        encoded = _encode_answer(answer.head.status, kept, answer.body, coded=coded)
        channel.memory.resize(Part.answer, len(encoded))
        channel.write(encoded)

    async def _acquire(self, deadline: float) -> HttpConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.reusable:
                return connection
            connection.close()
        return await open_http_connection(self._store_address, deadline)


class _ProgressReporter:
    """Sends a router interim answers while the answer to its call arrives.

    The relay receives and compresses the whole answer before it sends any of it;
    without interim answers the router would time out meanwhile. What has arrived counts
    for the memory of the router's connection.
    """

    def __init__(self, channel: Channel, timeout: asyncio.Timeout) -> None:
        """Prepare for an answer that hasn't begun.

        Args:
            channel: Connection of the router.
            timeout: Ends the call when its answer stops arriving.
        """
        self._channel = channel
        self._charge = AnswerCharge(channel.memory)
        self._timeout = timeout
        self._reported_at = 0.0
        self._deadline = 0.0

    def handle_head(self, head: AnswerHead) -> None:
        """Record that the answer has begun."""
        self._reported_at = asyncio.get_running_loop().time()
        self._deadline = self._reported_at + MAX_ANSWER_SECONDS

    def handle_bytes(self, size: int) -> None:
        """Extend the timeout, and report progress if a report is due.

        Raises:
            MemoryExhausted: There is no room for the answer.
        """
        self._charge.handle_bytes(size)
        now = asyncio.get_running_loop().time()
        self._timeout.reschedule(min(now + MAX_SILENCE_SECONDS, self._deadline))
        if now >= self._reported_at + PROGRESS_INTERVAL_SECONDS:
            self._reported_at = now
            self._channel.write(PROCESSING)


def _encode_answer(status: int, headers: Headers, body: bytes, *, coded: bool) -> bytes:
    """Return an encoded answer.

    Args:
        status: HTTP status.
        headers: Headers, without the content length.
        body: Body.
        coded: Whether the router accepts compressed bodies.
    """
    if coded:
        headers, body = encode_body(headers, body)
    length = (b'content-length', b'%d' % len(body))
    status_line = b'HTTP/1.1 %d Relayed' % status
    return encode_head(status_line, (*headers, length)) + body
