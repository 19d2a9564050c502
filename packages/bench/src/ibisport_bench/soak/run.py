"""One seeded run from its start to its verdict."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from ibisport_bench.soak.analysis import Violation
from ibisport_bench.soak.callers import Callers
from ibisport_bench.soak.checks import check_all
from ibisport_bench.soak.evidence import Journal, read_clock
from ibisport_bench.soak.fault_injection import FaultInjector
from ibisport_bench.soak.mutants import MUTANT_MODULE
from ibisport_bench.soak.processes import Host
from ibisport_bench.soak.site import GRACE_SECONDS, Site

READY_TIMEOUT_SECONDS = 20.0
# Requests a second for each router, in the mean.
REQUESTS_PER_SECOND = 12.0
# Tokens that the tight workspaces have for each second and router.
TIGHT_TOKENS_PER_SECOND = 150
AMPLE_TOKENS = 100_000_000
# No process should need more than its grace; a slow machine gets as much again.
MAX_EXIT_SECONDS = GRACE_SECONDS * 2
LAG_INTERVAL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Verdict:
    """What one seed showed."""

    seed: int
    journal: Journal
    violations: list[Violation]

    def __str__(self) -> str:
        journal = self.journal
        faults = Counter(one.cause.value for one in journal.faults)
        kinds = Counter(one.kind.value for one in journal.asks)
        statuses = Counter(one.status for one in journal.asks)
        killed = [one for one in journal.starts if one.killed and one.told < one.ended]
        lines = [
            f'seed {self.seed}: {len(journal.asks)} requests {dict(kinds)}, '
            f'statuses {dict(statuses)}, {len(journal.runs)} runs, '
            f'{len(journal.starts)} starts, held up {journal.lag:.2f} s',
            f'  faults {dict(faults)}, killed at the end of the grace: {len(killed)}',
            f'  violations: {len(self.violations)}',
        ]
        lines += [f'  {one.check}: {one.description}' for one in self.violations]
        return '\n'.join(lines)


@dataclass(frozen=True, slots=True)
class RunOptions:
    """What one run is to be.

    Attributes:
        seed: Of all that is drawn.
        seconds: How long callers press.
        routers: How many routers there are.
        mutant: The name of the fault of the routers, or None.
        only: The one kind of fault of the site that is played; None: all.
    """

    seed: int
    seconds: float
    routers: int
    mutant: str | None = None
    only_fault: str | None = None


async def run_seed(order: RunOptions, folder: Path) -> Verdict:
    """Play one seed."""
    seed = order.seed
    journal = Journal()
    source = random.Random(f'budgets {seed}')
    tight = int(
        TIGHT_TOKENS_PER_SECOND
        * order.seconds
        * order.routers
        * source.uniform(0.5, 1.5)
    )
    journal.budgets = {'tight': tight, 'ample': AMPLE_TOKENS}
    site = Site(order.routers, seed, folder, journal)
    if order.mutant is not None:
        for host in site.routers:
            host.use_mutant(MUTANT_MODULE, order.mutant)
    measuring = asyncio.ensure_future(measure_lag(journal))
    try:
        await run_site(site, journal, order)
    finally:
        measuring.cancel()
        for host in site.hosts:
            host.kill()
    return Verdict(seed, journal, check_all(journal))


async def run_site(site: Site, journal: Journal, order: RunOptions) -> None:
    """Start all, play the faults, wait for the last answers and end all."""
    await site.open()
    await wait_until_ready(site)
    callers = Callers(site.routers, site.keys, journal, order.seed)
    until = read_clock() + order.seconds
    plan = FaultInjector(site, callers, journal, order.seed, order.only_fault)
    await asyncio.gather(
        callers.send_requests(REQUESTS_PER_SECOND, until),
        plan.play(until - GRACE_SECONDS),
    )
    await callers.finish()
    await asyncio.gather(*(stop_host(host) for host in site.hosts))


async def stop_host(host: Host) -> None:
    """SIGTERM at the end of a run."""
    await host.stop(MAX_EXIT_SECONDS)


async def wait_until_ready(site: Site) -> None:
    """Wait until each router says that it takes new connections."""
    until = read_clock() + READY_TIMEOUT_SECONDS
    for host in site.routers:
        while not await is_ready(host):
            if read_clock() > until:
                raise TimeoutError(f'{host.name} is not ready')
            await asyncio.sleep(LAG_INTERVAL_SECONDS)


async def is_ready(host: Host) -> bool:
    """Whether a router says that it takes new connections."""
    address = host.settings.readiness_address
    if address is None:
        return False
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n')
        line = await reader.readline()
    except OSError:
        return False
    writer.close()
    return b' 200 ' in line


async def measure_lag(journal: Journal) -> None:
    """Note how long this process itself was held up at most."""
    while True:
        due = read_clock() + LAG_INTERVAL_SECONDS
        await asyncio.sleep(LAG_INTERVAL_SECONDS)
        journal.lag = max(journal.lag, read_clock() - due)
