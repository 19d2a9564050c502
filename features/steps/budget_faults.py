"""Shared fixtures: routers of one budget beside faults, in virtual time."""

import asyncio
import random

from hypothesis import strategies

from ibisport_bench.budget_world import BudgetWorld
from ibisport_fleet.budget_page import decode_page
from ibisport_fleet.budget_writes import PAGE_KEY
from ibisport_fleet.settings import Feature

BUDGET = 1_000_000
REQUEST_TOKENS = 2_000
WORKSPACES = 24
# Factor on the duration of store calls: 10 ms instead of 4.
STORE_SLOWDOWN = 2.5
RECOVERY_SECONDS = 12.0
KILL_SECONDS = 0.002

FAULTS = strategies.sampled_from(
    (
        'kill',
        'kill all',
        'lose power',
        'lose power of all',
        'stop',
        'roll',
        'roll all',
        'cut',
        'cut all',
        'apart',
        'down',
        'slow',
        'lose',
        'late',
        'lose loans',
    )
)


def generate_steps(faults):
    return strategies.lists(
        strategies.tuples(
            faults,
            strategies.integers(0, 4),
            strategies.floats(0.2, 9.0, allow_nan=False),
        ),
        min_size=1,
        max_size=6,
    )


STEPS = generate_steps(FAULTS)
# A lender that answers late makes borrowers ask two lenders for one request.
LOAN_STEPS = generate_steps(
    strategies.sampled_from(('late loans', 'very late loans')) | FAULTS
)
LENDING = frozenset((Feature.standby, Feature.lending))


# The event loop keeps only weak references to tasks.
RESTART_TASKS = set()


async def send_mixed_requests(world, seconds, per_second, rng):
    """Send requests of various costs to random hosts for some seconds."""
    for _ in range(int(seconds * per_second)):
        tokens = rng.choice((500, REQUEST_TOKENS, 9_000, 40_000))
        world.ask(rng.randrange(5), tokens, rng.random(), rng.uniform(0.05, 3.0))
        await asyncio.sleep(1 / per_second)


async def send_usual_requests(world, count, rng):
    """Send requests of the usual cost to random hosts, 30 per second."""
    for _ in range(count):
        world.ask(rng.randrange(5), REQUEST_TOKENS, 0.9, 0.3)
        await asyncio.sleep(1 / 30)


def start_rolling_restart(world, fault, number):
    """Stop one host's process, or all in turn, while requests continue."""

    async def leave(turn, number):
        await asyncio.sleep(0.25 * turn)
        await world.roll(number, 3.3)

    hosts = [number] if fault == 'roll' else range(5)
    for turn, host in enumerate(hosts):
        RESTART_TASKS.add(asyncio.get_running_loop().create_task(leave(turn, host)))


async def inject_fault(world, fault, number, seconds, rng):
    await inject_process_fault(world, fault, number, seconds)
    inject_store_fault(world, fault, number)
    await send_mixed_requests(world, seconds, 20, rng)
    faults = world.service.faults
    faults.cut, faults.down, faults.slow = set(), False, 1.0
    faults.lose = faults.late = world.lose_loans = 0.0
    world.answer_delays = {}
    world.apart = set()


async def inject_process_fault(world, fault, number, seconds):
    match fault:
        case 'kill':
            world.kill(number)
        case 'kill all':
            for host in range(5):
                world.kill(host)
        case 'lose power' | 'lose power of all':
            for host in [number] if fault == 'lose power' else range(5):
                world.cut_power(host, seconds / 3)
        case 'stop':
            await world.stop(number)
        case 'roll' | 'roll all':
            start_rolling_restart(world, fault, number)


def inject_store_fault(world, fault, number):
    faults = world.service.faults
    match fault:
        case 'cut':
            faults.cut = {world.names[number]}
        case 'cut all':
            faults.cut = set(world.names)
        case 'apart':
            world.apart = {world.names[number], world.names[0]}
        case 'lose loans':
            world.lose_loans = 0.3
        case 'late loans':
            world.answer_delays = {world.names[number]: 0.3}
        case 'very late loans':
            world.answer_delays = {world.names[number]: 0.9}
        case 'down':
            faults.down = True
        case 'slow':
            faults.slow = 60.0
        case 'lose':
            faults.lose = 0.3
        case 'late':
            faults.late = 0.3


async def run_faults(steps, seed, features=()):
    # The product draws its random delays from the global generator.
    random.seed(seed)
    world = BudgetWorld(hosts=5, budget=BUDGET, seed=seed, features=features)
    rng = random.Random(seed)
    world.start_all()
    await asyncio.sleep(0.5)
    for fault, number, seconds in steps:
        await inject_fault(world, fault, number, seconds, rng)
        assert world.delivered <= BUDGET, (world.delivered, steps)
        await send_mixed_requests(world, 1.0, 20, rng)
    assert world.delivered <= BUDGET, (world.delivered, steps)
    return world


async def run_until_third_spent(per_second=30):
    random.seed(3)
    world = BudgetWorld(hosts=5, budget=BUDGET, seed=3)
    rng = random.Random(3)
    world.start_all()
    await asyncio.sleep(0.5)
    while world.delivered < BUDGET // 3:
        world.ask(rng.randrange(5), REQUEST_TOKENS, 0.9, 0.3)
        await asyncio.sleep(1 / per_second)
    await asyncio.sleep(1.0)
    return world


def measure_stranded(world):
    """Return the tokens that count as spent at any host but were not delivered.

    Loans count as spent at the lender and are delivered at the borrower, so only the
    sum over all hosts is meaningful.
    """
    page = decode_page(world.service.items[PAGE_KEY].content)
    return page.find('acme').closed + world.count_used() - world.delivered
