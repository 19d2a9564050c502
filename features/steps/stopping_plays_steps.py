"""Steps on random plays of a router that is told to stop."""

import asyncio
import random
from dataclasses import dataclass
from unittest import mock

from behave import given, then, when
from running_router import (
    CALLER,
    PREPAID,
    ROUND_TRIP_SECONDS,
    ROUTER,
    TIME_LIMIT_SECONDS,
    Caller,
    encode_request,
    make_burst,
    make_stream,
    run_until_stopped,
)

from ibisport_bench.memorytransport import Link

GRACE_RANGE = (4.0, 12.0)
# Few requests leave moments in which the process waits for one of them only.
REQUEST_COUNTS = (2, 6, 40)
# Who was sent on so long after the signal and still runs near the end may be cut off.
LATEST_SEND_SECONDS = 3.0
FINAL_FRACTION = 1 / 6
TOKEN_HEADER = 'Token-Usage: 90,10\r\n'
LINKS = (Link(), Link(delay=0.05), Link(rate=20_000.0, room=16_384))
# A call of the store takes 5 ms, 50 ms or 0.4 s.
STORE_SLOWDOWNS = (1.0, 10.0, 80.0)


@dataclass(frozen=True, slots=True)
class _PlannedRequest:
    """One request; its last byte comes ``rest`` seconds after the others."""

    name: str
    content: bytes
    timeout: float
    pause: float
    last_byte_delay: float


@dataclass(frozen=True, slots=True)
class _TrialPlan:
    """What happens in one play; moments are seconds after the signal."""

    grace: float
    link: Link
    store_slowdown: float
    replies: list
    callers: list


def _draw_request(chance, number):
    kind = chance.choice(('stream', 'stream', 'idempotent', 'once'))
    limit = chance.choice((TIME_LIMIT_SECONDS, chance.uniform(0.1, 4.0)))
    extra = f'{TOKEN_HEADER}Deadline-Ms: {round(limit * 1_000)}\r\n'
    rest = chance.choice((0.0, 0.0, 0.0, chance.uniform(0.05, 3.0)))
    name = f'call-{number}'
    pause = chance.choice((0.0, chance.uniform(0.0, 2.0)))
    return _PlannedRequest(name, encode_request(kind, name, extra), limit, pause, rest)


def _draw_trial(seed):
    chance = random.Random(seed)
    grace = chance.choice((8.0, chance.uniform(*GRACE_RANGE)))
    size = chance.choice(REQUEST_COUNTS)
    asked = [_draw_request(chance, number) for number in range(size)]
    callers = []
    while asked:
        callers.append((chance.uniform(-2.0, grace), asked[:3]))
        asked = asked[3:]
    streams = [make_stream(chance.uniform(0.3, grace)) for _ in range(size)]
    replies = [chance.choice((one, make_burst(9_000))) for one in streams]
    link, slowness = chance.choice(LINKS), chance.choice(STORE_SLOWDOWNS)
    return _TrialPlan(grace, link, slowness, replies, callers)


async def _send_in_sequence(site, begun_at, asked):
    caller = Caller(site)
    answers = []
    await site.wait_until(begun_at)
    for one in asked:
        await asyncio.sleep(one.pause)
        cut = len(one.content) - 1 if one.last_byte_delay else len(one.content)
        words = one.content[:cut], one.content[cut:], site.now + one.last_byte_delay
        answers.append((one, await caller.ask(*words)))
    return answers


def _run_trial(seed):
    plan = _draw_trial(seed)

    async def act(site):
        site.net.links[ROUTER, CALLER] = plan.link
        asking = [site.call(_send_in_sequence(site, *one)) for one in plan.callers]
        await site.wait_until(0.0)
        site.service.faults.slow = plan.store_slowdown
        turns = await asyncio.gather(*asking)
        return [one for turn in turns for one in turn]

    with mock.patch('running_router.GRACE_SECONDS', plan.grace):
        return plan, *run_until_stopped(plan.replies, act, PREPAID)


def _find_fault(plan, site, asked, answer):
    """Return what is wrong with an answer, or None."""
    ran = site.has_got(asked.name)
    if answer.whole or answer.refused:
        return 'ran though refused' if ran and answer.status == 503 else None
    if not ran:
        late = (
            answer.ended_at - answer.sent_at > ROUND_TRIP_SECONDS + 2 * plan.link.delay
        )
        return 'read, and closed without an answer' if late else None
    if answer.ended_at >= answer.sent_at + asked.timeout - ROUND_TRIP_SECONDS:
        return None
    near_end = answer.ended_at >= plan.grace * (1 - FINAL_FRACTION)
    return (
        None
        if answer.sent_at <= LATEST_SEND_SECONDS and near_end
        else 'run, and cut off'
    )


@given('{count:d} plays of a router that is told to stop, drawn from seed {seed:d}')
def set_seeds(context, count, seed):
    context.seeds = range(seed, seed + count)


@when('each is played')
def run_trials(context):
    context.trials = {seed: _run_trial(seed) for seed in context.seeds}


@then('each request that the router has read got what it was promised')
def check_answers(context):
    found = [
        (seed, asked.name, fault, answer, site.ended_at)
        for seed, (plan, site, answers) in context.trials.items()
        for asked, answer in answers
        if (fault := _find_fault(plan, site, asked, answer))
    ]
    assert not found, '\n'.join(map(str, found))


@then('each process has ended by itself within the grace time')
def check_ended_in_grace(context):
    killed = [seed for seed, (_, site, _) in context.trials.items() if site.killed]
    assert not killed, killed
