"""Steps for answers of the store that break off, or can't be decoded."""

import msgspec
from behave import given, then, when
from followers import open_null_log

from ibisport_bench.virtual_network import run_on_net
from ibisport_fleet.connection_tasks import ConnectionTasks
from ibisport_fleet.errors import StoreError
from ibisport_fleet.store import Condition, Put, WatchOptions
from ibisport_fleet.store_paths import StorePaths
from ibisport_platform.store import PlatformStore

STORE = ('10.0.0.1', 80)

ITEM = {'key': 'k', 'revision': 5, 'value': 'YWJj'}
ANSWERS = {
    'read': ITEM,
    'scan': {'items': [ITEM], 'storeRevision': 7},
    'watch': {'events': [ITEM], 'storeRevision': 7},
    'write': {'revision': 7},
    'conflict': {'items': [ITEM]},
}
CALLS = {
    'read': lambda store: store.read('k'),
    'scan': lambda store: store.scan('k'),
    'watch': lambda store: store.watch('k', 1, WatchOptions(1.0)),
    'write': lambda store: store.write((Condition('k', 1),), (Put('k', b''),)),
}
CALLS['conflict'] = CALLS['write']
NESTING = 100_000
DAMAGES = {
    'with a value cut short': lambda body: body.replace(b'YWJj', b'YWJ'),
    'with a value that is no base64': lambda body: body.replace(b'YWJj', b'!!!!'),
    'nested too deeply': lambda body: b'{"x":' + b'[' * NESTING,
    'with more pages and no items': lambda body: (
        b'{"items":[],"hasMore":true,"storeRevision":7}'
    ),
}


def _encode(status, framing, body):
    start = b'HTTP/1.1 %d X\r\n' % status
    match framing:
        case 'with a length':
            return start + b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
        case 'in chunks':
            chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
            return start + b'Transfer-Encoding: chunked\r\n\r\n' + chunk
        case _:
            return start + b'\r\n' + body


def _list_cut_answers(call, framing):
    whole = _encode(200, framing, msgspec.json.encode(ANSWERS[call]))
    return [whole[:size] for size in range(len(whole) + 1)]


def _list_damaged_answers(call, content):
    status = 412 if call == 'conflict' else 200
    body = msgspec.json.encode(ANSWERS[call])
    bodies = DAMAGES[content](body), body
    return [_encode(status, 'with a length', sent) for sent in bodies]


@given('a store whose answers, {framing}, end at a later byte each time')
def cut_answers(context, framing):
    context.list_answers = lambda call: _list_cut_answers(call, framing)


@given('a store that answers {content}')
def damage_answers(context, content):
    context.list_answers = lambda call: _list_damaged_answers(call, content)


@when('the router calls "{call}" until an answer is whole')
def call_until_whole(context, call):
    context.answers = context.list_answers(call)
    unsent = iter(context.answers)

    async def serve(channel):
        await channel.read()
        channel.write(next(unsent))

    async def call_once():
        paths = StorePaths(STORE, 'domain-1', tuple)
        try:
            return await CALLS[call](PlatformStore(paths, open_null_log()))
        except StoreError:
            return None

    async def run(net):
        tasks = ConnectionTasks(serve, 'store', open_null_log())
        await net.create_server(tasks.accept, *STORE)
        return [await call_once() for _ in context.answers]

    context.results = run_on_net(run)


@then('each call but the last has failed')
def check_failed(context):
    whole = [context.answers[at] for at, result in enumerate(context.results) if result]
    assert whole == context.answers[-1:], whole
