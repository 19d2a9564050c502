"""Steps for the queue of a target: fairness, bounds and outcomes."""

import threading
import time
from collections import Counter, deque
from dataclasses import dataclass

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from ibisport_agent.internal.fairness import FairOptions, FairQueue, Ticket
from ibisport_agent.internal.fairness_baseline import FifoOrder, PlainPolicy
from ibisport_agent.internal.fairness_policy import FairPolicy
from ibisport_agent.internal.fairness_reserve import NoReserve
from ibisport_agent.internal.fairness_ticket import Started
from ibisport_bench.experiments import fairness as experiment
from ibisport_bench.experiments.figures import compute_percentile
from ibisport_bench.experiments.target_model import CAPACITY, SLOTS, Source, TargetRun
from ibisport_core.errors import Overloaded, Refusal, RequestCancelled, Statement

ANY_HISTORY = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)
FAR_DEADLINE = 1e12
PLAIN, CANCELLED, WITHDRAWN, SHORT_DEADLINE = range(4)
SIMULATED_SECONDS = 200
WARM_UP_SECONDS = 30


@dataclass(frozen=True)
class Enter:
    """A request arrives."""

    workspace: str
    priority: int
    weight: float
    cost: int
    timeout: float


@dataclass(frozen=True)
class Leave:
    """A running request ends."""

    index: int
    used: int


@dataclass(frozen=True)
class Withdraw:
    """A waiting request is withdrawn."""

    index: int


@dataclass(frozen=True)
class Resize:
    """The number of slots changes."""

    slots: int


WORKSPACES = strategies.sampled_from(['tengeri', 'kenangan', 'darkhan'])
INDEXES = strategies.integers(0, 30)
ENTERS = strategies.builds(
    Enter,
    WORKSPACES,
    strategies.integers(0, 2),
    strategies.sampled_from([0.5, 1, 4]),
    strategies.integers(1, 500),
    strategies.floats(0.5, 30),
)
STEPS = strategies.one_of(
    ENTERS,
    ENTERS,
    ENTERS,
    strategies.builds(Leave, INDEXES, strategies.integers(0, 500)),
    strategies.builds(Withdraw, INDEXES),
    strategies.builds(Resize, strategies.integers(1, 5)),
)
HISTORIES = strategies.lists(STEPS, min_size=20, max_size=60)


class History:
    """Applies steps to a policy and tracks the expected state."""

    def __init__(self):
        self.now = 0.0
        self.slots = 2
        self.policy = FairPolicy(self.slots, FairOptions(max_queued=3))
        self.waiting, self.running, self.ended = {}, {}, []

    def play(self, step):
        """Apply one step and check the counts."""
        self.now += 0.3
        match step:
            case Enter():
                self._enter(step)
            case Leave(index, used) if self.running:
                ticket_id = sorted(self.running)[index % len(self.running)]
                self.policy.leave(self.running.pop(ticket_id), used, 1.5, self.now)
                self.ended.append(ticket_id)
            case Withdraw(index) if self.waiting:
                ticket_id = sorted(self.waiting)[index % len(self.waiting)]
                assert self.policy.withdraw(ticket_id)
                self._end(ticket_id)
            case Resize(slots):
                self.slots = slots
                self.policy.resize(slots)
        self._take_turns()
        self.check_counts()

    def check_counts(self):
        """Compare the policy's counts with the tracked state."""
        load = self.policy.measure()
        assert (load.running, load.queued) == (len(self.running), len(self.waiting))

    def _enter(self, step):
        known = (*self.ended, *self.waiting, *self.running)
        ticket_id = str(len(known)).encode()
        deadline = self.now + step.timeout
        ticket = Ticket(
            ticket_id,
            step.workspace,
            'any',
            step.priority,
            step.weight,
            step.cost,
            deadline,
        )
        try:
            dropped = self.policy.enter(ticket, self.now)
        except Overloaded as refusal:
            assert refusal.statement is Statement.did_not_run
            assert refusal.retry_at > self.now
            self.ended.append(ticket_id)
            return
        self.waiting[ticket_id] = ticket
        for evicted in dropped:
            self._end(evicted.ticket.request_id)

    def _take_turns(self):
        turn = self.policy.take_turn(self.now)
        while turn is not None:
            ticket_id = turn.ticket.request_id
            if isinstance(turn, Started):
                assert len(self.running) < self.slots
                self.running[ticket_id] = self.waiting.pop(ticket_id)
            else:
                self._end(ticket_id)
            turn = self.policy.take_turn(self.now)

    def _end(self, ticket_id):
        del self.waiting[ticket_id]
        self.ended.append(ticket_id)


@when('any history of arrivals, departures, withdrawals and resizes is played')
def play_histories(context):
    @ANY_HISTORY
    @hypothesis.given(HISTORIES)
    def play(steps):
        history = History()
        for step in steps:
            history.play(step)
        while history.running:
            history.play(Leave(0, 10))
        assert not history.waiting
        assert len(history.ended) == len(set(history.ended))
        assert len(history.ended) == sum(isinstance(step, Enter) for step in steps)

    context.check = play


