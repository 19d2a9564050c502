"""Steps on copies of the store's data, store calls, retries, engines and the log."""

import asyncio
import os
import random
import time
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from engines import build_engine
from followers import NewestContent, open_null_log

from ibisport_bench.standins.memory_store import ANSWER_SECONDS, MemoryService
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.budget_page import (
    decode_page,
)
from ibisport_fleet.catalogue import Catalogue
from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.prefix_watch import PrefixWatch
from ibisport_fleet.retry_budget import RetryBudget
from ibisport_fleet.store import Item, Listing, WatchOptions
from ibisport_fleet.store_call import StoreCall
from ibisport_fleet.store_contact import StoreContact
from ibisport_fleet.store_paths import CallKind, RelayEndpoint, StorePaths
from ibisport_fleet.store_transport import StoreTransport
from ibisport_fleet.targets import TargetEntry
from ibisport_fleet.watch_schedule import plan_router_watch

KEY = 'servers/i-0'
WINDOW_SECONDS = 10.0
MAX_CALL_SECONDS = 0.5
AT_ONCE_SECONDS = 0.05


def _decode_target(item):
    state = item.content.decode()
    address = ('10.0.0.1', 80)
    draining = state == 'draining'
    return TargetEntry('i-0', 'svc', address, 'd', 1, draining, item.revision)


async def _follow(service, view, prefix='servers/'):
    """Start a watch of a prefix; return its task after the first listing."""
    loop = asyncio.get_running_loop()
    contact = StoreContact(loop.time())
    store = service.open_store('router')
    watch = PrefixWatch(
        store,
        prefix,
        view,
        open_null_log(),
        contact,
        lambda: plan_router_watch(1, 1, 2.0),
    )
    listed = asyncio.Event()
    task = loop.create_task(watch.run(listed.set))
    await listed.wait()
    return task


@given("a router's list with a target")
def make_list(context):
    async def start():
        service = MemoryService()
        service.put(KEY, b'ready')
        view = TargetView(
            _decode_target, lambda key: key.removeprefix('servers/'), open_null_log()
        )
        task = await _follow(service, view)
        await asyncio.sleep(2.0)
        assert view.list_candidates('svc')
        return SimpleNamespace(service=service, view=view, task=task)

    context.start = start


def _run_and_check(context, act, delays):
    """Run a scenario; return whether the target serves after each further delay."""

    async def play():
        site = await context.start()
        await act(site)
        served = []
        for delay in delays:
            await asyncio.sleep(delay)
            served.append(bool(site.view.list_candidates('svc')))
        site.task.cancel()
        return served

    return run_virtually(play())


@when('the target is removed while the store drops its history')
def remove_in_gap(context):
    async def run(site):
        site.service.faults.cut = {'router'}
        await asyncio.sleep(1.0)
        site.service.remove(KEY)
        site.service.forget_history()
        site.service.faults.cut = set()
        await asyncio.sleep(1.2)

    context.served = _run_and_check(context, run, [0.1])


@when('the store is down for {seconds:d} seconds and the entry is gone after it')
def lapse_in_outage(context, seconds):
    async def run(site):
        site.service.faults.down = True
        await asyncio.sleep(seconds)
        site.service.remove(KEY)
        site.service.faults.down = False
        await asyncio.sleep(0.3)

    context.served = _run_and_check(context, run, [1.2, 1.5])


@when(
    'the store is down for {down:d} seconds '
    'and the target leaves {after:d} seconds later'
)
def leave_after_outage(context, down, after):
    async def run(site):
        site.service.faults.down = True
        await asyncio.sleep(down)
        site.service.faults.down = False
        await asyncio.sleep(after)
        site.service.remove(KEY)

    context.served = _run_and_check(context, run, [0.01, 1.0])


@when('the target drains and its entry says ready again')
def drain_and_return(context):
    async def run(site):
        site.service.put(KEY, b'draining')
        await asyncio.sleep(0.1)
        site.service.put(KEY, b'ready')

    context.served = _run_and_check(context, run, [0.1])


