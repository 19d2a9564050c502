"""A failure domain on a network in memory: routers, relays and the store."""

import asyncio
import itertools

from followers import open_null_log

from ibisport_bench.memorytransport import Link
from ibisport_bench.standins.memorystore import MemoryService, MemoryStore
from ibisport_fleet.prefix_watch import PrefixWatch
from ibisport_fleet.relay import Relay, RelayAdapters
from ibisport_fleet.settings import Bounds, HostSettings
from ibisport_fleet.store_contact import StoreContact
from ibisport_fleet.store_paths import RelayEndpoint, StorePaths
from ibisport_fleet.watch_schedule import plan_router_watch
from ibisport_platform.records import TARGET_PREFIX
from ibisport_platform.store import PlatformStore
from ibisport_platform.store_server import StoreServer
from ibisport_platform.watch_codec import PlatformWatchCodec

STORE = ('10.0.0.1', 80)
PEER_PORT = 7200
DOMAIN = 'domain-1'
MAX_PROPAGATION_SECONDS = 2.0
SILENT_LINK = Link(delay=1_000_000.0)
SETTLING_SECONDS = 2.0
# Longer than any play; it ends a test that would hang.
TEST_TIMEOUT_SECONDS = 60.0


class CountingStore(MemoryStore):
    """Counts the watches and listings that are asked for, with their times."""

    def __init__(self, service, caller):
        super().__init__(service, caller)
        self.watched_at = []
        self.listed_at = []

    async def scan(self, prefix, *, stale=False, shared=False):
        """Count a listing and return it."""
        self.listed_at.append(asyncio.get_running_loop().time())
        return await super().scan(prefix, stale=stale, shared=shared)

    async def watch(self, prefix, after, terms):
        """Count a watch and wait for it."""
        self.watched_at.append(asyncio.get_running_loop().time())
        return await super().watch(prefix, after, terms)


class RecordingSubscriber:
    """What one router knows, and since when."""

    def __init__(self):
        self.first_seen_at = {}
        self.revisions = []

    def apply_listing(self, listing, doubtful_until):
        """Take all keys."""
        for item in listing.items:
            self.apply_change(item, doubtful_until)

    def apply_change(self, change, doubtful_until):
        """Note when a key was heard of first, and each revision."""
        now = asyncio.get_running_loop().time()
        self.first_seen_at.setdefault(change.key, now)
        self.revisions.append((now, change.revision))

    def find_seen_at(self, revision):
        """Return when this revision or a newer one was heard of first."""
        return min(
            (when for when, one in self.revisions if one >= revision),
            default=TEST_TIMEOUT_SECONDS,
        )


class FailureDomain:
    """A failure domain: routers, relays, and the store outside of it.

    Attributes:
        vacant: Addresses of hosts that are listed and have no relay.
    """

    def __init__(
        self, net, routers, relays, prefix=TARGET_PREFIX, bound=MAX_PROPAGATION_SECONDS
    ):
        self.net = net
        self.max_delay = bound
        self.prefix = prefix
        self.service = MemoryService()
        self.store = CountingStore(self.service, 'all')
        self.relays = {f'relay-{one}': f'10.0.1.{one}' for one in range(relays)}
        self.hosts_without_relay = []
        self.routers = {
            f'router-{one}': RecordingSubscriber() for one in range(routers)
        }
        self.written_at = {}
        self._names = itertools.count()

    @property
    def now(self):
        """The loop's time."""
        return self.net.time()

    async def open(self):
        """Start all, and wait until each router follows."""
        server = StoreServer(self.store, open_null_log())
        await self._listen('store', STORE, server.connections.accept)
        for host, address in self.relays.items():
            relay = self._make_relay(host, address)
            place = (address, PEER_PORT)
            await self._listen(host, place, relay.connections.accept)
        for host in self.routers:
            self.start_router(host)
        await asyncio.sleep(SETTLING_SECONDS)

    def start_router(self, host):
        """Let a router follow the prefix."""
        self.net.start_on(
            host, self._follow(self.routers.setdefault(host, RecordingSubscriber()))
        )

    async def change(self, count, seconds):
        """Write new keys, one after another."""
        for _ in range(count):
            key = f'{self.prefix}{next(self._names)}'
            self.service.put(key, b'x')
            self.written_at[key] = self.now
            await asyncio.sleep(seconds / count)

    def silence(self, host, others):
        """Let nothing pass any more between a host and others."""
        for other in others:
            self.net.links[host, other] = self.net.links[other, host] = SILENT_LINK

    def restore_links(self):
        """Let everything pass again."""
        self.net.links.clear()

    def find_preferred_relay(self):
        """Return the relay that the routers ask first."""
        ways = self._open_paths().list_shared_paths(self.prefix, self.now)
        return next(
            host for host, address in self.relays.items() if address == ways[0][0]
        )

    def list_late(self):
        """Return what was known too late or never, by router and key."""
        return [
            (host, key, heard.first_seen_at.get(key, TEST_TIMEOUT_SECONDS) - written)
            for host, heard in self.routers.items()
            for key, written in self.written_at.items()
            if heard.first_seen_at.get(key, TEST_TIMEOUT_SECONDS) - written
            > self.max_delay
        ]

    async def _listen(self, host, address, accept):
        async def listen():
            await self.net.create_server(accept, *address)

        await self.net.start_on(host, listen())

    def _make_relay(self, host, address):
        bounds = Bounds(0.2, 10, 10.0, 8.0, self.max_delay)
        place = (address, PEER_PORT)
        settings = HostSettings(host, DOMAIN, place, place, None, None, STORE, bounds)
        paths = StorePaths(STORE, DOMAIN, tuple)
        adapters = RelayAdapters(
            lambda log: PlatformStore(paths, log), PlatformWatchCodec()
        )
        return Relay(settings, adapters, open_null_log())

    def _open_paths(self):
        return StorePaths(STORE, DOMAIN, self._list_relay_endpoints)

    def _list_relay_endpoints(self):
        listed = (*self.relays.values(), *self.hosts_without_relay)
        return [RelayEndpoint((address, PEER_PORT), DOMAIN) for address in listed]

    async def _follow(self, heard):
        contact = StoreContact(self.now)
        watch = PrefixWatch(
            PlatformStore(self._open_paths(), open_null_log()),
            self.prefix,
            heard,
            open_null_log(),
            contact,
            lambda: plan_router_watch(len(self.routers), 1, self.max_delay),
        )
        await watch.run(int)
