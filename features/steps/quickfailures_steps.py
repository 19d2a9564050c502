"""Steps on targets that fail at once."""

import asyncio

from behave import then, when
from running_fleet import FAILED, REJECTED, START_SECONDS, make_body, run_fleet

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

    context.fleet = run_fleet(act, *context.size)
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
