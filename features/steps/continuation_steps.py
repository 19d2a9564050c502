"""Steps on streams that go on at the copy of their run."""

import asyncio
import re
from dataclasses import replace

from behave import given, then, when
from copying_engines import ENGINE, OBJECTIVE_SECONDS, TOKENS_PER_EVENT
from fleet_targets import BEFORE_HEAD, EVENT_INTERVAL_SECONDS, EVENTS
from running_fleet import BOUNDS, run_fleet
from running_router import make_route

from ibisport_fleet.catalogue import RouteKind, Workspace
from ibisport_fleet.event_log import Event
from ibisport_fleet.settings import Feature

PROMPT_TOKENS = 100
USAGE = f'Token-Usage: {PROMPT_TOKENS},{EVENTS * TOKENS_PER_EVENT}\r\n'
BUDGET = 1_000_000
EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)
PAUSE_SECONDS = 0.2
SETTLED_SECONDS = 3.0


class RecordingLog:
    """Keeps the events that routers log."""

    dropped = 0

    def __init__(self):
        self.lines = []

    def refill(self, seconds):
        """Accept all lines."""

    def write(self, event, **details):
        """Keep one event."""
        self.lines.append((event, details))

    def find(self, event):
        """Return the details of all lines of an event."""
        return [details for found, details in self.lines if found is event]


def make_engine_catalogue(engine, **changes):
    """Return a function that changes a catalogue to one of engines and one stream."""

    def change(catalogue):
        route = replace(
            make_route('stream', RouteKind.stream, resumable=False),
            max_pause_seconds=PAUSE_SECONDS,
            objective=OBJECTIVE_SECONDS,
        )
        service = replace(catalogue.services['svc'], engine=engine)
        return replace(
            catalogue,
            routes=(replace(route, **changes),),
            services={'svc': service},
            workspaces={'acme': Workspace('acme', 1, BUDGET)},
        )

    return change


def run_stream(context, disturb, before=None):
    """Run one stream and a disturbance of it; keep the fleet and the answer."""
    log = RecordingLog()

    def change_fleet(fleet):
        fleet.features = context.features
        if 'bounds' in context:
            fleet.bounds = context.bounds
        fleet.log = log

    async def act(fleet):
        if before is not None:
            before(fleet)
        asking = asyncio.ensure_future(
            fleet.call(fleet.ask(fleet.routers[0], 'stream', b'x', USAGE))
        )
        while not fleet.arrivals:
            await asyncio.sleep(0.001)
        await disturb(fleet, asking)
        await asyncio.wait((asking,))
        context.answer = None if asking.cancelled() else asking.result()
        await asyncio.sleep(SETTLED_SECONDS)
        router = fleet.routers[0].router
        context.copies = router._call_handler.copies_in_flight
        context.metrics = router._metrics.dump().decode()

    context.log = log
    context.fleet = run_fleet(
        act, 1, 4, change_catalogue=context.change, change_fleet=change_fleet
    )


def find_only(context, event):
    """Return the details of the only line of an event."""
    lines = context.log.find(event)
    assert len(lines) == 1, lines
    return lines[0]


def find_target(fleet, incarnation):
    """Return the target with an incarnation, or None after its restart."""
    for target in fleet.targets:
        if target.incarnation == incarnation:
            return target
    return None


def list_event_ids(answer):
    """Return the ids of the events that a caller got."""
    return [int(found) for found in EVENT_ID.findall(answer.content)]


async def wait_for_event(number, pace=0.3):
    """Wait until shortly after a target's event with a number."""
    await asyncio.sleep(EVENT_INTERVAL_SECONDS * (number + pace))


@given("engines with copies and a route that can't be resumed")
def use_copies(context):
    context.features = frozenset((Feature.copies,))
    context.change = make_engine_catalogue(ENGINE)


@given("engines without copies and a route that can't be resumed")
def use_no_copies(context):
    context.features = frozenset((Feature.copies,))
    context.change = make_engine_catalogue(replace(ENGINE, backups=False))


@given('engines without copies and a route that can be resumed at {count:d} targets')
def use_resumable(context, count):
    context.features = frozenset((Feature.copies,))
    context.change = make_engine_catalogue(
        replace(ENGINE, backups=False), resumable=True, max_targets=count
    )


@given('routers that may not retry')
def forbid_retries(context):
    context.bounds = replace(BOUNDS, retry_ratio=0.0, retry_slack=0.0)


@when('the first target hangs before its head, and {others:d} others do')
def hang_before_head(context, others):
    _hang(context, BEFORE_HEAD, others)


@when('the first target hangs after {events:d} events, and {others:d} others do')
def hang_after(context, events, others):
    _hang(context, events, others)


def _hang(context, events, others):
    def begin(fleet):
        for target in fleet.targets:
            target.hangs_after = events

    async def disturb(fleet, asking):
        while len(fleet.arrivals) <= others and not asking.done():
            await asyncio.sleep(0.001)
        silent = {arrival.target for arrival in fleet.arrivals}
        for target in fleet.targets:
            if target.incarnation not in silent:
                target.hangs_after = None

    run_stream(context, disturb, begin)


@given("engines with copies and routers that don't use them")
def use_no_feature(context):
    context.features = frozenset()
    context.change = make_engine_catalogue(ENGINE)


@when('the target of a stream {fault} after {events:d} events')
def disturb_target(context, fault, events):
    context.broken_after = events

    async def disturb(fleet, asking):
        target = find_target(fleet, fleet.arrivals[0].target)
        if fault == 'hangs':
            target.hangs_after = events
            return
        if events:
            await wait_for_event(events)
        else:
            # The copy has begun before the first event is complete.
            await asyncio.sleep(EVENT_INTERVAL_SECONDS / 2)
            _begin_copy(fleet, target)
        match fault:
            case 'crashes':
                target.crash()
            case 'is reset':
                target.reset()

    run_stream(context, disturb)


