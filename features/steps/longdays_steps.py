"""Steps for what a router keeps of targets, entries and routes that are gone."""

import asyncio
import gc
import os
import tracemalloc
from functools import partial

from behave import then, when

from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.connection_pool import IDLE_MARGIN_SECONDS, ConnectionPool
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.metrics import Metrics
from ibisport_fleet.store import Item, Listing, Removal
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.records import (
    TARGET_PREFIX,
    decode_target,
    parse_incarnation,
)
from ibisport_platform.stand_in_records import encode_target

ODD_CONTENT = b'{"zone": 1}' + b' ' * 500
MAX_GROWTH_BYTES = 60_000
PORT = 28_871
REST_SECONDS = 0.3
# Longer than the interval at which a pool looks for connections to close.
CLOSE_INTERVAL_SECONDS = 1.2
TIMEOUT_SECONDS = 5.0


class _Subjects:
    """A router's copy of the targets' list, and its metrics."""

    def __init__(self):
        log = EventLog(os.open(os.devnull, os.O_WRONLY))
        self._view = TargetView(decode_target, parse_incarnation, log)
        self._metrics = Metrics()
        self._revision = 0

    def come_and_go(self, kind, count):
        """Let targets, odd entries or routes come and go, one after the other."""
        act = getattr(self, '_let_{}'.format(kind.replace(' ', '_')))
        for _ in range(count):
            self._revision += 1
            act(self._revision)

    def _let_targets(self, number):
        self._write(*encode_target(_make_entry(number), number))

    def _let_odd_entries(self, number):
        self._write(f'{TARGET_PREFIX}i-{number}', ODD_CONTENT + b'%d' % number)

    def _let_missed_removals(self, number):
        self._revision += 1
        key = f'{TARGET_PREFIX}i-{number}'
        entry = _make_entry(number)
        self._view.apply_change(Item(*encode_target(entry, number), number), 0.0)
        self._view.apply_change(Item(key, ODD_CONTENT, self._revision), 0.0)
        self._view.apply_listing(Listing((), self._revision), 0.0)

    def _let_routes(self, number):
        self._metrics.count_request('w', f'r-{number}', 'served')
        self._metrics.observe_first_byte('w', f'r-{number}', 0.1)
        self._metrics.observe_duration('w', f'r-{number}', 0.1)

    def _write(self, key, content):
        self._view.apply_change(Item(key, content, self._revision), 0.0)
        self._view.apply_change(Removal(key, self._revision), 0.0)


def _make_entry(number):
    address = ('127.0.0.1', PORT)
    return TargetEntry(f'i-{number}', 's', address, 'd', 4, False, number, number)


@when('{count:d} {kind} come and go, twice')
def measure(context, count, kind):
    async def act():
        subjects, sizes = _Subjects(), []
        for _ in range(2):
            subjects.come_and_go(kind, count)
            gc.collect()
            sizes.append(tracemalloc.get_traced_memory()[0])
        return sizes

    tracemalloc.start()
    try:
        context.sizes = run_virtually(act())
    finally:
        tracemalloc.stop()


@then('the second time leaves no more memory in use')
def check_memory(context):
    first, second = context.sizes
    assert second - first < MAX_GROWTH_BYTES, f'{second - first} bytes more'


@when('connections to {count:d} targets have rested past their idle limit')
def rest_connections(context, count):
    context.open_connections = asyncio.run(_rest_connections(count))


class _Peer(asyncio.Protocol):
    """Keeps connections open until the other side closes them."""

    def __init__(self, transports):
        self._transports = transports
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport
        self._transports.add(transport)

    def connection_lost(self, error):
        self._transports.discard(self._transport)


async def _rest_connections(count):
    """Return how many connections the targets see open at the end."""
    loop, transports, pool = asyncio.get_running_loop(), set(), ConnectionPool()
    make_peer = partial(_Peer, transports)
    addresses = [(f'127.0.7.{number + 1}', PORT) for number in range(count)]
    for address in addresses:
        await loop.create_server(make_peer, *address)
        connection = await pool.open(address, loop.time() + TIMEOUT_SECONDS)
        pool.release(connection, IDLE_MARGIN_SECONDS + REST_SECONDS)
    await asyncio.sleep(CLOSE_INTERVAL_SECONDS + REST_SECONDS)
    last = await pool.open(addresses[-1], loop.time() + TIMEOUT_SECONDS)
    pool.release(last, IDLE_MARGIN_SECONDS + TIMEOUT_SECONDS)
    await asyncio.sleep(REST_SECONDS)
    return len(transports)


@then('only the connection that was released last is open')
def check_connections(context):
    assert context.open_connections == 1, context.open_connections
