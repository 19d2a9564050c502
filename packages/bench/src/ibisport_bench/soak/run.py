"""A single seeded run, from its start to its verdict."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from ibisport_bench.soak.analysis import Violation
from ibisport_bench.soak.callers import Callers
from ibisport_bench.soak.checks import check_all
from ibisport_bench.soak.crowd import Crowd
from ibisport_bench.soak.evidence import Journal, read_clock
from ibisport_bench.soak.fault_injection import (
    FATAL_FAULTS,
    FINAL_FAULT,
    FaultInjector,
)
from ibisport_bench.soak.mutants import MUTANT_MODULE
from ibisport_bench.soak.processes import Host
from ibisport_bench.soak.site import GRACE_SECONDS, WARM_UP, Site
from ibisport_bench.soak.targets import VERSIONS

READY_TIMEOUT_SECONDS = 20.0
# Mean rate for each router.
REQUESTS_PER_SECOND = 12.0
# Mean budget of the workspace that runs out of tokens, for each second and router.
TIGHT_TOKENS_PER_SECOND = 150
AMPLE_TOKENS = 100_000_000
# A process must exit within its grace period; doubled for slow machines.
MAX_EXIT_SECONDS = GRACE_SECONDS * 2
LAG_INTERVAL_SECONDS = 0.05
# How long callers go on after the final fault.
FINAL_SECONDS = 12.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of one seed."""

    seed: int
    journal: Journal
    violations: list[Violation]

    def __str__(self) -> str:
        journal = self.journal
        faults = Counter(fault.cause.value for fault in journal.faults)
        kinds = Counter(request.kind.value for request in journal.asks)
        statuses = Counter(request.status for request in journal.asks)
        killed = [
            start
            for start in journal.starts
            if start.killed and start.told < start.ended
        ]
        resumed = [request for request in journal.asks if request.resumes]
        went_on = sum(request.last_event > request.after for request in resumed)
        lines = [
            f'seed {self.seed}: {len(journal.asks)} requests {dict(kinds)}, '
            f'statuses {dict(statuses)}, {len(journal.runs)} runs, '
            f'{sum(run.continued for run in journal.runs)} continued, '
            f'{len(journal.starts)} starts, held up {journal.lag:.2f} s',
            f'  faults {dict(faults)}, killed at the end of the grace: {len(killed)}',
            f'  {went_on} of {len(resumed)} resumed streams went on',
            f'  {journal.crowd_visits} visits of a crowd',
            f'  violations: {len(self.violations)}',
        ]
        lines += [
            f'  {violation.check}: {violation.description}'
            for violation in self.violations
        ]
        return '\n'.join(lines)


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The options of one run.

    Attributes:
        seed: Seed of all random choices.
        seconds: How long callers send requests.
        routers: The number of routers.
        mutant: The name of the mutant that the routers run; None for the product.
        only_fault: The only kind of fault to inject; None for all kinds that may be
            injected together.
        versions: The number of software versions that serve side by side.
        crowd: Whether clients that don't finish their requests press all the while.
    """

    seed: int
    seconds: float
    routers: int
    mutant: str | None = None
    only_fault: str | None = None
    versions: int = len(VERSIONS)
    crowd: bool = False


async def run_seed(options: RunOptions, folder: Path) -> Verdict:
    """Run one seed and check its journal."""
    seed = options.seed
    journal = Journal()
    source = random.Random(f'budgets {seed}')
    tight = int(
        TIGHT_TOKENS_PER_SECOND
        * options.seconds
        * options.routers
        * source.uniform(0.5, 1.5)
    )
    journal.budgets = {'tight': tight, 'ample': AMPLE_TOKENS}
    # While most targets warm up, a fatal request reaches too few of them for the check
    # to tell a router that sends it on from one that doesn't.
    warm_up = None if options.only_fault in FATAL_FAULTS else WARM_UP
    versions = VERSIONS[: options.versions]
    site = Site(options.routers, seed, folder, journal, warm_up, versions)
    if options.mutant is not None:
        for host in site.routers:
            host.use_mutant(MUTANT_MODULE, options.mutant)
    measuring = asyncio.ensure_future(measure_lag(journal))
    try:
        await run_site(site, journal, options)
    finally:
        measuring.cancel()
        for host in site.hosts:
            host.kill()
    return Verdict(seed, journal, check_all(journal))


async def run_site(site: Site, journal: Journal, options: RunOptions) -> None:
    """Start the site, inject faults, wait for the last answers and stop all hosts."""
    await open_site(site)
    callers = Callers(site.routers, site.keys, journal, options.seed)
    until = read_clock() + options.seconds
    injector = FaultInjector(site, callers, journal, options.seed, options.only_fault)
    crowd = Crowd(site, options.seed)
    await asyncio.gather(
        callers.send_requests(REQUESTS_PER_SECOND, until),
        injector.inject_faults(until - GRACE_SECONDS),
        crowd.press(until if options.crowd else 0.0),
    )
    journal.crowd_visits = crowd.visits
    if options.only_fault in {None, FINAL_FAULT}:
        await inject_final_fault(callers, injector)
    await callers.finish()
    await stop_hosts(site)


async def inject_final_fault(callers: Callers, injector: FaultInjector) -> None:
    """Kill all processes at once while callers go on."""
    until = read_clock() + FINAL_SECONDS
    await asyncio.gather(
        callers.send_requests(REQUESTS_PER_SECOND, until), injector.kill_all()
    )


async def stop_hosts(site: Site) -> None:
    """Stop all hosts at the end of a run."""
    await asyncio.gather(*(host.stop(MAX_EXIT_SECONDS) for host in site.hosts))


async def open_site(site: Site) -> None:
    """Start the site and wait until it accepts requests."""
    await site.open()
    await wait_until_ready(site)


async def wait_until_ready(site: Site) -> None:
    """Wait until each router reports that it accepts new connections."""
    until = read_clock() + READY_TIMEOUT_SECONDS
    for host in site.routers:
        while not await is_ready(host):
            if read_clock() > until:
                raise TimeoutError(f'{host.name} is not ready')
            await asyncio.sleep(LAG_INTERVAL_SECONDS)


async def is_ready(host: Host) -> bool:
    """Whether a router reports that it accepts new connections."""
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
    """Record the longest delay of this process's event loop."""
    while True:
        expected_at = read_clock() + LAG_INTERVAL_SECONDS
        await asyncio.sleep(LAG_INTERVAL_SECONDS)
        journal.lag = max(journal.lag, read_clock() - expected_at)
