"""Steps on records that others wrote, and on targets that start again."""

import asyncio
import json
import os

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as forall

from ibisport_fleet.budget_page import decode_page
from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.errors import PeerUnavailable, RecordInvalid
from ibisport_fleet.eventlog import EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.host_record import decode_record
from ibisport_fleet.loans import Loan, LoanClient, LoanRequest, LoanServer
from ibisport_fleet.membership import decode_member
from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.peers import PeerClient, PeerServer
from ibisport_fleet.store import Item, Listing, Removal
from ibisport_platform.records import (
    decode_catalogue,
    decode_target,
    parse_incarnation,
)

KEY = 'servers/i-0'
OTHER = 'servers/i-1'
BORN = 1_790_000_000_000
PARTS = (PromptPart('shared', 6_000), PromptPart('own', 10))
UNREADABLE = (
    b'',
    b'\xff\xfe',
    b'[]',
    b'{"service":"svc"}',
    b'[' * 100_000,
)
FIELDS = {
    'service': 'svc',
    'address': '10.0.0.1:8080',
    'zone': 'd',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldLeftMs': 0,
    'seq': 1,
    'born': BORN,
}
WRONG = {
    'service': 7,
    'address': '10.0.0.1:99999',
    'zone': None,
    'slots': 'eight',
    'state': 'resting',
    'seq': -1,
    'born': '1790000000000',
}
NEVER = 0.0
ABSURD = (-1, -(10**9), 2**60)


class _RecordedLog:
    """Counts the lines of a log."""

    def __init__(self):
        self.written = []

    def write(self, event, **fields):
        self.written.append((event.name, fields))


def _write(key, revision, **changes):
    content = json.dumps({**FIELDS, **changes}).encode()
    return Item(key, content, revision)


def _list_serving(context):
    return {one.entry.incarnation for one in context.view.list_candidates('svc')}


def _run(context, work):
    """Run steps of the view inside an event loop, whose clock it reads."""

    async def run():
        return work(context)

    return asyncio.run(run())


@given("a router's list of two targets of which one has failed and holds a prompt")
def make_view(context):
    context.log = _RecordedLog()
    context.view = TargetView(decode_target, parse_incarnation, context.log)

    def fill(context):
        items = (_write(KEY, 1), _write(OTHER, 2, address='10.0.0.2:8080'))
        context.view.apply_listing(Listing(items, 2), NEVER)
        health = context.view.find_health(('i-0', BORN))
        health.record_failure(1e9)
        health.record_parts(PARTS, 1e9)
        assert _list_serving(context) == {'i-0', 'i-1'}

    _run(context, fill)


@when('that target is gone and starts again under its id')
def start_again(context):
    def change(context):
        context.view.apply_change(Removal(KEY, 3), NEVER)
        assert _list_serving(context) == {'i-1'}
        context.view.apply_change(_write(KEY, 4, born=BORN + 5_000, seq=0), NEVER)

    _run(context, change)


@when('that target drains and an older word of it is written late')
def drain(context):
    def change(context):
        context.view.apply_change(_write(KEY, 3, state='draining'), NEVER)
        context.view.apply_change(_write(KEY, 4), NEVER)

    _run(context, change)


@when("that target starts again and the former start's draining is written late")
def cross(context):
    def change(context):
        context.view.apply_change(_write(KEY, 3, born=BORN + 5_000), NEVER)
        context.view.apply_change(_write(KEY, 4, state='draining'), NEVER)

    _run(context, change)


@then('it takes new work and nothing of its former start is known')
def check_fresh(context):
    def check(context):
        candidates = context.view.list_candidates('svc')
        found = next(one for one in candidates if one.entry.incarnation == 'i-0')
        assert found.entry.started_at_ms == BORN + 5_000
        assert not found.health.failures
        assert not found.health.has_cached('shared', 1e9)

    _run(context, check)


@then('it takes no new work')
def check_gone(context):
    assert _run(context, _list_serving) == {'i-1'}


@then('the other target still does')
def check_other(context):
    assert 'i-1' in _run(context, _list_serving)


