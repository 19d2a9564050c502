"""Steps on watches that the routers of a failure domain share at a relay."""

import asyncio

from behave import given, then, when
from domains import MAX_PROPAGATION_SECONDS, TEST_TIMEOUT_SECONDS, FailureDomain
from followers import open_null_log

from ibisport_bench.standins.memory_store import ANSWER_SECONDS, MemoryService
from ibisport_bench.virtual_network import run_on_net
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.errors import StoreError
from ibisport_fleet.watch_cache import WatchCache
from ibisport_fleet.watch_schedule import plan_router_watch
from ibisport_platform.watch_codec import parse_watch_query

MAX_FAILURE_SECONDS = 1
# Revision and wait.
ODD_WATCHES = {
    'a revision of 400 digits': (10**399, 1_000),
    'a revision of -1': (-1, 1_000),
    'a wait of 400 digits': (1, 10**399),
    'a wait of 30001 ms': (1, 30_001),
    'a wait of -1 ms': (1, -1),
}


def _run_domain(context, act):
    async def run(net):
        context.domain = FailureDomain(net, context.count, context.relays)
        await context.domain.open()
        context.settled_at = net.time()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await act(context.domain)
            await asyncio.sleep(MAX_PROPAGATION_SECONDS + 0.5)

    run_on_net(run)


@given('{routers:d} routers of a failure domain with {relays:d} relays')
def plan_domain(context, routers, relays):
    context.count, context.relays = routers, relays


@when('{count:d} changes are written within {seconds:d} seconds')
def change(context, count, seconds):
    async def act(domain):
        if getattr(context, 'before', None):
            await context.before(domain)
        await domain.change(count, seconds)

    _run_domain(context, act)


@when('nothing changes for {seconds:d} seconds')
def wait(context, seconds):
    _run_domain(context, lambda domain: asyncio.sleep(seconds))


@when(
    '{count:d} hosts without a relay are listed and nothing changes '
    'for {seconds:d} seconds'
)
def list_hosts_without_relay(context, count, seconds):
    async def act(domain):
        domain.hosts_without_relay = [f'10.0.2.{number}' for number in range(count)]
        await asyncio.sleep(seconds)

    _run_domain(context, act)


@when(
    'the store answers after {answer:g} seconds and nothing changes '
    'for {seconds:d} seconds'
)
def slow_store(context, answer, seconds):
    async def act(domain):
        domain.service.faults.slow = answer / ANSWER_SECONDS
        await asyncio.sleep(seconds)

    _run_domain(context, act)


def _list_hosts(domain):
    return ['store', *domain.routers]


