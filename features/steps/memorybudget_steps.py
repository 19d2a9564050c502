"""Steps on the memory that all connections of a process share."""

import asyncio
import random
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from ibisport_fleet.overload.memory_budget import (
    MIN_WAIT_SECONDS,
    MemoryBudget,
    MemoryExhausted,
    MemoryUse,
    Part,
)

KIB = 1_024
MIB = 1_048_576
SEED = 66
STEPS = 200
SMALL = 64 * KIB
SIZES = (0, 0, KIB, 60 * KIB, 300 * KIB, MIB, 3 * MIB)
WAIT_SHARE = 50


class _Connections:
    """Connections of one process at a time of their own."""

    def __init__(self, max_bytes):
        self.now = 0.0
        self.budget = MemoryBudget(max_bytes)
        self.uses = []
        self.lost = []

    def open(self, owner):
        """Return the memory of a new connection."""
        use = MemoryUse(self.budget)
        use.assign(owner)
        self.uses.append(use)
        return use

    def wait(self, use):
        """Let a connection wait for its peer."""
        use.evict = lambda: self.lost.append(use)
        with self._patch_time():
            self.budget.track(use)

    def take(self, use, size):
        """Let a connection use some bytes; return whether there is room."""
        try:
            with self._patch_time():
                use.resize(Part.request, size)
        except MemoryExhausted:
            return False
        return True

    def send(self, owner, size, *, stops=False):
        """Return whether a new connection finds room for a body."""
        use = self.open(owner)
        if stops:
            self.wait(use)
        return self.take(use, size)

    def fill(self, *, stops=False):
        """Let two workspaces send bodies until neither finds room."""
        found = True
        while found:
            found = any([self.send(owner, MIB, stops=stops) for owner in 'ab'])

    def _patch_time(self):
        loop = SimpleNamespace(time=lambda: self.now)
        return mock.patch.object(asyncio, 'get_running_loop', lambda: loop)


@given('a memory budget of {size:d} MiB')
def make_budget(context, size):
    context.connections = _Connections(size * MIB)


@when('workspace "a" and workspace "b" fill it with bodies of 1 MiB')
def fill(context):
    context.connections.fill()


@when('workspace "a" and workspace "b" fill it with bodies of 1 MiB that stop')
def fill_and_stop(context):
    context.connections.fill(stops=True)


@when('{seconds:d} seconds pass')
def pass_time(context, seconds):
    context.connections.now += seconds


@when('workspace "a" sends {count:d} bodies of 1 MiB')
def send_bodies(context, count):
    context.found = [context.connections.send('a', MIB) for _ in range(count)]


@then('{count:d} of them have room')
def check_count(context, count):
    assert sum(context.found) == count, context.found


@then('a request of 32 KiB of workspace "{owner}" finds room')
def check_small(context, owner):
    assert context.connections.send(owner, 32 * KIB)


@then('a body of 1 MiB of workspace "{owner}" finds room')
def check_large(context, owner):
    assert context.connections.send(owner, MIB)


@then('a body of 1 MiB of workspace "{owner}" finds no room')
def check_refused(context, owner):
    assert not context.connections.send(owner, MIB)
    assert not context.connections.lost, context.connections.lost


@then('nobody has lost room')
def check_no_loss(context):
    assert not context.connections.lost, context.connections.lost


@then('the oldest body has lost its room')
def check_oldest(context):
    connections = context.connections
    assert connections.lost == [connections.uses[0]], len(connections.lost)


def _count_large(connections, owner):
    return sum(
        max(0, use.size - SMALL) for use in connections.uses if use.owner == owner
    )


def _play_history(seed):
    """Return the most that was used, and how often a smaller user lost room."""
    source = random.Random(seed)
    connections = _Connections(8 * MIB)
    uses = [connections.open(source.choice('abc')) for _ in range(40)]
    most = wrong = 0
    for _ in range(STEPS):
        connections.now += source.random() * MIN_WAIT_SECONDS
        use, size = source.choice(uses), source.choice(SIZES)
        large = {owner: _count_large(connections, owner) for owner in 'abc'}
        lost = len(connections.lost)
        connections.take(use, size)
        losers = connections.lost[lost:] if size > SMALL else []
        wrong += len([one for one in losers if large[one.owner] < large[use.owner]])
        if source.randrange(100) < WAIT_SHARE:
            connections.wait(use)
        most = max(most, connections.budget.used)
    assert connections.budget.used == sum(use.size for use in uses)
    return most, wrong


@when('random connections take, return and wait for memory, {count:d} histories')
def play_histories(context, count):
    context.results = [_play_history(SEED + number) for number in range(count)]


@then('never more than the budget was in use')
def check_most(context):
    assert max(most for most, _ in context.results) <= 8 * MIB, context.results


@then('no workspace has lost room to one that used more')
def check_losses(context):
    assert not sum(wrong for _, wrong in context.results), context.results
