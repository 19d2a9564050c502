"""Shared fixtures: a whole router process in virtual time, its targets and callers."""

import asyncio
import os
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from unittest import mock

import httptools

from ibisport_bench.standins.memorystore import MemoryService
from ibisport_bench.standins.scripted import Reply, ScriptedTarget
from ibisport_bench.virtualnet import run_on_net
from ibisport_fleet.adapters import Adapters
from ibisport_fleet.catalogue import (
    Catalogue,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Workspace,
)
from ibisport_fleet.eventlog import EventLog
from ibisport_fleet.router import Router
from ibisport_fleet.settings import Bounds, HostSettings
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.headers import PlatformDialect

# What the deployment promises: the process is killed so long after the signal.
GRACE_SECONDS = 8.0
# Longer than any idle time-out or lease: the router runs as it does on every day.
SIGNAL_AT_S = 20.0
LONGEST_PLAY_S = 60.0
CALLERS = ('10.0.0.1', 80)
READINESS = ('10.0.0.1', 81)
ROUTER = 'router'
CALLER = 'caller'
KEY = 'key-of-acme'
TIME_LIMIT_SECONDS = 15.0
# A target's head and first event come so long after the request.
FIRST_S = 0.1
# Longer than a way there and back: a connection that ends later than this after a
# request was sent had brought it to the router.
ROUND_TRIP_SECONDS = 0.01
# When what runs before the signal is sent, in seconds after it.
BEFORE_SIGNAL_SECONDS = -0.5
LATE_DEADLINE = 'Deadline-Ms: 1500\r\n'

