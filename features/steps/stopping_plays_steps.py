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

GRACES = (4.0, 12.0)
# Few requests leave moments in which the process waits for one of them only.
SIZES = (2, 6, 40)
# Who was sent on so long after the signal and still runs near the end may be cut off.
LATEST_SEND_S = 3.0
LAST_SHARE = 1 / 6
TOKENS = 'Token-Usage: 90,10\r\n'
LINKS = (Link(), Link(delay=0.05), Link(rate=20_000.0, buffer_bytes=16_384))
# A call of the store takes 5 ms, 50 ms or 0.4 s.
SLOWNESSES = (1.0, 10.0, 80.0)


@dataclass(frozen=True, slots=True)
class _Asked:
    """One request; its last byte comes ``rest`` seconds after the others."""

    name: str
    text: bytes
    limit: float
    pause: float
    rest: float


@dataclass(frozen=True, slots=True)
class _Play:
    """What happens in one play; moments are seconds after the signal."""

    grace: float
    link: Link
    slowness: float
    replies: list
    callers: list


def _draw_asked(chance, number):
    kind = chance.choice(('stream', 'stream', 'idempotent', 'once'))
    limit = chance.choice((TIME_LIMIT_SECONDS, chance.uniform(0.1, 4.0)))
    extra = f'{TOKENS}Deadline-Ms: {round(limit * 1_000)}\r\n'
    rest = chance.choice((0.0, 0.0, 0.0, chance.uniform(0.05, 3.0)))
    name = f'call-{number}'
    pause = chance.choice((0.0, chance.uniform(0.0, 2.0)))
    return _Asked(name, encode_request(kind, name, extra), limit, pause, rest)


def _draw_play(seed):
    chance = random.Random(seed)
    grace = chance.choice((8.0, chance.uniform(*GRACES)))
    size = chance.choice(SIZES)
    asked = [_draw_asked(chance, number) for number in range(size)]
    callers = []
    while asked:
        callers.append((chance.uniform(-2.0, grace), asked[:3]))
        asked = asked[3:]
    streams = [make_stream(chance.uniform(0.3, grace)) for _ in range(size)]
    replies = [chance.choice((one, make_burst(9_000))) for one in streams]
    link, slowness = chance.choice(LINKS), chance.choice(SLOWNESSES)
    return _Play(grace, link, slowness, replies, callers)


async def _ask_in_turn(site, begun_at, asked):
    caller = Caller(site)
    answers = []
    await site.wait_until(begun_at)
    for one in asked:
        await asyncio.sleep(one.pause)
        cut = len(one.text) - 1 if one.rest else len(one.text)
        words = one.text[:cut], one.text[cut:], site.now + one.rest
        answers.append((one, await caller.ask(*words)))
    return answers


def _play(seed):
    plan = _draw_play(seed)

    async def act(site):
        site.net.links[ROUTER, CALLER] = plan.link
        asking = [site.call(_ask_in_turn(site, *one)) for one in plan.callers]
        await site.wait_until(0.0)
        site.service.faults.slow = plan.slowness
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
    if answer.ended_at >= answer.sent_at + asked.limit - ROUND_TRIP_SECONDS:
        return None
    near_end = answer.ended_at >= plan.grace * (1 - LAST_SHARE)
    return None if answer.sent_at <= LATEST_SEND_S and near_end else 'run, and cut off'


@given('{count:d} plays of a router that is told to stop, drawn from seed {seed:d}')
def keep_seeds(context, count, seed):
    context.seeds = range(seed, seed + count)


@when('each is played')
def play_all(context):
    context.plays = {seed: _play(seed) for seed in context.seeds}


@then('each request that the router has read got what it was promised')
def check_answers(context):
    found = [
        (seed, asked.name, fault, answer, site.ended_at)
        for seed, (plan, site, answers) in context.plays.items()
        for asked, answer in answers
        if (fault := _find_fault(plan, site, asked, answer))
    ]
    assert not found, '\n'.join(map(str, found))


@then('each process has ended by itself within the grace time')
def check_ends(context):
    killed = [seed for seed, (_, site, _) in context.plays.items() if site.killed]
    assert not killed, killed
