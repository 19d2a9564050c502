"""Steps on invalid records in the store, and on targets that restart."""

import asyncio
import json
import os

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as forall

from ibisport_fleet.budget_page import decode_page
from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.errors import PeerUnavailable, RecordInvalid
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.host_record import decode_record
from ibisport_fleet.loans import Loan, LoanClient, LoanRequest, LoanServer
from ibisport_fleet.membership import decode_member
from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.overload.resources import Resources
from ibisport_fleet.peers import PeerClient, PeerServer
from ibisport_fleet.settings import ResourceLimits
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
INVALID_CONTENTS = (
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
INVALID_VALUES = {
    'service': 7,
    'address': '10.0.0.1:99999',
    'zone': None,
    'slots': 'eight',
    'state': 'resting',
    'seq': -1,
    'born': '1790000000000',
}
NEVER = 0.0
OUT_OF_RANGE = (-1, -(10**9), 2**60)


class _RecordedLog:
    """Records the lines of an event log."""

    def __init__(self):
        self.written = []

    def write(self, event, **fields):
        self.written.append((event.name, fields))


def _write(key, revision, **changes):
    content = json.dumps({**FIELDS, **changes}).encode()
    return Item(key, content, revision)


def _list_serving(context):
    return {
        candidate.entry.incarnation for candidate in context.view.list_candidates('svc')
    }


def _run(context, function):
    """Run a function inside an event loop, whose clock the view reads."""

    async def run():
        return function(context)

    return asyncio.run(run())


@given("a router's list of two targets, one with a failure and a cached prompt")
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


@when('that target is removed and restarts under its id')
def start_again(context):
    def change(context):
        context.view.apply_change(Removal(KEY, 3), NEVER)
        assert _list_serving(context) == {'i-1'}
        context.view.apply_change(_write(KEY, 4, born=BORN + 5_000, seq=0), NEVER)

    _run(context, change)


@when('that target drains and an older state of it is written late')
def drain(context):
    def change(context):
        context.view.apply_change(_write(KEY, 3, state='draining'), NEVER)
        context.view.apply_change(_write(KEY, 4), NEVER)

    _run(context, change)


@when("that target restarts and the former start's draining is written late")
def restart_and_drain(context):
    def change(context):
        context.view.apply_change(_write(KEY, 3, born=BORN + 5_000), NEVER)
        context.view.apply_change(_write(KEY, 4, state='draining'), NEVER)

    _run(context, change)


@then('it gets new requests and nothing of its former start is known')
def check_fresh(context):
    def check(context):
        candidates = context.view.list_candidates('svc')
        found = next(
            candidate
            for candidate in candidates
            if candidate.entry.incarnation == 'i-0'
        )
        assert found.entry.started_at_ms == BORN + 5_000
        assert not found.health.failures
        assert not found.health.has_cached('shared', 1e9)

    _run(context, check)


@then('it gets no new requests')
def check_gone(context):
    assert _run(context, _list_serving) == {'i-1'}


@then('the other target still does')
def check_other(context):
    assert 'i-1' in _run(context, _list_serving)


@when(
    "that target's entry becomes invalid, and its first start is written late after "
    '{event}'
)
def drop_and_write_late(context, event):
    def change(context):
        if event == 'a later start':
            context.view.apply_change(_write(KEY, 3, born=BORN + 5_000), NEVER)
        context.view.apply_change(Item(KEY, b'{}', 4), NEVER)
        if event == 'a removal':
            context.view.apply_change(Removal(KEY, 5), NEVER)
        context.view.apply_change(_write(KEY, 6), NEVER)

    _run(context, change)


@when("each kind of invalid entry replaces that target's entry")
def replace_entry(context):
    missing = [
        {name: content for name, content in FIELDS.items() if name != omitted}
        for omitted in FIELDS
        if omitted != 'born'
    ]
    wrong = [{**FIELDS, name: value} for name, value in INVALID_VALUES.items()]
    contents = [
        *INVALID_CONTENTS,
        *(json.dumps(entry).encode() for entry in missing + wrong),
    ]
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


@then(
    'it gets no new requests each time, the other does, and each entry is logged once'
)
def check_invalid_entries(context):
    assert len(context.after) > len(INVALID_VALUES)
    for content, serving, logged in context.after:
        assert serving == {'i-1'}, content[:80]
        assert logged == 1, content[:80]


@then('it gets new requests once its entry is valid again')
def check_back(context):
    assert _run(context, _list_serving) == {'i-0', 'i-1'}


@when("a listing arrives in which that target's entry is invalid")
def list_invalid_entry(context):
    def change(context):
        items = (Item(KEY, b'{}', 9), _write(OTHER, 2, address='10.0.0.2:8080'))
        context.view.apply_listing(Listing(items, 9), NEVER)

    _run(context, change)


@when('an invalid entry comes, is missing from {where}, and comes again')
def write_invalid_entry_again(context, where):
    def change(context):
        item = Item('servers/odd', b'{}', 3)
        context.view.apply_change(item, NEVER)
        if where == 'a listing':
            context.view.apply_listing(Listing((_write(KEY, 1),), 4), NEVER)
        else:
            context.view.apply_change(Removal(item.key, 4), NEVER)
        context.view.apply_change(item, NEVER)

    _run(context, change)


@then('its refusal is logged both times')
def check_logged_twice(context):
    names = [name for name, _ in context.log.written]
    assert names.count('record_refused') == 2, names


@when('200 generated contents are decoded as each kind of record')
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
    written = (documents | records).map(lambda document: json.dumps(document).encode())
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


@then('each is decoded or rejected as invalid')
def check_read(context):
    # Any other exception would have failed the previous step.
    assert 'refused' in context.outcomes, context.outcomes


@given('a router that lends')
def make_lender(context):
    context.lent = []


@when('loans of out-of-range numbers of tokens are requested')
def request_out_of_range(context):
    async def lend(request):
        context.lent.append(request)
        return Loan(request.tokens, 0, certain=True)

    async def request_loans():
        loop = asyncio.get_running_loop()
        log = EventLog(os.open(os.devnull, os.O_WRONLY))
        lender = PeerServer(LoanServer(lend).handlers, Resources(ResourceLimits()), log)
        listener = await loop.create_server(lender.connections.accept, '127.0.0.1', 0)
        address = listener.sockets[0].getsockname()
        client = LoanClient(PeerClient(ConnectionPool()))
        deadline = loop.time() + 5
        refused = 0
        for tokens in OUT_OF_RANGE:
            for request in (
                LoanRequest('a', 'w', tokens),
                LoanRequest('a', 'w', 0, repaid=tokens),
            ):
                try:
                    await client.ask(address, request, deadline)
                except PeerUnavailable:
                    refused += 1
        valid_loan = await client.ask(address, LoanRequest('a', 'w', 5), deadline)
        listener.close()
        return refused, valid_loan

    context.refused, context.valid_loan = asyncio.run(request_loans())


@then('nothing was lent and the borrower got no answer')
def check_refused(context):
    assert context.refused == 2 * len(OUT_OF_RANGE)
    assert context.valid_loan.tokens == 5
    assert context.lent == [LoanRequest('a', 'w', 5)]
