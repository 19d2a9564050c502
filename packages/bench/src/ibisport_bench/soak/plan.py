"""Which faults come when, drawn by seed, and how each is played."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from ibisport_bench.soak.evidence import read_clock
from ibisport_bench.soak.processes import Host
from ibisport_bench.soak.site import GRACE_S, Site

RESTART_S = (0.1, 1.5)
SHORT_GAP_S = (0.3, 2.5)
FIRST_FAULT_S = 2.0


class Plan:
    """The faults of one run."""

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._random = random.Random(f'plan {seed}')
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, until: float) -> None:
        """Play faults until a clock time, and wait for the end of the last one."""
        await asyncio.sleep(FIRST_FAULT_S)
        while read_clock() < until:
            self._spawn(self._roll_all())
            await asyncio.sleep(self._random.uniform(GRACE_S, GRACE_S + 2))
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _roll_all(self) -> None:
        for host in self._random.sample(self._site.routers, len(self._site.routers)):
            self._spawn(self._roll(host))
            await asyncio.sleep(self._random.uniform(*SHORT_GAP_S))

    async def _roll(self, host: Host) -> None:
        if host.busy:
            return
        host.busy = True
        await host.stop(GRACE_S)
        await asyncio.sleep(self._random.uniform(*RESTART_S))
        await host.launch()
        host.busy = False
