"""Steps for random trials of a router that is told to stop."""

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

from ibisport_bench.memory_transport import Link

GRACE_RANGE = (4.0, 12.0)
# With few requests, the process sometimes waits for one of them only.
REQUEST_COUNTS = (2, 6, 40)
# A request sent by this time after the signal may be cut off if it still runs near the
# end.
LATEST_SEND_SECONDS = 3.0
FINAL_FRACTION = 1 / 6
TOKEN_HEADER = 'Token-Usage: 90,10\r\n'
LINKS = (Link(), Link(delay=0.05), Link(rate=20_000.0, buffer_bytes=16_384))
# Store calls take 5 ms, 50 ms or 0.4 s.
STORE_SLOWDOWNS = (1.0, 10.0, 80.0)


@dataclass(frozen=True, slots=True)
class _PlannedRequest:
    """A request whose last byte is sent ``last_byte_delay`` seconds after the rest."""

    name: str
    content: bytes
    timeout: float
    pause: float
    last_byte_delay: float


@dataclass(frozen=True, slots=True)
class _TrialPlan:
    """Random choices of one trial; times are seconds after the signal."""

    grace: float
    link: Link
    store_slowdown: float
    replies: list
    callers: list


def _draw_request(rng, number):
    kind = rng.choice(('stream', 'stream', 'idempotent', 'once'))
    timeout = rng.choice((TIME_LIMIT_SECONDS, rng.uniform(0.1, 4.0)))
    extra = f'{TOKEN_HEADER}Deadline-Ms: {round(timeout * 1_000)}\r\n'
    last_byte_delay = rng.choice((0.0, 0.0, 0.0, rng.uniform(0.05, 3.0)))
    name = f'call-{number}'
    pause = rng.choice((0.0, rng.uniform(0.0, 2.0)))
    return _PlannedRequest(
        name, encode_request(kind, name, extra), timeout, pause, last_byte_delay
    )


def _draw_trial(seed):
    rng = random.Random(seed)
    grace = rng.choice((8.0, rng.uniform(*GRACE_RANGE)))
    count = rng.choice(REQUEST_COUNTS)
    requests = [_draw_request(rng, number) for number in range(count)]
    callers = []
    while requests:
        callers.append((rng.uniform(-2.0, grace), requests[:3]))
        requests = requests[3:]
    streams = [make_stream(rng.uniform(0.3, grace)) for _ in range(count)]
    replies = [rng.choice((stream, make_burst(9_000))) for stream in streams]
    link, store_slowdown = rng.choice(LINKS), rng.choice(STORE_SLOWDOWNS)
    return _TrialPlan(grace, link, store_slowdown, replies, callers)


async def _send_in_sequence(site, start_at, requests):
    caller = Caller(site)
    answers = []
    await site.wait_until(start_at)
    for request in requests:
        await asyncio.sleep(request.pause)
        cut = (
            len(request.content) - 1
            if request.last_byte_delay
            else len(request.content)
        )
        parts = (
            request.content[:cut],
            request.content[cut:],
            site.now + request.last_byte_delay,
        )
        answers.append((request, await caller.ask(*parts)))
    return answers


def _run_trial(seed):
    plan = _draw_trial(seed)

    async def act(site):
        site.net.links[ROUTER, CALLER] = plan.link
        tasks = [site.call(_send_in_sequence(site, *caller)) for caller in plan.callers]
        await site.wait_until(0.0)
        site.service.faults.slow = plan.store_slowdown
        results = await asyncio.gather(*tasks)
        return [pair for pairs in results for pair in pairs]

    with mock.patch('running_router.GRACE_SECONDS', plan.grace):
        return plan, *run_until_stopped(plan.replies, act, PREPAID)


def _find_fault(trial, site, request, answer):
    """Return what is wrong with an answer, or None."""
    ran = site.has_got(request.name)
    if answer.whole or answer.refused:
        return 'ran though refused' if ran and answer.status == 503 else None
    if not ran:
        late = (
            answer.ended_at - answer.sent_at > ROUND_TRIP_SECONDS + 2 * trial.link.delay
        )
        return 'read, and closed without an answer' if late else None
    if answer.ended_at >= answer.sent_at + request.timeout - ROUND_TRIP_SECONDS:
        return None
    near_end = answer.ended_at >= trial.grace * (1 - FINAL_FRACTION)
    return (
        None
        if answer.sent_at <= LATEST_SEND_SECONDS and near_end
        else 'run, and cut off'
    )


@given('{count:d} trials of a router that is told to stop, drawn from seed {seed:d}')
def set_seeds(context, count, seed):
    context.seeds = range(seed, seed + count)


@when('each trial is run')
def run_trials(context):
    context.trials = {seed: _run_trial(seed) for seed in context.seeds}


@then('each request that the router has read is answered as the stop allows')
def check_answers(context):
    faults = [
        (seed, request.name, fault, answer, site.ended_at)
        for seed, (trial, site, answers) in context.trials.items()
        for request, answer in answers
        if (fault := _find_fault(trial, site, request, answer))
    ]
    assert not faults, '\n'.join(map(str, faults))


@then('each process has ended by itself within the grace time')
def check_ended_in_grace(context):
    killed = [seed for seed, (_, site, _) in context.trials.items() if site.killed]
    assert not killed, killed
