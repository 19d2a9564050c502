"""Steps on targets that report a rate limit."""

import asyncio
from bisect import bisect_right

from behave import then, when
from running_fleet import CONVERGENCE_SECONDS, START_SECONDS, make_body, run_fleet

REQUEST_INTERVAL_SECONDS = 0.02
LIMITED_AFTER_SECONDS = 2.0
AFTERWARDS_SECONDS = 8.0
WINDOW_SECONDS = 4.0
FACTOR = 1.5
SLACK = 5
# A request within this time after a router was first told of the limit may have been
# sent before the router could know it.
TOLD_GRACE_SECONDS = 0.5
STATUS_UNAVAILABLE = 503
STATUS_OK = 200


def _run(context, rate, seconds, *, count=1, rejects=False):
    async def limit(fleet):
        limited = fleet.targets[:count]
        await asyncio.sleep(LIMITED_AFTER_SECONDS)
        for target in limited:
            target.rate, target.rejects = rate, rejects
        await asyncio.sleep(seconds)
        for target in limited:
            target.rate, target.rejects = None, False

    async def act(fleet):
        span = LIMITED_AFTER_SECONDS + seconds + AFTERWARDS_SECONDS
        await asyncio.gather(
            fleet.press(REQUEST_INTERVAL_SECONDS, span, make_body), limit(fleet)
        )

    context.rate, context.limited = rate, count
    context.fleet = run_fleet(act, *context.size)
    context.limited_at = START_SECONDS + LIMITED_AFTER_SECONDS
    context.ended_at = context.limited_at + seconds


@when(
    'one target reports a limit of {rate:g} per second for {seconds:g} seconds '
    'beside 50 requests per second'
)
def limit_one(context, rate, seconds):
    _run(context, rate, seconds)


@when(
    'all targets report a limit of {rate:g} per second for {seconds:g} seconds '
    'beside 50 requests per second'
)
def limit_all(context, rate, seconds):
    _run(context, rate, seconds, count=context.size[1])


@when(
    'one target rejects requests and reports a limit of {rate:g} per second '
    'for {seconds:g} seconds'
)
def limit_and_reject(context, rate, seconds):
    _run(context, rate, seconds, rejects=True)


@then('no window of 4 seconds brings it more than 1.5 times its limit and 5 more')
def check_windows(context):
    allowed = FACTOR * context.rate * WINDOW_SECONDS + SLACK
    for target in context.fleet.targets[: context.limited]:
        largest = find_largest_window(context, target.incarnation)
        assert largest <= allowed, (largest, allowed, target.incarnation)


def find_largest_window(context, incarnation):
    """Return the maximum number of requests within a window.

    Only requests of routers that know the limit count, and only windows that end
    after the time that routers have to learn of it.
    """
    fleet = context.fleet
    counted = [
        arrival.at
        for arrival in fleet.arrivals
        if arrival.target == incarnation
        and arrival.at <= context.ended_at
        and fleet.told.get((incarnation, arrival.router), arrival.at)
        <= arrival.at - TOLD_GRACE_SECONDS
    ]
    since = context.limited_at + CONVERGENCE_SECONDS
    sizes = [
        number + 1 - bisect_right(counted, at - WINDOW_SECONDS)
        for number, at in enumerate(counted)
        if at >= since
    ]
    return max(sizes, default=0)


@then('at least {share:g} of all requests are served')
def check_served(context, share):
    answers = [answer for _, answer in context.fleet.answers]
    served = sum(_is_served(response) for response in answers)
    assert served >= share * len(answers), (served, len(answers))


def _is_served(answer):
    return answer.whole and answer.status == STATUS_OK


@then('the targets get at least {share:g} of the requests that their limits allow')
def check_allowed_use(context, share):
    since, until = context.limited_at + CONVERGENCE_SECONDS, context.ended_at
    sent = sum(since <= arrival.at <= until for arrival in context.fleet.arrivals)
    allowed = context.rate * context.limited * (until - since)
    assert sent >= share * allowed, (sent, allowed)


@then('all others are refused within {seconds:g} seconds with a Retry-After time')
def check_refused(context, seconds):
    refused = [
        response for _, response in context.fleet.answers if not _is_served(response)
    ]
    assert refused
    for answer in refused:
        assert answer.status == STATUS_UNAVAILABLE, answer
        assert float(answer.headers[b'retry-after']) > 0, answer
        assert answer.ended_at - answer.sent_at <= seconds, answer


@then('{seconds:g} seconds after the limit ends it gets half of an even share again')
def check_return(context, seconds):
    fleet = context.fleet
    since = context.ended_at + seconds
    late = [arrival for arrival in fleet.arrivals if arrival.at >= since]
    count = sum(arrival.target == fleet.targets[0].incarnation for arrival in late)
    assert count >= len(late) / len(fleet.targets) / 2, (count, len(late))