@then('each start found a free slot and each ticket ended exactly once')
@then('their tokens over weight differ by no more than one request of each')
def run_check(context):
    context.check()


@given('a fair queue of {slots:d} slots')
def make_queue(context, slots):
    context.queue = FairQueue(slots)


@when('{count:d} threads wait for it, some withdrawn, some cancelled, some timed out')
def run_threads(context, count):
    context.outcomes, context.max_running, context.now_running = {}, 0, 0
    context.lock = threading.Lock()
    cancels = [threading.Event() for _ in range(count)]
    threads = [
        threading.Thread(target=_wait_and_run, args=(context, number, cancel))
        for number, cancel in enumerate(cancels)
    ]
    for thread in threads:
        thread.start()
    for number, cancel in enumerate(cancels):
        if _find_kind(number) == CANCELLED:
            cancel.set()
        if _find_kind(number) == WITHDRAWN:
            context.queue.withdraw(_make_request_id(number))
    for thread in threads:
        thread.join(30)
    context.alive = sum(thread.is_alive() for thread in threads)


def _find_kind(number):
    # Only the first 20, so that the other requests get their slots from departures.
    return number % 4 if number < 20 else PLAIN


def _wait_and_run(context, number, cancel):
    timeout = 0.05 if _find_kind(number) == SHORT_DEADLINE else 10
    ticket = _make_ticket(_make_request_id(number), 'w', deadline=time.time() + timeout)
    try:
        context.queue.enter(ticket)
        context.queue.wait_turn(ticket, cancel)
    except Refusal as refusal:
        context.outcomes[number] = refusal
        return
    with context.lock:
        context.now_running += 1
        context.max_running = max(context.max_running, context.now_running)
    time.sleep(0.01)
    with context.lock:
        context.now_running -= 1
    context.queue.leave(ticket, 10, 0.01)
    context.outcomes[number] = None


@then('no more than {slots:d} ran at once and every thread ended')
def check_threads(context, slots):
    assert 0 < context.max_running <= slots
    assert not context.alive
    assert len(context.outcomes) == 60
    load = context.queue.measure()
    assert (load.running, load.queued) == (0, 0)


@then('a request that is cancelled while it holds a slot frees it')
def check_freed(context):
    cancelled = threading.Event()
    cancelled.set()
    ticket = _make_ticket(b'cancelled', 'w')
    context.queue.enter(ticket)
    assert context.queue.measure().running == 1
    try:
        context.queue.wait_turn(ticket, cancelled)
    except RequestCancelled:
        assert context.queue.measure().running == 0
        return
    raise AssertionError('the slot was not freed')


@then('every other request ran')
def check_ran(context):
    plain = [number for number in context.outcomes if _find_kind(number) == PLAIN]
    assert {context.outcomes[number] for number in plain} == {None}


@then('every refusal states that the request did not run')
def check_statements(context):
    refusals = [outcome for outcome in context.outcomes.values() if outcome is not None]
    statements = {refusal.statement for refusal in refusals}
    assert statements <= {Statement.did_not_run}


@when('any workspaces with any weights and costs wait all the time')
def play_backlogs(context):
    weights = strategies.sampled_from([0.5, 1, 2, 8])
    costs = strategies.lists(strategies.integers(1, 1000), min_size=30, max_size=30)
    flows = strategies.lists(strategies.tuples(weights, costs), min_size=2, max_size=4)

    @hypothesis.settings(ANY_HISTORY, max_examples=50)
    @hypothesis.given(flows, strategies.integers(1, 4))
    def play(backlogs, slots):
        _check_shares(backlogs, slots)

    context.check = play


def _check_shares(backlogs, slots):
    policy = FairPolicy(slots, FairOptions(reserve=NoReserve()))
    tickets = _make_backlogs(backlogs)
    for ticket in tickets:
        policy.enter(ticket, 1)
    waiting = Counter(ticket.workspace for ticket in tickets)
    served = dict.fromkeys(waiting, 0)
    started = deque()
    while min(waiting.values()):
        turn = policy.take_turn(2)
        if turn is None:
            first = started.popleft()
            policy.leave(first, first.cost, 1, 2)
            continue
        started.append(turn.ticket)
        waiting[turn.ticket.workspace] -= 1
        served[turn.ticket.workspace] += turn.ticket.cost / turn.ticket.weight
        _check_bound(served, backlogs)


def _make_backlogs(backlogs):
    return [
        _make_ticket(f'{number}-{index}'.encode(), f'{number}', weight, cost)
        for number, (weight, costs) in enumerate(backlogs)
        for index, cost in enumerate(costs)
    ]


