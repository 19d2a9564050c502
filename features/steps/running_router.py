"""Shared fixtures: a router process in virtual time with its target and callers."""

import asyncio
import contextlib
import math
import os
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from unittest import mock

import httptools

from ibisport_bench.standins.memory_store import MemoryService
from ibisport_bench.standins.scripted import Reply, ScriptedTarget
from ibisport_bench.virtual_network import run_on_net
from ibisport_fleet.adapters import Adapters
from ibisport_fleet.catalogue import (
    Catalogue,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Workspace,
)
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.router import Router
from ibisport_fleet.settings import Bounds, HostSettings
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.headers import PlatformDialect

# The deployment kills the process this long after the stop signal.
GRACE_SECONDS = 8.0
# Longer than any idle timeout or lease, so that the router is in its steady state.
SIGNAL_AT_SECONDS = 20.0
MAX_RUN_SECONDS = 60.0
CALLERS = ('10.0.0.1', 80)
READINESS = ('10.0.0.1', 81)
ROUTER = 'router'
CALLER = 'caller'
KEY = 'key-of-acme'
TIME_LIMIT_SECONDS = 15.0
# Time from a request to the head and first event of the target's answer.
FIRST_BYTE_SECONDS = 0.1
# Longer than a round trip: if a connection closes later than this after a request was
# sent, the request had reached the router.
ROUND_TRIP_SECONDS = 0.01
# Send time of requests that run before the signal, in seconds after the signal.
BEFORE_SIGNAL_SECONDS = -0.5
LATE_DEADLINE = 'Deadline-Ms: 1500\r\n'

OK = b'HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\n'
STREAM_HEAD = (
    OK + b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
END = b'0\r\n\r\n'


def encode_event(number, mark=''):
    """Return an event of a stream, encoded as a chunk; its data ends with a mark."""
    text = b'id: %d\ndata: d%d%b\n\n' % (number, number, mark.encode())
    return b'%x\r\n%b\r\n' % (len(text), text)


def make_stream(seconds):
    """Return a stream whose last byte is sent after the given seconds."""
    count = max(1, round(seconds / FIRST_BYTE_SECONDS) - 2)
    events = [encode_event(number) for number in range(1, count + 1)]
    pieces = [STREAM_HEAD, *events, END]
    return Reply(pieces, pause=seconds / len(pieces))


def make_plain(size=5):
    """Return a complete answer with a body of the given size."""
    return Reply(
        [OK + b'Content-Length: %d\r\n\r\n' % size + b'x' * size], FIRST_BYTE_SECONDS
    )


def make_burst(size):
    """Return a stream whose only event has the given size and is sent at once."""
    event = b'id: 1\ndata: ' + b'x' * size + b'\n\n'
    chunk = b'%x\r\n%b\r\n' % (len(event), event)
    return Reply([STREAM_HEAD + chunk + END], FIRST_BYTE_SECONDS)


def make_silence():
    """Return the reply of a target that never sends a byte."""
    return Reply([b''], pause=MAX_RUN_SECONDS)


def make_route(
    name, kind, max_targets=1, *, resumable=False, time_limit=TIME_LIMIT_SECONDS
):
    """Return a route to the only service, with its name as the path prefix."""
    return Route(
        name=name,
        host='h.example',
        prefix=f'/{name}/',
        kind=kind,
        shares=(ServiceShare('svc', 1.0),),
        time_limit=time_limit,
        objective=0.5,
        rank=1,
        max_targets=max_targets,
        public=False,
        resumable=resumable,
    )


CATALOGUE = Catalogue(
    version=1,
    revision=2,
    routes=tuple(make_route(kind.value, kind) for kind in RouteKind),
    services={'svc': Service('svc', 10, None)},
    workspaces={'acme': Workspace('acme', 1, None)},
    keys={KEY: 'acme'},
    needs_keys=True,
)
PREPAID = replace(CATALOGUE, workspaces={'acme': Workspace('acme', 1, 1_000_000)})


def encode_request(kind, name, extra=''):
    """Return the bytes of a request with the name as its id."""
    return (
        f'POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {name}\r\n'
        f'Authorization: Bearer {KEY}\r\n{extra}Content-Length: 2\r\n\r\nab'
    ).encode()


@dataclass(slots=True)
class Answer:
    """The answer to one request as its caller received it.

    Attributes:
        sent_at: Seconds after the signal at which its last byte was sent.
        status: The final status, or None.
        headers: Headers of the answer, names in lower case.
        size: Number of received bytes of the body.
        content: The received bytes of the body.
        whole: Whether the answer is complete.
        ended_at: Seconds after the signal at which it was complete or broke off.
        refused: Whether the connection was refused.
        failure: Error that broke the connection, or None if it was closed normally.
    """

    sent_at: float
    status: int | None = None
    headers: dict[bytes, bytes] = field(default_factory=dict)
    size: int = 0
    whole: bool = False
    ended_at: float | None = None
    refused: bool = False
    failure: str | None = None
    content: bytes = b''


class _AnswerParser:
    """Parses an answer into an ``Answer``."""

    def __init__(self, answer):
        self.answer = answer
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name, content):
        self.answer.headers[name.lower()] = content

    def on_headers_complete(self):
        self.answer.status = self.parser.get_status_code()

    def on_body(self, body):
        self.answer.size += len(body)
        self.answer.content += body

    def on_message_complete(self):
        self.answer.whole = True


