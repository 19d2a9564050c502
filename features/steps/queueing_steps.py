"""Steps on requests that wait for their turn at the targets."""

import asyncio
import random
import time
from dataclasses import replace

import queueing_load
from behave import given, then, when
from generated_steps import REPRODUCIBLE
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from queueing_load import PATIENT, URGENT

from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.metadata import TargetLoad
from ibisport_fleet.queueing.demand import RankDemand
from ibisport_fleet.queueing.policy import (
    PendingRequest,
    Refuse,
    Send,
    Wait,
    WaitReason,
    decide,
    refuse_for_space,
)
from ibisport_fleet.queueing.request_queue import QueuedRequest, RequestQueue
from ibisport_fleet.queueing.service_gate import (
    MAX_QUEUED_REQUESTS,
    QueueBounds,
    ServiceGate,
    ServiceSources,
)
from ibisport_fleet.queueing.start_estimates import Capacity
from ibisport_fleet.target_choice import Candidate, TargetHealth

NOW = 100.0
OBJECTIVE_SECONDS = 1.5
DEADLINE_SECONDS = 5.0
BODY_BYTES = 4_194_304
DECISIONS = {'to send it': Send, 'to let it wait': Wait, 'to refuse it': Refuse}
DECISION_COUNT = 2_000
MIN_TURNS = 5
MACHINES = 300
MAX_RELEASE_SECONDS = 0.05
MAX_TIMER_ERROR_SECONDS = 0.01


class _Starts:
    """An estimator with one value for idle targets and one for others."""

    def __init__(self, seconds, idle_seconds):
        self._seconds, self._idle_seconds = seconds, idle_seconds

    def estimate_start_seconds(self, candidate, uncached_tokens, now):
        return self._seconds if candidate.health.running else self._idle_seconds


def _make_request(rank=PATIENT, workspace='acme', age=0.0, size=2):
    received_at = NOW - age
    objective_at = received_at + OBJECTIVE_SECONDS
    deadline = received_at + DEADLINE_SECONDS
    return PendingRequest(
        rank, workspace, 100, size, received_at, objective_at, deadline
    )


def _make_candidates(count, slots, running):
    made = []
    for number in range(count):
        health = TargetHealth()
        health.running = running
        health.record_load(TargetLoad(running, 0, slots), NOW)
        made.append(Candidate(queueing_load.make_entry(number, slots), health))
    return made


@given(
    '{count:d} targets of {slots:d} slots that run {running:d} requests each, '
    'of which {ends:d} end per second'
)
def make_targets(context, count, slots, running, ends):
    candidates = _make_candidates(count, slots, running)
    context.capacity = Capacity(candidates, None, 1, float(ends))
    context.urgent = []


@given('no target')
def make_no_target(context):
    context.capacity = Capacity([], None, 1, 100.0)


@given(
    '{count:d} targets that start an urgent request after {seconds:g} seconds, '
    'or {idle:g} when idle'
)
def make_estimated_targets(context, count, seconds, idle):
    candidates = _make_candidates(count, 8, 4)
    context.capacity = Capacity(candidates, _Starts(seconds, idle), 1, 100.0)


@given('{rate:d} urgent requests a second with an objective of {objective:g} seconds')
def set_demand(context, rate, objective):
    context.urgent = [RankDemand(rate, 100, objective)] if rate else []


@given('{routers:d} routers that share them')
def set_routers(context, routers):
    context.capacity = replace(context.capacity, routers=routers)


@given('all of them have just rejected a request')
def reject(context):
    for candidate in context.capacity.candidates:
        candidate.health.record_rejection(NOW)


@when('a request of rank {rank:d} is decided on {age:g} seconds after it was received')
def decide_on_request(context, rank, age):
    request = _make_request(rank, age=age)
    urgent = context.urgent if rank else []
    context.decision = decide(request, context.capacity, urgent, NOW)


@then('the decision is {decision}')
def check_decision(context, decision):
    assert isinstance(context.decision, DECISIONS[decision]), context.decision


@then('it is sent at the latest when half of its objective has passed')
def check_wait(context):
    # A slot must become free first, every 20 ms at each of the two targets.
    latest = NOW + OBJECTIVE_SECONDS / 2
    until = context.decision.until
    assert latest - MAX_RELEASE_SECONDS < until, context.decision
    assert until < latest, context.decision


@given('{count:d} requests wait and {rate:d} end per second')
def set_queue(context, count, rate):
    context.full = count, rate