OK = b'HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\n'
STREAM_HEAD = (
    OK + b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
END = b'0\r\n\r\n'


def write_event(number):
    """Return an event of a stream in its chunk."""
    text = b'id: %d\ndata: d%d\n\n' % (number, number)
    return b'%x\r\n%b\r\n' % (len(text), text)


def make_stream(seconds):
    """Return the reply that takes so long until its last byte."""
    count = max(1, round(seconds / FIRST_S) - 2)
    events = [write_event(number) for number in range(1, count + 1)]
    pieces = [STREAM_HEAD, *events, END]
    return Reply(pieces, pause=seconds / len(pieces))


def make_plain(size=5):
    """Return the reply of one whole answer."""
    return Reply([OK + b'Content-Length: %d\r\n\r\n' % size + b'x' * size], FIRST_S)


def make_burst(size):
    """Return the reply of a stream whose only event is long and comes at once."""
    event = b'id: 1\ndata: ' + b'x' * size + b'\n\n'
    chunk = b'%x\r\n%b\r\n' % (len(event), event)
    return Reply([STREAM_HEAD + chunk + END], FIRST_S)


def make_silence():
    """Return the reply of a target that never gives a byte."""
    return Reply([b''], pause=LONGEST_PLAY_S)


def make_route(
    name, kind, most_targets=1, *, resumable=False, time_limit=TIME_LIMIT_SECONDS
):
    """Return a route to the only service, below the path of its name."""
    return Route(
        name=name,
        host='h.example',
        prefix=f'/{name}/',
        kind=kind,
        shares=(ServiceShare('svc', 1.0),),
        time_limit=time_limit,
        objective=0.5,
        rank=1,
        max_targets=most_targets,
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
    """Return the bytes of a request; its name is its id."""
    return (
        f'POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {name}\r\n'
        f'Authorization: Bearer {KEY}\r\n{extra}Content-Length: 2\r\n\r\nab'
    ).encode()


@dataclass(slots=True)
class Answer:
    """What a caller saw of one request.

    Attributes:
        sent_at: Seconds after the signal at which its last byte was sent.
        status: The final status, or None.
        headers: The answer's, names in lower case.
        size: Bytes of the body that have come.
        whole: The answer came to its end.
        ended_at: Seconds after the signal at which it was whole, or cut.
        refused: No connection stood.
        failure: What the connection broke with, if not with a plain end.
    """

    sent_at: float
    status: int | None = None
    headers: dict[bytes, bytes] = field(default_factory=dict)
    size: int = 0
    whole: bool = False
    ended_at: float | None = None
    refused: bool = False
    failure: str | None = None


class _AnswerParser:
    """Notes what has come of an answer."""

    def __init__(self, answer):
        self.answer = answer
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name, content):
        self.answer.headers[name.lower()] = content

    def on_headers_complete(self):
        self.answer.status = self.parser.get_status_code()

    def on_body(self, body):
        self.answer.size += len(body)

    def on_message_complete(self):
        self.answer.whole = True


class Caller:
    """A caller with one connection, which it uses as long as it stands."""

    def __init__(self, site, address=CALLERS):
        self._site = site
        self._address = address
        self._reader = self._writer = None

    async def ask(self, request, rest=b'', rest_at=0.0):
        """Send a request on the kept connection, or on a new one, and wait.

        Args:
            request: Its bytes, or the first ones.
            rest: The other ones.
            rest_at: When these are sent, in seconds after the signal.
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
        return answer

    async def _connect(self):
        # A client looks whether its kept connection has ended before it sends.
        if self._reader is None or self._reader.at_eof():
            self._reader, self._writer = await asyncio.open_connection(*self._address)

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
        target: The only target; its replies are in the order of the requests.
        service: The store.
        ended_at: Seconds after the signal at which the process had ended by itself.
        killed: It was still there at the end of the grace time.
    """

    def __init__(self, net, replies, catalogue=CATALOGUE):
        self.net = net
        self.target = ScriptedTarget(list(replies))
        self.service = MemoryService()
        self.ended_at = None
        self.killed = False
        self._catalogue = catalogue
        self._router = None
        self._store = self.service.open_store(ROUTER)

    @property
    def now(self):
        """Seconds since the signal; negative before it."""
        return self.net.time() - SIGNAL_AT_S

    async def wait_until(self, seconds):
        """Wait until so many seconds after the signal."""
        await asyncio.sleep(max(0.0, seconds - self.now))

    def has_got(self, name):
        """Whether the target saw a request."""
        return any(
            one.find(b'attempt-id') == name.encode() for one in self.target.requests
        )

    async def start(self):
        """Start all, and wait until the balancer is told that callers may come."""
        await self.net.start_on('target', self.target.start())
        self.service.put('servers/i-0', b'')
        self.service.put('op/config', b'')
        self._process = self.net.create_task(self._run())
        while not await self._ask_readiness():
            await asyncio.sleep(0.1)

    @property
    def failed(self):
        """Whether the process says that a part of it failed."""
        return self._router.failed

    def fail_task(self):
        """Let the task that lists the other routers fail at its next turn."""
        self._store.scan = mock.AsyncMock(side_effect=RuntimeError('a fault of ours'))

    def call(self, work):
        """Start a caller's work on the callers' host."""
        return self.net.start_on(CALLER, work)

    async def stop(self, stands_still):
        """Send the signal at its time, and kill the process when the grace ends.

        Args:
            stands_still: Seconds in which the process can't take the signal.
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
            target_prefix='servers/',
            decode_catalogue=lambda item: self._catalogue,
            decode_target=self._build_entry,
            parse_incarnation=lambda key: key.removeprefix('servers/'),
            load_settings=_build_settings,
        )
        log = EventLog(os.open(os.devnull, os.O_WRONLY))
        self._router = Router(_build_settings(), adapters, log)
        await self._router.run()

    def _build_entry(self, item):
        address = self.target.address
        return TargetEntry('i-0', 'svc', address, 'd-0', 1_000, False, item.revision)

    async def _ask_readiness(self):
        try:
            reader, writer = await asyncio.open_connection(*READINESS)
        except ConnectionRefusedError:
            return False
        writer.write(b'GET /ready HTTP/1.1\r\nHost: h\r\n\r\n')
        answer = await reader.readline()
        writer.close()
        return answer.startswith(b'HTTP/1.1 200 ')


def send_on_new_connection(site, *words):
    """Let a caller with a connection of its own ask; see ``Caller.ask``."""
    return site.call(Caller(site).ask(*words))


def run_until_stopped(replies, act, catalogue=CATALOGUE, stands_still=0.0):
    """Run a router, let callers act, stop it, and return it and what ``act`` returns.

    Args:
        replies: The target's, in the order of the requests that reach it.
        act: Gets the running router; what it awaits ends by itself.
        catalogue: What operators say.
        stands_still: Seconds in which the process can't take the signal.
    """

    async def play(net):
        random.seed(1)
        clock = SimpleNamespace(
            clock_gettime=lambda clock_id: net.time(), CLOCK_BOOTTIME=0
        )
        site = RunningRouter(net, replies, catalogue)
        # The lease arithmetic reads the machine's clock, which stands still here.
        with mock.patch('ibisport_fleet.clocks.time', clock):
            async with asyncio.timeout(LONGEST_PLAY_S):
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