@when("each kind of unreadable entry is written over that target's")
def spoil(context):
    missing = [
        {name: one for name, one in FIELDS.items() if name != left}
        for left in FIELDS
        if left != 'born'
    ]
    wrong = [{**FIELDS, name: value} for name, value in WRONG.items()]
    contents = [*UNREADABLE, *(json.dumps(one).encode() for one in missing + wrong)]
    context.after = []

    def change(context):
        for number, content in enumerate(contents):
            before = len(context.log.written)
            for again in range(2):
                item = Item(KEY, content, 10 + 3 * number + again)
                context.view.apply_change(item, NEVER)
            refused = [
                name
                for name, _ in context.log.written[before:]
                if name == 'record_refused'
            ]
            context.after.append((content, _list_serving(context), len(refused)))
            context.view.apply_change(_write(KEY, 12 + 3 * number), NEVER)
            assert _list_serving(context) == {'i-0', 'i-1'}, content

    _run(context, change)


@then('it takes no new work each time, the other does, and each is logged once')
def check_spoilt(context):
    assert len(context.after) > len(WRONG)
    for content, serving, logged in context.after:
        assert serving == {'i-1'}, content[:80]
        assert logged == 1, content[:80]


@then('it takes new work once its entry can be read again')
def check_back(context):
    assert _run(context, _list_serving) == {'i-0', 'i-1'}


@when("a listing comes in which that target's entry is unreadable")
def list_spoilt(context):
    def change(context):
        items = (Item(KEY, b'{}', 9), _write(OTHER, 2, address='10.0.0.2:8080'))
        context.view.apply_listing(Listing(items, 9), NEVER)

    _run(context, change)


@when('200 generated contents are read as each kind of record')
def read_generated(context):
    context.outcomes = set()
    scalars = strategies.none() | strategies.booleans() | strategies.text(max_size=8)
    numbers = strategies.integers() | strategies.floats()
    names = strategies.sampled_from(
        (*FIELDS, 'accounts', 'sessions', 'caps', 'host', 'incarnation', 'routes')
    )
    documents = strategies.recursive(
        scalars | numbers,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                names | strategies.text(max_size=4), inner, max_size=6
            )
        ),
        max_leaves=12,
    )
    records = strategies.dictionaries(names, documents, max_size=9)
    written = (documents | records).map(lambda one: json.dumps(one).encode())
    readers = (
        decode_target,
        decode_catalogue,
        decode_member,
        lambda item: decode_page(item.content),
        lambda item: decode_record(item.content),
    )

    @settings(
        max_examples=200,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @forall(strategies.binary(max_size=60) | written)
    def read(content):
        for reader in readers:
            try:
                reader(Item(KEY, content, 1))
            except RecordInvalid:
                context.outcomes.add('refused')
            else:
                context.outcomes.add('read')

    read()


@then('each is read or refused as a record')
def check_read(context):
    # Any other exception would have ended the step before.
    assert 'refused' in context.outcomes, context.outcomes


@given('a router that lends')
def make_lender(context):
    context.lent = []


@when('loans of absurd numbers of tokens are asked for')
def ask_absurd(context):
    async def lend(request):
        context.lent.append(request)
        return Loan(request.tokens, 0, certain=True)

    async def ask():
        loop = asyncio.get_running_loop()
        log = EventLog(os.open(os.devnull, os.O_WRONLY))
        lender = PeerServer(LoanServer(lend).handlers, log)
        listener = await loop.create_server(lender.connections.accept, '127.0.0.1', 0)
        address = listener.sockets[0].getsockname()
        client = LoanClient(PeerClient(ConnectionPool()))
        until = loop.time() + 5
        refused = 0
        for tokens in ABSURD:
            for request in (
                LoanRequest('a', 'w', tokens),
                LoanRequest('a', 'w', 0, repaid=tokens),
            ):
                try:
                    await client.ask(address, request, until)
                except PeerUnavailable:
                    refused += 1
        honest = await client.ask(address, LoanRequest('a', 'w', 5), until)
        listener.close()
        return refused, honest

    context.refused, context.honest = asyncio.run(ask())


@then('nothing was lent and the asker knows that nobody answered')
def check_refused(context):
    assert context.refused == 2 * len(ABSURD)
    assert context.honest.tokens == 5
    assert context.lent == [LoanRequest('a', 'w', 5)]