@when('{count:d} requests are refused since the queue is full')
def refuse(context, count):
    random.seed(1)
    context.refusals = [refuse_for_space(*context.full) for _ in range(count)]


@then('their Retry-After times are spread between {least:g} and {most:g} seconds')
def check_retry_after(context, least, most):
    times = [refusal.retry_after for refusal in context.refusals]
    assert least <= min(times), times
    assert max(times) <= most, times
    assert max(times) - min(times) > (most - least) / 2, times


class _QueueMachine(RuleBasedStateMachine):
    """Compares a queue with a list that is searched as the order is specified."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.queue = RequestQueue()
        self.listed = []
        self.in_use = {}
        self.tickets = 0
        self.turns = 0

    @rule(
        rank=strategies.integers(0, 3),
        workspace=strategies.sampled_from(('a', 'b', 'c', None)),
        seconds=strategies.sampled_from((0.1, 0.5, 2.0)),
    )
    def join(self, rank, workspace, seconds):
        request = replace(_make_request(rank, workspace), size=self.tickets)
        queued = QueuedRequest(self.tickets, request, self.now + seconds)
        self.tickets += 1
        self.queue.push(queued)
        self.listed.append(queued)

    @rule(number=strategies.integers(0, 50))
    def leave(self, number):
        if self.listed:
            queued = self.listed.pop(number % len(self.listed))
            assert self.queue.remove(queued.ticket) is queued
            assert self.queue.remove(queued.ticket) is None

    @rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0)))
    def pass_time(self, seconds):
        self.now += seconds

    @rule()
    def take_turn(self):
        queued = self.queue.find_next(self.in_use, self.now)
        expected = min(self.listed, key=self._order, default=None)
        assert queued is expected, (queued, expected)
        if queued is not None:
            self.turns += 1
            workspace = queued.request.workspace
            self.in_use[workspace] = self.in_use.get(workspace, 0) + 1
            self.queue.remove(queued.ticket)
            self.listed.remove(queued)

    @rule(rank=strategies.integers(0, 3))
    def displace(self, rank):
        found = self.queue.find_displaceable(_make_request(rank, 'a'))
        if found is not None:
            assert found.request.rank >= rank
            assert found.request.rank == max(q.request.rank for q in self.listed)

    @invariant()
    def agrees(self):
        assert len(self.queue) == len(self.listed)
        assert self.queue.size == sum(queued.request.size for queued in self.listed)
        ends = [queued.wait_until for queued in self.listed]
        assert self.queue.find_earliest_end() == min(ends, default=float('inf'))

    def _order(self, queued):
        request = queued.request
        if queued.wait_until <= self.now:
            return request.rank, 0, queued.wait_until, queued.ticket
        in_use = self.in_use.get(request.workspace, 0)
        return request.rank, 1, in_use, queued.ticket


@when('generated requests join, leave and take their turns in a queue')
def run_machine(context):
    context.machines = []

    def build_machine():
        context.machines.append(_QueueMachine())
        return context.machines[-1]

    # With 100 machines, none has found waits that end without effect.
    bounds = settings(REPRODUCIBLE, max_examples=MACHINES)
    run_state_machine_as_test(build_machine, settings=bounds)


@then('the queue always agreed with a sorted list')
def check_machine(context):
    # A machine raises an error where they don't agree.
    turns = [machine.turns for machine in context.machines]
    assert max(turns) > MIN_TURNS, max(turns)


async def _open_gate(candidates=()):
    """Return a gate at which urgent requests are present; the targets are full."""
    candidates = candidates or _make_candidates(2, 4, 4)
    sources = ServiceSources(lambda regions: candidates, lambda: None, lambda: 1)
    gate = ServiceGate(sources, QueueBounds())
    asyncio.get_running_loop().stand_still(NOW)
    gate.demand.record_arrival(URGENT, 0, 0.5, NOW)
    return gate


def _join(requests):
    """Return the outcomes of requests that join a gate, before their waits end."""

    async def run():
        gate = await _open_gate()
        loop = asyncio.get_running_loop()
        tasks = []
        for request in requests:
            tasks.append(loop.create_task(gate.wait_for_turn(request)))
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        outcomes = [task.result().decision if task.done() else None for task in tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert not len(gate.queue)
        return outcomes

    return run_virtually(run())


def _list_turns(requests, waits_until=None):
    """Return when requests that join a gate get their turns: time, rank, workspace."""

    async def run():
        gate = await _open_gate()
        turns = []

        async def take_turn(request):
            await gate.wait_for_turn(request)
            now = asyncio.get_running_loop().time()
            turns.append((now - NOW, request.rank, request.workspace))

        async with asyncio.TaskGroup() as group:
            for request in requests:
                group.create_task(take_turn(request))
            await asyncio.sleep(0)
            if waits_until is not None:
                gate.limit_waits(NOW + waits_until)
        return turns

    return run_virtually(run())


@when('requests of ranks 2, 1, 2 and 1 wait, the second one of rank 2 for the longest')
def wait_in_order(context):
    requests = [
        _make_request(2, 'a'),
        _make_request(1, 'b'),
        _make_request(2, 'c', 0.5),
        _make_request(1, 'd', 0.2),
    ]
    context.turns = _list_turns(requests)


@then('those of rank 1 go before it when its wait ends, and the other one later')
def check_promotion(context):
    names = [name for _, _, name in context.turns]
    assert names in (['d', 'b', 'c', 'a'], ['b', 'd', 'c', 'a']), context.turns
    moments = [at for at, _, _ in context.turns]
    assert moments[0] == moments[2], context.turns
    assert moments[3] > moments[2], context.turns


@when('a request arrives just when a slot becomes free for one that waits')
def arrive_late(context):
    async def run():
        candidates = _make_candidates(1, 4, 4)
        gate = await _open_gate(candidates)
        loop = asyncio.get_running_loop()
        first = loop.create_task(gate.wait_for_turn(_make_request()))
        await asyncio.sleep(0)
        candidates[0].health.running = 0
        candidates[0].health.record_load(TargetLoad(0, 0, 4), NOW)
        gate.begin_request('b')
        gate.end_request('b', ran=True)
        context.turn = await gate.wait_for_turn(_make_request())
        context.first_is_done = first.done()

    run_virtually(run())


@then('it goes behind the one that waits')
def check_behind(context):
    assert context.first_is_done
    assert context.turn.reason is WaitReason.behind, context.turn


@when('all waits are limited to 0.2 seconds from now on')
def limit_waits(context):
    requests = [_make_request(rank, age=0.1) for rank in (2, 1)]
    context.turns = _list_turns(requests, waits_until=0.2)


@then('the requests go then, the more urgent one first')
def check_limit(context):
    assert [rank for _, rank, _ in context.turns] == [1, 2], context.turns
    for at, _, _ in context.turns:
        assert abs(at - 0.2) < MAX_TIMER_ERROR_SECONDS, context.turns


@given('a queue that one workspace has filled with requests of rank 2')
def fill_queue(context):
    context.requests = [_make_request() for _ in range(MAX_QUEUED_REQUESTS)]


@when('requests of other workspaces and ranks join it')
def join_full_queue(context):
    ranks = ((1, 'acme'), (2, 'other'), (2, 'acme'), (3, 'third'))
    late = [_make_request(rank, workspace) for rank, workspace in ranks]
    context.outcomes = _join([*context.requests, *late])


@then('those of rank 1 and of another workspace displace its newest requests')
def check_displaced(context):
    early, late = context.outcomes[:-4], context.outcomes[-4:]
    assert late[:2] == [None, None], late
    assert all(outcome is None for outcome in early[:-2])
    assert all(isinstance(outcome, Refuse) for outcome in early[-2:])


@then('its own and those of rank 3 are refused with a Retry-After time')
def check_refused(context):
    for outcome in context.outcomes[-2:]:
        assert outcome.reason.value == 'queue_full', outcome
        assert outcome.retry_after > 0


@when('requests with bodies of 4 MiB join a queue')
def join_with_bodies(context):
    context.outcomes = _join([_make_request(size=BODY_BYTES) for _ in range(6)])


@then('{count:d} of them wait and the others are refused')
def check_bodies(context, count):
    assert context.outcomes.count(None) == count, context.outcomes


@then('a decision takes less than {microseconds:d} microseconds')
def check_cost(context, microseconds):
    request = _make_request()
    urgent = [RankDemand(2.0, 100.0, 0.5)]
    begun_at = time.process_time()
    for _ in range(DECISION_COUNT):
        assert isinstance(decide(request, context.capacity, urgent, NOW), Send)
    seconds = (time.process_time() - begun_at) / DECISION_COUNT
    print(f'a decision takes {seconds * 1e6:.1f} microseconds')
    assert seconds * 1e6 < microseconds, seconds