@then('the target gets no requests 0.1 seconds after the listing')
@then('the target gets no requests 3 seconds after it')
@then('the target gets no requests')
def check_gone(context):
    assert not context.served[-1], context.served


@then("the target still serves 1.5 seconds after the store's return")
def check_kept(context):
    assert context.served[0], context.served


@given("a router's copy of the catalogue at version {version:d}")
def make_view(context, version):
    def decode(item):
        return Catalogue(int(item.content), item.revision, (), {}, {}, {}, False)

    context.view = CatalogueView('op/config', decode, open_null_log())
    item = Item('op/config', b'%d' % version, 9)
    context.view.apply_listing(Listing((item,), 9), 0.0)


@when('version {version:d} is read from a stale listing')
def read_stale(context, version):
    item = Item('op/config', b'%d' % version, 4)
    context.view.apply_listing(Listing((item,), 9), 0.0)


@then('the copy stays at version {version:d}')
def check_version(context, version):
    assert context.view.current.version == version


@given(
    'a router that follows a catalogue of {size:d} bytes over {rate:d} bytes per second'
)
def follow_slowly(context, size, rate):
    context.size = size
    context.rate = rate


@when('the router is cut off while the catalogue changes {count:d} times')
def change_often(context, count):
    async def play():
        service = MemoryService()
        service.put('op/config', _make_content(0, context.size))
        service.faults.bytes_per_second = context.rate
        view = NewestContent()
        task = await _follow(service, view, 'op/')
        service.faults.cut = {'router'}
        for number in range(1, count + 1):
            service.put('op/config', _make_content(number, context.size))
            await asyncio.sleep(0.1)
        service.faults.cut = set()
        await asyncio.sleep(2.0)
        task.cancel()
        return view.content, _make_content(count, context.size)

    context.contents = run_virtually(play())


def _make_content(number, size):
    return b'%d' % number + bytes(size)


@then('it has the newest catalogue 2 seconds after the cut')
def check_newest(context):
    found, newest = context.contents
    assert found == newest, (found[:4], newest[:4])


@given('{count:d} routers that were all restarted, with a slack of {slack:d}')
def make_retries(context, count, slack):
    context.budgets = [
        RetryBudget(0.2, slack, WINDOW_SECONDS, 0.0) for _ in range(count)
    ]


@when('each makes as many retries as it can within the first window')
def take_all(context):
    context.requests = 0
    context.retries = 0
    for step in range(90):
        now = step * 0.1
        for budget in context.budgets:
            budget.record_request(now)
            context.requests += 1
            while budget.try_acquire(now, 1):
                context.retries += 1


@then('the fleet has made no more retries than a fifth of its requests')
def check_taken(context):
    assert 0 < context.retries <= context.requests / 5, context.retries


@then('after a window it may use its slack')
def check_slack(context):
    assert context.budgets[0].try_acquire(WINDOW_SECONDS + 1, 5)


class _SilentDirectPath:
    """A store transport whose direct path is silent; its relay answers in 10 ms."""

    def __init__(self):
        relay = RelayEndpoint(('10.0.0.2', 7200), 'd')
        self.paths = StorePaths(('10.0.0.1', 80), 'd', lambda: [relay])
        self.transport = StoreTransport(self.paths, open_null_log())
        self.transport.send_on_path = self.send_on_path
        self.addresses = []

    async def send_on_path(self, attempt, until):
        address = attempt.address
        self.addresses.append(address)
        if address == self.paths.direct:
            await asyncio.sleep(60)
        await asyncio.sleep(0.01)
        self.paths.record_answer(address)
        return 'answer'


@given('a store whose direct path is silent, and a relay')
def make_paths(context):
    context.paths = None


@when('a call is made twice')
def call_twice(context):
    async def run():
        context.paths = _SilentDirectPath()
        call = StoreCall(CallKind.read, b'GET / HTTP/1.1', (), b'', 0.9)
        loop = asyncio.get_running_loop()
        times = []
        for _ in range(2):
            started_at = loop.time()
            assert await context.paths.transport.send(call) == 'answer'
            times.append(loop.time() - started_at)
        return times

    context.times = run_virtually(run())


