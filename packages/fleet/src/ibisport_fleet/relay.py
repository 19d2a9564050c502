"""Passes store calls on for routers that can't reach the store themselves.

A router that is cut off from the store, or that the store turns away, still
reaches the hosts of its targets, and these may still reach the store. A relay
sends a call on and its answer back.

Watches are not sent on one by one: routers of a failure domain ask the same relay for
the changes of a prefix, and it asks the store once for all of them.
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
from ibisport_fleet.errors import FleetError, StoreError
from ibisport_fleet.eventlog import EventLog
from ibisport_fleet.http_connection import HttpConnection, open_http_connection
from ibisport_fleet.http_messages import (
    AnswerHead,
    Headers,
    Request,
    drop_connection_headers,
    encode_head,
)
from ibisport_fleet.request_reader import RequestReader
from ibisport_fleet.settings import HostSettings
from ibisport_fleet.store import Store, WatchResult
from ibisport_fleet.store_call import MAX_ANSWER_SECONDS, MAX_SILENCE_SECONDS
from ibisport_fleet.watch_cache import WatchCache

# A call that waits for changes takes up to 1.5 s; no caller waits beyond this.
MAX_CALL_SECONDS = 3.0
# Routers keep their connections; one that was silent for so long is dropped.
IDLE_TIMEOUT_SECONDS = 60.0
# Kept back of the grace, for the end of the process itself.
EXIT_MARGIN_SECONDS = 0.5
# How often a leaving relay looks whether its last answers are sent: an answer takes
# 4 ms, and nobody waits for the process to end.
DRAIN_POLL_SECONDS = 0.02
# The store has not seen the call: the router takes another way at once.
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n'
    b'connection: close\r\n\r\n'
)
# The store doesn't answer; the connection can be kept.
UNAVAILABLE = b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'
CLOSE: Headers = ((b'connection', b'close'),)
# Answers to watches that are kept for the next router.
MAX_CACHED_ANSWERS = 4
# An interim answer (RFC 2518, section 10.1) each so often while a long one comes.
PROCESSING = b'HTTP/1.1 102 Processing\r\n\r\n'
PROGRESS_INTERVAL_SECONDS = 0.25
# The largest value of the store, encoded, and its frame.
RELAY_LIMITS = Limits(max_body_bytes=2_097_152, idle_seconds=IDLE_TIMEOUT_SECONDS)


@dataclass(frozen=True, slots=True)
class WatchCall:
    """What a watch asks for.

    Attributes:
        prefix: What the keys begin with.
        after: Revision after which changes are wanted.
        wait: Longest wait for a change, seconds.
    """

    prefix: str
    after: int
    wait: float


class WatchCodec(Protocol):
    """How a platform's watch calls go over a connection."""

    def decode_watch_call(self, request: Request) -> WatchCall | None:
        """Return what a watch call asks for; None if it is another call."""

    def encode_result(self, changes: WatchResult) -> tuple[Headers, bytes]:
        """Return the headers and the body of the answer to a watch call."""


@dataclass(frozen=True, slots=True)
class RelayAdapters:
    """What a platform's adapter provides.

    Attributes:
        open_store: Opens the store, straight.
        watches: The wire of watch calls.
    """

    open_store: Callable[[EventLog], Store]
    watch_codec: WatchCodec


