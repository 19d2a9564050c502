"""Steps on calls to the store over links that are slow or fall silent."""

import asyncio

from behave import given, then, when
from followers import NewestContent, ReadableLog, open_null_log

from ibisport_bench.memorytransport import Link
from ibisport_bench.standins.memorystore import MemoryService
from ibisport_bench.virtualnet import run_on_net
from ibisport_fleet.connection_tasks import ConnectionTasks
from ibisport_fleet.errors import StoreError, StoreUnknown
from ibisport_fleet.eventlog import Event
from ibisport_fleet.prefix_watch import PrefixWatch
from ibisport_fleet.store import Condition, Put
from ibisport_fleet.store_contact import StoreContact
from ibisport_fleet.store_paths import RelayEndpoint, StorePaths
from ibisport_fleet.watch_schedule import plan_router_watch
from ibisport_platform.records import CATALOGUE_KEY, CATALOGUE_PREFIX
from ibisport_platform.store import PlatformStore
from ibisport_platform.store_server import StoreServer

STORE = ('10.0.0.1', 80)
RELAY = ('10.0.0.2', 7200)
DOMAIN = 'domain-1'
MAX_PROPAGATION_SECONDS = 2.0
# Longer than any call may take; it ends a test that would hang.
TEST_TIMEOUT_SECONDS = 30.0
PART_BYTES = 10_000
HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n'


def plan_alone():
    """Return how a router without others watches."""
    return plan_router_watch(1, 1, MAX_PROPAGATION_SECONDS)


def make_content(number, size):
    """Return a version of a catalogue."""
    return b'%d ' % number + bytes(size)


def _run_router(context, use):
    """Run a router's use of the store, which a relay beside it counts too."""
    context.relayed = 0

    async def count_relayed(channel):
        context.relayed += 1
        await asyncio.sleep(TEST_TIMEOUT_SECONDS)

    async def listen(net, address, serve):
        await net.create_server(serve.accept, *address)

    async def play(net):
        context.net = net
        for link in context.links:
            net.links['store', 'router'] = link
        serving = context.serve()
        await net.start_on('store', listen(net, STORE, serving))
        relay = ConnectionTasks(count_relayed, 'relay', open_null_log())
        await net.start_on('relay', listen(net, RELAY, relay))
        places = [RelayEndpoint(RELAY, DOMAIN)]
        context.paths = StorePaths(STORE, DOMAIN, lambda: places)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            context.log = ReadableLog()
            store = PlatformStore(context.paths, context.log)
            return await net.start_on('router', use(store))

    return run_on_net(play)


@given('a store whose answers come to a router at {rate:d} bytes a second')
def serve_slowly(context, rate):
    context.links = [Link(rate=rate)]

    def serve():
        context.service = MemoryService()
        return StoreServer(
            context.service.open_store('all'), open_null_log()
        ).connections

    context.serve = serve


def _serve_parts(context, pause):
    context.links = []

    async def serve(channel):
        await channel.read()
        channel.write(HEAD)
        context.heard_at = [asyncio.get_running_loop().time()]
        for _ in range(1_000 if pause else 1):
            await asyncio.sleep(pause)
            channel.write(b'x')
            if not pause:
                context.heard_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(TEST_TIMEOUT_SECONDS)

    context.serve = lambda: ConnectionTasks(serve, 'store', open_null_log())


@given('a store that stops in the middle of its answer')
def stop_midway(context):
    _serve_parts(context, 0.0)


@given('a store that sends a byte of its answer each {pause:g} seconds')
def trickle(context, pause):
    _serve_parts(context, pause)


@when('the router lists a catalogue of {size:d} bytes')
def list_catalogue(context, size):
    async def use(store):
        context.service.put(CATALOGUE_KEY, make_content(1, size))
        return await store.scan(CATALOGUE_PREFIX)

    context.size = size
    context.listing = _run_router(context, use)


@when('the router lists a catalogue of {size:d} bytes, and a call beside it fails')
def list_beside_failure(context, size):
    async def use(store):
        context.service.put(CATALOGUE_KEY, make_content(1, size))
        listing = asyncio.create_task(store.scan(CATALOGUE_PREFIX))
        await asyncio.sleep(1.0)
        # New connections of the router find nobody; what stands goes on.
        context.net.listeners.pop(STORE)
        try:
            await store.read('key')
        except StoreError:
            context.other_failed = True
        return await listing

    context.size = size
    context.listing = _run_router(context, use)
    assert context.other_failed


@then('the straight way to the store still counts as working')
def check_straight(context):
    assert context.paths.direct_works


@then('the listing is whole')
def check_whole(context):
    contents = [item.content for item in context.listing.items]
    assert contents == [make_content(1, context.size)], [len(one) for one in contents]


@then('the relay that the router knows was asked nothing')
def check_one_way(context):
    assert context.relayed == 0, context.relayed


@when('the router reads a key')
def read_key(context):
    async def use(store):
        try:
            await store.read('key')
        except StoreUnknown:
            return asyncio.get_running_loop().time()

    context.failed_at = _run_router(context, use)


@then('the call has failed within {seconds:g} second of the last byte')
@then('the call has failed within {seconds:g} seconds of the first byte')
def check_given_up(context, seconds):
    passed = context.failed_at - context.heard_at[-1]
    assert passed <= seconds, passed


@then('the log tells that {received:d} of {length:d} bytes had come')
def check_cut_logged(context, received, length):
    found = context.log.list_events(Event.answer_cut)
    assert [(one['bytes'], one['of']) for one in found] == [(received, length)], found


@then('the log tells by which way it came, and how long it took')
def check_slow_logged(context):
    slow = context.log.list_events(Event.answer_slow)
    assert len(slow) == 1, slow
    found = slow[0]
    assert found['way'] == 'straight', found
    assert found['bytes'] >= context.size, found
    assert found['seconds'] >= context.size / context.links[0].rate, found


@when(
    'the router follows a catalogue of {size:d} bytes that changes {count:d} times '
    'in {seconds:g} seconds'
)
def follow_changes(context, size, count, seconds):
    async def use(store):
        service, view = context.service, NewestContent()
        service.put(CATALOGUE_KEY, make_content(0, size))
        contact = StoreContact(asyncio.get_running_loop().time())
        watch = PrefixWatch(
            store, CATALOGUE_PREFIX, view, open_null_log(), contact, plan_alone
        )
        listed = asyncio.Event()
        task = asyncio.get_running_loop().create_task(watch.run(listed.set))
        await listed.wait()
        for number in range(1, count + 1):
            await asyncio.sleep(seconds / count)
            service.put(CATALOGUE_KEY, make_content(number, size))
        await asyncio.sleep(3.0)
        task.cancel()
        return view.content

    context.newest = make_content(count, size)
    context.content = _run_router(context, use)


@then('it has the newest catalogue 3 seconds after the last change')
def check_newest(context):
    found = context.content.partition(b' ')[0]
    assert context.content == context.newest, found


@when(
    'the router writes on condition of a key that was changed and of one that is absent'
)
def write_in_conflict(context):
    async def use(store):
        context.service.put('changed', b'new')
        conditions = [Condition('changed', 1), Condition('absent', 0)]
        return await store.write(conditions, [Put('absent', b'own')])

    context.conflict = _run_router(context, use)


@then('the conflict brings the changed key and names the absent one')
def check_conflict(context):
    assert context.conflict.find('changed').content == b'new'
    assert context.conflict.absent == ('absent',), context.conflict
