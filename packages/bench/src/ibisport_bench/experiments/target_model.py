"""Model of a target with slots behind a queue policy."""

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from functools import partial

from ibisport_agent.internal.fairness_ticket import (
    Dropped,
    QueuePolicy,
    Started,
    Ticket,
)
from ibisport_bench.experiments.timeline import Timeline
from ibisport_core.errors import Refusal

SLOTS = 16
PROMPT_TOKENS_PER_SECOND = 2000
OUTPUT_TOKENS_PER_SECOND = 50
MEAN_PROMPT_TOKENS = 300
RESERVED_OUTPUT_TOKENS = 256
MIN_OUTPUT_TOKENS = 16
MEAN_OUTPUT_TOKENS = (RESERVED_OUTPUT_TOKENS + MIN_OUTPUT_TOKENS) / 2
MEAN_TOKENS = MEAN_PROMPT_TOKENS + MEAN_OUTPUT_TOKENS
DEADLINE_SECONDS = 20
MEAN_HOLD_SECONDS = MEAN_PROMPT_TOKENS / PROMPT_TOKENS_PER_SECOND + (
    MEAN_OUTPUT_TOKENS / OUTPUT_TOKENS_PER_SECOND
)
# Requests per second with all slots in use.
CAPACITY = SLOTS / MEAN_HOLD_SECONDS


@dataclass(frozen=True, slots=True)
class Source:
    """Requests of one workspace in one class.

    Attributes:
        workspace: Name of the workspace.
        rate: Requests per second.
        priority: Priority of the class.
        size: Factor on the token counts of a request.
    """

    workspace: str
    rate: float
    priority: int = 0
    size: float = 1


@dataclass(frozen=True, slots=True)
class Request:
    """A ticket, and the tokens that the request actually uses."""

    ticket: Ticket
    arrived_at: float
    prompt_tokens: int
    output_tokens: int

    @property
    def prefill_seconds(self) -> float:
        """Time from the start in a slot to the first token."""
        return self.prompt_tokens / PROMPT_TOKENS_PER_SECOND

    @property
    def hold_seconds(self) -> float:
        """Time for which the request holds its slot."""
        return self.prefill_seconds + self.output_tokens / OUTPUT_TOKENS_PER_SECOND


@dataclass
class TargetFigures:
    """Figures of a run, without the warm-up.

    Attributes:
        waits: Seconds in the queue, by (workspace, priority).
        first_tokens: Seconds from arrival to first token, by (workspace, priority).
        refused: Requests refused, evicted or expired, by workspace.
        sent: Requests sent, by workspace.
        tokens_in_time: Tokens of the requests that ended by their deadline.
        seconds_in_time: Slot time of the requests that ended by their deadline.
    """

    waits: dict[tuple[str, int], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    first_tokens: dict[tuple[str, int], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    refused: Counter[str] = field(default_factory=Counter)
    sent: Counter[str] = field(default_factory=Counter)
    tokens_in_time: int = 0
    seconds_in_time: float = 0


class TargetRun:
    """One run of sources against a queue policy.

    Args:
        policy: The queue policy under test.
        seed: Seed of arrivals and sizes; each source has its own generator, so
            that adding a source doesn't change the draws of another.
        seconds: Virtual duration of the arrivals.
        warm_up: Virtual seconds at the start whose requests are not counted.
    """

    def __init__(
        self, policy: QueuePolicy, seed: int, seconds: float, warm_up: float
    ) -> None:
        self.figures = TargetFigures()
        self._policy = policy
        self._seed = seed
        self._seconds = seconds
        self._warm_up = warm_up
        self._timeline = Timeline()
        self._requests: dict[bytes, Request] = {}

    def run(self, sources: list[Source]) -> TargetFigures:
        """Run all sources until their last request ends and return the figures."""
        for number, source in enumerate(sources):
            generator = random.Random(
                f'{self._seed} {source.workspace} {source.priority}'
            )
            self._plan_arrivals(source, number, generator)
        self._timeline.run()
        return self.figures

    def _plan_arrivals(
        self, source: Source, number: int, generator: random.Random
    ) -> None:
        at = generator.expovariate(source.rate)
        count = 0
        while at < self._seconds:
            name = f'{number}-{count}'.encode().ljust(16)
            request = _draw_request(source, name, at, generator)
            self._timeline.schedule(at, partial(self._arrive, request))
            at += generator.expovariate(source.rate)
            count += 1

    def _arrive(self, request: Request) -> None:
        ticket = request.ticket
        now = self._timeline.now
        self._count(request, self.figures.sent, 1)
        try:
            dropped = self._policy.enter(ticket, now)
        except Refusal:
            self._count(request, self.figures.refused, 1)
            return
        self._requests[ticket.request_id] = request
        for evicted in dropped:
            self._drop(evicted)
        self._timeline.schedule(ticket.deadline, partial(self._expire, request))
        self._take_turns()

    def _expire(self, request: Request) -> None:
        if self._policy.withdraw(request.ticket.request_id):
            self._count(request, self.figures.refused, 1)

    def _take_turns(self) -> None:
        now = self._timeline.now
        turn = self._policy.take_turn(now)
        while turn is not None:
            match turn:
                case Started(ticket):
                    self._start(self._requests[ticket.request_id])
                case Dropped():
                    self._drop(turn)
            turn = self._policy.take_turn(now)

    def _drop(self, dropped: Dropped) -> None:
        request = self._requests[dropped.ticket.request_id]
        self._count(request, self.figures.refused, 1)

    def _start(self, request: Request) -> None:
        now = self._timeline.now
        self._timeline.schedule(
            now + request.hold_seconds, partial(self._finish, request)
        )
        if request.arrived_at < self._warm_up:
            return
        key = (request.ticket.workspace, request.ticket.priority)
        wait = now - request.arrived_at
        self.figures.waits[key].append(wait)
        self.figures.first_tokens[key].append(wait + request.prefill_seconds)

    def _finish(self, request: Request) -> None:
        used = request.prompt_tokens + request.output_tokens
        now = self._timeline.now
        self._policy.leave(request.ticket, used, request.hold_seconds, now)
        if self._warm_up <= request.arrived_at and now <= request.ticket.deadline:
            self.figures.tokens_in_time += used
            self.figures.seconds_in_time += request.hold_seconds
        self._take_turns()

    def _count(self, request: Request, counter: Counter[str], amount: int) -> None:
        if request.arrived_at >= self._warm_up:
            counter[request.ticket.workspace] += amount


def _draw_request(
    source: Source, name: bytes, at: float, generator: random.Random
) -> Request:
    prompt = int(generator.uniform(0.2, 1.8) * MEAN_PROMPT_TOKENS * source.size)
    reserved = int(RESERVED_OUTPUT_TOKENS * source.size)
    ticket = Ticket(
        request_id=name,
        workspace=source.workspace,
        class_name=f'priority-{source.priority}',
        priority=source.priority,
        weight=1,
        cost=prompt + reserved,
        deadline=at + DEADLINE_SECONDS,
    )
    return Request(ticket, at, prompt, generator.randint(MIN_OUTPUT_TOKENS, reserved))
