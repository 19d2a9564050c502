"""Refusals during two rolling restarts of 30 routers under load.

The budgets are nearly unspent, so every refusal is a false one. Runs the shipped
components in virtual time with fixed seeds. ``python -m
ibisport_bench.experiments.budgetrolls`` prints the table.
"""

import asyncio
import random
import sys
from dataclasses import dataclass

from ibisport_bench.budget_world import BudgetWorld
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.budget_writes import PAGE_KEY

HOSTS = 30
WORKSPACES = 24
BUDGET_TOKENS = 800_000
REQUEST_TOKENS = (500, 1_000, 2_000, 9_000)
SPENT_SHARE = 0.9
REQUESTS_PER_SECOND = 150
WARMUP_SECONDS = 6.0
ROUNDS = 2
ROUND_SECONDS = 15.0
RECOVERY_SECONDS = 12.0
STOP_INTERVAL_SECONDS = 0.25
# Minimum and maximum time from the stop signal to the end of the process, which exits
# at once if it serves no requests, or else with its last stream.
SHUTDOWN_SECONDS = (3.3, 7.0)
# The load balancer stops sending requests after two failed readiness checks.
READINESS_DELAY_SECONDS = 2.0
# Factor on the duration of store calls: 10 ms instead of 4.
STORE_SLOWDOWN = 2.5
# Three of four hosts have a 5 Mbit/s link to the store. The rate is scaled to the page:
# host names, and so the page, are a third as long here as at large sites.
LINK_BYTES_PER_SECOND = 200_000.0
# Every fourth host has a link without a bandwidth limit.
FAST_LINK_STRIDE = 4
SEEDS = (1, 2, 3, 4)


@dataclass(frozen=True, slots=True)
class RollingRestartReport:
    """Figures of one simulation.

    Attributes:
        refused: Refused share of the requests.
        overspent: Tokens spent beyond the budgets.
        stranded: Share of the budgets that is counted as spent but was not spent.
        calls: Store calls per request.
        page_bytes: Size of the shared budget page before the first stop.
    """

    refused: float
    overspent: int
    stranded: float
    calls: float
    page_bytes: int


class _Simulation:
    """The simulated routers, their callers and the rolling restarts."""

    def __init__(self, seed: int) -> None:
        self.world = BudgetWorld(HOSTS, BUDGET_TOKENS, seed, WORKSPACES)
        self._rng = random.Random(seed)
        self._stopped_at: dict[int, float] = {}

    async def send_requests(self, seconds: float) -> None:
        """Send requests to the routers that the load balancer considers ready."""
        rng = self._rng
        for _ in range(int(seconds * REQUESTS_PER_SECOND)):
            self.world.ask(
                rng.choice(self._list_ready()),
                rng.choice(REQUEST_TOKENS),
                SPENT_SHARE,
                rng.uniform(0.1, 1.5),
                rng.randrange(WORKSPACES),
            )
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    async def restart_all(self) -> None:
        """Stop and start all routers in turn; their shutdowns overlap."""
        restarts = []
        for number in range(HOSTS):
            restarts.append(asyncio.create_task(self._restart(number)))
            await asyncio.sleep(STOP_INTERVAL_SECONDS)
        await asyncio.gather(*restarts)

    async def _restart(self, number: int) -> None:
        self._stopped_at[number] = asyncio.get_running_loop().time()
        await self.world.roll(number, self._rng.uniform(*SHUTDOWN_SECONDS))
        self._stopped_at.pop(number)

    def _list_ready(self) -> list[int]:
        oldest = asyncio.get_running_loop().time() - READINESS_DELAY_SECONDS
        running = [host for host in range(HOSTS) if self.world.is_running(host)]
        ready = [
            host for host in running if self._stopped_at.get(host, oldest) >= oldest
        ]
        return ready or running


async def _simulate(seed: int) -> RollingRestartReport:
    # The routers draw their jitter from the module-level random generator.
    random.seed(seed)
    simulation = _Simulation(seed)
    world, service = simulation.world, simulation.world.service
    service.faults.slow = STORE_SLOWDOWN
    service.links = {
        name: LINK_BYTES_PER_SECOND
        for number, name in enumerate(world.names)
        if number % FAST_LINK_STRIDE
    }
    world.start_all()
    await asyncio.sleep(1.0)
    await simulation.send_requests(WARMUP_SECONDS)
    page_bytes = len(service.items[PAGE_KEY].content)
    world.outcomes.clear()
    messages = service.calls
    for _ in range(ROUNDS):
        await asyncio.gather(
            simulation.restart_all(), simulation.send_requests(ROUND_SECONDS)
        )
    requests = world.outcomes.total()
    refused = world.outcomes['short'] + world.outcomes['spent']
    # The in-memory store counts the request and the response of each call.
    calls = (service.calls - messages) / 2
    await asyncio.sleep(RECOVERY_SECONDS)
    return RollingRestartReport(
        refused=refused / requests,
        overspent=world.overspent,
        stranded=world.count_stranded() / (BUDGET_TOKENS * WORKSPACES),
        calls=calls / requests,
        page_bytes=page_bytes,
    )


def simulate_rolling_restarts(seed: int) -> RollingRestartReport:
    """Simulate two rolling restarts of all routers, the second after the first.

    Args:
        seed: Seed of every random choice.

    Returns:
        The figures of the simulation.
    """
    report: RollingRestartReport = run_virtually(_simulate(seed))
    return report


def main() -> None:
    """Print a table for the seeds in the arguments, or for the default seeds."""
    print('| seed | refused | overspent | stranded | store calls | page bytes |')
    print('| --- | --- | --- | --- | --- | --- |')
    for seed in [int(argument) for argument in sys.argv[1:]] or SEEDS:
        report = simulate_rolling_restarts(seed)
        print(
            f'| {seed} | {report.refused:.4f} | {report.overspent} |'
            f' {report.stranded:.4f} | {report.calls:.2f} | {report.page_bytes} |',
            flush=True,
        )


if __name__ == '__main__':
    main()
