"""Model of routers and targets with delayed load reports and prefix caches."""

import itertools
import random
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial

from ibisport_agent.internal.fairness_baseline import FifoOrder, PlainPolicy
from ibisport_agent.internal.fairness_ticket import Started, Ticket
from ibisport_bench.experiments.timeline import Timeline
from ibisport_router.internal.choice import Candidate, Chooser, TargetChooser

FAILURE_DOMAINS = ('bayangol', 'khan-uul', 'sukhbaatar', 'chingeltei')
SLOTS = 8
PREFILL_TOKENS_PER_SECOND = 2000
OUTPUT_TOKENS_PER_SECOND = 50
PREFIX_TOKENS = 1500
QUESTION_TOKENS = 200
MIN_OUTPUT_TOKENS = 16
MAX_OUTPUT_TOKENS = 256
MEAN_OUTPUT_TOKENS = (MIN_OUTPUT_TOKENS + MAX_OUTPUT_TOKENS) / 2
# One target, without cache hits.
TARGET_REQUESTS_PER_SECOND = SLOTS / (
    (PREFIX_TOKENS + QUESTION_TOKENS) / PREFILL_TOKENS_PER_SECOND
    + MEAN_OUTPUT_TOKENS / OUTPUT_TOKENS_PER_SECOND
)
HOP_SECONDS = 0.0005
REPORT_INTERVAL_SECONDS = 0.5
REPORT_DELAY_SECONDS = 0.05
MAX_CACHED_PREFIXES = 10
EVENT_DELAY_SECONDS = (0.1, 2.0)
EVENT_LOSS_PROBABILITY = 0.2
DEADLINE_SECONDS = 600

MakeChooser = Callable[[str, random.Random, Callable[[], float]], Chooser]


@dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes and load of a run.

    Attributes:
        targets: Number of targets.
        routers: Number of routers.
        prefixes: Number of prompt prefixes; their popularity follows Zipf's law.
        load: Arrival rate as a fraction of the capacity without cache hits.
        share_prefix: Whether prompts have a shared prefix.
        seconds: Virtual duration of the arrivals.
        warm_up: Virtual seconds at the start whose requests are not counted.
    """

    targets: int
    routers: int
    prefixes: int
    load: float
    share_prefix: bool = True
    seconds: float = 200
    warm_up: float = 30

    @property
    def rate(self) -> float:
        """Requests per second over all routers."""
        return self.load * TARGET_REQUESTS_PER_SECOND * self.targets


@dataclass
class FleetFigures:
    """Figures of a run, without the warm-up.

    Attributes:
        first_tokens: Seconds from arrival to first token of each request.
        hits: Requests whose prefix was cached.
        started: Requests that started.
    """

    first_tokens: list[float] = field(default_factory=list)
    hits: int = 0
    started: int = 0


@dataclass(frozen=True, slots=True)
class Prompt:
    """One request."""

    number: int
    prefix: bytes | None
    output_tokens: int
    arrived_at: float


class Target:
    """Slots behind a FIFO queue, and an LRU cache of prefixes."""

    def __init__(self, name: str, failure_domain: str) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.policy = PlainPolicy(SLOTS, FifoOrder())
        self.prompts: dict[bytes, Prompt] = {}
        self._cache: OrderedDict[bytes, None] = OrderedDict()

    def use_prefix(self, prefix: bytes | None) -> tuple[bool, list[bytes]]:
        """Return whether the prefix was cached, and the prefixes it evicted."""
        if prefix is None:
            return False, []
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        evicted = []
        while len(self._cache) > MAX_CACHED_PREFIXES:
            evicted.append(self._cache.popitem(last=False)[0])
        return hit, evicted

    def report(self, now: float) -> Candidate:
        """Return the current state, as routers receive it in a load report."""
        load = self.policy.measure()
        return Candidate(
            target=self.name,
            failure_domain=self.failure_domain,
            slots=load.slots,
            running=load.running,
            queued=load.queued,
            queued_tokens=load.queued_tokens,
            token_rate=load.token_rate,
            measured_at=now,
            own_in_flight_tokens=0,
            own_in_flight_since_report=0,
            draining=False,
            connected=True,
        )


class Router:
    """A router's chooser, its latest load reports and its requests in flight."""

    def __init__(self, chooser: Chooser, reports: dict[str, Candidate]) -> None:
        self.chooser = chooser
        self.reports = reports
        self.in_flight: dict[str, dict[int, float]] = {name: {} for name in reports}

    def choose(self, prompt: Prompt, now: float) -> str:
        """Choose a target and record the request as in flight there."""
        candidates = [
            self._count_unreported(report) for report in self.reports.values()
        ]
        target = self.chooser.rank(candidates, prompt.prefix, now)[0]
        self.in_flight[target][prompt.number] = now
        return target

    def _count_unreported(self, report: Candidate) -> Candidate:
        send_times = self.in_flight[report.target].values()
        unreported = sum(at > report.measured_at for at in send_times)
        if not unreported:
            return report
        return replace(report, own_in_flight_since_report=unreported)


