"""What 30 routers refuse that are stopped and started in turn, twice, beside a flood.

The budgets are nearly whole, so each refusal is a false one. Components are the shipped
ones; time is virtual and all is seeded. ``python -m
ibisport_bench.experiments.budgetrolls`` prints the table.
"""

import asyncio
import random
import sys
from dataclasses import dataclass

from ibisport_bench.budgetworld import BudgetWorld
from ibisport_bench.virtualtime import run_virtually
from ibisport_fleet.budget_synchronizer import PAGE_KEY

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
# From the signal to the end of the process: at once if nothing runs any more, or with
# the last stream.
SHUTDOWN_SECONDS = (3.3, 7.0)
# The balancer sends nothing more after two misses.
READINESS_DELAY_SECONDS = 2.0
# A call takes 10 ms. Three hosts of four have a link of 5 Mbit/s; names of hosts are a
# third as long here as at large sites, and so is the page.
STORE_SLOWDOWN = 2.5
LINK_BYTES_PER_SECOND = 200_000.0
FAST_LINK_STRIDE = 4
SEEDS = (1, 2, 3, 4)


@dataclass(frozen=True, slots=True)
class RollingRestartReport:
    """What one play showed.

    Attributes:
        refused: Share of the requests that were refused.
        overspent: Tokens spent beyond the budgets.
        stranded: Share of the budgets that counts as spent and was not.
        calls: Calls to the store for each request.
        page_bytes: Size of the shared page before the first stop.
    """

    refused: float
    overspent: int
    stranded: float
    calls: float
    page_bytes: int


class _Simulation:
    """One play: the world, its callers and the routers that leave."""

    def __init__(self, seed: int) -> None:
        self.world = BudgetWorld(HOSTS, BUDGET_TOKENS, seed, WORKSPACES)
        self._rng = random.Random(seed)
        self._stopped_at: dict[int, float] = {}

    async def send_requests(self, seconds: float) -> None:
        """Send requests to routers that the balancer takes for ready."""
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
        """Stop all routers, one after another, and start each again."""
        rolls = []
        for number in range(HOSTS):
            rolls.append(asyncio.create_task(self._restart(number)))
            await asyncio.sleep(STOP_INTERVAL_SECONDS)
        await asyncio.gather(*rolls)

    async def _restart(self, number: int) -> None:
        self._stopped_at[number] = asyncio.get_running_loop().time()
        await self.world.roll(number, self._rng.uniform(*SHUTDOWN_SECONDS))
        self._stopped_at.pop(number)

    def _list_ready(self) -> list[int]:
        oldest = asyncio.get_running_loop().time() - READINESS_DELAY_SECONDS
        running = [one for one in range(HOSTS) if self.world.takes(one)]
        ready = [one for one in running if self._stopped_at.get(one, oldest) >= oldest]
        return ready or running


async def _simulate(seed: int) -> RollingRestartReport:
    # The product spreads its pauses by the module's own generator.
    random.seed(seed)
    play = _Simulation(seed)
    world, service = play.world, play.world.service
    service.faults.slow = STORE_SLOWDOWN
    service.links = {
        name: LINK_BYTES_PER_SECOND
        for number, name in enumerate(world.names)
        if number % FAST_LINK_STRIDE
    }
    world.start_all()
    await asyncio.sleep(1.0)
    await play.send_requests(WARMUP_SECONDS)
    page_bytes = len(service.items[PAGE_KEY].content)
    world.outcomes.clear()
    steps = service.calls
    for _ in range(ROUNDS):
        await asyncio.gather(play.restart_all(), play.send_requests(ROUND_SECONDS))
    asked = world.outcomes.total()
    refused = world.outcomes['short'] + world.outcomes['spent']
    # The stand-in counts the way there and the way back.
    calls = (service.calls - steps) / 2
    await asyncio.sleep(RECOVERY_SECONDS)
    return RollingRestartReport(
        refused=refused / asked,
        overspent=world.overspent,
        stranded=world.count_stranded() / (BUDGET_TOKENS * WORKSPACES),
        calls=calls / asked,
        page_bytes=page_bytes,
    )


def simulate_rolling_restarts(seed: int) -> RollingRestartReport:
    """Play one roll of all routers, and a second one after it.

    Args:
        seed: Of all that is drawn.
    """
    report: RollingRestartReport = run_virtually(_simulate(seed))
    return report


def main() -> None:
    """Print the table for the seeds named, or a few."""
    print('| seed | refused | overspent | stranded | store calls | page bytes |')
    print('| --- | --- | --- | --- | --- | --- |')
    for seed in [int(word) for word in sys.argv[1:]] or SEEDS:
        found = simulate_rolling_restarts(seed)
        print(
            f'| {seed} | {found.refused:.4f} | {found.overspent} |'
            f' {found.stranded:.4f} | {found.calls:.2f} | {found.page_bytes} |',
            flush=True,
        )


if __name__ == '__main__':
    main()
