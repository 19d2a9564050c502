"""A site on the loopback network: store, links, targets, routers and relays."""

import asyncio
import os
import random
import socket
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

from ibisport_bench.soak.callers import SITE_HOST
from ibisport_bench.soak.catalogue_variations import Variation
from ibisport_bench.soak.evidence import Cause, Journal, Kind, read_clock
from ibisport_bench.soak.links import Address, Link
from ibisport_bench.soak.processes import Host
from ibisport_bench.soak.targets import (
    COPY_LIFETIME_SECONDS,
    VERSIONS,
    CopyStore,
    Target,
)
from ibisport_bench.standins.memory_store import MemoryService
from ibisport_fleet.catalogue import (
    Catalogue,
    Engine,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    WarmUp,
    Workspace,
)
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.settings import Bounds, HostSettings
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.records import CATALOGUE_KEY
from ibisport_platform.stand_in_records import encode_catalogue
from ibisport_platform.store_server import StoreServer

GRACE_SECONDS = 8.0
RELAYS = 2
PLAIN_TARGETS = 3
ENGINES = 4
PLAIN, ENGINE = 'plain', 'engine'
PLAIN_SLOTS, ENGINE_SLOTS = 64, 40
# A workspace that may run out of tokens.
TIGHT = 'tight'
ENGINE_MEMORY = 100_000
# Slow enough that engines fetch no cached parts from each other.
COPY_SECONDS_PER_TOKEN = 1e-5
DOMAINS = ('domain-1', 'domain-2', 'domain-3')
ROUTE_TIME_LIMIT_SECONDS = 20.0
MAX_TARGETS = 3
# The rate is below an even share of the load, so a target that counts as idle is
# overrun.
WARM_UP = WarmUp(seconds=3.0, rate=2.0)
STORE_POLL_SECONDS = 0.1
# Ports of each host, in this order: callers, readiness, peers, metrics, link, target.
PORTS_PER_HOST = 6
FIRST_PORT_RANGE = (20_000, 30_000)
# Networks in 127.0.0.0/8 from which a run picks one by its process id, so that runs at
# the same time rarely share addresses.
MAX_NETWORKS = 250
BOUNDS = Bounds(
    retry_ratio=0.1, retry_slack=20, retry_window=10, stop_grace=GRACE_SECONDS
)
ROUTE_KINDS = {
    Kind.read: (RouteKind.idempotent, PLAIN),
    Kind.once: (RouteKind.once, PLAIN),
    Kind.talk: (RouteKind.stream, ENGINE),
    Kind.resume: (RouteKind.stream, ENGINE),
}