class FleetRun:
    """One run of a fleet in virtual time.

    Args:
        fleet: Sizes and load of the fleet.
        make_chooser: Creates the chooser of a router.
        seed: Seed of all random draws.
    """

    def __init__(self, fleet: Fleet, make_chooser: MakeChooser, seed: int) -> None:
        self.figures = FleetFigures()
        self._fleet = fleet
        self._timeline = Timeline()
        self._arrivals = random.Random(f'{seed} arrivals')
        self._events = random.Random(f'{seed} events')
        self._targets = {target.name: target for target in _make_targets(fleet)}
        self._routers = []
        for number in range(fleet.routers):
            chooser = make_chooser(
                FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                random.Random(f'{seed} router {number}'),
                self._timeline.read,
            )
            reports = {entry.name: entry.report(0) for entry in self._targets.values()}
            self._routers.append(Router(chooser, reports))

    def run(self) -> FleetFigures:
        """Run until the last answer and return the figures."""
        for index, target in enumerate(self._targets.values()):
            first = REPORT_INTERVAL_SECONDS * index / len(self._targets)
            self._timeline.schedule(first, partial(self._report, target))
        weights = [1 / rank for rank in range(1, self._fleet.prefixes + 1)]
        at = 0.0
        for number in itertools.count():
            at += self._arrivals.expovariate(self._fleet.rate)
            if at >= self._fleet.seconds:
                break
            rank = self._arrivals.choices(range(self._fleet.prefixes), weights)[0]
            prefix = f'prefix {rank}'.encode() if self._fleet.share_prefix else None
            output = self._arrivals.randint(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS)
            prompt = Prompt(number, prefix, output, at)
            router = self._arrivals.choice(self._routers)
            self._timeline.schedule(at, partial(self._route, router, prompt))
        self._timeline.run()
        return self.figures

    def _report(self, target: Target) -> None:
        now = self._timeline.now
        report = target.report(now)
        for router in self._routers:
            update = partial(router.reports.__setitem__, target.name, report)
            self._timeline.schedule(now + REPORT_DELAY_SECONDS, update)
        if now < self._fleet.seconds:
            next_report = partial(self._report, target)
            self._timeline.schedule(now + REPORT_INTERVAL_SECONDS, next_report)

    def _route(self, router: Router, prompt: Prompt) -> None:
        target = self._targets[router.choose(prompt, self._timeline.now)]
        ticket = Ticket(
            request_id=str(prompt.number).encode(),
            workspace='any',
            class_name='any',
            priority=0,
            weight=1,
            cost=PREFIX_TOKENS + QUESTION_TOKENS + MAX_OUTPUT_TOKENS,
            deadline=prompt.arrived_at + DEADLINE_SECONDS,
        )
        target.prompts[ticket.request_id] = prompt
        arrive = partial(self._arrive, router, target, ticket)
        self._timeline.schedule(self._timeline.now + HOP_SECONDS, arrive)

    def _arrive(self, router: Router, target: Target, ticket: Ticket) -> None:
        target.policy.enter(ticket, self._timeline.now)
        self._start_waiting(target)

    def _start_waiting(self, target: Target) -> None:
        turn = target.policy.take_turn(self._timeline.now)
        while turn is not None:
            if isinstance(turn, Started):
                self._start(target, turn.ticket)
            turn = target.policy.take_turn(self._timeline.now)

    def _start(self, target: Target, ticket: Ticket) -> None:
        now = self._timeline.now
        prompt = target.prompts.pop(ticket.request_id)
        hit, evicted = target.use_prefix(prompt.prefix)
        if prompt.prefix is not None:
            self._publish(target.name, [prompt.prefix], True)
        self._publish(target.name, evicted, False)
        tokens = QUESTION_TOKENS + (0 if hit else PREFIX_TOKENS)
        prefill = tokens / PREFILL_TOKENS_PER_SECOND
        seconds = prefill + prompt.output_tokens / OUTPUT_TOKENS_PER_SECOND
        if prompt.arrived_at >= self._fleet.warm_up:
            first = now + prefill + HOP_SECONDS - prompt.arrived_at
            self.figures.first_tokens.append(first)
            self.figures.hits += hit
            self.figures.started += 1
        finish = partial(
            self._finish, target, ticket, tokens + prompt.output_tokens, seconds
        )
        self._timeline.schedule(now + seconds, finish)

    def _publish(self, target: str, prefixes: list[bytes], held: bool) -> None:
        for router in self._routers:
            if not prefixes or self._events.random() < EVENT_LOSS_PROBABILITY:
                continue
            if isinstance(router.chooser, TargetChooser):
                update = partial(router.chooser.note_cache, target, prefixes, held)
                delay = self._events.uniform(*EVENT_DELAY_SECONDS)
                self._timeline.schedule(self._timeline.now + delay, update)

    def _finish(
        self, target: Target, ticket: Ticket, used: int, seconds: float
    ) -> None:
        now = self._timeline.now
        target.policy.leave(ticket, used, seconds, now)
        number = int(ticket.request_id)
        for router in self._routers:
            router.in_flight[target.name].pop(number, None)
        self._start_waiting(target)


def _make_targets(fleet: Fleet) -> Iterator[Target]:
    for number in range(fleet.targets):
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        yield Target(f'target-{number:02}', domain)