class Caller:
    """A caller that keeps one connection open and reuses it.

    It heeds how long answers say that the connection stays open (Keep-Alive), unless
    told otherwise.

    Attributes:
        connections: Number of connections that it has opened.
    """

    def __init__(self, site, address=CALLERS, *, heeds_keep_alive=True):
        self.connections = 0
        self._heeds_keep_alive = heeds_keep_alive
        self._site = site
        self._address = address
        self._reader = self._writer = None
        self._open_until = math.inf

    async def ask(self, request, rest=b'', rest_at=0.0):
        """Send a request on the open or a new connection, and return the answer.

        Args:
            request: Bytes of the request, or its first part.
            rest: The remaining bytes.
            rest_at: When the rest is sent, in seconds after the signal.
        """
        answer = Answer(self._site.now)
        try:
            await self._connect()
        except ConnectionRefusedError:
            answer.refused = True
            return answer
        self._writer.write(request)
        if rest:
            await self._site.wait_until(rest_at)
            self._writer.write(rest)
        answer.sent_at = self._site.now
        try:
            await self._read(answer)
        except ConnectionError as error:
            answer.failure = repr(error)
        answer.ended_at = self._site.now
        if self._heeds_keep_alive:
            stated = answer.headers.get(b'keep-alive', b'timeout=inf')
            self._open_until = answer.ended_at + float(stated.removeprefix(b'timeout='))
        return answer

    async def _connect(self):
        # Clients check whether their open connection was closed before they reuse it.
        is_closed = self._reader is None or self._reader.at_eof()
        if is_closed or self._site.now >= self._open_until:
            self._reader, self._writer = await asyncio.open_connection(*self._address)
            self.connections += 1

    async def _read(self, answer):
        parser = _AnswerParser(answer)
        while not answer.whole:
            data = await self._reader.read(65_536)
            if not data:
                return
            parser.parser.feed_data(data)


