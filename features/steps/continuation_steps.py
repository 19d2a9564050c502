"""Steps on streams that go on at the copy of their run."""

import asyncio
import math
import re
from dataclasses import replace

import msgspec
from behave import given, then, when
from engines import build_engine
from fleet_targets import BEFORE_HEAD, EVENT_INTERVAL_SECONDS, EVENTS
from running_fleet import BOUNDS, run_fleet
from running_router import make_route

from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import Engine, RouteKind, Workspace
from ibisport_fleet.continuation.copies import CopiesInFlight, plan_copy, select_backup
from ibisport_fleet.continuation.hedging import AnswerTimes
from ibisport_fleet.continuation.silence import compute_gap_limit, compute_start_limit
from ibisport_fleet.event_log import Event
from ibisport_fleet.http_messages import Request
from ibisport_fleet.metadata import RunCopy, SendMetadata, TargetLoad
from ibisport_fleet.settings import Feature
from ibisport_fleet.store import Item
from ibisport_platform.headers import PlatformDialect
from ibisport_platform.records import CATALOGUE_KEY, decode_catalogue

NOW = 10.0
PROMPT_TOKENS = 100
TOKENS_PER_EVENT = 5
USAGE = f'Token-Usage: {PROMPT_TOKENS},{EVENTS * TOKENS_PER_EVENT}\r\n'
ENGINE = Engine(64, 100_000, TOKENS_PER_EVENT, 1e-5, True, 5.0)
BUDGET = 1_000_000
EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)
PAUSE_SECONDS = 0.2
OBJECTIVE_SECONDS = 0.5
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


def _build_engine(number, state):
    """Return an engine with a state such as "far idle"."""
    place, _, state = state.partition(' ')
    engine = build_engine(number)
    domain = 'd' if place == 'near' else 'e'
    engine = replace(engine, entry=replace(engine.entry, domain=domain))
    health = engine.health
    match state:
        case 'busy':
            health.record_load(TargetLoad(20, 0, 64), NOW)
        case 'crowded':
            health.record_load(TargetLoad(40, 0, 64), NOW)
        case 'leaving':
            health.leaving = True
        case 'silent':
            health.begin_request(NOW - 2)
        case 'paused':
            health.pause_until(NOW + 1)
        case 'failed':
            health.record_failure(NOW)
    return engine


def _make_call(engine=ENGINE, **changes):
    route = replace(make_route('stream', RouteKind.stream), objective=OBJECTIVE_SECONDS)
    headers = ((b'attempt-id', b'n1'), (b'token-usage', b'100,40'))
    request = Request('POST', b'/stream/x', headers, b'', True, 0.0, 0.0)
    metadata = PlatformDialect().decode_request(request)
    return Call(request, metadata, replace(route, **changes), 'svc', 1, None, 20.0)


@given('an engine with a stream, and others that are {others}')
def build_engines(context, others):
    context.source = build_engine(0)
    context.others = [
        _build_engine(number, state)
        for number, state in enumerate(others.split(', '), 1)
    ]
    context.copies = CopiesInFlight()
    context.plan = plan_copy(_make_call(), ENGINE, 0.025, 1.0)
    for engine, state in zip(context.others, others.split(', '), strict=True):
        if state.endswith('full of copies'):
            held = context.copies.tokens_by_backup
            held[engine.entry.start_id] = ENGINE.cache_tokens * 3 // 4


def _select(context, source):
    candidates = (source, *context.others)
    return select_backup(context.plan, source, candidates, context.copies, ENGINE, NOW)


@when('a backup is selected for the stream')
def select(context):
    context.backup = _select(context, context.source)


@then('engine {chosen} gets the copy of the stream')
def check_chosen(context, chosen):
    expected = None if chosen == 'none' else context.others[int(chosen) - 1]
    assert context.backup is expected, context.backup


@when('copies begin until no backup is selected')
def begin_copies(context):
    context.begun = 0
    while (backup := _select(context, context.source)) is not None:
        context.copies.begin(context.plan, context.source, backup)
        context.begun += 1


@then('the copies of the source take half of the objective on its link')
def check_source_bound(context):
    seconds = context.copies.seconds_by_source[context.source.entry.start_id]
    step = context.plan.seconds
    bound = OBJECTIVE_SECONDS / 2
    assert bound - step < seconds <= bound, seconds


