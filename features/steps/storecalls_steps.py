"""Steps on calls to the store over slow or silent links."""

import asyncio
import json

from behave import given, then, when
from followers import NewestContent, ReadableLog, open_null_log

from ibisport_bench.memory_transport import Link
from ibisport_bench.standins.memory_store import MemoryService
from ibisport_bench.virtual_network import run_on_net
from ibisport_fleet.connection_tasks import ConnectionTasks
from ibisport_fleet.errors import StoreError, StoreUnknown
from ibisport_fleet.event_log import Event
from ibisport_fleet.prefix_watch import PrefixWatch
from ibisport_fleet.store import Condition, Item, Put, WatchOptions
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
# Longer than any call may take; ends a test that would hang.
TEST_TIMEOUT_SECONDS = 30.0
PART_BYTES = 10_000
ODD_ITEMS = {
    'a key with half a pair': json.dumps(
        {'key': 'servers/\ud800', 'revision': 3, 'value': 'e30='}
    ).encode(),
    'a key that is no UTF-8': b'{"key":"servers/\xff","revision":3,"value":"e30="}',
}
HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n'


def plan_single_router():
    """Return the watch schedule of a single router."""
    return plan_router_watch(1, 1, MAX_PROPAGATION_SECONDS)


def make_content(number, size):
    """Return a version of a catalogue of about this size."""
    return b'%d ' % number + bytes(size)


def _run_router(context, use):
    """Run a router's calls to the store, and count those that reach the relay."""
    context.relay_connections = 0

    async def count_connection(channel):
        context.relay_connections += 1
        await asyncio.sleep(TEST_TIMEOUT_SECONDS)

    async def listen(net, address, tasks):
        await net.create_server(tasks.accept, *address)

    async def run(net):
        context.net = net
        for link in context.links:
            net.links['store', 'router'] = link
        store_tasks = context.serve()
        await net.start_on('store', listen(net, STORE, store_tasks))
        relay_tasks = ConnectionTasks(count_connection, 'relay', open_null_log())
        await net.start_on('relay', listen(net, RELAY, relay_tasks))
        endpoints = [RelayEndpoint(RELAY, DOMAIN)]
        context.paths = StorePaths(STORE, DOMAIN, lambda: endpoints)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            context.log = ReadableLog()
            store = PlatformStore(context.paths, context.log)
            return await net.start_on('router', use(store))

    return run_on_net(run)


@given('a store whose answers reach a router at {rate:d} bytes per second')
def serve_slowly(context, rate):
    context.links = [Link(rate=rate)]

    def serve():
        context.service = MemoryService()
        return StoreServer(
            context.service.open_store('all'), open_null_log()
        ).connections

    context.serve = serve


def _serve_parts(context, interval):
    context.links = []

    async def serve(channel):
        await channel.read()
        channel.write(HEAD)
        context.sent_at = [asyncio.get_running_loop().time()]
        for _ in range(1_000 if interval else 1):
            await asyncio.sleep(interval)
            channel.write(b'x')
            if not interval:
                context.sent_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(TEST_TIMEOUT_SECONDS)

    context.serve = lambda: ConnectionTasks(serve, 'store', open_null_log())


@given('a store that stops in the middle of its answer')
def stop_midway(context):
    _serve_parts(context, 0.0)


@given('a store that sends a byte of its answer every {interval:g} seconds')
def trickle(context, interval):
    _serve_parts(context, interval)


@when('the router lists a catalogue of {size:d} bytes')
def list_catalogue(context, size):
    async def use(store):
        context.service.put(CATALOGUE_KEY, make_content(1, size))
        return await store.scan(CATALOGUE_PREFIX)

    context.size = size
    context.listing = _run_router(context, use)


@when('the router lists a catalogue of {size:d} bytes and a concurrent call fails')
def list_beside_failure(context, size):
    async def use(store):
        context.service.put(CATALOGUE_KEY, make_content(1, size))
        listing = asyncio.create_task(store.scan(CATALOGUE_PREFIX))
        await asyncio.sleep(1.0)
        # New connections of the router are refused; open ones stay.
        context.net.listeners.pop(STORE)
        try:
            await store.read('key')
        except StoreError:
            context.concurrent_call_failed = True
        return await listing

    context.size = size
    context.listing = _run_router(context, use)
    assert context.concurrent_call_failed


