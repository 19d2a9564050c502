"""Shared fixtures: routers and crashing targets on one network in virtual time."""

import asyncio
import math
import os
import random
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import msgspec
from fleet_targets import MAX_RUN_SECONDS, TARGET_PREFIX, FleetTarget
from running_router import (
    CALLER,
    GRACE_SECONDS,
    KEY,
    Caller,
    make_route,
)

from ibisport_bench.standins.memory_store import MemoryService
from ibisport_bench.virtual_network import VirtualDatagrams, run_on_net
from ibisport_fleet.adapters import Adapters
from ibisport_fleet.catalogue import (
    Catalogue,
    RouteKind,
    Service,
    Workspace,
)
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.router import Router
from ibisport_fleet.settings import Bounds, HostSettings
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.headers import PlatformDialect

BOUNDS = Bounds(1.0, 100.0, 10.0, GRACE_SECONDS)
START_SECONDS = 12.0
# From the end of a process to its next start.
RESTART_SECONDS = 0.5
NO_FEATURES = frozenset()
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

    async def restart(self, signal):
        """Stop the process as the platform does, and start it again.

        Args:
            signal: SIGTERM, which SIGKILL follows after the grace period, or SIGKILL.
        """
        if signal == 'SIGTERM':
            self.router.stop()
            await asyncio.wait((self._process,), timeout=GRACE_SECONDS)
        self.kill()
        await asyncio.sleep(RESTART_SECONDS)
        self.start()

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
            first_start=self._fleet.first_start and not self._fleet.started,
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
        fatal_ends: Loop time of each crash that a request caused.
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
        first_start: Whether routers may take a missing page of builds for a site that
            has never run.
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
        self.first_start = False
        self.closed = []
        self.continuations = []
        self.arrivals = []
        self.ends = []
        self.fatal_ends = []
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

    async def restart_routers(self, down_seconds):
        """Kill all routers at once, and start them again after some seconds."""
        for router in self.routers:
            router.kill()
        await asyncio.sleep(down_seconds)
        for router in self.routers:
            router.start()

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
            body: Body of the requests, or a function that maps their number to it,
                or to it and additional lines of the head.
            kind: Name of the route.
        """
        until = self.now + seconds
        number = 0
        requests = []
        while self.now < until:
            content = body if isinstance(body, bytes) else body(number)
            message = content if isinstance(content, tuple) else (content, '')
            router = self.routers[number % len(self.routers)]
            requests.append(self.call(self.ask(router, kind, *message)))
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