def _check_bound(served, backlogs):
    largest = [max(costs) / weight for weight, costs in backlogs]
    leading = max(served, key=served.get)
    trailing = min(served, key=served.get)
    bound = largest[int(leading)] + largest[int(trailing)]
    assert served[leading] - served[trailing] <= bound + 1e-6


@given("a fair queue of {slots:d} slots that is full of one workspace's requests")
def fill_queue(context, slots):
    context.policy = FairPolicy(slots, FairOptions(max_queued=4))
    for number in range(5):
        context.policy.enter(_make_ticket(_make_request_id(number), 'large'), 1)
        context.policy.take_turn(1)
    assert context.policy.measure().queued == 4


@when('a request of another workspace comes')
def enter_small(context):
    context.dropped = context.policy.enter(_make_ticket(b'small', 'small'), 2)


@then(
    'it is queued, and the last of the large workspace is refused with a time to retry'
)
def check_evicted(context):
    assert len(context.dropped) == 1
    dropped = context.dropped[0]
    assert dropped.ticket.request_id == _make_request_id(4)
    assert dropped.refusal.statement is Statement.did_not_run
    assert dropped.refusal.retry_at > 2
    assert context.policy.withdraw(b'small')
    context.policy.enter(_make_ticket(b'small', 'small'), 2)


@then('the next of the large workspace is refused at once')
def check_large_refused(context):
    refusal = _enter_refused(context.policy, _make_ticket(b'more', 'large'), 2)
    assert refusal.retry_at > 2


@given(
    'a fair queue of {slots:d} slots whose requests take {seconds:d} seconds,'
    ' with {count:d} waiting'
)
def make_slow_queue(context, slots, seconds, count):
    context.policy = FairPolicy(slots)
    for number in range(10):
        ticket = _make_ticket(_make_request_id(number), 'w')
        context.policy.enter(ticket, 1)
        context.policy.take_turn(1)
        context.policy.leave(ticket, 100, seconds, 1)
    for waiting in range(slots + count):
        context.policy.enter(_make_ticket(_make_request_id(100 + waiting), 'w'), 1)
        context.policy.take_turn(1)
    assert context.policy.measure().queued == count


@when('a request comes with a deadline in {seconds:d} seconds')
def enter_hurried(context, seconds):
    ticket = _make_ticket(b'hurried', 'w', deadline=1 + seconds)
    context.refusal = _enter_refused(context.policy, ticket, 1)


@then('it is refused as overloaded and not run, with a time to retry')
def check_hurried(context):
    assert isinstance(context.refusal, Overloaded)
    assert context.refusal.statement is Statement.did_not_run
    assert context.refusal.retry_at > 1


@then('a request with a deadline in {seconds:d} seconds is queued')
def check_patient(context, seconds):
    context.policy.enter(_make_ticket(b'patient', 'w', deadline=1 + seconds), 1)
    assert context.policy.withdraw(b'patient')


@given('small workspaces that use {load:f} of the capacity')
def plan_small(context, load):
    context.small = experiment.make_small(load)


@when('a large workspace sends {factor:d} times its share in virtual time')
def run_beside_large(context, factor):
    sources = experiment.add_large(context.small, factor)
    plain = PlainPolicy(SLOTS, FifoOrder())
    context.alone = _measure_p95(FairPolicy(SLOTS), context.small)
    context.beside = _measure_p95(FairPolicy(SLOTS), sources)
    context.plain = _measure_p95(plain, sources)


@then(
    "the small ones' p95 first token is within {ratio:f} times its value"
    ' without the large one'
)
def check_ratio(context, ratio):
    context.bound = context.alone * ratio
    assert context.beside <= context.bound, (context.beside, context.alone)


@then('with a first-come, first-served queue it is not')
def check_plain(context):
    assert context.plain > context.bound


@when('ten workspaces send one and two times the capacity in virtual time')
def run_overload(context):
    context.tokens = {}
    for factor in (1, 2):
        rate = factor * CAPACITY / 10
        sources = [Source(f'equal-{number}', rate) for number in range(10)]
        run = TargetRun(FairPolicy(SLOTS), 1, SIMULATED_SECONDS, WARM_UP_SECONDS)
        context.tokens[factor] = run.run(sources).tokens_in_time


@then('the tokens in time differ by no more than a tenth')
def check_goodput(context):
    assert context.tokens[2] >= 0.9 * context.tokens[1], context.tokens


def _measure_p95(policy, sources):
    run = TargetRun(policy, 1, SIMULATED_SECONDS, WARM_UP_SECONDS).run(sources)
    return compute_percentile(experiment.gather([run], 'first_tokens'), 95)


def _enter_refused(policy, ticket, now):
    try:
        policy.enter(ticket, now)
    except Refusal as refusal:
        return refusal
    raise AssertionError('the ticket was queued')


def _make_request_id(number):
    return number.to_bytes(16, 'big')


def _make_ticket(request_id, workspace, weight=1, cost=100, deadline=FAR_DEADLINE):
    return Ticket(request_id, workspace, 'any', 0, weight, cost, deadline)