def _begin_copy(fleet, source):
    for target in fleet.targets:
        if target is not source:
            target.copies[fleet.arrivals[0].name.encode()] = 0


@when('the target of a stream crashes after {events:d} events and the copy is gone')
def lose_copy(context, events):
    def lose(fleet):
        for target in fleet.targets:
            target.copies.clear()

    _crash_and(context, events, lose)


@when(
    "the target of a stream crashes after {events:d} events and the copy's engine too"
)
def lose_engine(context, events):
    def lose(fleet):
        for target in fleet.targets:
            if target.copies:
                target.crash()

    _crash_and(context, events, lose)


@when(
    'the target of a stream crashes after {events:d} events '
    'and the ids of its copy are off by {offset:d}'
)
def shift_ids(context, events, offset):
    def shift(fleet):
        for target in fleet.targets:
            target.id_offset = offset

    _crash_and(context, events, shift)


@when(
    'the target of a stream crashes after {events:d} events '
    'and its copy answers for another run'
)
def answer_for_other_run(context, events):
    def change(fleet):
        for target in fleet.targets:
            target.other_run = b'another'

    _crash_and(context, events, change)


def _crash_and(context, events, change):
    async def disturb(fleet, asking):
        await wait_for_event(events)
        change(fleet)
        find_target(fleet, fleet.arrivals[0].target).crash()

    run_stream(context, disturb)


@when('the target of a stream crashes after 3 events and its caller disconnects')
def disconnect(context):
    async def disturb(fleet, asking):
        await wait_for_event(3)
        find_target(fleet, fleet.arrivals[0].target).crash()
        while len(fleet.arrivals) < 2:
            await asyncio.sleep(0.001)
        fleet.net.kill('caller')

    run_stream(context, disturb)


@when('each target of a stream crashes after 2 events of its own')
def crash_each(context):
    async def disturb(fleet, asking):
        for number in range(3):
            while len(fleet.arrivals) <= number:
                await asyncio.sleep(0.001)
            await wait_for_event(2)
            find_target(fleet, fleet.arrivals[number].target).crash()

    run_stream(context, disturb)


@when('the first target of a stream rejects it')
def reject_first(context):
    def reject(fleet):
        for target in fleet.targets:
            target.rejects = True

    async def disturb(fleet, asking):
        for target in fleet.targets:
            target.rejects = False

    run_stream(context, disturb, reject)


@then('the caller gets each event once')
def check_events(context):
    assert context.answer.whole, context.answer
    assert list_event_ids(context.answer) == list(range(1, EVENTS + 1)), context.answer


@then("the copy's engine is asked once, from the event after the last complete one")
def check_continuation(context):
    fleet = context.fleet
    source, holder = (arrival.target for arrival in fleet.arrivals)
    assert fleet.continuations == [(holder, context.broken_after + 1, True)]
    line = find_only(context, Event.stream_continued)
    assert line['last_event'] == (context.broken_after or None), line
    assert (line['source'], line['target']) == (source, holder), line


@then('no other target gets the request')
def check_not_continued(context):
    assert len(context.fleet.arrivals) == 1, context.fleet.arrivals
    assert not context.fleet.continuations


@then('the budget is charged for the prompt once and for each event once')
def check_charged(context):
    charged = PROMPT_TOKENS + EVENTS * TOKENS_PER_EVENT
    assert f'ibisport_tokens{{workspace="acme"}} {charged}' in context.metrics
    assert 'ibisport_continued_streams{service="svc"} 1' in context.metrics
    copies = len(context.fleet.arrivals)
    assert f'ibisport_copies{{service="svc"}} {copies}' in context.metrics


@then(
    'the first event came within {first:d} seconds '
    'and no gap was longer than {gap:d} second'
)
def check_times(context, first, gap):
    sent, resent = (arrival.at for arrival in context.fleet.arrivals)
    line = find_only(context, Event.target_silent)
    limit = gap if line['events'] else first
    assert resent - sent < limit + line['events'] * EVENT_INTERVAL_SECONDS
    assert context.answer.ended_at - context.answer.sent_at < first + 1


@then('the connection to the silent target is closed before the next target is asked')
def check_closed(context):
    first, second = context.fleet.arrivals
    closed = [at for at, target in context.fleet.closed if target == first.target]
    assert closed and closed[0] <= second.at, (closed, second)


@then('the request fails at its deadline')
def check_timeout(context):
    assert find_only(context, Event.request_failed)['reason'] == 'timeout'


@then('the connection to the target stays open until the deadline')
def check_waited(context):
    assert list_event_ids(context.answer) == [1, 2, 3]
    line = find_only(context, Event.request_failed)
    assert line['reason'] == 'timeout', line
    assert not context.log.find(Event.target_silent)


@then('the caller gets {count:d} events and a broken stream')
def check_broken(context, count):
    assert list_event_ids(context.answer) == list(range(1, count + 1)), context.answer
    assert not context.answer.whole


@then('at most two targets got the request')
def check_two_targets(context):
    assert len({arrival.target for arrival in context.fleet.arrivals}) <= 2


@then('{count:d} targets got the request')
def check_targets(context, count):
    assert len({arrival.target for arrival in context.fleet.arrivals}) == count


@then('the missing copy is logged')
def check_missing(context):
    find_only(context, Event.copy_missing)


@then('no copy is counted as in flight')
def check_no_copies(context):
    assert len(context.fleet.continuations) == 1
    assert context.copies == 0


@then('no request names a copy')
@then('no target is asked for a copy')
def check_not_asked(context):
    assert not context.fleet.continuations
