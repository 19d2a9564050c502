"""Steps on watches that routers of a domain share at a relay."""

import asyncio

from behave import given, then, when
from domains import MAX_PROPAGATION_SECONDS, TEST_TIMEOUT_SECONDS, FailureDomain
from followers import open_null_log

from ibisport_bench.standins.memorystore import ANSWER_SECONDS, MemoryService
from ibisport_bench.virtualnet import run_on_net
from ibisport_bench.virtualtime import run_virtually
from ibisport_fleet.errors import StoreError
from ibisport_fleet.watch_cache import WatchCache
from ibisport_fleet.watch_schedule import plan_router_watch

MAX_FAILURE_SECONDS = 1


def _run_domain(context, act):
    async def play(net):
        context.domain = FailureDomain(net, context.count, context.relays)
        await context.domain.open()
        context.settled_at = net.time()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await act(context.domain)
            await asyncio.sleep(MAX_PROPAGATION_SECONDS + 0.5)

    run_on_net(play)


@given('{routers:d} routers of a domain with {relays:d} relays')
def plan_domain(context, routers, relays):
    context.count, context.relays = routers, relays


@when('{count:d} changes come within {seconds:d} seconds')
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
def list_vacant(context, count, seconds):
    async def act(domain):
        domain.hosts_without_relay = [f'10.0.2.{one}' for one in range(count)]
        await asyncio.sleep(seconds)

    _run_domain(context, act)


@when(
    'the store takes {answer:g} seconds for an answer and nothing changes '
    'for {seconds:d} seconds'
)
def slow_store(context, answer, seconds):
    async def act(domain):
        domain.service.faults.slow = answer / ANSWER_SECONDS
        await asyncio.sleep(seconds)

    _run_domain(context, act)


def _list_hosts(domain):
    return ['store', *domain.routers]


