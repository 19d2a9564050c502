"""Steps on records of the routers themselves that another writer has replaced."""

import asyncio
from dataclasses import replace
from unittest import mock

from behave import then, when
from running_router import (
    CATALOGUE,
    ROUTER,
    Caller,
    encode_request,
    make_stream,
    run_until_stopped,
)

from ibisport_fleet import budget_page, host_record
from ibisport_fleet.budget_writes import PAGE_KEY
from ibisport_fleet.catalogue import Workspace
from ibisport_fleet.contact_proofs import PROOF_PREFIX, decode_proof, decode_stamp
from ibisport_fleet.errors import PeerUnavailable, RecordInvalid
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.membership import decode_member
from ibisport_fleet.peers import decode_message
from ibisport_fleet.quarantine.fatal_requests import AnswerNotice
from ibisport_fleet.store import Item
from ibisport_platform.records import CATALOGUE_KEY, decode_catalogue
from ibisport_platform.stand_in_records import encode_catalogue

HUGE = 10**400
DEEP = b'{"note":' + b'[' * 200_000 + b']' * 200_000 + b'}'
BUDGET = 100
TOKENS = 'Token-Usage: 28,2\r\n'
ASKED_AT = -12.0
APPLY_SECONDS = 1.5
RECORD_KEY = host_record.build_record_key(ROUTER)
STAMP_KEY = f'{PROOF_PREFIX}{ROUTER}/1'


def _encode_catalogue(budget):
    workspace = {'acme': Workspace('acme', 1, budget)}
    return encode_catalogue(replace(CATALOGUE, workspaces=workspace))


def _build_page(closed=0, used=1, cap=2, rate=1.0):
    return (
        f'{{"accounts":{{"acme":[{closed},{{"{ROUTER}":[{used},{cap},{rate}]}}]}},'
        f'"sessions":{{"{ROUTER}":["before",1]}}}}'
    ).encode()


def _build_record(cap=1, bound_until=1):
    return (
        f'{{"incarnation":"before","caps":{{"acme":{cap}}},'
        f'"bound_until":{bound_until},"full_cap_at":9}}'
    ).encode()


def _build_member(port):
    return f'{{"host":"r","incarnation":"i","address":["10.0.0.2",{port}]}}'.encode()


def _decode_page(item):
    return budget_page.decode_page(item.content)


def _decode_notice(item):
    return decode_message(item.content, AnswerNotice)


def _decode_record(item):
    return host_record.decode_record(item.content)


ODD_RECORDS = {
    'a budget page with -1 closed': (_decode_page, _build_page(closed=-1)),
    'a budget page with -1 used': (_decode_page, _build_page(used=-1)),
    'a budget page with a cap of -1': (_decode_page, _build_page(cap=-1)),
    'a budget page with a cap of 10^400': (_decode_page, _build_page(cap=HUGE)),
    'a budget page with a rate of nan': (_decode_page, _build_page(rate='"nan"')),
    'a host record with a cap of -1': (_decode_record, _build_record(cap=-1)),
    'a host record with a cap of 10^400': (_decode_record, _build_record(cap=HUGE)),
    'a host record bound until -1': (_decode_record, _build_record(bound_until=-1)),
    'a contact proof of the time -1': (decode_proof, b'["before",-1]'),
    'a stamp nested 200000 deep': (decode_stamp, DEEP),
    'a stamp that expires at -1': (
        decode_stamp,
        b'{"incarnation":"before","expires_at":-1,"expires_at_wall":1}',
    ),
    'an answer notice of age -1': (_decode_notice, b'{"digest":"","parts":{"p":-1}}'),
    'a router at port 65536': (decode_member, _build_member(65_536)),
    'a router at port 10^400': (decode_member, _build_member(HUGE)),
}
# What the store has before the router starts, and what is written later.
ODD_STARTS = {
    'a budget page with -1000 closed': ({PAGE_KEY: _build_page(closed=-1000)}, {}),
    'a stamp of the process before that is deep': (
        {PAGE_KEY: _build_page(), RECORD_KEY: _build_record(), STAMP_KEY: DEEP},
        {},
    ),
    'a host record that becomes invalid': ({}, {RECORD_KEY: DEEP}),
}


@when('a record of the store is {odd}')
def decode_odd_record(context, odd):
    decode, content = ODD_RECORDS[odd]
    try:
        context.decoded = decode(Item('key', content, 1))
    except (RecordInvalid, PeerUnavailable):
        context.decoded = None


@then('it is refused')
def check_refused_record(context):
    assert context.decoded is None, context.decoded


@when('a router starts beside {odd}, and requests of 30 tokens follow')
def start_beside(context, odd):
    records, later = ODD_STARTS[odd]
    catalogue = replace(CATALOGUE, workspaces={'acme': Workspace('acme', 1, BUDGET)})
    context.events = []
    _run(context, catalogue, records, later)


def _run(context, catalogue, records, later):
    """Send requests to a router; write records after the first one."""

    def write(self, event, **details):
        context.events.append((event, details))

    async def act(site):
        await site.wait_until(ASKED_AT)
        statuses = []
        for number in range(4):
            request = encode_request('stream', f'n{number}', TOKENS)
            answer = await site.call(Caller(site).ask(request))
            statuses.append(answer.status)
            for key, content in later.items():
                site.service.put(key, content)
            await asyncio.sleep(APPLY_SECONDS)
        return statuses

    with mock.patch.object(EventLog, 'write', write):
        context.site, context.statuses = run_until_stopped(
            [make_stream(0.5)], act, catalogue, records=records
        )


@then('they are answered with {statuses} out of a budget of 100 tokens')
def check_statuses(context, statuses):
    expected = [int(status) for status in statuses.split(', ')]
    assert context.statuses == expected, (context.statuses, context.events)


@then('the record is refused and logged')
def check_logged(context):
    events = {event for event, _ in context.events}
    assert events & {Event.record_refused, Event.budget_unknown}, events


@then('no task has failed because of an odd record')
def check_tasks(context):
    failed = {Event.task_failed, Event.request_error}
    found = [item for item in context.events if item[0] in failed]
    assert not found, found


@when('the catalogue has a budget of {base:d}^{exponent:d} tokens, and requests follow')
def serve_large_budget(context, base, exponent):
    catalogue = decode_catalogue(
        Item(CATALOGUE_KEY, _encode_catalogue(base**exponent), 2)
    )
    context.events = []
    context.statuses = []
    records = {}
    for _ in range(2):
        statuses = context.statuses
        _run(context, catalogue, records, {})
        context.statuses += statuses
        # What the first router has written; its leases are gone.
        kept = context.site.service.items
        keys = kept.keys() & {PAGE_KEY, RECORD_KEY}
        records = {key: kept[key].content for key in keys}


@then('they are all served, also by a router that starts later')
def check_large_budget(context):
    assert len(context.statuses) == 8, context.statuses
    assert set(context.statuses) == {200}, (context.statuses, context.events)
