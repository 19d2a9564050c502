"""Steps on power losses: budgets of a router fleet in virtual time."""

import asyncio
import random

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as forall

from ibisport_bench.budget_world import BudgetWorld
from ibisport_bench.virtual_time import run_virtually

BUDGET = 1_000_000
REQUEST_TOKENS = 2_000
SPENT_SHARE = 0.9
REQUEST_SECONDS = 0.3
HOSTS = 5
RECOVERY_SECONDS = 12.0
OBSERVED_SECONDS = 4.0
# Contact proofs are renewed every 0.7 s, so these moments fall into different phases.
PHASE_SECONDS = 0.15
MIN_SERVED_FRACTION = 0.25
CALM_RATE = 20
HIGH_RATE = 150
LOST_ANSWERS = 0.5
MIN_EXAMPLES = 20


async def _send_requests(world, seconds, per_second, rng):
    """Send requests to random hosts for some seconds."""
    for _ in range(int(seconds * per_second)):
        world.ask(rng.randrange(HOSTS), REQUEST_TOKENS, SPENT_SHARE, REQUEST_SECONDS)
        await asyncio.sleep(1 / per_second)


async def _run_until_third_spent(seed, per_second):
    random.seed(seed)
    world = BudgetWorld(HOSTS, BUDGET, seed)
    rng = random.Random(seed)
    world.start_all()
    await asyncio.sleep(0.5)
    while world.delivered < BUDGET // 3:
        await _send_requests(world, PHASE_SECONDS, per_second, rng)
    await _send_requests(world, PHASE_SECONDS * seed, per_second, rng)
    return world, rng


def _cut_power_of_all(world, seconds):
    for number in range(HOSTS):
        world.cut_power(number, seconds)


async def _lose_power(seed, per_second, seconds, keeps_boot_ids):
    """Return the served share of the late requests, and the stranded tokens."""
    world, rng = await _run_until_third_spent(seed, per_second)
    world.keeps_boot_ids = keeps_boot_ids
    _cut_power_of_all(world, seconds)
    await _send_requests(world, seconds + RECOVERY_SECONDS, per_second, rng)
    await asyncio.sleep(1.0)
    world.outcomes.clear()
    await _send_requests(world, OBSERVED_SECONDS, per_second, rng)
    await asyncio.sleep(1.0)
    served = world.outcomes['served'] / world.outcomes.total()
    return served, world.count_stranded()


@given('5 routers that have spent a third of a budget at {rate:d} requests a second')
def set_rate(context, rate):
    context.rate = rate
    context.keeps_boot_ids = False


@given('machines that keep their boot IDs and continue with another boot clock')
def keep_boot_ids(context):
    context.keeps_boot_ids = True


@when('all machines lose power for {seconds:g} s and callers continue, {seeds:d} seeds')
def lose_power(context, seconds, seeds):
    context.reports = [
        run_virtually(_lose_power(seed, context.rate, seconds, context.keeps_boot_ids))
        for seed in range(1, seeds + 1)
    ]


@then('at least a quarter of the requests from 12 s after the return are served')
def check_late_requests(context):
    served = [report[0] for report in context.reports]
    assert min(served) >= MIN_SERVED_FRACTION, context.reports


@then('fewer tokens are stranded than callers request in {seconds:g} s')
def check_stranded_while_down(context, seconds):
    stranded = [report[1] for report in context.reports]
    requested = seconds * context.rate * REQUEST_TOKENS
    assert min(stranded) >= 0, context.reports
    assert max(stranded) < requested, context.reports


async def _lose_power_in_outage(outage, seconds, down_seconds, seed):
    """Return the tokens that count as spent beyond those that were delivered."""
    world, rng = await _run_until_third_spent(seed, CALM_RATE)
    faults = world.service.faults
    match outage:
        case 'all are cut off from the store':
            faults.cut = set(world.names)
        case 'the store is down and pauses leases':
            faults.down = True
        case 'the store loses answers to writes':
            faults.lose = LOST_ANSWERS
    # Uses up whatever the routers' bounds allow at any time.
    await _send_requests(world, seconds, HIGH_RATE, rng)
    _cut_power_of_all(world, down_seconds)
    await asyncio.sleep(down_seconds / 2)
    if faults.down:
        world.service.extend_leases(seconds + down_seconds / 2)
    faults.cut, faults.down, faults.lose = set(), False, 0.0
    await asyncio.sleep(RECOVERY_SECONDS)
    return world.count_stranded()


@when('{outage} while demand is high and all lose power, {count:d} generated times')
def lose_power_in_outages(context, outage, count):
    context.stranded = []

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @forall(
        strategies.floats(0.2, 9.0, allow_nan=False),
        strategies.floats(0.1, 4.0, allow_nan=False),
        strategies.integers(1, 1_000),
    )
    def play(seconds, down_seconds, seed):
        stranded = run_virtually(
            _lose_power_in_outage(outage, seconds, down_seconds, seed)
        )
        context.stranded.append(stranded)
        assert stranded >= 0, (seconds, down_seconds, seed, stranded)

    play()


@then('at least the tokens that callers may have received count as spent each time')
def check_counted(context):
    assert len(context.stranded) >= MIN_EXAMPLES, context.stranded
