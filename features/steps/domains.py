"""A failure domain on an in-memory network: routers, relays and the store."""

import asyncio
import itertools

from followers import open_null_log

from ibisport_bench.memory_transport import Link
from ibisport_bench.standins.memory_store import MemoryService, MemoryStore
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
# Longer than any test run; ends a test that would hang.
TEST_TIMEOUT_SECONDS = 60.0


class CountingStore(MemoryStore):
    """Records when watches and listings are requested."""

    def __init__(self, service, caller):
        super().__init__(service, caller)
        self.watched_at = []
        self.listed_at = []

    async def scan(self, prefix, *, stale=False, shared=False):
        """Record the time of a listing and return it."""
        self.listed_at.append(asyncio.get_running_loop().time())
        return await super().scan(prefix, stale=stale, shared=shared)

    async def watch(self, prefix, after, options):
        """Record the time of a watch and wait for it."""
        self.watched_at.append(asyncio.get_running_loop().time())
        return await super().watch(prefix, after, options)


class RecordingSubscriber:
    """Records when a router first received each key and each revision."""

    def __init__(self):
        self.first_seen_at = {}
        self.revisions = []

    def apply_listing(self, listing, doubtful_until):
        """Record all keys."""
        for item in listing.items:
            self.apply_change(item, doubtful_until)

    def apply_change(self, change, doubtful_until):
        """Record the key, if it is new, and the revision."""
        now = asyncio.get_running_loop().time()
        self.first_seen_at.setdefault(change.key, now)
        self.revisions.append((now, change.revision))

    def find_seen_at(self, revision):
        """Return when this revision or a newer one was first received."""
        return min(
            (when for when, seen in self.revisions if seen >= revision),
            default=TEST_TIMEOUT_SECONDS,
        )


class FailureDomain:
    """A failure domain with routers and relays, and the store outside of it.

    Attributes:
        hosts_without_relay: Addresses of listed hosts that run no relay.
    """

    def __init__(
        self,
        net,
        routers,
        relays,
        prefix=TARGET_PREFIX,
        max_delay=MAX_PROPAGATION_SECONDS,
    ):
        self.net = net
        self.max_delay = max_delay
        self.prefix = prefix
        self.service = MemoryService()
        self.store = CountingStore(self.service, 'all')
        self.relays = {
            f'relay-{number}': f'10.0.1.{number}' for number in range(relays)
        }
        self.hosts_without_relay = []
        self.routers = {
            f'router-{number}': RecordingSubscriber() for number in range(routers)
        }
        self.written_at = {}
        self._names = itertools.count()

    @property
    def now(self):
        """The current loop time."""
        return self.net.time()

    async def open(self):
        """Start all processes and wait until each router watches the prefix."""
        server = StoreServer(self.store, open_null_log())
        await self._listen('store', STORE, server.connections.accept)
        for host, address in self.relays.items():
            relay = self._make_relay(host, address)
            peer_address = (address, PEER_PORT)
            await self._listen(host, peer_address, relay.connections.accept)
        for host in self.routers:
            self.start_router(host)
        await asyncio.sleep(SETTLING_SECONDS)

    def start_router(self, host):
        """Start a router that watches the prefix."""
        self.net.start_on(
            host, self._watch(self.routers.setdefault(host, RecordingSubscriber()))
        )

    async def change(self, count, seconds):
        """Write new keys one after another, evenly over the given time."""
        for _ in range(count):
            key = f'{self.prefix}{next(self._names)}'
            self.service.put(key, b'x')
            self.written_at[key] = self.now
            await asyncio.sleep(seconds / count)

    def drop_traffic(self, host, others):
        """Drop all traffic between a host and others."""
        for other in others:
            self.net.links[host, other] = self.net.links[other, host] = SILENT_LINK

    def restore_links(self):
        """Restore all links."""
        self.net.links.clear()

    def find_preferred_relay(self):
        """Return the relay that the routers try first."""
        paths = self._open_paths().list_shared_paths(self.prefix, self.now)
        return next(
            host for host, address in self.relays.items() if address == paths[0][0]
        )

    def list_late(self):
        """Return the keys that a router received too late or never, with the delay."""
        return [
            (
                host,
                key,
                subscriber.first_seen_at.get(key, TEST_TIMEOUT_SECONDS) - written,
            )
            for host, subscriber in self.routers.items()
            for key, written in self.written_at.items()
            if subscriber.first_seen_at.get(key, TEST_TIMEOUT_SECONDS) - written
            > self.max_delay
        ]

    async def _listen(self, host, address, accept):
        async def listen():
            await self.net.create_server(accept, *address)

        await self.net.start_on(host, listen())

    def _make_relay(self, host, address):
        bounds = Bounds(0.2, 10, 10.0, 8.0, self.max_delay)
        peer_address = (address, PEER_PORT)
        settings = HostSettings(
            host, DOMAIN, peer_address, peer_address, None, None, STORE, bounds
        )
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

    async def _watch(self, subscriber):
        contact = StoreContact(self.now)
        watch = PrefixWatch(
            PlatformStore(self._open_paths(), open_null_log()),
            self.prefix,
            subscriber,
            open_null_log(),
            contact,
            lambda: plan_router_watch(len(self.routers), 1, self.max_delay),
        )
        await watch.run(int)
