"""The schedule of faults, drawn from a seed, and how each fault is injected."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Coroutine, Mapping
from typing import Any

from ibisport_bench.soak.callers import Callers
from ibisport_bench.soak.evidence import Cause, Journal, read_clock
from ibisport_bench.soak.links import DIRECTIONS, TO_SINK, TO_SOURCE, Link
from ibisport_bench.soak.processes import Host
from ibisport_bench.soak.site import GRACE_SECONDS, Site
from ibisport_bench.soak.target_faults import (
    FAULT_SECONDS,
    RESTART_DELAY_SECONDS,
    TargetFaultInjector,
)

ROLL_INTERVAL_SECONDS = (0.2, 2.5)
VERSION_INTERVAL_SECONDS = (0.05, 0.4)
MAX_VERSIONS = 5
FIRST_FAULT_DELAY_SECONDS = 2.0
# Mean intervals between the starts of two faults. Each run draws one of them: the
# longest gives faults in series, the shortest several at once.
MEAN_INTERVALS_SECONDS = (0.4, 1.0, 2.5)
# The mean interval if only one kind of fault is injected.
SINGLE_KIND_INTERVAL_SECONDS = 1.0
MAX_LINK_DELAY_SECONDS = 0.4
RETRY_SLACKS = (5.0, 20.0, 40.0)
MAX_STORE_SLOWDOWN = 60.0
LOST_SHARE, LATE_SHARE = 0.3, 0.2
ALL_LINKS_SHARE = 0.3
STORE = 'store'
# Relative frequencies of the faults. FaultInjector or TargetFaultInjector has a method
# for each name.
FAULT_WEIGHTS: Mapping[str, float] = {
    'roll_all': 2,
    'roll_one': 3,
    'crash': 2,
    'freeze': 2,
    'reload': 3,
    'publish': 4,
    'harm_store_link': 2,
    'harm_target_link': 2,
    'harm_store': 3,
    'drain': 3,
    'crash_target': 1,
    'harm_target': 2,
    'pause': 2,
    'leave': 2,
    'evacuate': 2,
    'misregister': 2,
}
# The last fault of a run: all processes are killed at once, and callers go on.
FINAL_FAULT = 'kill_all'
FINAL_RESTART_SECONDS = 1.2
# Faults that are only injected alone: beside them, the checks for other faults would
# need exceptions for the affected targets, or would have fewer requests to look at.
FATAL_FAULTS = ('fatal', 'fatal_part')
EXCLUSIVE_FAULTS = (*FATAL_FAULTS, 'limit', 'harm_engines')
FATAL_SECONDS = 15.0
# All fatal requests share the targets, each of which is away for two seconds after a
# crash. With more of them each reaches too few targets for the check to tell a router
# that sends it on from one that doesn't.
MAX_FATAL_REQUESTS = 3


class FaultInjector:
    """Draws and injects the faults of a run."""

    def __init__(
        self,
        site: Site,
        callers: Callers,
        journal: Journal,
        seed: int,
        only: str | None,
    ) -> None:
        """Draw the mean interval between faults.

        Args:
            site: The site that the faults affect.
            callers: Send the fatal requests.
            journal: Records the faults.
            seed: Seed of all random choices.
            only: The only kind of fault to inject; None for all kinds that may be
                injected together.
        """
        self._site = site
        self._callers = callers
        self._journal = journal
        # The schedule has a generator of its own, so that it doesn't depend on what
        # the faults draw while they run.
        self._schedule_random = random.Random(f'order {seed}')
        self._random = random.Random(f'plan {seed}')
        self._tasks: set[asyncio.Task[None]] = set()
        self._error: BaseException | None = None
        self._fatal_requests = 0
        self._target_faults = TargetFaultInjector(site, journal, self._random)
        # A single kind leaves routers otherwise undisturbed, which checks with time
        # bounds need.
        self._weights = FAULT_WEIGHTS if only is None else {only: 1.0}
        self._weights = {
            kind: weight
            for kind, weight in self._weights.items()
            if kind != FINAL_FAULT
        }
        self._mean_interval = (
            SINGLE_KIND_INTERVAL_SECONDS
            if only
            else self._schedule_random.choice(MEAN_INTERVALS_SECONDS)
        )

    async def inject_faults(self, until: float) -> None:
        """Inject faults until a clock time, then wait until all of them have ended.

        Raises:
            Exception: The error of a fault that failed. Without it, a run with fewer
                faults than drawn would pass for one that withstood them.
        """
        kinds, weights = list(self._weights), list(self._weights.values())
        await asyncio.sleep(FIRST_FAULT_DELAY_SECONDS)
        while kinds and read_clock() < until:
            kind = self._schedule_random.choices(kinds, weights)[0]
            self._spawn(self._inject(kind))
            await asyncio.sleep(
                self._schedule_random.expovariate(1 / self._mean_interval)
            )
            self._raise_error()
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._raise_error()

    def _inject(self, kind: str) -> Awaitable[None]:
        target_fault = getattr(self._target_faults, kind, None)
        fault: Awaitable[None] = (target_fault or getattr(self, f'_{kind}'))()
        return fault

    async def kill_all(self) -> None:
        """Kill all processes at once, and start them again together."""
        await asyncio.gather(*(self._kill(host) for host in self._site.hosts))
        await asyncio.sleep(FINAL_RESTART_SECONDS)
        await asyncio.gather(*(host.launch() for host in self._site.hosts))
        self._journal.returned_at = read_clock()

    def _spawn(self, fault: Awaitable[None]) -> None:
        task = asyncio.ensure_future(fault)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Future[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and self._error is None:
            self._error = task.exception()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error

    def _draw_uniform(self, span: tuple[float, float]) -> float:
        return self._random.uniform(*span)

    async def _roll_all(self) -> None:
        """Restart all routers in random order, overlapping if the interval is short."""
        interval = self._draw_uniform(ROLL_INTERVAL_SECONDS)
        for host in self._random.sample(self._site.routers, len(self._site.routers)):
            self._spawn(self._roll(host))
            await asyncio.sleep(interval)

    async def _roll_one(self) -> None:
        await self._roll(self._random.choice(self._site.hosts))

    async def _roll(self, host: Host) -> None:
        await self._restart_after(host, host.stop(GRACE_SECONDS))

    async def _crash(self) -> None:
        host = self._random.choice(self._site.hosts)
        await self._restart_after(host, self._kill(host))

    async def _restart_after(self, host: Host, stop: Coroutine[Any, Any, None]) -> None:
        if host.restarting:
            stop.close()
            return
        host.restarting = True
        await stop
        await asyncio.sleep(self._draw_uniform(RESTART_DELAY_SECONDS))
        await host.launch()
        host.restarting = False

    async def _kill(self, host: Host) -> None:
        with self._journal.track_fault(Cause.kill, host.name, ''):
            host.kill()
            await host.wait(GRACE_SECONDS)

    async def _freeze(self) -> None:
        host = self._random.choice(self._site.hosts)
        with self._journal.track_fault(Cause.freeze, host.name, ''):
            host.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._draw_uniform(FAULT_SECONDS))
            host.send_signal(signal.SIGCONT)

    async def _reload(self) -> None:
        host = self._random.choice(self._site.routers)
        host.reload(self._random.choice(RETRY_SLACKS))

    async def _publish(self) -> None:
        for _ in range(self._random.randint(1, MAX_VERSIONS)):
            if not self._site.service.faults.down:
                self._site.publish()
            await asyncio.sleep(self._draw_uniform(VERSION_INTERVAL_SECONDS))

    async def _harm_store_link(self) -> None:
        links = list(self._site.store_links.values())
        if self._random.random() > ALL_LINKS_SHARE:
            links = [self._random.choice(links)]
        link_fault = draw_link_fault(self._random)
        await asyncio.gather(
            *(self._inject_link_fault(link, *link_fault) for link in links)
        )

    async def _harm_target_link(self) -> None:
        target = self._random.choice(self._site.targets)
        await self._inject_link_fault(target.link, *draw_link_fault(self._random))

    async def _inject_link_fault(self, link: Link, kind: str, seconds: float) -> None:
        with self._journal.track_fault(Cause.link, link.name, kind):
            match kind:
                case 'delay':
                    link.delay = self._draw_uniform((0, MAX_LINK_DELAY_SECONDS))
                case 'reset':
                    link.reset()
                    return
                case 'silence':
                    link.silence(DIRECTIONS)
                case direction:
                    link.silence([direction])
            await asyncio.sleep(seconds)
            link.heal()

    async def _harm_store(self) -> None:
        faults = self._site.service.faults
        kinds = ('lose', 'late', 'slow', 'down', 'silent', 'lapse')
        kind = self._random.choice(kinds)
        with self._journal.track_fault(Cause.store, STORE, kind):
            match kind:
                case 'lose':
                    faults.lose = LOST_SHARE
                case 'late':
                    faults.late = LATE_SHARE
                case 'slow':
                    faults.slow = self._draw_uniform((2, MAX_STORE_SLOWDOWN))
                case 'down':
                    faults.down = True
                case 'silent':
                    faults.cut.add('all')
                case _:
                    self._site.service.end_leases()
            await asyncio.sleep(self._draw_uniform(FAULT_SECONDS))
            faults.lose, faults.late, faults.slow = 0.0, 0.0, 1.0
            faults.down = False
            faults.cut.clear()

    async def _fatal(self) -> None:
        """Let a caller repeat a request that crashes each target that runs it."""
        if self._fatal_requests == MAX_FATAL_REQUESTS:
            return
        self._fatal_requests += 1
        await self._callers.repeat_fatal_request(FATAL_SECONDS)
        self._fatal_requests -= 1

    async def _fatal_part(self) -> None:
        """Let callers send different requests that have a fatal part in common."""
        if self._fatal_requests:
            return
        self._fatal_requests += 1
        await self._callers.send_fatal_part(FATAL_SECONDS)


def draw_link_fault(random_source: random.Random) -> tuple[str, float]:
    """Return a random fault of a link and its duration in seconds."""
    kinds = ('delay', 'reset', 'silence', TO_SINK, TO_SOURCE)
    return random_source.choice(kinds), random_source.uniform(*FAULT_SECONDS)
