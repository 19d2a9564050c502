"""Shared fixtures: routers and crashing targets on one network in virtual time."""

import asyncio
import math
import os
import random
from dataclasses import dataclass, replace
from types import SimpleNamespace
from unittest import mock
from weakref import WeakSet

import msgspec
from running_router import (
    CALLER,
    END,
    GRACE_SECONDS,
    KEY,
    OK,
    STREAM_HEAD,
    Caller,
    encode_event,
    make_route,
)

from ibisport_bench.standins.memory_store import MemoryService
from ibisport_bench.virtual_network import VirtualDatagrams, run_on_net
from ibisport_fleet.adapters import Adapters
from ibisport_fleet.catalogue import (
    Catalogue,
    Limits,
    RouteKind,
    Service,
    Workspace,
)
from ibisport_fleet.channel import Channel
from ibisport_fleet.errors import FleetError
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.request_reader import RequestReader
from ibisport_fleet.router import Router
from ibisport_fleet.settings import Bounds, HostSettings
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.headers import PlatformDialect

# A request with this body crashes the target that runs it, this long after its start.
FATAL = b'fatal'
FATAL_AFTER_SECONDS = 0.09
SEAL = b'Response-Seal: s\r\n'
REJECTED = (
    b'HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n'
    b'Response-Seal: s\r\nContent-Length: 0\r\n\r\n'
)
MISDIRECTED = (
    b'HTTP/1.1 421 Misdirected\r\nAttempt-Id: {id}\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
FAILED = (
    b'HTTP/1.1 500 Failed\r\nAttempt-Id: {id}\r\n'
    b'Response-Seal: s\r\nContent-Length: 0\r\n\r\n'
)
# A stream that is requested with this body takes this many times as long.
SLOW = b'slow'
SLOW_FACTOR = 10
PLAIN_ANSWER_SECONDS = 0.05
BEFORE_HEAD = -1
BOUNDS = Bounds(1.0, 100.0, 10.0, GRACE_SECONDS)
EVENTS = 8
EVENT_INTERVAL_SECONDS = 0.05
# A crashed target restarts after this time under a new id; its old entry lapses after
# three heartbeats.
RESTART_SECONDS = 4.0
ENTRY_LAPSE_SECONDS = 3.6
DRAIN_SECONDS = 3.0
START_SECONDS = 12.0
# A cold target crashes at more requests in a second than its rate times the factor,
# plus the slack.
COLD_FACTOR = 1.5
COLD_SLACK = 5
MAX_RUN_SECONDS = 300.0
NO_FEATURES = frozenset()
TARGET_PREFIX = 'servers/'
CATALOGUE_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
# Without faults for this long, a router must know what the other routers know.
CONVERGENCE_SECONDS = 3.0

CATALOGUE = Catalogue(
    version=1,
    revision=2,
    routes=tuple(
        make_route(kind.value, kind, max_targets=3, resumable=True)
        for kind in RouteKind
    ),
    services={'svc': Service('svc', 100, None)},
    workspaces={'acme': Workspace('acme', 1, None)},
    keys={KEY: 'acme'},
    needs_keys=True,
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target.

    Attributes:
        at: Loop time, seconds.
        router: Host of the router that sent it.
        target: The target's incarnation.
        name: The request's id.
        body: Its body.
    """

    at: float
    router: str
    target: str
    name: str
    body: bytes


class FleetTarget:
    """A target on its own host that crashes and restarts under a new id.

    Attributes:
        host: Name of its host.
        domain: Its failure domain.
        incarnation: Its current id.
        rate: Rate limit in its answers, in requests per second, or None.
        rejects: Whether it rejects requests.
        rejection: Its answer to them.
        reject_stride: Of how many requests it rejects one.
        retry_after: Retry-After value of its rejections, or None.
        event_factor: How many times as long its events take.
        break_stride: Of how many requests it breaks the connection of one after the
            head of the answer; 0: of none.
        loss_stride: Of how many requests it never answers one; 0: it answers all.
        leaves: Whether all of its answers say that it leaves.
        reports_load: Whether its answers report how many requests it runs.
        cold_until: Loop time until which it warms up, and crashes if it is overrun.
        answer_seconds: How long its plain answers take, or None: as usual.
        hangs_after: Events after which its answers stop; BEFORE_HEAD, or None: never.
        other_run: The run that its answers to continued runs name, or None.
        id_offset: Added to the ids of the events of runs that continue here.
        copies: Events that arrived of the runs of other targets, by the run's id.
        software_version: Version of its software, from its next start on; the data of
            its events ends with it.
        service: The service that it belongs to.
    """

    def __init__(self, fleet, number):
        self.host = f'target-{number}'
        self.domain = f'd-{number % 2}'
        self.incarnation = ''
        self.rate = None
        self.rejects = False
        self.rejection = REJECTED
        self.reject_stride = 1
        self.retry_after = None
        self.event_factor = 1
        self.break_stride = 0
        self.loss_stride = 0
        self.leaves = False
        self.reports_load = False
        self.cold_until = 0.0
        self.hangs_after = None
        self.answer_seconds = None
        self.id_offset = 0
        self.other_run = None
        self.copies = {}
        self.software_version = ''
        self.service = 'svc'
        self._cold_arrivals = []
        self._request_count = 0
        self._running = 0
        self._fleet = fleet
        self._net = fleet.net
        self._starts = 0
        self._number = number
        self._entry = None
        self._tasks = set()
        self._channels = WeakSet()

    async def start(self):
        """Listen under a new id and register it."""
        self._starts += 1
        self.incarnation = f'i-{self._number}-{self._starts}'
        self._entry = TargetEntry(
            self.incarnation,
            self.service,
            (f'10.1.0.{self._number}', 8_000),
            self.domain,
            100,
            False,
            0,
            software_version=self.software_version,
        )
        await self._listen()
        if self._fleet.started:
            self.become_cold()
        self._register()

    def become_cold(self):
        """Warm up again, if the catalogue says how; the entry doesn't tell yet."""
        warm_up = self._fleet.warm_up
        if warm_up is not None:
            self.cold_until = self._net.time() + warm_up.seconds

    async def _listen(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Channel(self._open), *self._entry.address
        )

    def close(self):
        """Refuse new connections and reset those that are open."""
        self._server.close()
        self.reset()

    def open_again(self):
        """Accept connections again."""
        self._net.start_on(self.host, self._listen())

    def crash(self, restart_seconds=RESTART_SECONDS):
        """Crash at once and restart later at the same address."""
        old_incarnation = self.incarnation
        self._fleet.ends.append((self._net.time(), old_incarnation))
        self.copies.clear()
        self._net.kill(self.host)
        key = TARGET_PREFIX + old_incarnation
        self._net.call_later(ENTRY_LAPSE_SECONDS, self._fleet.service.remove, key)
        self._net.call_later(restart_seconds, self._restart)

    async def leave(self):
        """Drain while serving for some seconds, stop, and restart later."""
        self._entry = replace(self._entry, draining=True)
        self._register()
        await asyncio.sleep(DRAIN_SECONDS)
        self._net.kill(self.host)
        self._fleet.service.remove(TARGET_PREFIX + self.incarnation)
        self._net.call_later(RESTART_SECONDS, self._restart)

    def reset(self):
        """Reset all connections without stopping."""
        for channel in tuple(self._channels):
            channel.abort()

    def _restart(self):
        self._net.start_on(self.host, self.start())

    def write_entry(self):
        """Write its entry once more, unchanged."""
        self._register()

    def remove_entry(self):
        """Remove its entry while it goes on serving."""
        self._fleet.service.remove(TARGET_PREFIX + self.incarnation)

    def _register(self):
        cold_seconds = max(0.0, self.cold_until - self._net.time())
        self._entry = replace(self._entry, cold_seconds=cold_seconds)
        content = msgspec.json.encode(self._entry)
        self._fleet.service.put(TARGET_PREFIX + self.incarnation, content)

    def _open(self, channel):
        self._channels.add(channel)
        incarnation, closed = self.incarnation, self._fleet.closed
        channel.on_lost = lambda: closed.append((self._net.time(), incarnation))
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel):
        reader = RequestReader(channel, Limits())
        try:
            while (request := await reader.read()) is not None:
                if self._is_misdirected(request):
                    channel.write(self._make_head(MISDIRECTED, request))
                    continue
                self._record_arrival(request)
                self._running += 1
                try:
                    await self._answer(request, channel)
                finally:
                    self._running -= 1
        except FleetError:
            # The router reset the connection, so no answer can be sent.
            return

    def _is_misdirected(self, request):
        return request.find(b'expect-instance') != self.incarnation.encode()

    def _record_arrival(self, request):
        find = request.find
        arrival = Arrival(
            self._net.time(),
            self._find_router(request),
            self.incarnation,
            (find(b'attempt-id') or b'').decode(),
            request.body,
        )
        self._fleet.arrivals.append(arrival)
        if arrival.at < self.cold_until:
            self._record_cold_arrival(arrival.at)

    def _record_cold_arrival(self, now):
        """Crash if more requests arrive in a second than a cold target bears."""
        recent = [at for at in self._cold_arrivals if at > now - 1.0]
        self._cold_arrivals = [*recent, now]
        rate = self._fleet.warm_up.rate
        self._fleet.cold_counts.append(len(self._cold_arrivals))
        if len(self._cold_arrivals) > COLD_FACTOR * rate + COLD_SLACK:
            self._fleet.overruns.append((now, self.incarnation))
            self.crash()

    def _make_head(self, template, request):
        """Return a head with the request's id and the rate limit, if there is one."""
        head = template.replace(b'{id}', request.find(b'attempt-id'))
        if self.leaves:
            head = head.replace(SEAL, SEAL + b'Server-Leaving: 1\r\n')
            self._fleet.left.setdefault(
                (self.incarnation, self._find_router(request)), self._net.time()
            )
        if self.reports_load:
            load = b'Worker-Load: %d,0,100\r\n' % self._running
            head = head.replace(SEAL, SEAL + load)
        if self.rate is None:
            return head
        router = self._find_router(request)
        self._fleet.told.setdefault((self.incarnation, router), self._net.time())
        return head.replace(SEAL, SEAL + b'Server-Limit: %.2f\r\n' % self.rate)

    def _find_router(self, request):
        return (request.find(b'x-router') or b'').decode()

    def _reject(self, request):
        """Return a rejection, which may ask for a pause."""
        head = self._make_head(self.rejection, request)
        if self.retry_after is None:
            return head
        self._fleet.pauses.append(
            (self._net.time(), self._find_router(request), self.incarnation)
        )
        line = b'Retry-After: %b\r\n' % self.retry_after
        return head.replace(SEAL, SEAL + line)

    async def _answer(self, request, channel):
        self._request_count += 1
        if self.rejects and self._request_count % self.reject_stride == 0:
            channel.write(self._reject(request))
            return
        if self.loss_stride and self._request_count % self.loss_stride == 0:
            await asyncio.Future()
        if self.break_stride and self._request_count % self.break_stride == 0:
            channel.write(self._make_head(STREAM_HEAD, request))
            channel.abort()
            return
        if request.body.startswith(FATAL):
            channel.write(self._make_head(STREAM_HEAD, request))
            await asyncio.sleep(FATAL_AFTER_SECONDS)
            self.crash()
            return
        if request.body != SLOW and not request.target.startswith(b'/stream/'):
            await asyncio.sleep(self.answer_seconds or PLAIN_ANSWER_SECONDS)
            head = self._make_head(OK, request)
            channel.write(head + b'Content-Length: 1\r\n\r\nx')
            return
        await self._stream(request, channel)

    async def _stream(self, request, channel):
        first = int(request.find(b'last-event-id') or 0) + 1
        offset = 0
        run_id = None
        if request.find(b'kv-from') is not None:
            holds = _holds_copy(self, request)
            self._fleet.continuations.append((self.incarnation, first, holds))
            if not holds:
                channel.write(self._make_head(REJECTED, request))
                return
            offset = self.id_offset
            run_id = self.other_run
        if self.hangs_after == BEFORE_HEAD:
            await _hang(self, BEFORE_HEAD)
        head = STREAM_HEAD if run_id is None else STREAM_HEAD.replace(b'{id}', run_id)
        channel.write(self._make_head(head, request))
        version = self._entry.software_version
        mark = f' {version}' if version else ''
        factor = SLOW_FACTOR if request.body == SLOW else self.event_factor
        for number in range(first, EVENTS + 1):
            await _hang(self, number - 1)
            await asyncio.sleep(EVENT_INTERVAL_SECONDS * factor)
            self._copy_run(request, number)
            channel.write(encode_event(number + offset, mark))
        self._copy_run(request, None)
        channel.write(END)

    @property
    def encoded_address(self):
        """Its address, as requests name it."""
        host, port = self._entry.address
        return b'%b:%d' % (host.encode(), port)

    def _copy_run(self, request, events):
        """Copy a run to the target that its request names, or drop the copy."""
        wanted = request.find(b'kv-backup')
        run_id = request.find(b'attempt-id')
        for target in self._fleet.targets:
            if target.encoded_address == wanted:
                target.copies[run_id] = events
                if events is None:
                    del target.copies[run_id]


def register_as(target, version):
    """Register another target of a version at an address that nobody uses."""
    entry = replace(
        target._entry,
        incarnation=f'{target.incarnation}-{version}',
        address=('10.1.1.1', 8_000),
        software_version=version,
    )
    target._fleet.service.put(
        TARGET_PREFIX + entry.incarnation, msgspec.json.encode(entry)
    )


def register_restart(target, version):
    """Register a target as if it had restarted under its id with another version."""
    restarted_at = target._entry.started_at_ms + 1
    target._entry = replace(
        target._entry, started_at_ms=restarted_at, software_version=version
    )
    target.write_entry()


async def _hang(target, events):
    """Never return if a target hangs after this number of events."""
    if target.hangs_after is not None and events >= target.hangs_after:
        await asyncio.sleep(MAX_RUN_SECONDS)


def _holds_copy(target, request):
    """Whether a target holds the copy that a request names."""
    address, _, run_id = request.find(b'kv-from').partition(b'/')
    return address == target.encoded_address and run_id in target.copies


class FleetRouter:
    """A router on its own host that can be killed and restarted."""

    def __init__(self, fleet, number):
        self.host = f'router-{number}'
        self.address = (f'10.0.0.{number}', 80)
        self.router = None
        self._fleet = fleet
        self._number = number

    def start(self):
        """Start the process."""
        net = self._fleet.net
        self._process = net.start_on(self.host, self._run())

    def kill(self):
        """Kill the process without a shutdown."""
        self._fleet.net.kill(self.host)
        self.router = None

    @property
    def ready(self):
        """Whether the router is ready for callers."""
        return self.router is not None and self.router.is_ready()

    async def _run(self):
        store = self._fleet.service.open_store(self.host)
        adapters = Adapters(
            dialect=_MarkedDialect(self.host),
            open_store=lambda paths, log: store,
            catalogue_key=CATALOGUE_KEY,
            catalogue_prefix='op/',
            evacuation_prefix=EVACUATION_PREFIX,
            target_prefix=TARGET_PREFIX,
            decode_catalogue=lambda item: self._fleet.catalogue,
            decode_target=_decode_target,
            parse_incarnation=lambda key: key.removeprefix(TARGET_PREFIX),
            load_settings=self._build_settings,
        )
        self.router = Router(self._build_settings(), adapters, self._fleet.log)
        await self.router.run()

    def _build_settings(self):
        ip = self.address[0]
        return HostSettings(
            host=self.host,
            domain=f'd-{self._number % 2}',
            peer_address=(ip, 82),
            metrics_address=(ip, 83),
            callers_address=self.address,
            readiness_address=(ip, 81),
            store_address=('10.9.0.1', 1),
            bounds=self._fleet.bounds,
            regions={'d-0': 'r-0', 'd-1': 'r-1'},
            features=self._fleet.features,
        )


class _MarkedDialect(PlatformDialect):
    """Adds a header that names the sending router to targets."""

    def __init__(self, host):
        self._sender_header = (b'x-router', host.encode())

    def encode_send(self, request, call, terms):
        """Return the headers for a target."""
        return (*super().encode_send(request, call, terms), self._sender_header)


class Fleet:
    """Routers, targets, a store and callers.

    Attributes:
        net: The network.
        service: The store.
        routers: Each on its host.
        targets: Each on its host.
        arrivals: All requests that reached targets.
        ends: Loop time and incarnation of each crash of a target.
        answers: Bodies of requests with the answers to them.
        told: Loop time at which an incarnation first named a limit to a router.
        left: Loop time at which an incarnation first told a router that it leaves.
        pauses: Loop time, router and target of each rejection that asks for a pause.
        catalogue: The catalogue of all routers.
        features: The optional parts that are in use at all routers.
        started: Whether targets that start from now on are cold.
        cold_counts: Requests within a second, at each arrival at a cold target.
        overruns: Loop time and incarnation of each cold target that was overrun.
        bounds: The limits that the routers' settings hold.
        closed: Loop time and target of each connection to a target that ended.
        continuations: Target, number of the first event, and whether the copy was
            there, of each request that names a copy.
        request_headers: Lines that callers add to the heads of their requests.
    """

    def __init__(self, net, routers, targets, warm_up=None, features=NO_FEATURES):
        self.net = net
        self.features = features
        self.request_headers = ''
        service = Service('svc', 100, None, warm_up)
        self.catalogue = replace(CATALOGUE, services={'svc': service})
        self.started = False
        self.cold_counts = []
        self.overruns = []
        self.service = MemoryService()
        self.log = EventLog(os.open(os.devnull, os.O_WRONLY))
        self.bounds = BOUNDS
        self.closed = []
        self.continuations = []
        self.arrivals = []
        self.ends = []
        self.answers = []
        self.told = {}
        self.left = {}
        self.pauses = []
        self.routers = [FleetRouter(self, number + 1) for number in range(routers)]
        self.targets = [FleetTarget(self, number + 1) for number in range(targets)]
        self._request_count = 0

    @property
    def now(self):
        """Loop time, seconds."""
        return self.net.time()

    @property
    def warm_up(self):
        """How targets warm up, or None."""
        return self.catalogue.services['svc'].warm_up

    def evacuate(self, domain):
        """Order that nothing more is sent to the targets of a domain."""
        self.service.put(EVACUATION_PREFIX + domain, b'{}')

    def end_evacuation(self, domain):
        """Take an evacuation back."""
        self.service.remove(EVACUATION_PREFIX + domain)

    async def start(self):
        """Start all processes and wait until all routers are ready."""
        self.service.put(CATALOGUE_KEY, b'')
        for target in self.targets:
            await self.net.start_on(target.host, target.start())
        for router in self.routers:
            router.start()
        await asyncio.sleep(START_SECONDS)
        assert all(router.ready for router in self.routers)
        self.started = True

    def count_arrivals(self, target, since, until=math.inf):
        """Return the requests that reached a target in a span, and any target."""
        reached = [
            arrival.target for arrival in self.arrivals if since <= arrival.at < until
        ]
        return reached.count(target.incarnation), len(reached)

    def call(self, coroutine):
        """Start a coroutine on the callers' host."""
        return self.net.start_on(CALLER, coroutine)

    async def press(self, pause, seconds, body, kind='stream'):
        """Send requests at a fixed rate, to each router in turn.

        Args:
            pause: Seconds from one request to the next.
            seconds: Duration.
            body: Body of the requests, or a function that maps their number to it.
            kind: Name of the route.
        """
        until = self.now + seconds
        number = 0
        requests = []
        while self.now < until:
            content = body if isinstance(body, bytes) else body(number)
            router = self.routers[number % len(self.routers)]
            requests.append(self.call(self.ask(router, kind, content)))
            number += 1
            await asyncio.sleep(pause)
        await asyncio.wait(requests)

    async def ask(self, router, kind, body, extra=''):
        """Send a request, with extra headers, to one router; record the answer."""
        self._request_count += 1
        request = (
            f'POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\n'
            f'Attempt-Id: n{self._request_count}\r\nAuthorization: Bearer {KEY}\r\n'
            f'{extra}{self.request_headers}Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        caller = Caller(self, router.address)
        answer = await caller.ask(request + body)
        self.answers.append((body, answer))
        return answer


def make_body(number):
    """Return a body that no other request of a run has."""
    return b'request %d' % number


def run_fleet(
    act,
    routers=4,
    targets=6,
    warm_up=None,
    change_catalogue=None,
    change_fleet=None,
    features=NO_FEATURES,
):
    """Start a fleet, run a coroutine on it, and return it.

    Args:
        act: Coroutine function that gets the running fleet.
        routers: Number of routers.
        targets: Number of targets.
        warm_up: How targets warm up that start while the fleet runs, or None.
        change_catalogue: Function that returns a changed catalogue, or None.
        change_fleet: Function that changes the fleet before its start, or None.
        features: The optional parts that are in use at all routers.
    """

    async def play(net):
        random.seed(1)
        fleet = Fleet(net, routers, targets, warm_up, frozenset(features))
        if change_catalogue is not None:
            fleet.catalogue = change_catalogue(fleet.catalogue)
        if change_fleet is not None:
            change_fleet(fleet)
        clock = SimpleNamespace(
            clock_gettime=lambda clock_id: net.time(), CLOCK_BOOTTIME=0
        )
        # Leases are computed from the machine's clock, which virtual time doesn't move.
        with (
            mock.patch('ibisport_fleet.clocks.time', clock),
            mock.patch('ibisport_fleet.datagrams.DatagramSocket', VirtualDatagrams),
        ):
            async with asyncio.timeout(MAX_RUN_SECONDS):
                await fleet.start()
                await act(fleet)
        return fleet

    return run_on_net(play)


def _decode_target(item):
    entry = msgspec.json.decode(item.content, type=TargetEntry)
    return replace(entry, revision=item.revision)