class Relay:
    """Accepts routers' connections and sends their calls on to the store.

    Attributes:
        connections: The connections of routers.
        in_flight: Calls that were passed on and have no answer yet.
    """

    def __init__(
        self, settings: HostSettings, adapters: RelayAdapters, log: EventLog
    ) -> None:
        self._store_address = settings.store_address
        self._watch_codec = adapters.watch_codec
        store = adapters.open_store(log)
        self._watches = WatchCache(store, settings.bounds.max_propagation_delay, log)
        # Routers that wait for the same changes get the same bytes.
        self._encode_cached = lru_cache(MAX_CACHED_ANSWERS)(self._encode_watch_answer)
        self._idle_connections: list[HttpConnection] = []
        self._draining = False
        # Connections on which no call is passed on, with what they read.
        self._readers: dict[Channel, RequestReader] = {}
        self.connections = ConnectionTasks(self._serve, 'relay', log)
        self.in_flight = 0

    async def drain(self, until: float) -> None:
        """Take no new calls, and wait for the answers of those passed on.

        A call that is cut off is one of unknown outcome: its router has to find out
        whether a write of a budget was done.

        Args:
            until: Loop time by which the answers must be out.
        """
        loop = asyncio.get_running_loop()
        until = min(until, loop.time() + MAX_CALL_SECONDS)
        self._draining = True
        for channel, reader in tuple(self._readers.items()):
            if not (reader.has_partial_request or channel.has_unread):
                channel.close()
        while len(self.connections) and loop.time() < until:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _serve(self, channel: Channel) -> None:
        reader = RequestReader(channel, RELAY_LIMITS)
        try:
            await self._serve_calls(reader, channel)
        except (FleetError, TimeoutError):
            # The router sees its connection end: the call may have been executed.
            channel.abort()

    async def _serve_calls(self, reader: RequestReader, channel: Channel) -> None:
        while not self._draining:
            self._readers[channel] = reader
            try:
                request = await reader.read()
            finally:
                self._readers.pop(channel, None)
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
        # What is still buffered when the process ends is lost.
        while not (channel.flushed or channel.ended):
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _answer(self, request: Request, channel: Channel) -> None:
        asked = self._watch_codec.decode_watch_call(request)
        watch = None if asked is None else self._watches.find(asked.prefix, asked.after)
        if asked is None or watch is None:
            await self._forward(request, channel)
            return
        try:
            changes = await watch.wait_for_changes(asked.after, asked.wait)
        except StoreError:
            channel.write(UNAVAILABLE)
            return
        channel.write(self._encode_cached(changes, accepts_coding(request)))

    def _encode_watch_answer(self, changes: WatchResult, coded: bool) -> bytes:
        """Return the whole answer to a watch call."""
        return _encode_answer(
            HTTPStatus.OK, *self._watch_codec.encode_result(changes), coded=coded
        )

    async def _forward(self, request: Request, channel: Channel) -> None:
        deadline = asyncio.get_running_loop().time() + MAX_CALL_SECONDS
        exchange = await self._acquire(deadline)
        start = f'{request.method} '.encode() + request.target + b' HTTP/1.1'
        headers = drop_accept_encoding(drop_connection_headers(request.headers))
        try:
            async with asyncio.timeout_at(deadline) as timer:
                progress = _ProgressReporter(channel, timer)
                answer = await exchange.request(start, headers, request.body, progress)
        except BaseException:
            exchange.close()
            raise
        if exchange.keep_alive and exchange.reusable:
            self._idle_connections.append(exchange)
        else:
            exchange.close()
        ending = CLOSE if self._draining else ()
        kept = (*drop_connection_headers(answer.head.headers), *ending)
        coded = accepts_coding(request)
        whole = _encode_answer(answer.head.status, kept, answer.body, coded=coded)
        channel.write(whole)

    async def _acquire(self, deadline: float) -> HttpConnection:
        while self._idle_connections:
            exchange = self._idle_connections.pop()
            if exchange.reusable:
                return exchange
            exchange.close()
        return await open_http_connection(self._store_address, deadline)


class _ProgressReporter:
    """Tells a router that the answer to its call is on its way.

    The whole answer is coded before it is sent, and the router would take the relay
    for silent meanwhile.
    """

    def __init__(self, channel: Channel, timer: asyncio.Timeout) -> None:
        """Begin before the answer does.

        Args:
            channel: The router's connection.
            timer: What ends the call when its answer falls silent.
        """
        self._channel = channel
        self._timeout = timer
        self._reported_at = 0.0
        self._deadline = 0.0

    def handle_head(self, head: AnswerHead) -> None:
        """Note that the answer has begun."""
        self._reported_at = asyncio.get_running_loop().time()
        self._deadline = self._reported_at + MAX_ANSWER_SECONDS

    def handle_bytes(self, size: int) -> None:
        """Note that so many bytes of the body came."""
        now = asyncio.get_running_loop().time()
        self._timeout.reschedule(min(now + MAX_SILENCE_SECONDS, self._deadline))
        if now >= self._reported_at + PROGRESS_INTERVAL_SECONDS:
            self._reported_at = now
            self._channel.write(PROCESSING)


def _encode_answer(status: int, headers: Headers, body: bytes, *, coded: bool) -> bytes:
    """Return a whole answer.

    Args:
        status: Its status.
        headers: Its headers, but for the length.
        body: Its body.
        coded: The router decodes bodies.
    """
    if coded:
        headers, body = encode_body(headers, body)
    length = (b'content-length', b'%d' % len(body))
    first = b'HTTP/1.1 %d Relayed' % status
    return encode_head(first, (*headers, length)) + body
