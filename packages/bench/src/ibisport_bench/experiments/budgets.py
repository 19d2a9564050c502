"""Refusals, stranded tokens and store calls of shared budgets under faults.

Runs the shipped ledger, budget page and budget synchronizer in virtual time with
fixed seeds. ``python -m ibisport_bench.experiments.budgets`` prints the table.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ibisport_bench.budget_world import BudgetWorld
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.budget_page import decode_page
from ibisport_fleet.budget_writes import PAGE_KEY

BUDGET_TOKENS = 4_000_000
# Each request reserves a randomly chosen one of these sizes and spends 90 % of it.
REQUEST_TOKENS = (500, 1_000, 2_000, 9_000)
REQUESTS_PER_SECOND = 30
WARMUP_SECONDS = 20
FAULT_SECONDS = 9
RECOVERY_SECONDS = 12
SEEDS = (1, 2, 3)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault that starts while callers keep sending requests.

    Attributes:
        name: Label in the printed table.
        inject_fault: Starts the fault, given the simulated routers and their count.
    """

    name: str
    inject_fault: Callable[[BudgetWorld, int], None]


def _do_nothing(world: BudgetWorld, hosts: int) -> None:
    """Inject no fault."""


def _disconnect_all(world: BudgetWorld, hosts: int) -> None:
    world.service.faults.cut = set(world.names)


def _kill_all(world: BudgetWorld, hosts: int) -> None:
    for number in range(hosts):
        world.kill(number)


def _slow_store(world: BudgetWorld, hosts: int) -> None:
    world.service.faults.slow = 60.0


def _lose_answers(world: BudgetWorld, hosts: int) -> None:
    world.service.faults.lose = 0.35
    world.service.faults.second_way = True


SCENARIOS = (
    Scenario('calm', _do_nothing),
    Scenario('all cut off 9 s', _disconnect_all),
    Scenario('all killed', _kill_all),
    Scenario('store 60 times slower 9 s', _slow_store),
    Scenario('a third of the answers lost 9 s', _lose_answers),
)


async def _send_requests(
    world: BudgetWorld, seconds: float, rng: random.Random
) -> None:
    hosts = len(world.names)
    for _ in range(int(seconds * REQUESTS_PER_SECOND)):
        tokens = rng.choice(REQUEST_TOKENS)
        world.ask(rng.randrange(hosts), tokens, 0.9, rng.uniform(0.1, 1.5))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def _run_scenario(scenario: Scenario, hosts: int, seed: int) -> dict[str, float]:
    random.seed(seed)
    rng = random.Random(seed)
    world = BudgetWorld(hosts, BUDGET_TOKENS, seed)
    world.start_all()
    await asyncio.sleep(1.0)
    await _send_requests(world, WARMUP_SECONDS, rng)
    world.outcomes.clear()
    calls_before = world.service.calls
    scenario.inject_fault(world, hosts)
    await _send_requests(world, FAULT_SECONDS, rng)
    faults = world.service.faults
    faults.cut, faults.slow, faults.lose = set(), 1.0, 0.0
    refused = world.outcomes['short'] + world.outcomes['spent']
    requests = max(1, world.outcomes.total())
    calls_per_request = (world.service.calls - calls_before) / requests
    await asyncio.sleep(RECOVERY_SECONDS)
    page = decode_page(world.service.items[PAGE_KEY].content)
    stranded = max(0, page.find('acme').closed - world.delivered)
    return {
        'overspent': float(max(0, world.delivered - BUDGET_TOKENS)),
        'refused': refused / requests,
        'stranded': stranded / BUDGET_TOKENS,
        'calls': calls_per_request,
    }


def measure(scenario: Scenario, hosts: int) -> dict[str, float]:
    """Run a scenario with every seed and return the mean figures.

    Args:
        scenario: The fault to inject.
        hosts: Number of routers that share the budget.

    Returns:
        ``overspent`` in tokens, ``refused`` as a share of the requests,
        ``stranded`` as a share of the budget, and ``calls``: messages to and from
        the store per request.
    """
    runs = [run_virtually(_run_scenario(scenario, hosts, seed)) for seed in SEEDS]
    totals = Counter[str]()
    for run in runs:
        totals.update(run)
    return {key: total / len(runs) for key, total in totals.items()}


def main() -> None:
    """Print one table row per router count and scenario."""
    print('| scene | routers | overspent | refused | stranded | store steps |')
    print('| --- | --- | --- | --- | --- | --- |')
    for hosts in (5, 31):
        for scenario in SCENARIOS:
            means = measure(scenario, hosts)
            cells = [
                f'{means["overspent"]:.0f}',
                f'{means["refused"]:.4f}',
                f'{means["stranded"]:.4f}',
                f'{means["calls"]:.2f}',
            ]
            print(f'| {scenario.name} | {hosts} |', ' | '.join(cells), '|')


if __name__ == '__main__':
    main()
