"""Steps on the pace of engines and the time to the first event."""

import math
import random

from behave import given, then, when
from engines import build_engine

from ibisport_fleet.placing.pace import GapRecorder, ServicePace

GAP_SECONDS = 0.02
EVENTS = 30
SECONDS_PER_TOKEN = 14e-6
START_SECONDS = 0.1
# A third of the gaps contain a chunk of another prompt.
READING_SHARE = 0.3
READING_SECONDS = 0.015
WAITING_SHARE = 0.5
ROUTER_JITTER_SECONDS = 0.002


@given('{count:d} engines, of which every third takes {factor:g} times as long')
def make_engines(context, count, factor):
    context.rng = random.Random(3)
    context.now = 0.0
    context.pace = ServicePace()
    context.engines = [build_engine(number) for number in range(count)]
    context.factors = [1.0 if number % 3 else factor for number in range(count)]


def _send_stream(context, number):
    start_id = context.engines[number].entry.start_id
    recorder = GapRecorder(context.pace, start_id)
    for _ in range(EVENTS):
        gap = GAP_SECONDS * context.factors[number]
        if context.rng.random() < READING_SHARE:
            gap += READING_SECONDS * context.factors[number]
        context.now += gap
        late = context.rng.random() * ROUTER_JITTER_SECONDS
        recorder.record_events(1, context.now + late)


def _find_pace(context, number):
    return context.pace.find_relative_pace(context.engines[number].entry.start_id)


@when(
    'each sends {count:d} streams whose events are late by reading and by the router',
)
def send_streams(context, count):
    for _ in range(count):
        for number, _engine in enumerate(context.engines):
            _send_stream(context, number)


@when('engine {number:d} takes {factor:g} times as long for {count:d} streams')
def slow_down(context, number, factor, count):
    context.slow = number
    context.factors[number] = factor
    for _ in range(count):
        _send_stream(context, number)
        _send_stream(context, number + 1)


@when('only the others send streams for {seconds:g} seconds')
def send_elsewhere(context, seconds):
    end = context.now + seconds
    while context.now < end:
        for number, _engine in enumerate(context.engines[1:], start=1):
            _send_stream(context, number)


@then('each known pace is within {tolerance:g} of the true one')
def check_paces(context, tolerance):
    paces = [_find_pace(context, number) for number in range(len(context.engines))]
    for pace, factor in zip(paces, context.factors, strict=True):
        assert math.isclose(pace, factor, abs_tol=tolerance), paces


@then('the usual gap of each engine is within a fifth of the true one')
def check_gaps(context):
    for engine, factor in zip(context.engines, context.factors, strict=True):
        gap = context.pace.find_usual_gap(engine.entry.start_id)
        true = (GAP_SECONDS + READING_SHARE * READING_SECONDS) * factor
        assert math.isclose(gap, true, rel_tol=0.2), (gap, true)


@then('its pace is at least {pace:g}')
def check_slow(context, pace):
    # The first stream of a slow engine is too late for those that follow it there.
    assert _find_pace(context, context.slow) >= pace


@then('another start of engine 0 has the pace 1 and no usual gap')
def check_restart(context):
    incarnation, started_at = context.engines[0].entry.start_id
    restarted = (incarnation, started_at + 1)
    # What the start before has shown would hold for a host that may be another one.
    assert _find_pace(context, 0) > 2
    assert context.pace.find_relative_pace(restarted) == 1
    assert context.pace.find_usual_gap(restarted) is None


@then('engine 0 has the pace 1 again')
def check_forgotten(context):
    # Otherwise an engine that was slow for a while would get nothing for good.
    assert _find_pace(context, 0) == 1


@when(
    '{count:d} prompts start after {start:g} s and {rate:g} microseconds a token,'
    ' and half of them wait'
)
def start_prompts(context, count, start, rate):
    for _ in range(count):
        tokens = int(context.rng.lognormvariate(7.0, 1.2))
        seconds = start + tokens * rate * 1e-6 + context.rng.random() * 0.01
        if context.rng.random() < WAITING_SHARE:
            seconds += context.rng.random() * 0.5
        _record_start(context, tokens, seconds)


@when('{count:d} prompts of {tokens:d} tokens start after {start:g} s')
def start_equal_prompts(context, count, tokens, start):
    for _ in range(count):
        _record_start(context, tokens, start + context.rng.random())


def _record_start(context, tokens, seconds):
    context.now += 0.15
    number = context.rng.randrange(len(context.engines))
    context.pace.record_first_event(
        context.engines[number].entry.start_id,
        tokens,
        seconds * context.factors[number],
        context.now,
    )


@then(
    'the start of a prompt of {tokens:d} tokens is estimated within a fifth'
    ' on each engine'
)
def check_estimates(context, tokens):
    for engine, factor in zip(context.engines, context.factors, strict=True):
        estimate = context.pace.estimate_start_seconds(engine, tokens, context.now)
        true = (START_SECONDS + tokens * SECONDS_PER_TOKEN) * factor
        assert math.isclose(estimate, true, rel_tol=0.2), (estimate, true)


@then('no start is estimated')
def check_no_estimate(context):
    engine = context.engines[0]
    assert context.pace.estimate_start_seconds(engine, 1_000, context.now) is None
