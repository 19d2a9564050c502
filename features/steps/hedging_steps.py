"""Steps on plain requests that are sent to a second target when the first is late."""

import asyncio
import math
from dataclasses import replace

from behave import given, then, when
from continuation_steps import RecordingLog, find_only, find_target
from running_fleet import BOUNDS, run_fleet

from ibisport_fleet.catalogue import RouteKind
from ibisport_fleet.continuation.hedging import AnswerTimes, compute_hedge_delay
from ibisport_fleet.event_log import Event
from ibisport_fleet.quarantine.crashes import TargetCrash
from ibisport_fleet.quarantine.policy import CRASH_THRESHOLD
from ibisport_fleet.settings import Feature

NOW = 100.0
WARM_UP_REQUESTS = 30
REQUEST_INTERVAL_SECONDS = 0.02
SETTLED_SECONDS = 1.0
NEVER_SECONDS = 60.0
HEDGED = b'hedged'


@given('routers that hedge and targets whose answer times are known')
def use_hedging(context):
    context.features = frozenset((Feature.hedging,))
    context.bounds = BOUNDS
    context.max_targets = 3
    context.requests = WARM_UP_REQUESTS


@given('nothing else')
def change_nothing(context):
    """Leave the fleet as it is."""


@given('routers without hedging')
def use_no_hedging(context):
    context.features = frozenset()


@given('routers without any retries')
def use_no_retries(context):
    context.bounds = replace(BOUNDS, retry_ratio=0.0, retry_slack=0.0)


@given('a route with one target')
def use_one_target(context):
    context.max_targets = 1


@given('no answer times')
def use_no_answers(context):
    context.requests = 1


def _quarantine(context, fleet):
    """Quarantine the request that was sent last."""
    digest = context.log.find(Event.request_sent)[-1]['digest']
    quarantine = fleet.routers[0].router._fatal_requests._quarantine
    for number in range(CRASH_THRESHOLD):
        quarantine.record_crash(TargetCrash(f'other-{number}', (digest,)))


def _run(context, kind, delays, *, rejects=False, resets_after=None, quarantines=False):
    """Run one request whose first target answers after a delay."""
    context.log = RecordingLog()

    def change_fleet(fleet):
        fleet.features, fleet.bounds = context.features, context.bounds
        fleet.log = context.log

    def change_catalogue(catalogue):
        routes = [
            replace(route, max_targets=context.max_targets)
            for route in catalogue.routes
        ]
        return replace(catalogue, routes=tuple(routes))

    async def act(fleet):
        seconds = context.requests * REQUEST_INTERVAL_SECONDS
        await fleet.press(REQUEST_INTERVAL_SECONDS, seconds, b'x', 'idempotent')
        for target in fleet.targets:
            target.answer_seconds = delays
        begun = len(fleet.arrivals)
        asking = asyncio.ensure_future(
            fleet.call(fleet.ask(fleet.routers[0], kind, HEDGED))
        )
        while len(fleet.arrivals) == begun:
            await asyncio.sleep(0.001)
        context.first = fleet.arrivals[-1].target
        if quarantines:
            _quarantine(context, fleet)
        if resets_after is not None:
            first = find_target(fleet, context.first)
            fleet.net.call_later(resets_after, first.reset)
        for target in fleet.targets:
            if target.incarnation != context.first:
                target.answer_seconds = None
                target.rejects = rejects
        await asyncio.wait((asking,))
        context.answer = asking.result()
        await asyncio.sleep(SETTLED_SECONDS)
        context.metrics = fleet.routers[0].router._metrics.dump().decode()

    context.fleet = run_fleet(
        act, 1, 4, change_catalogue=change_catalogue, change_fleet=change_fleet
    )


@when('one target never answers an idempotent request')
def lose_idempotent(context):
    _run(context, RouteKind.idempotent.value, NEVER_SECONDS)


@when('one target never answers a request at most once')
def lose_once(context):
    _run(context, RouteKind.once.value, NEVER_SECONDS)


@when('one target never answers a request that is quarantined meanwhile')
def lose_quarantined(context):
    _run(context, RouteKind.idempotent.value, NEVER_SECONDS, quarantines=True)


@when('one target answers an idempotent request after {seconds:g} seconds')
def answer_late(context, seconds):
    _run(context, RouteKind.idempotent.value, seconds)


@when('one target resets an idempotent request after {seconds:g} seconds')
def reset_late(context, seconds):
    _run(context, RouteKind.idempotent.value, NEVER_SECONDS, resets_after=seconds)


@when('one target answers after {seconds:g} seconds and all others reject the request')
def reject_others(context, seconds):
    _run(context, RouteKind.idempotent.value, seconds, rejects=True)


def _list_arrivals(context):
    return [arrival for arrival in context.fleet.arrivals if arrival.body == HEDGED]


@then('the request is served within {seconds:g} seconds by the second target')
def check_second(context, seconds):
    answer = context.answer
    assert answer.whole and answer.status == 200, answer
    assert answer.ended_at - answer.sent_at < seconds, answer
    _, second = _list_arrivals(context)
    line = find_only(context, Event.request_hedged)
    assert (line['source'], line['target']) == (context.first, second.target)


@then('the request is served by the first target')
def check_first(context):
    assert context.answer.whole and context.answer.status == 200, context.answer
    assert len(_list_arrivals(context)) == 2


@then('the connection to the first target is closed')
def check_closed(context):
    _, second = _list_arrivals(context)
    closed = [at for at, target in context.fleet.closed if target == context.first]
    assert any(second.at < at < second.at + 0.1 for at in closed), closed


@then('the target of the answer is counted as "{winner}"')
def check_winner(context, winner):
    labels = f'service="svc",winner="{winner}"'
    assert f'ibisport_hedged_requests{{{labels}}} 1' in context.metrics


@then('at most {count:d} targets got the request of that caller')
def check_count(context, count):
    assert len(_list_arrivals(context)) <= count


@then('only that target gets it')
def check_only(context):
    targets = [arrival.target for arrival in _list_arrivals(context)]
    assert targets == [context.first], targets
    assert not context.log.find(Event.request_hedged)


@given('{count:d} answers of a service within 0.01 to 0.1 seconds, {age:g} seconds ago')
def record_answers(context, count, age):
    context.times = AnswerTimes()
    for number in range(count):
        # 0.1 s is the 95th percentile; the slowest ones are beyond it.
        seconds = 9.0 if number >= 0.95 * count else 0.01 + 0.09 * (number % 2)
        context.times.record(seconds, NOW - age)


@when('the objective is {objective:g} seconds')
def compute_delay(context, objective):
    late = context.times.find_late_seconds(NOW)
    context.delay = compute_hedge_delay(objective, late)


@then('a second target is asked after {delay} seconds')
def check_delay(context, delay):
    if delay == 'none':
        assert context.delay is None, context.delay
    else:
        assert math.isclose(context.delay, float(delay)), context.delay
