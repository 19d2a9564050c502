"""Which faults come when, drawn by seed, and how each is played."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Coroutine, Mapping
from typing import Any

from ibisport_bench.soak.callers import Callers
from ibisport_bench.soak.evidence import Cause, Journal, NamedLimit, read_clock
from ibisport_bench.soak.links import TO_SINK, TO_SOURCE, WAYS, Link
from ibisport_bench.soak.processes import Host
from ibisport_bench.soak.site import GRACE_S, Site
from ibisport_bench.soak.targets import ENTRY_LAPSES_S, Ills, Target

RESTART_S = (0.1, 1.5)
SHORT_GAP_S = (0.2, 2.5)
VERSION_GAP_S = (0.05, 0.4)
MOST_VERSIONS = 5
FIRST_FAULT_S = 2.0
# Mean pauses between two faults, one drawn for each run: from faults in series to
# several at once.
MEAN_PAUSES_S = (0.4, 1.0, 2.5)
# The same where only one kind is played.
ONLY_PAUSE_S = 1.0
FAULT_SECONDS = (0.3, 4.0)
LONGEST_DELAY_S = 0.4
RETRY_SLACKS = (5.0, 20.0, 40.0)
MOST_SLOW = 60.0
LOST_SHARE, LATE_SHARE = 0.3, 0.2
BROKEN_SHARE = 0.5
ALL_LINKS_SHARE = 0.3
LATEST_START_S = 1.5
STORE = 'store'
# How often each fault is played, against the sum of all.
WEIGHTS: Mapping[str, float] = {
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
}
# Played alone only: checks of the others' targets would have to be excused.
ALONE = ('fatal', 'limit')
FATAL_SECONDS = 15.0
LIMIT_SECONDS = 12.0
LIMITS = (0.5, 2.4, 6.0)


class Plan:
    """The faults of one run."""

    def __init__(
        self,
        site: Site,
        callers: Callers,
        journal: Journal,
        seed: int,
        only: str | None,
    ) -> None:
        """Draw the pace.

        Args:
            site: What is harmed.
            callers: Send requests that do harm.
            journal: Where it is noted.
            seed: Of all that is drawn.
            only: The one kind of fault that is played; None: all.
        """
        self._site = site
        self._callers = callers
        self._journal = journal
        # What comes when doesn't hang on what the faults themselves draw.
        self._order = random.Random(f'order {seed}')
        self._random = random.Random(f'plan {seed}')
        self._tasks: set[asyncio.Task[None]] = set()
        self._leaving: set[str] = set()
        # Checks with time bounds need routers that are otherwise calm.
        self._weights = WEIGHTS if only is None else {only: 1}
        self._pause = ONLY_PAUSE_S if only else self._order.choice(MEAN_PAUSES_S)

    async def play(self, until: float) -> None:
        """Play faults until a clock time, and wait for the end of the last one."""
        names, weights = list(self._weights), list(self._weights.values())
        await asyncio.sleep(FIRST_FAULT_S)
        while read_clock() < until:
            name = self._order.choices(names, weights)[0]
            self._spawn(getattr(self, f'_{name}')())
            await asyncio.sleep(self._order.expovariate(1 / self._pause))
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Future[None]) -> None:
        self._tasks.discard(task)
        # A fault of the soak's own must not pass for a calm run.
        task.result()

    def _draw(self, span: tuple[float, float]) -> float:
        return self._random.uniform(*span)

    async def _roll_all(self) -> None:
        """Restart all routers in turn, several at once where the gap is short."""
        gap = self._draw(SHORT_GAP_S)
        for host in self._random.sample(self._site.routers, len(self._site.routers)):
            self._spawn(self._roll(host))
            await asyncio.sleep(gap)

    async def _roll_one(self) -> None:
        await self._roll(self._random.choice(self._site.hosts))

    async def _roll(self, host: Host) -> None:
        await self._replace(host, host.stop(GRACE_S))

    async def _crash(self) -> None:
        host = self._random.choice(self._site.hosts)
        await self._replace(host, self._kill(host))

    async def _replace(self, host: Host, work: Coroutine[Any, Any, None]) -> None:
        if host.busy:
            work.close()
            return
        host.busy = True
        await work
        await asyncio.sleep(self._draw(RESTART_S))
        await host.launch()
        host.busy = False

    async def _kill(self, host: Host) -> None:
        with self._journal.note(Cause.kill, host.name, ''):
            host.kill()
            await host.wait(GRACE_S)

    async def _freeze(self) -> None:
        host = self._random.choice(self._site.hosts)
        with self._journal.note(Cause.freeze, host.name, ''):
            host.tell(signal.SIGSTOP)
            await asyncio.sleep(self._draw(FAULT_SECONDS))
            host.tell(signal.SIGCONT)

    async def _reload(self) -> None:
        host = self._random.choice(self._site.routers)
        host.reload(self._random.choice(RETRY_SLACKS))

    async def _publish(self) -> None:
        for _ in range(self._random.randint(1, MOST_VERSIONS)):
            if not self._site.service.faults.down:
                self._site.publish()
            await asyncio.sleep(self._draw(VERSION_GAP_S))

    async def _harm_store_link(self) -> None:
        links = list(self._site.store_links.values())
        if self._random.random() > ALL_LINKS_SHARE:
            links = [self._random.choice(links)]
        harm = draw_harm(self._random)
        await asyncio.gather(*(self._harm_link(link, *harm) for link in links))

    async def _harm_target_link(self) -> None:
        target = self._random.choice(self._site.targets)
        await self._harm_link(target.link, *draw_harm(self._random))

    async def _harm_link(self, link: Link, kind: str, seconds: float) -> None:
        with self._journal.note(Cause.link, link.name, kind):
            match kind:
                case 'delay':
                    link.delay = self._draw((0, LONGEST_DELAY_S))
                case 'reset':
                    link.reset()
                    return
                case 'silence':
                    link.silence(WAYS)
                case way:
                    link.silence([way])
            await asyncio.sleep(seconds)
            link.heal()

    async def _harm_store(self) -> None:
        faults = self._site.service.faults
        kinds = ('lose', 'late', 'slow', 'down', 'silent', 'lapse')
        kind = self._random.choice(kinds)
        with self._journal.note(Cause.store, STORE, kind):
            match kind:
                case 'lose':
                    faults.lose = LOST_SHARE
                case 'late':
                    faults.late = LATE_SHARE
                case 'slow':
                    faults.slow = self._draw((2, MOST_SLOW))
                case 'down':
                    faults.down = True
                case 'silent':
                    faults.cut.add('all')
                case _:
                    self._site.service.end_leases()
            await asyncio.sleep(self._draw(FAULT_SECONDS))
            faults.lose, faults.late, faults.slow = 0.0, 0.0, 1.0
            faults.down = False
            faults.cut.clear()

    async def _drain(self) -> None:
        target = self._random.choice(self._site.targets)
        if self._claim(target):
            await target.leave()
            await self._return(target)

    async def _crash_target(self) -> None:
        target = self._random.choice(self._site.targets)
        if self._claim(target):
            target.end()
            await asyncio.sleep(ENTRY_LAPSES_S)
            await target.withdraw()
            await self._return(target)

    async def _fatal(self) -> None:
        """Let one caller repeat a request that ends each target that runs it."""
        await self._callers.repeat_fatal(FATAL_SECONDS)

    async def _limit(self) -> None:
        """Let a target name a rate limit for a while."""
        target = self._random.choice(self._site.targets)
        if target.rate is not None:
            return
        target.rate = self._random.choice(LIMITS)
        limit = NamedLimit(target.entry.incarnation, target.rate, read_clock())
        self._journal.limits.append(limit)
        await asyncio.sleep(LIMIT_SECONDS)
        target.rate = None
        limit.ended = read_clock()

    def _claim(self, target: Target) -> bool:
        """Whether a target may leave: at most one of each service at once."""
        if target.entry.service in self._leaving:
            return False
        self._leaving.add(target.entry.service)
        return True

    async def _return(self, target: Target) -> None:
        await asyncio.sleep(self._draw(RESTART_S))
        await target.start()
        self._leaving.discard(target.entry.service)

    async def _harm_target(self) -> None:
        target = self._random.choice(self._site.targets)
        late = self._draw((0, LATEST_START_S))
        ills = Ills(breaks=BROKEN_SHARE) if late < 1 else Ills(late=late)
        with self._journal.note(Cause.target, target.name, f'{ills}'):
            target.ills = ills
            await asyncio.sleep(self._draw(FAULT_SECONDS))
            target.ills = Ills()


def draw_harm(source: random.Random) -> tuple[str, float]:
    """Return what happens to a link, and for how many seconds."""
    kinds = ('delay', 'reset', 'silence', TO_SINK, TO_SOURCE)
    return source.choice(kinds), source.uniform(*FAULT_SECONDS)