@then('another source may not exceed the total')
def check_total_bound(context):
    other = build_engine(9)
    assert _select(context, other) is None
    context.copies.end(context.plan, context.source, context.others[0])
    assert _select(context, other) is not None
    for _ in range(context.begun - 1):
        context.copies.end(context.plan, context.source, context.others[0])
    assert not context.copies.count
    assert not context.copies.tokens_by_backup
    assert abs(context.copies.total_seconds) < context.plan.seconds / 2


@when('a copy is planned for a stream that is {stream}')
def plan(context, stream):
    call, engine, gap = _make_call(), ENGINE, 0.025
    match stream:
        case 'resumable':
            call = _make_call(resumable=True)
        case 'shorter than its copy':
            gap = 0.0001
        case 'without an id':
            call.metadata = replace(call.metadata, request_id='')
        case 'of engines without copies':
            engine = replace(ENGINE, backups=False)
    context.plan = plan_copy(call, engine, gap, 1.0)


@then('the plan for the stream is {result}')
def check_plan(context, result):
    assert (context.plan is not None) == (result == 'a copy'), context.plan


@when('a request with names of copies is encoded with and without a copy')
def encode(context):
    headers = (
        (b'attempt-id', b'a'),
        (b'kv-from', b'10.6.6.6:1/b'),
        (b'kv-backup', b'10.6.6.6:1'),
    )
    request = Request('POST', b'/x', headers, b'', True, 0.0, 0.0)
    dialect = PlatformDialect()
    metadata = dialect.decode_request(request)
    plain = SendMetadata('i-1', None, 1.0, 0, None)
    copied = replace(
        plain, backup=('10.0.0.8', 81), continued_from=RunCopy(('10.0.0.9', 81), 'a')
    )
    context.encoded = [
        dict(dialect.encode_send(request, metadata, terms)) for terms in (copied, plain)
    ]


@then("only the router's names are in it")
def check_encoded(context):
    copied, plain = context.encoded
    assert copied[b'kv-backup'] == b'10.0.0.8:81'
    assert copied[b'kv-from'] == b'10.0.0.9:81/a'
    assert not {b'kv-backup', b'kv-from'} & set(plain)


@when('records with and without copies are decoded')
def decode_records(context):
    context.engines = []
    for fields in ({'backups': True, 'handleS': 2}, {'backups': True}, {}):
        engine = {'slots': 8, 'kvCapacity': 100, **fields}
        services = [{'name': 'svc', 'engine': engine}]
        record = {'version': 1, 'routes': [], 'services': services}
        item = Item(CATALOGUE_KEY, msgspec.json.encode(record), 1)
        context.engines.append(decode_catalogue(item).services['svc'].engine)


@then('copies last 2 seconds, 5 seconds by default, and are off unless given')
def check_records(context):
    found = [
        (engine.backups, engine.copy_lifetime_seconds) for engine in context.engines
    ]
    assert found == [(True, 2.0), (True, 5.0), (False, 5.0)], found


@when(
    'the longest pause is {pause:g}, the objective {objective:g}, '
    'the usual gap {gap} and the estimated start {start}'
)
def compute_limits(context, pause, objective, gap, start):
    route = replace(
        make_route('stream', RouteKind.stream),
        max_pause_seconds=pause,
        objective=objective,
    )
    context.limits = (
        compute_gap_limit(route, _parse_seconds(gap)),
        compute_start_limit(route, _parse_seconds(start)),
    )


@when('one first event in 20 takes longer than {seconds:g} s')
def record_start_times(context, seconds):
    times = AnswerTimes()
    for number in range(40):
        times.record(seconds if number < 38 else 2 * seconds, number / 10)
    context.late = times.find_late_seconds(4.0)


@then('with an objective of {objective:g} s a target is silent after {limit:g} s')
def check_start_limit(context, objective, limit):
    route = replace(make_route('stream', RouteKind.stream), objective=objective)
    found = compute_start_limit(route, objective / 2, context.late)
    assert math.isclose(found, limit)


@then('a target is silent after {within} within a stream and {before} before it')
def check_limits(context, within, before):
    expected = (_parse_seconds(within), _parse_seconds(before))
    for limit, wanted in zip(context.limits, expected, strict=True):
        assert (limit is None) == (wanted is None), context.limits
        assert math.isclose(limit or 0, wanted or 0), context.limits


def _parse_seconds(text):
    return None if text == 'none' else float(text)
