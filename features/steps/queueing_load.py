"""Shared fixture: routers with gates in front of modelled targets, in virtual time."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass

from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.metadata import TargetLoad
from ibisport_fleet.queueing.policy import PendingRequest, Refuse
from ibisport_fleet.queueing.service_gate import (
    QueueBounds,
    ServiceGate,
    ServiceSources,
)
from ibisport_fleet.target_choice import (
    Candidate,
    Origin,
    TargetHealth,
    choose_plain_target,
)
from ibisport_fleet.targets import TargetEntry

SLOTS = 8
PACES = (0.7, 1.0, 1.7)
URGENT, PATIENT = 0, 2
OBJECTIVES = {URGENT: 0.4, PATIENT: 1.5}
RUN_SECONDS = {URGENT: 0.2, PATIENT: 0.4}
TIME_LIMIT_SECONDS = 15.0
# Usual requests per second; they use about four fifths of the targets' slots.
RATES = {URGENT: 90.0, PATIENT: 85.0}
WORKSPACES = tuple(f'w-{number}' for number in range(6))
GREEDY = WORKSPACES[0]
LARGE_TOKENS, SMALL_TOKENS = 3_000, 300
WARM_UP_SECONDS = 3.0
AFTERWARDS_SECONDS = 4.0
# Interval of load reports where routers get them without an answer.
FEED_SECONDS = 0.15


def make_entry(number, slots):
    """Return the entry of a target."""
    return TargetEntry(f'i-{number}', 'svc', ('10.0.0.1', number), 'd', slots, False, 1)


class ModelTarget:
    """A target that starts requests in the order of their arrival."""

    def __init__(self, number):
        self.entry = make_entry(number, SLOTS)
        self.pace = PACES[number % len(PACES)]
        self.running = 0
        self.waiting = deque()

    @property
    def load(self):
        """The load that it reports."""
        return TargetLoad(self.running, len(self.waiting), SLOTS)

    async def start(self):
        """Return once a slot is free."""
        if self.running < SLOTS:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn

    def end(self):
        """Free a slot, or give it to the request that waits first."""
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.running -= 1


@dataclass(slots=True)
class Outcome:
    """What became of a request; times in seconds since its arrival."""

    arrived_at: float
    rank: int
    workspace: str
    tokens: int
    waited: float = 0.0
    started: float | None = None


class ModelRouter:
    """A router that learns the load of targets from its answers, and from a feed."""

    def __init__(self, number, targets, routers, gated):
        self.origin = Origin(f'r-{number}', 'd')
        self.targets = {target.entry.incarnation: target for target in targets}
        self.candidates = [
            Candidate(target.entry, TargetHealth()) for target in targets
        ]
        sources = ServiceSources(
            lambda regions: self.candidates, lambda: None, lambda: routers
        )
        self.gate = ServiceGate(sources, QueueBounds()) if gated else None

    async def serve(self, outcome):
        """Serve one request and record its times."""
        loop = asyncio.get_running_loop()
        arrived_at = outcome.arrived_at
        if self.gate is not None and await self._is_refused(outcome, arrived_at):
            return
        outcome.waited = loop.time() - arrived_at
        candidate = choose_plain_target(self.candidates, self.origin, loop.time())
        target = self.targets[candidate.entry.incarnation]
        candidate.health.begin_request(loop.time())
        if self.gate is not None:
            self.gate.begin_request(outcome.workspace)
        await target.start()
        outcome.started = loop.time() - arrived_at
        candidate.health.last_received_at = loop.time()
        candidate.health.record_load(target.load, loop.time())
        await asyncio.sleep(RUN_SECONDS[outcome.rank] * target.pace)
        target.end()
        candidate.health.end_request()
        candidate.health.record_load(target.load, loop.time())
        if self.gate is not None:
            self.gate.end_request(outcome.workspace, ran=True)

    async def follow_loads(self):
        """Take in the loads of all targets at intervals."""
        while True:
            await asyncio.sleep(FEED_SECONDS)
            now = asyncio.get_running_loop().time()
            for candidate in self.candidates:
                target = self.targets[candidate.entry.incarnation]
                candidate.health.record_load(target.load, now)

    async def _is_refused(self, outcome, now):
        objective = OBJECTIVES[outcome.rank]
        self.gate.demand.record_arrival(outcome.rank, 0, objective, now)
        request = PendingRequest(
            outcome.rank,
            outcome.workspace,
            outcome.tokens,
            2,
            now,
            now + objective,
            now + TIME_LIMIT_SECONDS,
        )
        turn = await self.gate.wait_for_turn(request)
        return isinstance(turn.decision, Refuse)


def play(routers, factors, seconds, *, gated, fed=False, seed=1):
    """Return the outcomes of a seeded load that changes for some seconds.

    Args:
        routers: Number of routers.
        factors: Factor of the load by rank and workspace; others keep theirs.
        seconds: Duration of the change.
        gated: Whether requests pass the gate.
        fed: Whether routers get load reports without an answer.
        seed: Seed of the arrivals.
    """
    draw = random.Random(seed)
    outcomes = []

    async def press(fleet, rank, workspace):
        loop = asyncio.get_running_loop()
        usual = RATES[rank] / len(WORKSPACES)
        burst = WARM_UP_SECONDS, WARM_UP_SECONDS + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < burst[1] + AFTERWARDS_SECONDS:
                is_burst = burst[0] <= loop.time() < burst[1]
                factor = factors.get((rank, workspace), 1.0) if is_burst else 1.0
                await asyncio.sleep(draw.expovariate(usual * factor))
                tokens = draw.choice((LARGE_TOKENS, SMALL_TOKENS))
                outcomes.append(Outcome(loop.time(), rank, workspace, tokens))
                group.create_task(draw.choice(fleet).serve(outcomes[-1]))

    async def run():
        targets = [ModelTarget(number) for number in range(9)]
        fleet = [
            ModelRouter(number, targets, routers, gated) for number in range(routers)
        ]
        loop = asyncio.get_running_loop()
        feeds = [loop.create_task(router.follow_loads()) for router in fleet if fed]
        async with asyncio.TaskGroup() as group:
            for rank in RATES:
                for workspace in WORKSPACES:
                    group.create_task(press(fleet, rank, workspace))
        for feed in feeds:
            feed.cancel()

    run_virtually(run())
    return outcomes
