"""Steps for requests that are in progress while the catalogue changes."""

from dataclasses import replace
from unittest import mock

from behave import then, when
from running_router import (
    PREPAID,
    Caller,
    encode_request,
    make_stream,
    run_until_stopped,
)

from ibisport_fleet.catalogue import Engine, Service
from ibisport_fleet.ledger import Ledger

PROMPT_TOKENS = 3
EVENTS = 8
STREAM_SECONDS = 1.0
REQUEST_AT_SECONDS = -10.0


def _build_services(tokens_per_event):
    engine = Engine(64, 100_000, tokens_per_event)
    return {'svc': Service('svc', 10, engine)}


CATALOGUE = replace(PREPAID, services=_build_services(5))
CHANGED_SERVICES = {
    'drops the service': {},
    'lowers the token number': _build_services(1),
    'raises the token number': _build_services(9),
}


@when('a version {change} in the middle of a stream whose events hold up to 5 tokens')
def change_during_stream(context, change):
    changed = replace(CATALOGUE, version=2, services=CHANGED_SERVICES[change])
    settled = []

    async def act(site):
        await site.wait_until(REQUEST_AT_SECONDS)
        usage = f'Token-Usage: {PROMPT_TOKENS},1000\r\n'
        asking = site.call(Caller(site).ask(encode_request('stream', 'one', usage)))
        await site.wait_until(REQUEST_AT_SECONDS + STREAM_SECONDS / 2)
        site.change_catalogue(changed)
        return await asking

    def settle(ledger, reservation):
        settled.append(reservation.spent)

    with mock.patch.object(Ledger, 'settle', settle):
        played = run_until_stopped([make_stream(STREAM_SECONDS)], act, CATALOGUE)
    context.answer = played[1]
    context.settled = settled


@then(
    'the stream is whole, and its prompt and {tokens:d} tokens for each event are '
    'charged'
)
def check_charge(context, tokens):
    assert context.answer.whole, context.answer
    assert context.answer.content.count(b'id: ') == EVENTS, context.answer
    assert context.settled == [PROMPT_TOKENS + EVENTS * tokens], context.settled
