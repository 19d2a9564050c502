"""Steps on plans of copies, the engines that get them, and limits of silence."""

import math
from dataclasses import replace

import msgspec
from behave import given, then, when
from copying_engines import ENGINE, OBJECTIVE_SECONDS
from engines import build_engine
from running_router import make_route

from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import RouteKind
from ibisport_fleet.continuation.copies import CopiesInFlight, plan_copy, select_backup
from ibisport_fleet.continuation.hedging import AnswerTimes
from ibisport_fleet.continuation.silence import compute_gap_limit, compute_start_limit
from ibisport_fleet.http_messages import Request
from ibisport_fleet.metadata import RunCopy, SendMetadata, TargetLoad
from ibisport_fleet.store import Item
from ibisport_platform.headers import PlatformDialect
from ibisport_platform.records import CATALOGUE_KEY, decode_catalogue

NOW = 10.0


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
