"""Steps for errors that no code expects: injected at each part of a request's way."""

from contextlib import ExitStack
from unittest import mock

from behave import then, when
from running_router import (
    KEY,
    PREPAID,
    Caller,
    encode_request,
    make_plain,
    make_stream,
    run_until_stopped,
)

from ibisport_fleet.event_log import Event
from ibisport_fleet.ledger import Ledger

FLEET = 'ibisport_fleet'
PLACES = {
    'reading its metadata': 'ibisport_platform.headers.PlatformDialect.decode_request',
    'identifying the workspace': f'{FLEET}.call_handler.admit',
    'admission': f'{FLEET}.call_handler.admit',
    'choosing a target': f'{FLEET}.target_selection.TargetSelector.select',
    'recording the send': f'{FLEET}.request_recorder.RequestRecorder.record_sent',
    'writing to the target': f'{FLEET}.http_connection.HttpConnection.send',
    'reading the answer': f'{FLEET}.http_connection.HttpConnection.read_head',
    'splitting a stream': f'{FLEET}.sse.EventSplitter.feed',
    'recording the answer': f'{FLEET}.request_recorder.RequestRecorder.record_served',
    'counting the tokens': f'{FLEET}.forwarding.RequestForwarder.count_tokens',
}
TOKENS = 'Token-Usage: 3,10\r\n'
MAX_TOKENS = 13
ODD_NAME, NEXT_NAME = 'odd', 'next'
LONG_BODY_BYTES = 100_000
STEP_SECONDS = 1.0


class InjectedError(Exception):
    """An error of a type that no code expects."""


def _record_events(stack, events):
    def write(self, event, **details):
        events.append((event, details))

    stack.enter_context(mock.patch(f'{FLEET}.event_log.EventLog.write', write))


def _spy_on_settle(context):
    settle = Ledger.settle

    def settle_and_keep(ledger, reservation):
        context.ledger = ledger
        settle(ledger, reservation)

    return settle_and_keep


def _run_with_error(context, place, act, catalogue=PREPAID):
    context.events = []
    with ExitStack() as stack:
        _record_events(stack, context.events)

        async def act_with_error(site):
            await site.wait_until(-10.0)
            error = InjectedError('injected')
            with mock.patch(PLACES[place], side_effect=error):
                context.answer, caller = await act(site)
            if not context.answer.whole:
                caller = Caller(site)
            context.next_answer = await site.call(
                caller.ask(encode_request('once', NEXT_NAME, TOKENS))
            )

        replies = [make_stream(1.0) if place == 'splitting a stream' else make_plain()]
        replies += [make_plain()]
        if place == 'counting the tokens':
            replies[0] = make_stream(1.0)
        stack.enter_context(
            mock.patch.object(Ledger, 'settle', _spy_on_settle(context))
        )
        context.site = run_until_stopped(replies, act_with_error, catalogue)[0]


@when(
    '{place} fails for a request of kind {kind}, and the next one is sent on the '
    'same connection'
)
def fail_request(context, place, kind):
    async def act(site):
        caller = Caller(site)
        request = encode_request(kind, ODD_NAME, TOKENS)
        return await site.call(caller.ask(request)), caller

    _run_with_error(context, place, act)


@when('{place} fails for a request with a long body')
def fail_long_body(context, place):
    async def act(site):
        caller = Caller(site)
        request = (
            f'POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {ODD_NAME}\r\n'
            f'Authorization: Bearer {KEY}\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n'
        ).encode() + b'x' * LONG_BODY_BYTES
        return await site.call(caller.ask(request)), Caller(site)

    _run_with_error(context, place, act)


@then('the caller gets "{outcome}", and {runs:d} requests reach the target for it')
def check_outcome(context, outcome, runs):
    answer = context.answer
    seen = f'{answer.status}' if answer.whole else 'broken'
    assert seen == outcome, answer
    if outcome == '503':
        assert float(answer.headers[b'retry-after']) > 0, answer
    assert context.site.has_got(ODD_NAME) == bool(runs), context.site.target.requests


@then('the next request is served')
def check_next(context):
    answer = context.next_answer
    assert answer.status == 200 and answer.whole, answer


@then('the log names the request and the error')
def check_log(context):
    errors = [
        details for event, details in context.events if event is Event.request_error
    ]
    assert len(errors) == 1, context.events
    assert errors[0]['request'] in {ODD_NAME, ''}, errors
    assert 'InjectedError' in errors[0]['reason'], errors
    failed = [item for item in context.events if item[0] is Event.task_failed]
    assert not failed, failed


@then('no tokens stay reserved, and {charged:d} tokens are charged for it')
def check_tokens(context, charged):
    budget = context.ledger.find('acme')
    assert budget.reserved == 0, budget
    assert budget.settled == charged, budget