class Site:
    """The store, hosts, targets and links of one run.

    Attributes:
        service: The in-memory store.
        routers: Hosts of routers.
        relays: Hosts of relays.
        targets: Targets of both services.
        store_links: The loopback proxy between each router and the store.
        keys: Pairs of a workspace and its key.
    """

    def __init__(
        self,
        routers: int,
        seed: int,
        folder: Path,
        journal: Journal,
        warm_up: WarmUp | None = WARM_UP,
        versions: Sequence[str] = VERSIONS,
    ) -> None:
        self._random = random.Random(f'site {seed}')
        self._network = f'127.{2 + os.getpid() % MAX_NETWORKS}'
        self._port = find_free_ports(self._random, f'{self._network}.1.1')
        self._folder = folder
        self._journal = journal
        self._version = 1
        self._variation = Variation()
        self._variation_random = random.Random(f'variation {seed}')
        self._copies = CopyStore()
        self._warm_up = warm_up
        self._versions = versions
        self.service = MemoryService(seed)
        self._server = StoreServer(
            self.service.open_store('all'), EventLog(os.open(os.devnull, os.O_WRONLY))
        )
        self.store_links: dict[str, Link] = {}
        self.keys = [(name, f'key-{name}') for name in journal.budgets]
        self.routers = [
            self._make_host('router', f'{self._network}.1.{index + 1}', index)
            for index in range(routers)
        ]
        self.relays = [
            self._make_host('relay', f'{self._network}.2.{index + 1}', index)
            for index in range(RELAYS)
        ]
        self.targets = [
            self._make_target(index) for index in range(PLAIN_TARGETS + ENGINES)
        ]

    @property
    def hosts(self) -> list[Host]:
        """All hosts, of routers and of relays."""
        return [*self.routers, *self.relays]

    async def open(self) -> None:
        """Start the store, links, targets and hosts."""
        loop = asyncio.get_running_loop()
        await loop.create_server(
            self._server.connections.accept, *self._get_store_address()
        )
        self.publish()
        for link in self.store_links.values():
            await link.open()
        for target in self.targets:
            await target.start()
        for host in self.hosts:
            await host.launch()

    async def wait_for_store(self) -> None:
        """Wait until the store accepts writes."""
        while self.service.faults.down:
            await asyncio.sleep(STORE_POLL_SECONDS)

    def publish(self) -> int:
        """Write the next version of the catalogue, as an operator does."""
        if self._journal.versions:
            self._variation = self._variation.vary(self._variation_random, [TIGHT])
        self._version += self._random.randint(1, 3)
        catalogue = self._make_catalogue(self._version, self._variation)
        self.service.put(CATALOGUE_KEY, encode_catalogue(catalogue))
        self._journal.versions[self._version] = read_clock()
        self._journal.catalogues[self._version] = catalogue
        fault = self._journal.record_fault(Cause.catalogue, 'all', f'{self._version}')
        fault.ended = read_clock()
        return self._version

    def _get_store_address(self) -> Address:
        return f'{self._network}.4.1', self._port

    def _make_host(self, role: str, ip: str, index: int) -> Host:
        port = self._port
        link = Link(
            f'store of {role}-{index + 1}', (ip, port + 4), self._get_store_address()
        )
        is_router = role == 'router'
        settings = HostSettings(
            host=f'{role}-{index + 1}',
            domain=DOMAINS[index % len(DOMAINS)],
            peer_address=(ip, port + 2),
            metrics_address=(ip, port + 3),
            callers_address=(ip, port) if is_router else None,
            readiness_address=(ip, port + 1) if is_router else None,
            store_address=link.listen_address
            if is_router
            else self._get_store_address(),
            bounds=BOUNDS,
        )
        if is_router:
            self.store_links[settings.host] = link
        return Host(role, settings, self._folder, self._journal)

    def _make_target(self, index: int) -> Target:
        ip = f'{self._network}.2.{index + 1}'
        service = PLAIN if index < PLAIN_TARGETS else ENGINE
        name = f'{service}-{index + 1}'
        link = Link(f'link of {name}', (ip, self._port + 4), (ip, self._port + 5))
        entry = TargetEntry(
            incarnation=name,
            service=service,
            address=link.listen_address,
            domain=DOMAINS[index % len(DOMAINS)],
            slots=PLAIN_SLOTS if service == PLAIN else ENGINE_SLOTS,
            draining=False,
            revision=0,
            software_version=self._versions[index % len(self._versions)],
        )
        return Target(
            entry,
            link,
            self.service,
            self._journal,
            self._warm_up,
            self._copies,
            self._versions,
        )

    def _make_catalogue(self, version: int, variation: Variation) -> Catalogue:
        routes = make_routes(variation)
        # Only this version has this route: probes show whether a router applies it.
        probe_route = make_route(
            'mark', f'/mark/{version}/', RouteKind.idempotent, PLAIN
        )
        probe_route = replace(probe_route, public=True, time_limit=variation.time_limit)
        engine = Engine(
            ENGINE_SLOTS,
            ENGINE_MEMORY,
            1,
            COPY_SECONDS_PER_TOKEN,
            backups=True,
            copy_lifetime_seconds=COPY_LIFETIME_SECONDS,
        )
        return Catalogue(
            version=version,
            revision=0,
            routes=(probe_route, *routes),
            services={
                PLAIN: Service(PLAIN, 0, None, self._warm_up),
                ENGINE: Service(ENGINE, 0, engine, self._warm_up),
            },
            workspaces={
                name: Workspace(name, None, int(budget * variation.budget_share))
                for name, budget in self._journal.budgets.items()
                if name not in variation.absent
            },
            keys={key: name for name, key in self.keys if name not in variation.absent},
            needs_keys=True,
            limits=variation.limits,
        )


def make_routes(variation: Variation) -> list[Route]:
    """Return the routes of a version, without the one for its probes."""
    names = {kind.value: kind for kind in ROUTE_KINDS}
    routes = [
        replace(
            make_route(name, f'/{name}/', *ROUTE_KINDS[kind]),
            resumable=kind is Kind.resume,
            time_limit=variation.time_limit,
        )
        for name, kind in names.items()
        if name not in variation.absent
    ]
    share = variation.engine_share
    moved = (ServiceShare(PLAIN, 1.0 - share), ServiceShare(ENGINE, share))
    present = tuple(part for part in moved if part.weight)
    routes = [
        route if names[route.name].streams else replace(route, shares=present)
        for route in routes
    ]
    return routes + [
        make_route(f'idle-{number}', f'/idle-{number}/', RouteKind.once, PLAIN)
        for number in range(variation.idle_routes)
    ]


def make_route(name: str, prefix: str, kind: RouteKind, service: str) -> Route:
    """Return a route of the site that isn't public or resumable."""
    return Route(
        name=name,
        host=SITE_HOST,
        prefix=prefix,
        kind=kind,
        shares=(ServiceShare(service, 1.0),),
        time_limit=ROUTE_TIME_LIMIT_SECONDS,
        objective=1.0,
        rank=1,
        max_targets=MAX_TARGETS,
        public=False,
        resumable=False,
    )


def find_free_ports(random_source: random.Random, ip: str) -> int:
    """Return the first of PORTS_PER_HOST consecutive ports that are free."""
    while True:
        first = random_source.randrange(*FIRST_PORT_RANGE)
        try:
            for port in range(first, first + PORTS_PER_HOST):
                socket.create_server((ip, port)).close()
        except OSError:
            continue
        return first
