"""Steps on targets that name a rate limit."""

import asyncio
from bisect import bisect_right

from behave import then, when
from running_fleet import CONVERGENCE_SECONDS, START_SECONDS, run_fleet

PAUSE_S = 0.02
NAMED_AFTER_S = 2.0
AFTERWARDS_S = 8.0
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
# A router that was told so lately may have sent before it could know.
TOLD_S = 0.5
UNAVAILABLE = 503
STATUS_OK = 200


def _make_body(number):
    return b'request %d' % number


def _play(context, rate, seconds, *, count=1, rejects=False):
    async def limit(fleet):
        limited = fleet.targets[:count]
        await asyncio.sleep(NAMED_AFTER_S)
        for target in limited:
            target.rate, target.rejects = rate, rejects
        await asyncio.sleep(seconds)
        for target in limited:
            target.rate, target.rejects = None, False

    async def act(fleet):
        span = NAMED_AFTER_S + seconds + AFTERWARDS_S
        await asyncio.gather(fleet.press(PAUSE_S, span, _make_body), limit(fleet))

    context.rate, context.limited = rate, count
    context.fleet = run_fleet(act, *context.size)
    context.named_at = START_SECONDS + NAMED_AFTER_S
    context.ended_at = context.named_at + seconds


@when(
    'one target names a limit of {rate:g} a second for {seconds:g} seconds '
    'beside 50 requests a second'
)
def limit_one(context, rate, seconds):
    _play(context, rate, seconds)


@when(
    'all targets name a limit of {rate:g} a second for {seconds:g} seconds '
    'beside 50 requests a second'
)
def limit_all(context, rate, seconds):
    _play(context, rate, seconds, count=context.size[1])


@when(
    'one target rejects and names a limit of {rate:g} a second for {seconds:g} seconds'
)
def limit_and_reject(context, rate, seconds):
    _play(context, rate, seconds, rejects=True)


@then('no 4 seconds bring it more than one and a half times its limit and 5 more')
def check_windows(context):
    allowed = FACTOR * context.rate * WINDOW_S + SLACK
    for target in context.fleet.targets[: context.limited]:
        worst = _find_worst(context, target.incarnation)
        assert worst <= allowed, (worst, allowed, target.incarnation)


def _find_worst(context, incarnation):
    """Return the most requests of told routers in a window that counts."""
    fleet = context.fleet
    counted = [
        one.at
        for one in fleet.arrivals
        if one.target == incarnation
        and one.at <= context.ended_at
        and fleet.told.get((incarnation, one.router), one.at) <= one.at - TOLD_S
    ]
    since = context.named_at + CONVERGENCE_SECONDS
    sizes = [
        number + 1 - bisect_right(counted, at - WINDOW_S)
        for number, at in enumerate(counted)
        if at >= since
    ]
    return max(sizes, default=0)


@then('at least {share:g} of all requests are served')
def check_served(context, share):
    answers = [answer for _, answer in context.fleet.answers]
    served = sum(_is_served(one) for one in answers)
    assert served >= share * len(answers), (served, len(answers))


def _is_served(answer):
    return answer.whole and answer.status == STATUS_OK


@then('the targets get at least {share:g} of what they take')
def check_used(context, share):
    since, until = context.named_at + CONVERGENCE_SECONDS, context.ended_at
    sent = sum(since <= one.at <= until for one in context.fleet.arrivals)
    takes = context.rate * context.limited * (until - since)
    assert sent >= share * takes, (sent, takes)


@then('all others are refused within {seconds:g} seconds with a time to come back')
def check_refused(context, seconds):
    refused = [one for _, one in context.fleet.answers if not _is_served(one)]
    assert refused
    for answer in refused:
        assert answer.status == UNAVAILABLE, answer
        assert float(answer.headers[b'retry-after']) > 0, answer
        assert answer.ended_at - answer.sent_at <= seconds, answer


@then('{seconds:g} seconds after its last word it gets half of an even share again')
def check_return(context, seconds):
    fleet = context.fleet
    since = context.ended_at + seconds
    late = [one for one in fleet.arrivals if one.at >= since]
    own = sum(one.target == fleet.targets[0].incarnation for one in late)
    assert own >= len(late) / len(fleet.targets) / 2, (own, len(late))
