"""Steps for errors that no code expects: injected at each part of a request's way."""

import asyncio
from contextlib import ExitStack
from dataclasses import replace
from functools import partial
from unittest import mock

from behave import then, when
from followers import ReadableLog
from running_router import (
    CATALOGUE,
    KEY,
    PREPAID,
    Caller,
    encode_request,
    make_plain,
    make_silence,
    make_stream,
    run_until_stopped,
)

from ibisport_bench.standins.memory_store import MemoryService
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.event_log import Event
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.ledger import Ledger
from ibisport_fleet.prefix_watch import PrefixWatch
from ibisport_fleet.store_contact import StoreContact
from ibisport_fleet.targets import TargetEntry
from ibisport_fleet.watch_schedule import plan_router_watch

FLEET = 'ibisport_fleet'
# The target doesn't answer by the deadline, which decides the status.
SILENT_PLACE = 'counting after a wait'
DEADLINE = 'Deadline-Ms: 500\r\n'
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
    SILENT_PLACE: f'{FLEET}.forwarding.RequestForwarder.count_tokens',
}
FIRST_REPLIES = {
    'splitting a stream': partial(make_stream, 1.0),
    'counting the tokens': partial(make_stream, 1.0),
    SILENT_PLACE: make_silence,
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

        first = FIRST_REPLIES.get(place, make_plain)()
        stack.enter_context(
            mock.patch.object(Ledger, 'settle', _spy_on_settle(context))
        )
        context.site = run_until_stopped(
            [first, make_plain()], act_with_error, catalogue
        )[0]


@when(
    '{place} fails for a request of kind {kind}, and the next one is sent on the '
    'same connection'
)
def fail_request(context, place, kind):
    async def act(site):
        caller = Caller(site)
        deadline = DEADLINE if place == SILENT_PLACE else ''
        request = encode_request(kind, ODD_NAME, TOKENS + deadline)
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


@then('its id stands in the log')
def check_id_in_log(context):
    check_log(context)
    names = {
        details['request'] for _, details in context.events if 'request' in details
    }
    assert ODD_NAME in names, names


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
    assert errors[0]['place'], errors
    failed = [item for item in context.events if item[0] is Event.task_failed]
    assert not failed, failed


@then('no tokens stay reserved, and {charged:d} tokens are charged for it')
def check_tokens(context, charged):
    budget = context.ledger.find('acme')
    assert budget.reserved == 0, budget
    assert budget.settled == charged, budget


def parse_name(key):
    return key.removeprefix('servers/')


def decode_target(item):
    if item.content == b'odd':
        raise InjectedError(item.key)
    name = parse_name(item.key)
    return TargetEntry(name, 'svc', ('10.0.0.2', 1), 'd-0', 1, False, item.revision)


def _decode_catalogue(item):
    if item.content == b'odd':
        raise InjectedError(item.key)
    return replace(CATALOGUE, version=item.revision)


def watch_prefix(service, prefix, subscriber, log):
    contact = StoreContact(asyncio.get_running_loop().time())
    watch = PrefixWatch(
        service.open_store('router'),
        prefix,
        subscriber,
        log,
        contact,
        lambda: plan_router_watch(1, 1, STEP_SECONDS),
    )
    return asyncio.create_task(watch.run(lambda: None))


@when(
    'the decoders fail for one of two entries of targets, and for the second of three '
    'catalogues'
)
def break_decoders(context):
    async def play():
        service = MemoryService()
        context.log = ReadableLog()
        context.targets = TargetView(decode_target, parse_name, context.log)
        context.catalogue = CatalogueView('op/config', _decode_catalogue, context.log)
        for key in ('op/config', 'servers/i-0', 'servers/i-1'):
            service.put(key, b'')
        tasks = [
            watch_prefix(service, 'servers/', context.targets, context.log),
            watch_prefix(service, 'op/', context.catalogue, context.log),
        ]
        for content in (b'odd', b''):
            await asyncio.sleep(STEP_SECONDS)
            service.put('servers/i-0', b'odd')
            service.put('op/config', content)
        await asyncio.sleep(STEP_SECONDS)
        context.newest = service.revision
        context.ended = [task for task in tasks if task.done()]

    run_virtually(play())


@then(
    'the other target is listed, the third catalogue is in force, and both refusals '
    'are logged'
)
def check_decoders(context):
    listed = [entry.incarnation for entry in context.targets.targets.entries]
    assert listed == ['i-1'], listed
    assert context.catalogue.current.version == context.newest
    assert not context.ended, context.ended
    assert len(context.log.list_events(Event.record_refused)) == 2


class _FailingSubscriber:
    """A subscriber that fails to apply its first change.

    Attributes:
        contents: The applied contents.
    """

    def __init__(self):
        self.contents = []
        self._failed = False

    def apply_listing(self, listing, doubtful_until):
        """Apply a listing."""
        self.contents += [item.content for item in listing.items]

    def apply_change(self, change, doubtful_until):
        """Apply a change; the first one fails."""
        if not self._failed:
            self._failed = True
            raise InjectedError(change.key)
        self.contents.append(change.content)


@when('a subscriber fails to apply its first change')
def fail_to_apply(context):
    async def play():
        service = MemoryService()
        context.log = ReadableLog()
        context.subscriber = _FailingSubscriber()
        service.put('key', b'1')
        context.task = watch_prefix(service, 'key', context.subscriber, context.log)
        for content in (b'2', b'3'):
            await asyncio.sleep(2 * STEP_SECONDS)
            service.put('key', content)
        await asyncio.sleep(2 * STEP_SECONDS)
        assert not context.task.done(), context.task

    run_virtually(play())


@then('it gets a listing with the change, and the watch goes on')
def check_applied(context):
    assert context.subscriber.contents == [b'1', b'2', b'3']
    assert len(context.log.list_events(Event.task_failed)) == 1
