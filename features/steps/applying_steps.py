"""Steps on large catalogue changes and how soon they reach the routers."""

import asyncio
import itertools
import json
import random

from behave import given, then, when
from domains import TEST_TIMEOUT_SECONDS, FailureDomain, RecordingSubscriber
from followers import open_null_log

from ibisport_bench.memory_transport import Link
from ibisport_bench.virtual_network import run_on_net
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.errors import HistoryLost
from ibisport_fleet.prefix_watch import PrefixWatch
from ibisport_fleet.store import Item, Listing
from ibisport_fleet.store_contact import StoreContact
from ibisport_fleet.watch_schedule import plan_router_watch
from ibisport_platform.records import CATALOGUE_KEY, CATALOGUE_PREFIX

MAX_PROPAGATION_SECONDS = 3.0
ROUTER_COUNT = 12
RELAY_COUNT = 2
LETTERS = 'abcdefghijklmnopqrstuvwxyz0123456789'
# Revisions of consecutive listings of the replica.
LISTED_REVISIONS = (9, 4, 4, 12)
KINDS = ('idempotent', 'non_idempotent', 'streaming')


def make_catalogue(version, routes):
    """Return a version of a catalogue with this many routes."""
    rng = random.Random(version)

    def draw_name():
        return ''.join(rng.choices(LETTERS, k=7))

    entries = [
        {
            'name': f'r-{draw_name()}',
            'host': f'{draw_name()}.example',
            'path': f'/{draw_name()}/',
            'kind': rng.choice(KINDS),
            'service': draw_name(),
            'maxAttempts': 2,
            'timeoutMs': rng.randrange(1_000, 9_000),
            'targetLatencyMs': rng.randrange(100, 900),
            'priority': 1,
        }
        for _ in range(routes)
    ]
    return json.dumps({'version': version, 'routes': entries}).encode()


def _run_domain(context, act):
    async def run(net):
        domain = FailureDomain(
            net, ROUTER_COUNT, RELAY_COUNT, CATALOGUE_PREFIX, MAX_PROPAGATION_SECONDS
        )
        context.domain = domain
        domain.service.put(CATALOGUE_KEY, make_catalogue(1, context.routes))
        await domain.open()
        for hosts, rate in context.rates.items():
            source, destination = hosts
            relay = domain.find_preferred_relay()
            net.links[
                _resolve_host(source, relay), _resolve_host(destination, relay)
            ] = Link(rate=rate)
        if context.cut:
            domain.drop_traffic(context.cut, ['store'])
        context.settled_at = net.time()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await act(domain)
            await asyncio.sleep(2 * MAX_PROPAGATION_SECONDS)

    run_on_net(run)


def _resolve_host(host, preferred_relay):
    return preferred_relay if host == 'relay' else host


@given('routers and relays that watch a catalogue of {routes:d} routes')
def plan(context, routes):
    context.routes, context.rates, context.cut = routes, {}, ''


@given('their preferred relay receives {rate:d} bytes per second from the store')
def slow_relay(context, rate):
    context.rates['store', 'relay'] = rate


@given('one router receives {rate:d} bytes per second from the relay')
def slow_router(context, rate):
    context.rates['relay', 'router-0'] = rate


@given('all relays receive {rate:d} bytes per second from the store')
def slow_relays(context, rate):
    context.rates.update(
        {('store', f'relay-{number}'): rate for number in range(RELAY_COUNT)}
    )


@given('all routers receive {rate:d} bytes per second from the store and the relays')
def slow_routers(context, rate):
    sources = ['store', *(f'relay-{number}' for number in range(RELAY_COUNT))]
    routers = [f'router-{number}' for number in range(ROUTER_COUNT)]
    context.rates.update(dict.fromkeys(itertools.product(sources, routers), rate))


@given('a new router is cut off from the store')
def cut_start(context):
    context.cut = 'router-new'


@given('a new router receives {rate:d} bytes per second from the store')
def slow_start(context, rate):
    context.rates['store', 'router-new'] = rate


@when('the catalogue changes')
@when('it grows to {routes:d} routes')
def change(context, routes=0):
    async def act(domain):
        content = make_catalogue(2, routes or context.routes)
        domain.service.put(CATALOGUE_KEY, content)
        context.changed_at = domain.now

    _run_domain(context, act)


@when(
    'it grows to {routes:d} routes while their preferred relay is cut off '
    'from the store'
)
def grow_behind_cut(context, routes):
    async def act(domain):
        domain.drop_traffic(domain.find_preferred_relay(), ['store'])
        domain.service.put(CATALOGUE_KEY, make_catalogue(2, routes))
        context.changed_at = domain.now

    _run_domain(context, act)


@when('the new router starts')
def start(context):
    async def act(domain):
        context.changed_at = domain.now
        domain.start_router('router-new')

    _run_domain(context, act)


@then('each router has the newest catalogue within {bound:d} seconds')
def check_in_time(context, bound):
    newest = context.domain.service.items[CATALOGUE_KEY].revision
    late = {
        host: subscriber.find_seen_at(newest) - context.changed_at
        for host, subscriber in context.domain.routers.items()
        if subscriber.find_seen_at(newest) - context.changed_at > bound
    }
    assert not late, late


@then('no router listed it at the store')
def check_listings(context):
    listed = [
        when for when in context.domain.store.listed_at if when > context.settled_at
    ]
    assert not listed, len(listed)


class LaggingStore:
    """A store whose listings come from a lagging replica."""

    def __init__(self):
        self._listings = iter(LISTED_REVISIONS)
        self.listed = asyncio.Event()

    async def scan(self, prefix, *, shared):
        """Return a listing; the second and the third have an older revision."""
        revision = next(self._listings, 0)
        if not revision:
            self.listed.set()
            await asyncio.sleep(TEST_TIMEOUT_SECONDS)
        return Listing((Item('op/key', b'%d' % revision, revision),), revision)

    async def watch(self, prefix, after, options):
        """Fail each watch, so that the prefix is listed again."""
        raise HistoryLost(prefix)


@given('a store whose listings come from a lagging replica')
def open_lagging(context):
    context.open_store = LaggingStore


@when('a router lists the catalogue repeatedly')
def list_again(context):
    async def run():
        store, context.subscriber = context.open_store(), RecordingSubscriber()
        contact = StoreContact(0.0)
        watch = PrefixWatch(
            store,
            CATALOGUE_PREFIX,
            context.subscriber,
            open_null_log(),
            contact,
            lambda: plan_router_watch(1, 1, MAX_PROPAGATION_SECONDS),
        )
        task = asyncio.create_task(watch.run(int))
        await store.listed.wait()
        task.cancel()

    run_virtually(run())


@then('it never applies an older revision than it had')
def check_order(context):
    applied = [revision for _, revision in context.subscriber.revisions]
    assert applied == sorted(applied), applied


@then('it applies the newer revision')
def check_newest(context):
    assert context.subscriber.revisions[-1][1] == max(LISTED_REVISIONS), (
        context.subscriber.revisions
    )
