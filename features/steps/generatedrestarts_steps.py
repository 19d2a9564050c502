"""Steps on generated histories of releases, restarts and faults beside streams."""

import asyncio
import itertools
import random

from behave import then, when
from fleet_targets import EVENT_INTERVAL_SECONDS
from running_fleet import run_fleet
from stream_callers import StreamCaller
from streamrestarts_steps import move

VERSIONS = ('v1', 'v2', 'v3')
ROUTERS, TARGETS = 3, 5
HISTORY_SECONDS = 110.0
STREAM_INTERVAL_SECONDS = 0.3
EVENT_SECONDS = 0.6
MEAN_INTERVAL_SECONDS = 3.0
# Longer than the lapse of an entry, so that a version may come and go in an outage.
FAULT_SECONDS = (0.5, 12.0)
# Longer than what streams may last, and than the margin of the page.
CUT_SECONDS = (2.0, 50.0)


class History:
    """One generated history.

    Attributes:
        streams: All streams of callers, ended or not.
    """

    def __init__(self, fleet, seed):
        self.streams = []
        self._fleet = fleet
        self._random = random.Random(f'history {seed}')
        self._caller = StreamCaller(fleet)
        self._tasks = set()
        self._restarting = set()
        self._starting = set()
        self._in_fault = False

    async def run(self):
        """Let callers and faults go on for a while, then wait for the last streams."""
        calling = asyncio.ensure_future(self._call())
        kinds = (
            self._restart_one,
            self._restart_all,
            self._release_some,
            self._release_all,
            self._remove_entry,
            self._cut_router,
            self._harm_store,
            self._forget_history,
        )
        until = self._fleet.now + HISTORY_SECONDS
        while self._fleet.now < until:
            self._spawn(self._random.choice(kinds)())
            await asyncio.sleep(self._random.expovariate(1 / MEAN_INTERVAL_SECONDS))
        calling.cancel()
        await asyncio.wait(self._tasks)
        for task in self._tasks:
            task.result()

    def _spawn(self, work):
        self._tasks.add(asyncio.ensure_future(work))

    async def _call(self):
        for number in itertools.count():
            router = self._random.choice(self._fleet.routers)
            if router.ready:
                self._tasks.add(self._fleet.call(self._stream(router, number)))
            await asyncio.sleep(STREAM_INTERVAL_SECONDS)

    async def _stream(self, router, number):
        stream = await move(self._fleet, self._caller, router, number)
        self.streams.append(stream)

    async def _restart_one(self):
        await self._restart(
            self._random.choice(self._fleet.routers),
            self._random.choice(('SIGTERM', 'SIGKILL')),
        )

    async def _restart_all(self):
        gap = self._random.choice((0.0, 0.0, 1.0, 4.0))
        for router in self._fleet.routers:
            self._spawn(self._restart(router, 'SIGKILL'))
            await asyncio.sleep(gap)

    async def _restart(self, router, signal):
        if router.host in self._restarting or router.router is None:
            return
        self._restarting.add(router.host)
        await router.restart(signal)
        # A process that is stopped again at once has nothing to stop yet.
        await asyncio.sleep(1.0)
        self._restarting.discard(router.host)

    async def _release_some(self):
        version = self._random.choice(VERSIONS)
        self._start_as(self._random.choice(self._fleet.targets), version)

    async def _release_all(self):
        version = self._random.choice(VERSIONS)
        gap = self._random.choice((0.0, 0.5, 2.0))
        for target in self._fleet.targets:
            self._start_as(target, version)
            await asyncio.sleep(gap)

    def _start_as(self, target, version):
        if target.host in self._starting:
            return
        self._starting.add(target.host)
        target.software_version = version
        down_seconds = self._random.uniform(0.3, 5.0)
        target.crash(down_seconds)
        # The start itself takes a moment.
        self._fleet.net.call_later(
            down_seconds + 0.1, self._starting.discard, target.host
        )

    async def _remove_entry(self):
        """Let a target serve on without its entry."""
        target = self._random.choice(self._fleet.targets)
        target.remove_entry()
        await asyncio.sleep(self._random.uniform(*FAULT_SECONDS))
        self._start_as(target, self._random.choice(VERSIONS))

    async def _cut_router(self):
        router = self._random.choice(self._fleet.routers)
        cut = self._fleet.service.faults.cut
        cut.add(router.host)
        await asyncio.sleep(self._random.uniform(*CUT_SECONDS))
        cut.discard(router.host)

    async def _harm_store(self):
        if self._in_fault:
            return
        self._in_fault = True
        faults = self._fleet.service.faults
        name, usual, harmed = self._random.choice(
            (
                ('down', False, True),
                ('refuse_writes', False, True),
                ('late', 0.0, 0.5),
                ('lose', 0.0, 0.5),
                ('slow', 1.0, 50.0),
            )
        )
        setattr(faults, name, harmed)
        await asyncio.sleep(self._random.uniform(*FAULT_SECONDS))
        setattr(faults, name, usual)
        self._in_fault = False

    async def _forget_history(self):
        self._fleet.service.forget_history()


def play_history(seed):
    """Return the streams of one generated history."""
    histories = []

    def prepare(fleet):
        fleet.first_start = seed % 2 == 0
        for target in fleet.targets:
            target.software_version = VERSIONS[0]
            target.event_factor = EVENT_SECONDS / EVENT_INTERVAL_SECONDS

    async def act(fleet):
        histories.append(History(fleet, seed))
        await histories[0].run()

    run_fleet(act, ROUTERS, TARGETS, change_fleet=prepare)
    return histories[0].streams


@when('{count:d} histories are generated, from seed {first:d} on')
def play_histories(context, count, first):
    context.streams_by_seed = {
        seed: play_history(seed) for seed in range(first, first + count)
    }


@then('no caller of any history holds events of two versions')
def check_versions(context):
    mixed = [
        (seed, stream)
        for seed, streams in context.streams_by_seed.items()
        for stream in streams
        if len(stream.versions) > 1
    ]
    assert not mixed, (len(mixed), mixed[:3])


@then('at least half of the streams that callers resumed went on')
def check_resumed(context):
    resumed = [
        stream
        for streams in context.streams_by_seed.values()
        for stream in streams
        if stream.events and len(stream.statuses) > 1
    ]
    went_on = sum(200 in stream.statuses[1:] for stream in resumed)
    assert resumed
    assert 2 * went_on >= len(resumed), (went_on, len(resumed))
