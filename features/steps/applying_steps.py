"""Steps on large changes of the catalogue, and how soon they are in force."""

import asyncio
import itertools
import json
import random

from behave import given, then, when
from domains import TEST_TIMEOUT_SECONDS, FailureDomain, RecordingSubscriber
from followers import open_null_log

from ibisport_bench.memorytransport import Link
from ibisport_bench.virtualnet import run_on_net
from ibisport_bench.virtualtime import run_virtually
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
# Revisions of a replica's listings, one after another.
LISTED_REVISIONS = (9, 4, 4, 12)
KINDS = ('idempotent', 'non_idempotent', 'streaming')


def make_catalogue(version, routes):
    """Return a version of a catalogue as long as one with so many routes is."""
    rng = random.Random(version)

    def draw():
        return ''.join(rng.choices(LETTERS, k=7))

    listed = [
        {
            'name': f'r-{draw()}',
            'host': f'{draw()}.example',
            'path': f'/{draw()}/',
            'kind': rng.choice(KINDS),
            'service': draw(),
            'maxAttempts': 2,
            'timeoutMs': rng.randrange(1_000, 9_000),
            'targetLatencyMs': rng.randrange(100, 900),
            'priority': 1,
        }
        for _ in range(routes)
    ]
    return json.dumps({'version': version, 'routes': listed}).encode()


def _run_domain(context, act):
    async def play(net):
        domain = FailureDomain(
            net, ROUTER_COUNT, RELAY_COUNT, CATALOGUE_PREFIX, MAX_PROPAGATION_SECONDS
        )
        context.domain = domain
        domain.service.put(CATALOGUE_KEY, make_catalogue(1, context.routes))
        await domain.open()
        for ends, rate in context.rates.items():
            source, destination = ends
            asked = domain.find_preferred_relay()
            net.links[
                _resolve_host(source, asked), _resolve_host(destination, asked)
            ] = Link(rate=rate)
        if context.cut:
            domain.silence(context.cut, ['store'])
        context.settled_at = net.time()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await act(domain)
            await asyncio.sleep(2 * MAX_PROPAGATION_SECONDS)

    run_on_net(play)


def _resolve_host(host, asked):
    return asked if host == 'relay' else host


@given('routers and relays that follow a catalogue of {routes:d} routes')
def plan(context, routes):
    context.routes, context.rates, context.cut = routes, {}, ''


@given('the relay that they ask takes {rate:d} bytes a second from the store')
def slow_relay(context, rate):
    context.rates['store', 'relay'] = rate


@given('one router gets {rate:d} bytes a second from the relay')
def slow_router(context, rate):
    context.rates['relay', 'router-0'] = rate


@given('all relays take {rate:d} bytes a second from the store')
def slow_relays(context, rate):
    context.rates.update(
        {('store', f'relay-{one}'): rate for one in range(RELAY_COUNT)}
    )


@given('all routers get {rate:d} bytes a second from the store and the relays')
def slow_routers(context, rate):
    sources = ['store', *(f'relay-{one}' for one in range(RELAY_COUNT))]
    routers = [f'router-{one}' for one in range(ROUTER_COUNT)]
    context.rates.update(dict.fromkeys(itertools.product(sources, routers), rate))


@given('a new router is cut off from the store')
def cut_start(context):
    context.cut = 'router-new'


@given('a new router gets {rate:d} bytes a second from the store')
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


@when('it grows to {routes:d} routes as the relay that they ask loses the store')
def grow_behind_cut(context, routes):
    async def act(domain):
        domain.silence(domain.find_preferred_relay(), ['store'])
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
        host: heard.find_seen_at(newest) - context.changed_at
        for host, heard in context.domain.routers.items()
        if heard.find_seen_at(newest) - context.changed_at > bound
    }
    assert not late, late


@then('no router has listed it at the store')
def check_listings(context):
    listed = [
        when for when in context.domain.store.listed_at if when > context.settled_at
    ]
    assert not listed, len(listed)


class LaggingStore:
    """A store that is read through a replica which falls behind."""

    def __init__(self):
        self._listings = iter(LISTED_REVISIONS)
        self.listed = asyncio.Event()

    async def scan(self, prefix, *, shared):
        """Return a listing; the second and the third are of an older revision."""
        revision = next(self._listings, 0)
        if not revision:
            self.listed.set()
            await asyncio.sleep(TEST_TIMEOUT_SECONDS)
        return Listing((Item('op/key', b'%d' % revision, revision),), revision)

    async def watch(self, prefix, after, terms):
        """End each watch, so that all is listed anew."""
        raise HistoryLost(prefix)


@given('a store whose listings come from a replica that falls behind')
def open_lagging(context):
    context.open_store = LaggingStore


@when('a router lists the catalogue again and again')
def list_again(context):
    async def play():
        store, context.heard = context.open_store(), RecordingSubscriber()
        contact = StoreContact(0.0)
        watch = PrefixWatch(
            store,
            CATALOGUE_PREFIX,
            context.heard,
            open_null_log(),
            contact,
            lambda: plan_router_watch(1, 1, MAX_PROPAGATION_SECONDS),
        )
        task = asyncio.create_task(watch.run(int))
        await store.listed.wait()
        task.cancel()

    run_virtually(play())


@then('it never takes an older revision than it had')
def check_order(context):
    taken = [revision for _, revision in context.heard.revisions]
    assert taken == sorted(taken), taken


@then('it takes the newer one')
def check_newest(context):
    assert context.heard.revisions[-1][1] == max(LISTED_REVISIONS), (
        context.heard.revisions
    )