class RunningRouter:
    """A router process with listeners, one target and any number of callers.

    Attributes:
        net: The network; its links may be changed.
        target: The only target; it replies in the order of the requests.
        service: The store.
        ended_at: Seconds after the signal at which the process ended by itself.
        killed: Whether the process was killed at the end of the grace period.
        slots: Number of requests that the target runs, as its entry says.
    """

    def __init__(self, net, replies, catalogue=CATALOGUE, features=(), records=None):
        self.net = net
        self.target = ScriptedTarget(list(replies))
        self.service = MemoryService()
        self.ended_at = None
        self.killed = False
        self.slots = 1_000
        self._catalogue = catalogue
        self._records = records or {}
        self._settings = replace(_build_settings(), features=frozenset(features))
        self._router = None
        self._store = self.service.open_store(ROUTER)

    @property
    def now(self):
        """Seconds since the signal; negative before it."""
        return self.net.time() - SIGNAL_AT_SECONDS

    async def wait_until(self, seconds):
        """Wait until the given seconds after the signal."""
        await asyncio.sleep(max(0.0, seconds - self.now))

    def has_got(self, name):
        """Whether the target received a request."""
        return any(
            request.find(b'attempt-id') == name.encode()
            for request in self.target.requests
        )

    async def start(self):
        """Start all processes and wait until the router reports itself as ready."""
        await self.net.start_on('target', self.target.start())
        self.service.put('servers/i-0', b'')
        self.service.put('op/config', b'')
        for key, content in self._records.items():
            self.service.put(key, content)
        self._process = self.net.create_task(self._run())
        while not await self._ask_readiness():
            await asyncio.sleep(0.1)

    @property
    def failed(self):
        """Whether the router reports that a background task failed."""
        return self._router.failed

    def list_running(self):
        """Return how many requests of this router each target runs, as it counts."""
        candidates = self._router._targets.list_candidates('svc')
        return [candidate.health.running for candidate in candidates]

    def stop_at_once(self):
        """Stop the router, whatever it raises."""
        with contextlib.suppress(Exception):
            self._router.stop()

    def fail_task(self):
        """Make the task that lists the other routers fail at its next call."""
        self._store.scan = mock.AsyncMock(side_effect=RuntimeError('injected failure'))

    def change_catalogue(self, catalogue):
        """Put a catalogue into the store in place of the one before."""
        self._catalogue = catalogue
        self.service.put('op/config', b'')

    def change_limits(self, **limits):
        """Write a new version of the catalogue with other limits."""
        changed = replace(self._catalogue.limits, **limits)
        version = self._catalogue.version + 1
        self.change_catalogue(replace(self._catalogue, version=version, limits=changed))

    def call(self, coroutine):
        """Start a coroutine on the callers' host."""
        return self.net.start_on(CALLER, coroutine)

    async def stop(self, stands_still):
        """Stop the router at the signal's time, and kill it after the grace period.

        Args:
            stands_still: Seconds during which the process can't handle the signal.
        """
        await self.wait_until(0.0)
        self.net.stand_still(stands_still)
        self._router.stop()
        done, _ = await asyncio.wait(
            [self._process], timeout=GRACE_SECONDS - stands_still
        )
        if not done:
            self.killed = True
            self.net.kill(ROUTER)

    async def _run(self):
        try:
            await self.net.run_process(ROUTER, self._run_router())
        finally:
            self.ended_at = self.now

    async def _run_router(self):
        adapters = Adapters(
            dialect=PlatformDialect(),
            open_store=lambda paths, log: self._store,
            catalogue_key='op/config',
            catalogue_prefix='op/',
            evacuation_prefix='op/evacuate/',
            target_prefix='servers/',
            decode_catalogue=lambda item: self._catalogue,
            decode_target=self._build_entry,
            parse_incarnation=lambda key: key.removeprefix('servers/'),
            load_settings=lambda: self._settings,
        )
        log = EventLog(os.open(os.devnull, os.O_WRONLY))
        self._router = Router(self._settings, adapters, log)
        await self._router.run()

    def _build_entry(self, item):
        address = self.target.address
        return TargetEntry(
            'i-0', 'svc', address, 'd-0', self.slots, False, item.revision
        )

    async def _ask_readiness(self):
        try:
            reader, writer = await asyncio.open_connection(*READINESS)
        except ConnectionRefusedError:
            return False
        writer.write(b'GET /ready HTTP/1.1\r\nHost: h\r\n\r\n')
        answer = await reader.readline()
        writer.close()
        return answer.startswith(b'HTTP/1.1 200 ')


def send_on_new_connection(site, *arguments):
    """Send a request on a connection of its own; see ``Caller.ask``."""
    return site.call(Caller(site).ask(*arguments))


def run_until_stopped(
    replies, act, catalogue=CATALOGUE, stands_still=0.0, features=(), records=None
):
    """Run and stop a router beside ``act``; return it and the result of ``act``.

    Args:
        replies: Replies of the target, in the order of the requests that reach it.
        act: Coroutine function that gets the running router.
        catalogue: The catalogue in the store.
        stands_still: Seconds during which the process can't handle the signal.
        features: The optional parts that are in use.
        records: Contents that the store has before the router starts, by key.
    """

    async def play(net):
        random.seed(1)
        clock = SimpleNamespace(
            clock_gettime=lambda clock_id: net.time(), CLOCK_BOOTTIME=0
        )
        site = RunningRouter(net, replies, catalogue, features, records)
        # Leases are computed from the machine's clock, which virtual time doesn't move.
        with mock.patch('ibisport_fleet.clocks.time', clock):
            async with asyncio.timeout(MAX_RUN_SECONDS):
                await site.start()
                answers, _ = await asyncio.gather(act(site), site.stop(stands_still))
        return site, answers

    return run_on_net(play)


def _build_settings():
    return HostSettings(
        host=ROUTER,
        domain='d-0',
        peer_address=('10.0.0.1', 82),
        metrics_address=('10.0.0.1', 83),
        callers_address=CALLERS,
        readiness_address=READINESS,
        store_address=('10.0.0.9', 1),
        bounds=Bounds(1.0, 100.0, 0.0, GRACE_SECONDS),
    )
