"""Steps on headers of callers and of targets with odd values."""

import asyncio
from dataclasses import replace
from unittest import mock

from behave import then, when
from running_router import (
    CATALOGUE,
    END,
    STREAM_HEAD,
    Caller,
    encode_request,
    make_route,
    make_stream,
    run_until_stopped,
)

from ibisport_bench.standins.scripted import Reply
from ibisport_fleet.catalogue import RouteKind, Workspace
from ibisport_fleet.event_log import Event, EventLog

ASKED_AT = -10.0
DIGITS = '9' * 400
LONG_VALUES = {
    'a number of 400 digits': DIGITS,
    'parts of 400 digits': f'a:{DIGITS},b:{DIGITS}',
}
BUDGET = 100
OVER_BUDGET = 'Token-Usage: 5000,10\r\n'
INVALID, SERVED, NO_TOKENS = 400, 200, 402


def _run(context, replies, act, catalogue=CATALOGUE):
    context.events = []

    def write(self, event, **details):
        context.events.append((event, details))

    async def act_later(site):
        await site.wait_until(ASKED_AT)
        context.answers = await act(site)

    with mock.patch.object(EventLog, 'write', write):
        context.site = run_until_stopped(replies, act_later, catalogue)[0]


@when('a request whose {header} is {odd} is sent, and the next one on its connection')
def send_odd_header(context, header, odd):
    line = f'{header}: {LONG_VALUES.get(odd, odd)}\r\n'

    async def act(site):
        caller = Caller(site)
        return [
            await site.call(caller.ask(encode_request('stream', name, extra)))
            for name, extra in (('first', line), ('second', ''))
        ]

    _run(context, [make_stream(0.5)], act)


@then('the first one is refused as invalid, and the second one is served')
def check_odd_header(context):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [INVALID, SERVED], context.answers
    assert not context.site.has_got('first')


@then('no request has caused an error in the router')
def check_no_error(context):
    odd = {Event.request_error, Event.task_failed}
    found = [item for item in context.events if item[0] in odd]
    assert not found, found


@when(
    'a request of {tokens:d} tokens is running, and one of more tokens than are left '
    'arrives'
)
def send_negative_tokens(context, tokens):
    catalogue = replace(CATALOGUE, workspaces={'acme': Workspace('acme', 1, BUDGET)})

    async def act(site):
        usage = f'Token-Usage: {tokens},1\r\n'
        first = site.call(Caller(site).ask(encode_request('stream', 'first', usage)))
        await asyncio.sleep(0.5)
        request = encode_request('stream', 'second', OVER_BUDGET)
        return await site.call(Caller(site).ask(request)), await first

    _run(context, [make_stream(2.0)], act, catalogue)


@then('the second one is refused, and reaches no target')
def check_budget(context):
    assert context.answers[0].status == NO_TOKENS, context.answers
    assert not context.site.has_got('second')


@when('a target streams events with ids of {digits:d} digits')
def stream_long_ids(context, digits):
    event = b'id: %b\ndata: d\n\n' % (b'9' * digits)
    chunk = b'%x\r\n%b\r\n' % (len(event), event)
    context.content = event * 2
    resumable = make_route('resumable', RouteKind.stream, resumable=True)
    catalogue = replace(CATALOGUE, routes=(*CATALOGUE.routes, resumable))

    async def act(site):
        return [
            await site.call(Caller(site).ask(encode_request(kind, kind)))
            for kind in ('stream', 'resumable')
        ]

    _run(context, [Reply([STREAM_HEAD, chunk, chunk, END], 0.1)], act, catalogue)


@then('the caller gets the whole stream, also on a route whose streams resume')
def check_stream(context):
    for answer in context.answers:
        assert answer.whole and answer.content == context.content, answer