def _inject_fault(domain, fails):
    asked, routers = domain.find_preferred_relay(), list(domain.routers)
    match fails:
        case 'dies':
            domain.net.kill(asked)
        case 'falls silent':
            domain.silence(asked, _list_hosts(domain))
        case 'is cut off from the store':
            domain.silence(asked, ['store'])
        case 'is cut off from half of the routers':
            domain.silence(asked, routers[: len(routers) // 2])
        case 'dies with all relays of its domain':
            for host in domain.relays:
                domain.net.kill(host)
        case 'falls silent with all of its domain':
            for host in domain.relays:
                domain.silence(host, _list_hosts(domain))


@when(
    'the relay that they ask {fails} while {count:d} changes come '
    'within {seconds:d} seconds'
)
def fail_while_changing(context, fails, count, seconds):
    async def act(domain):
        changing = asyncio.create_task(domain.change(count, seconds))
        await asyncio.sleep(seconds / 4)
        _inject_fault(domain, fails)
        await changing

    _run_domain(context, act)


@when('the relay that they ask is cut off from the store for {seconds:d} seconds')
def cut_for_a_while(context, seconds):
    async def before(domain):
        domain.silence(domain.find_preferred_relay(), ['store'])
        domain.net.call_later(seconds, domain.restore_links)

    context.before = before


@when(
    'one router is cut off from the store while {count:d} changes come '
    'within {seconds:d} seconds'
)
def cut_router(context, count, seconds):
    async def act(domain):
        changing = asyncio.create_task(domain.change(count, seconds))
        await asyncio.sleep(seconds / 4)
        domain.silence('router-0', ['store'])
        await changing

    _run_domain(context, act)


@when('the store is away for {seconds:d} seconds and a router starts meanwhile')
def start_in_outage(context, seconds):
    async def act(domain):
        domain.service.faults.down = True
        await asyncio.sleep(seconds / 2)
        domain.start_router('router-new')
        await asyncio.sleep(seconds / 2)
        domain.service.faults.down = False
        await domain.change(1, 0.0)

    _run_domain(context, act)


@then('each router knows each of them within 2 seconds')
@then("each router knows the newest change 2 seconds after the store's return")
def check_known(context):
    late = context.domain.list_late()
    assert context.domain.written_at
    assert not late, (len(late), max(late, key=lambda one: one[-1]))


@then('the store was asked for changes at most {most:d} times')
def check_asked(context, most):
    asked = [
        when for when in context.domain.store.watched_at if when > context.settled_at
    ]
    assert len(asked) <= most, len(asked)


@then(
    'in the last {seconds:d} seconds the store was asked for changes '
    'at most {most:d} times'
)
def check_asked_late(context, seconds, most):
    asked = context.domain.store.watched_at
    late = [when for when in asked if when > asked[-1] - seconds]
    assert len(late) <= most, len(late)


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


@when('the store falls silent while a router asks')
def silence_store(context):
    async def play():
        service, _, watch, first = await context.open_cache()
        service.faults.cut = {'relay'}
        begun = asyncio.get_running_loop().time()
        try:
            context.answer = await watch.wait_for_changes(first, 0.1)
        except StoreError as error:
            context.answer = error
        context.passed = asyncio.get_running_loop().time() - begun

    run_virtually(play())


@then('the router gets no answer without changes, but a failure within 1 second')
def check_failure(context):
    assert isinstance(context.answer, StoreError), context.answer
    assert context.passed < MAX_FAILURE_SECONDS, context.passed


@when('a router waits {seconds:d} seconds for changes, and none comes')
def wait_long(context, seconds):
    async def play():
        _, _, watch, first = await context.open_cache()
        begun = asyncio.get_running_loop().time()
        context.changes = await watch.wait_for_changes(first, seconds)
        context.passed = asyncio.get_running_loop().time() - begun

    run_virtually(play())


@then('it gets an answer without changes after {seconds:d} seconds')
def check_long(context, seconds):
    assert not context.changes.changes
    assert seconds <= context.passed < seconds + MAX_FAILURE_SECONDS, context.passed


@when('{count:d} other prefixes are asked for')
def ask_for_many(context, count):
    async def play():
        _, cache, _, first = await context.open_cache()
        found = [cache.find(f'other-{one}/', first) for one in range(count)]
        context.watched = [one for one in found if one is not None]

    run_virtually(play())


@then('the relay watches at most {most:d} of them, and passes the rest on')
def check_bounded(context, most):
    assert 0 < len(context.watched) <= most, len(context.watched)


@when("a router asks for changes from before the relay's watch")
def ask_from_before(context):
    async def play():
        _, cache, _, first = await context.open_cache()
        context.found = cache.find('op/', first - 1)

    run_virtually(play())


@then('the relay has no watch for it')
def check_no_watch(context):
    assert context.found is None


@when("a router asks from a revision that the relay hasn't heard of")
def ask_from_ahead(context):
    async def play():
        service, _, watch, _ = await context.open_cache()
        service.put('op/a', b'2')
        # The router has listed this change before the relay heard of it.
        asking = asyncio.create_task(watch.wait_for_changes(service.revision, 5.0))
        await asyncio.sleep(1.0)
        service.put('op/a', b'3')
        context.changes = await asking

    run_virtually(play())


@then('it gets the next change, and no change twice')
def check_next(context):
    contents = [one.content for one in context.changes.changes]
    assert contents == [b'3'], contents


@then(
    '{few:d} routers in {domains:d} domains ask for themselves, '
    'and {many:d} in {fewer:d} share'
)
def check_plan(context, few, domains, many, fewer):
    assert not plan_router_watch(few, domains, MAX_PROPAGATION_SECONDS).shared
    assert plan_router_watch(many, fewer, MAX_PROPAGATION_SECONDS).shared


@then("routers share while it isn't known how many there are")
def check_unknown(context):
    assert plan_router_watch(None, 4, MAX_PROPAGATION_SECONDS).shared
