"""Steps on targets that fail at once."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from fleet_targets import FAILED, REJECTED
from running_fleet import START_SECONDS, make_body, run_fleet
from running_router import TIME_LIMIT_SECONDS

from ibisport_fleet.settings import Feature
from ibisport_fleet.target_choice import TargetHealth

FAILED_AT = 10.0
REQUEST_INTERVAL_SECONDS = 0.02
BEFORE_SECONDS = 3.0
AFTERWARDS_SECONDS = 8.0
STRIDES = {'every': 1, 'every second': 2, 'every fourth': 4}
ANSWERS = {
    503: REJECTED,
    429: REJECTED.replace(b'503 Full', b'429 Too Many'),
    500: FAILED,
}


def _run(context, seconds, fail, recover, count=1):
    async def act_up(fleet):
        await asyncio.sleep(BEFORE_SECONDS)
        for target in fleet.targets[:count]:
            fail(target)
        await asyncio.sleep(seconds)
        for target in fleet.targets[:count]:
            recover(target)

    async def act(fleet):
        for target in fleet.targets:
            target.reports_load = True
        span = BEFORE_SECONDS + seconds + AFTERWARDS_SECONDS
        await asyncio.gather(
            fleet.press(REQUEST_INTERVAL_SECONDS, span, make_body), act_up(fleet)
        )

    features = getattr(context, 'features', frozenset())
    limit = getattr(context, 'time_limit', TIME_LIMIT_SECONDS)

    def change(catalogue):
        routes = (replace(route, time_limit=limit) for route in catalogue.routes)
        return replace(catalogue, routes=tuple(routes))

    context.fleet = run_fleet(
        act, *context.size, change_catalogue=change, features=features
    )
    context.begun_at = START_SECONDS + BEFORE_SECONDS
    context.ended_at = context.begun_at + seconds


def _reject(context, which, status, seconds, count):
    def begin(target):
        target.rejects, target.reject_stride = True, STRIDES[which]
        target.rejection = ANSWERS[status]

    def end(target):
        target.rejects = False

    _run(context, seconds, begin, end, count)


@when(
    'one target rejects {which} request with status {status:d} for {seconds:d} seconds'
)
@when(
    'one target answers {which} request with status {status:d} for {seconds:d} seconds'
)
def reject_at_one(context, which, status, seconds):
    _reject(context, which, status, seconds, count=1)


@when(
    'all targets reject {which} request with status {status:d} for {seconds:d} seconds'
)
def reject_at_all(context, which, status, seconds):
    _reject(context, which, status, seconds, count=context.size[1])


@when('one target refuses connections for {seconds:d} seconds')
def refuse_connections(context, seconds):
    _run(
        context,
        seconds,
        lambda target: target.close(),
        lambda target: target.open_again(),
    )


@then('it gets at most an even share of the requests meanwhile')
def check_share(context):
    fleet = context.fleet
    count, total = fleet.count_arrivals(
        fleet.targets[0], context.begun_at, context.ended_at
    )
    assert count <= total / len(fleet.targets), (count, total)


@then('{seconds:d} seconds later it gets half of an even share again')
def check_return(context, seconds):
    fleet = context.fleet
    count, total = fleet.count_arrivals(fleet.targets[0], context.ended_at + seconds)
    assert count >= total / len(fleet.targets) / 2, (count, total)


@given('the routers use the feature pace, and requests have {seconds:g} seconds')
def use_pace(context, seconds):
    context.time_limit = seconds
    context.features = frozenset((Feature.pace,))


@when('one target breaks off {which} stream for {seconds:d} seconds')
def break_streams(context, which, seconds):
    def begin(target):
        target.break_stride = STRIDES[which]

    def end(target):
        target.break_stride = 0

    _run(context, seconds, begin, end)


@when('one target loses {which} answer for {seconds:d} seconds')
def lose_answers(context, which, seconds):
    def begin(target):
        target.loss_stride = STRIDES[which]

    def end(target):
        target.loss_stride = 0

    _run(context, seconds, begin, end)


@then('it gets at most {share:g} of an even share of the requests meanwhile')
def check_smaller_share(context, share):
    fleet = context.fleet
    count, total = fleet.count_arrivals(
        fleet.targets[0], context.begun_at, context.ended_at
    )
    # A request that ends without a result leaves no load, which attracted others.
    assert count <= share * total / len(fleet.targets), (count, total)


@given('a target that has failed while another request ran there')
def fail_beside(context):
    context.health = TargetHealth()
    context.health.record_failure(FAILED_AT)


@when('the other request succeeds')
def succeed_beside(context):
    context.health.record_success(FAILED_AT - 1)


@then('the target is still avoided')
def check_avoided(context):
    # A target that breaks some of its streams got new ones as soon as another ended.
    assert not context.health.is_available(FAILED_AT)


@then('a request that is sent after the backoff ends the count of failures')
def check_success(context):
    context.health.record_success(FAILED_AT + 1)
    assert not context.health.failures
    assert context.health.is_available(FAILED_AT + 1)