def _inject_fault(domain, fault):
    relay, routers = domain.find_preferred_relay(), list(domain.routers)
    match fault:
        case 'crashes':
            domain.net.kill(relay)
        case 'stops responding':
            domain.drop_traffic(relay, _list_hosts(domain))
        case 'is cut off from the store':
            domain.drop_traffic(relay, ['store'])
        case 'is cut off from half of the routers':
            domain.drop_traffic(relay, routers[: len(routers) // 2])
        case 'crashes with all relays of its domain':
            for host in domain.relays:
                domain.net.kill(host)
        case 'stops responding with all relays of its domain':
            for host in domain.relays:
                domain.drop_traffic(host, _list_hosts(domain))


@when(
    'their preferred relay {fault} while {count:d} changes are written '
    'within {seconds:d} seconds'
)
def fail_while_changing(context, fault, count, seconds):
    async def act(domain):
        changing = asyncio.create_task(domain.change(count, seconds))
        await asyncio.sleep(seconds / 4)
        _inject_fault(domain, fault)
        await changing

    _run_domain(context, act)


@when('their preferred relay is cut off from the store for {seconds:d} seconds')
def cut_for_a_while(context, seconds):
    async def before(domain):
        domain.drop_traffic(domain.find_preferred_relay(), ['store'])
        domain.net.call_later(seconds, domain.restore_links)

    context.before = before


@when(
    'one router is cut off from the store while {count:d} changes are written '
    'within {seconds:d} seconds'
)
def cut_router(context, count, seconds):
    async def act(domain):
        changing = asyncio.create_task(domain.change(count, seconds))
        await asyncio.sleep(seconds / 4)
        domain.drop_traffic('router-0', ['store'])
        await changing

    _run_domain(context, act)


@when('the store is down for {seconds:d} seconds and a router starts meanwhile')
def start_in_outage(context, seconds):
    async def act(domain):
        domain.service.faults.down = True
        await asyncio.sleep(seconds / 2)
        domain.start_router('router-new')
        await asyncio.sleep(seconds / 2)
        domain.service.faults.down = False
        await domain.change(1, 0.0)

    _run_domain(context, act)


@then('each router receives each of them within 2 seconds')
@then('each router receives the newest change within 2 seconds of its write')
def check_known(context):
    late = context.domain.list_late()
    assert context.domain.written_at
    assert not late, (len(late), max(late, key=lambda entry: entry[-1]))


@then('the store received at most {limit:d} watch calls')
def check_watch_calls(context, limit):
    calls = [
        when for when in context.domain.store.watched_at if when > context.settled_at
    ]
    assert len(calls) <= limit, len(calls)


@then(
    'in the last {seconds:d} seconds the store received at most {limit:d} watch calls'
)
def check_recent_watch_calls(context, seconds, limit):
    calls = context.domain.store.watched_at
    recent = [when for when in calls if when > calls[-1] - seconds]
    assert len(recent) <= limit, len(recent)


@given('a relay that watches a prefix')
def plan_cache(context):
    async def open_cache():
        service = MemoryService()
        service.put('op/a', b'1')
        cache = WatchCache(
            service.open_store('relay'), MAX_PROPAGATION_SECONDS, open_null_log()
        )
        first = service.revision
        watch = cache.find('op/', first)
        await asyncio.sleep(0.1)
        return service, cache, watch, first

    context.open_cache = open_cache


@when('the store stops responding while a router waits for changes')
def silence_store(context):
    async def run():
        service, _, watch, first = await context.open_cache()
        service.faults.cut = {'relay'}
        started_at = asyncio.get_running_loop().time()
        try:
            context.answer = await watch.wait_for_changes(first, 0.1)
        except StoreError as error:
            context.answer = error
        context.elapsed = asyncio.get_running_loop().time() - started_at

    run_virtually(run())


@then('the router gets an error within 1 second instead of an empty result')
def check_failure(context):
    assert isinstance(context.answer, StoreError), context.answer
    assert context.elapsed < MAX_FAILURE_SECONDS, context.elapsed


@when('a router waits {seconds:d} seconds for changes and none is written')
def wait_long(context, seconds):
    async def run():
        _, _, watch, first = await context.open_cache()
        started_at = asyncio.get_running_loop().time()
        context.result = await watch.wait_for_changes(first, seconds)
        context.elapsed = asyncio.get_running_loop().time() - started_at

    run_virtually(run())


@then('it gets an empty result after {seconds:d} seconds')
def check_long(context, seconds):
    assert not context.result.changes
    assert seconds <= context.elapsed < seconds + MAX_FAILURE_SECONDS, context.elapsed


@when('a caller watches {count:d} other prefixes')
def watch_many_prefixes(context, count):
    async def run():
        _, cache, _, first = await context.open_cache()
        found = [cache.find(f'other-{number}/', first) for number in range(count)]
        context.watched = [watch for watch in found if watch is not None]

    run_virtually(run())


@then('the relay watches at most {limit:d} of them and forwards the other calls')
def check_bounded(context, limit):
    assert 0 < len(context.watched) <= limit, len(context.watched)


@when("a router requests changes from before the start of the relay's watch")
def watch_from_earlier_revision(context):
    async def run():
        _, cache, _, first = await context.open_cache()
        context.found = cache.find('op/', first - 1)

    run_virtually(run())


@then('the relay has no watch that covers them')
def check_no_watch(context):
    assert context.found is None


@when("a router watches from a revision that the relay hasn't received yet")
def watch_from_later_revision(context):
    async def run():
        service, _, watch, _ = await context.open_cache()
        service.put('op/a', b'2')
        # The router has listed this change before the relay received it.
        waiting = asyncio.create_task(watch.wait_for_changes(service.revision, 5.0))
        await asyncio.sleep(1.0)
        service.put('op/a', b'3')
        context.result = await waiting

    run_virtually(run())


@then('it gets the next change and no duplicate')
def check_next(context):
    contents = [change.content for change in context.result.changes]
    assert contents == [b'3'], contents


@then(
    '{few:d} routers in {domains:d} domains watch the store directly, '
    'and {many:d} in {fewer:d} share their watches'
)
def check_schedule(context, few, domains, many, fewer):
    assert not plan_router_watch(few, domains, MAX_PROPAGATION_SECONDS).shared
    assert plan_router_watch(many, fewer, MAX_PROPAGATION_SECONDS).shared


@then('routers share their watches while the number of routers is unknown')
def check_unknown(context):
    assert plan_router_watch(None, 4, MAX_PROPAGATION_SECONDS).shared


@when('a relay gets a call for a watch of {odd}')
def decode_odd_watch(context, odd):
    after, wait_ms = ODD_WATCHES[odd]
    query = f'prefix=servers%2F&after={after}&waitMs={wait_ms}'
    try:
        context.call = parse_watch_query(query)
    except OverflowError as error:
        context.call = error


@then('it leaves the call to the store')
def check_forwarded_watch(context):
    assert context.call is None, context.call