@then('both calls are answered within 0.5 virtual seconds')
def check_times(context):
    assert max(context.times) < MAX_CALL_SECONDS, context.times


@then('the second call goes over the relay at once')
def check_relay(context):
    assert context.paths.addresses[2] == ('10.0.0.2', 7200), context.paths.addresses
    assert context.times[1] < AT_ONCE_SECONDS, context.times


@when('answers are lost for 5 seconds and a second path brings the conflict')
def lose_answers(context):
    async def run():
        world = await context.prepare()
        world.outcomes.clear()
        world.service.faults.lose = 0.35
        world.service.faults.second_way = True
        rng = random.Random(11)
        for _ in range(150):
            world.ask(rng.randrange(5), 2_000, 0.9, 0.3)
            await asyncio.sleep(1 / 30)
        world.service.faults.lose = 0.0
        await asyncio.sleep(2.0)
        return world

    context.world = run_virtually(run())


@then('the budget holds and most requests are served')
def check_holds(context):
    page = decode_page(context.world.service.items['ibisport/budgets'].content)
    assert page.find('acme').held <= 1_000_000
    served = context.world.outcomes['served']
    assert served > 0.7 * context.world.outcomes.total(), context.world.outcomes


@given('a log whose reader has stopped reading')
def make_stuck_log(context):
    context.reading, context.writing = os.pipe()
    context.log = EventLog(context.writing)


@when('{count:d} events are written')
def write_events(context, count):
    started_at = time.process_time()
    for number in range(count):
        context.log.write(Event.request_served, request='x' * 200, number=number)
        context.log.refill(1.0)
    context.spent = time.process_time() - started_at


@then('none of the writes blocks')
def check_not_blocked(context):
    # Nothing reads the pipe, so a write that blocked would hang the scenario.
    assert context.log.dropped > 1_000, context.log.dropped


@then('the reader later finds how many lines were dropped')
def check_dropped(context):
    dropped_lines = context.log.dropped
    os.set_blocking(context.reading, False)
    text = os.read(context.reading, 1_000_000)
    context.log.write(Event.request_served, request='last')
    text += os.read(context.reading, 1_000_000)
    lines = [msgspec.json.decode(line) for line in text.splitlines()]
    reported = [line['lines'] for line in lines if line['event'] == Event.lines_dropped]
    assert reported == [dropped_lines], (reported, dropped_lines)


@given('two engines of which one is silent with a request in flight')
def make_engines(context):
    context.engines = [build_engine(number) for number in range(2)]
    context.parts = (PromptPart('shared', 6_000), PromptPart('own', 10))
    preferred = choose_engine(context.engines, context.parts, 0.0)
    preferred.health.begin_request(0.0)
    context.preferred = preferred


@when('an engine is chosen 0.5 and 1 seconds later')
def choose_later(context):
    context.chosen = [
        choose_engine(context.engines, context.parts, later) for later in (0.5, 1.0)
    ]


@then('the silent engine is chosen at first, as the preferred one, and avoided later')
def check_avoided(context):
    assert context.chosen[0] is context.preferred
    assert context.chosen[1] is not context.preferred


@given('a store with a watch that is about to answer')
def make_watched_store(context):
    context.service = MemoryService()


@when('a second key changes while the answer is on its way')
def change_beside_answer(context):
    async def play():
        service = context.service
        store = service.open_store('a')
        watching = asyncio.create_task(
            store.watch('key/', service.revision, WatchOptions(5.0))
        )
        await asyncio.sleep(1.0)
        service.put('key/1', b'')
        # The answer takes half of the round trip; this is the middle of its way.
        await asyncio.sleep(ANSWER_SECONDS / 4)
        service.put('key/2', b'')
        first = await watching
        second = await store.watch('key/', first.revision, WatchOptions(5.0))
        context.seen = [
            [change.key for change in batch.changes] for batch in (first, second)
        ]

    run_virtually(play())


@then("the next watch from the answer's revision brings it")
def check_next_watch(context):
    assert context.seen == [['key/1'], ['key/2']], context.seen
