"""Steps on balancers that give most new connections to one router."""

import asyncio
import random

from behave import then, when
from running_fleet import CONVERGENCE_SECONDS, START_SECONDS, run_fleet
from targetlimits_steps import FACTOR, SLACK, WINDOW_SECONDS, find_largest_window

from ibisport_bench.memory_transport import Link

RATE = 8.0
REQUESTS_PER_SECOND = 44.0
EVEN_SECONDS = 8.0
UNEVEN_SECONDS = 12.0
CROWDED_SHARE = 0.95
CUT_SECONDS = 3.0
MAX_REFUSED_SHARE = 0.25
SILENT = Link(delay=1_000_000.0)
STATUS_OK = 200


async def _press(fleet, share, seconds):
    """Send requests at random moments, a share of them to the first router."""
    until = fleet.now + seconds
    requests = []
    while fleet.now < until:
        crowded = random.random() < share
        router = fleet.routers[0] if crowded else random.choice(fleet.routers[1:])
        body = router.host.encode()
        requests.append(fleet.call(fleet.ask(router, 'idempotent', body)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
    await asyncio.wait(requests)


def _run(context, disturb):
    async def act(fleet):
        for target in fleet.targets:
            target.rate = RATE
        await _press(fleet, 1 / len(fleet.routers), EVEN_SECONDS)
        context.uneven_at = fleet.now
        await asyncio.gather(
            _press(fleet, CROWDED_SHARE, UNEVEN_SECONDS), disturb(fleet)
        )

    context.fleet = run_fleet(act, *context.size)
    context.rate = RATE
    context.limited_at = START_SECONDS
    context.ended_at = context.fleet.now


@when(
    'all targets report 8 requests per second, '
    'and 0.95 of 44 per second come to one router'
)
def crowd_one(context):
    async def disturb_nothing(fleet):
        """Cause no disturbance."""

    _run(context, disturb_nothing)


@when('the router with most connections loses the other routers for 3 seconds')
def crowd_and_cut(context):
    async def cut(fleet):
        await asyncio.sleep(CONVERGENCE_SECONDS)
        crowded = fleet.routers[0].host
        directions = [
            direction
            for router in fleet.routers[1:]
            for direction in ((crowded, router.host), (router.host, crowded))
        ]
        fleet.net.links.update(dict.fromkeys(directions, SILENT))
        await asyncio.sleep(CUT_SECONDS)
        for direction in directions:
            fleet.net.links.pop(direction)

    _run(context, cut)


@then(
    'of its requests at least {share:g} as many as before are served '
    'at the first attempt'
)
def check_crowded(context, share):
    crowded = context.fleet.routers[0].host.encode()
    before = _find_served_share(context, crowded, START_SECONDS + CONVERGENCE_SECONDS)
    after = _find_served_share(
        context, crowded, context.uneven_at + CONVERGENCE_SECONDS
    )
    assert after >= share * before, (before, after)


@then('the other routers refuse no more than a quarter of theirs')
def check_others(context):
    since = context.uneven_at + CONVERGENCE_SECONDS
    others = [router.host.encode() for router in context.fleet.routers[1:]]
    answers = [
        answer
        for body, answer in context.fleet.answers
        if body in others and answer.sent_at >= since
    ]
    refused = sum(answer.status != STATUS_OK for answer in answers)
    assert refused <= MAX_REFUSED_SHARE * len(answers), (refused, len(answers))


@then('no window of 4 seconds brings a target more than 1.5 times its limit and 5 more')
def check_windows(context):
    allowed = FACTOR * context.rate * WINDOW_SECONDS + SLACK
    for target in context.fleet.targets:
        largest = find_largest_window(context, target.incarnation)
        assert largest <= allowed, (largest, allowed, target.incarnation)


def _find_served_share(context, body, since):
    """Return the share of a router's requests that were served in the span."""
    until = context.uneven_at if since < context.uneven_at else context.ended_at
    statuses = [
        answer.status
        for sent, answer in context.fleet.answers
        if sent == body and since <= answer.sent_at < until
    ]
    return statuses.count(STATUS_OK) / len(statuses)