@then('the direct path to the store still counts as working')
def check_direct(context):
    assert context.paths.direct_works


@then('the listing is complete')
def check_complete(context):
    contents = [item.content for item in context.listing.items]
    assert contents == [make_content(1, context.size)], [
        len(found) for found in contents
    ]


@then('the relay that the router knows received no call')
def check_one_path(context):
    assert context.relay_connections == 0, context.relay_connections


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
    elapsed = context.failed_at - context.sent_at[-1]
    assert elapsed <= seconds, elapsed


@then('the log states that {received:d} of {length:d} bytes were received')
def check_cut_logged(context, received, length):
    events = context.log.list_events(Event.answer_cut)
    assert [(event['bytes'], event['of']) for event in events] == [
        (received, length)
    ], events


@then('the log states the path and the duration of the answer')
def check_slow_logged(context):
    events = context.log.list_events(Event.answer_slow)
    assert len(events) == 1, events
    event = events[0]
    assert event['way'] == 'straight', event
    assert event['bytes'] >= context.size, event
    assert event['seconds'] >= context.size / context.links[0].rate, event


@when(
    'the router watches a catalogue of {size:d} bytes that changes {count:d} times '
    'in {seconds:g} seconds'
)
def follow_changes(context, size, count, seconds):
    async def use(store):
        service, subscriber = context.service, NewestContent()
        service.put(CATALOGUE_KEY, make_content(0, size))
        contact = StoreContact(asyncio.get_running_loop().time())
        watch = PrefixWatch(
            store,
            CATALOGUE_PREFIX,
            subscriber,
            open_null_log(),
            contact,
            plan_single_router,
        )
        listed = asyncio.Event()
        task = asyncio.get_running_loop().create_task(watch.run(listed.set))
        await listed.wait()
        for number in range(1, count + 1):
            await asyncio.sleep(seconds / count)
            service.put(CATALOGUE_KEY, make_content(number, size))
        await asyncio.sleep(3.0)
        task.cancel()
        return subscriber.content

    context.newest = make_content(count, size)
    context.content = _run_router(context, use)


@then('it has the newest catalogue 3 seconds after the last change')
def check_newest(context):
    version = context.content.partition(b' ')[0]
    assert context.content == context.newest, version


@when('the router writes on condition of a key that was changed and of an absent key')
def write_in_conflict(context):
    async def use(store):
        context.service.put('changed', b'new')
        conditions = [Condition('changed', 1), Condition('absent', 0)]
        return await store.write(conditions, [Put('absent', b'own')])

    context.conflict = _run_router(context, use)


@then('the conflict returns the changed key and names the absent key')
def check_conflict(context):
    assert context.conflict.find('changed').content == b'new'
    assert context.conflict.absent == ('absent',), context.conflict


@given('a store that has an item with {odd} beside another one')
def serve_odd_item(context, odd):
    context.links = []
    items = b'{"key":"servers/a","revision":2,"value":"e30="},' + ODD_ITEMS[odd]

    async def serve(channel):
        while not channel.ended:
            request = await channel.read()
            name = b'events' if b'/kv-watch' in request else b'items'
            body = b'{"%b":[%b],"storeRevision":3}' % (name, items)
            head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
            channel.write(head + body)

    context.serve = lambda: ConnectionTasks(serve, 'store', open_null_log())


@when('the router lists the items, and watches for changes of them')
def list_odd_item(context):
    async def use(store):
        listing = await store.scan('servers/')
        watched = await store.watch('servers/', 1, WatchOptions(1.0, 1_000_000))
        return listing.items, watched.changes

    context.found = _run_router(context, use)


@then('it gets the other item both times, and nothing else that is valid')
def check_other_item(context):
    for items in context.found:
        assert items[0] == Item('servers/a', b'{}', 2), items
        assert [item.key for item in items[1:]] == ['servers/\ufffd'], items
