"""Simulates placing prompts of mixed length on model engines.

The shipped choice is compared with baselines. Time is virtual: an engine works in
steps; each step prefills a chunk of a prompt and generates a token for every running
answer. All random draws are seeded.
``python -m ibisport_bench.experiments.placing`` prints the table.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.prompt_mix import EngineSplit, PromptMix
from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.targets import TargetEntry

PREFILL_CHUNK_TOKENS = 2_048
ENGINES = 8
ROUTERS = 5
RUN_SECONDS = 60
LONG_PROMPTS_PER_SECOND = 5.4
SHORT_PROMPTS_PER_SECOND = 13.7

Chooser = Callable[
    [Sequence[Candidate], Sequence[PromptPart], float, EngineSplit | None],
    Candidate | None,
]


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed of a kind of engine, and the pause that its callers accept.

    Attributes:
        step_ms: Milliseconds of a step without prefill.
        tokens_per_ms: Prompt tokens prefilled in a millisecond, without attention.
        ms_per_million_pairs: Milliseconds of attention for a million pairs of tokens.
        tokens_per_event: Tokens in an event of a stream.
        accepted_pause_ms: Maximum pause between two events of an answer in time.
    """

    step_ms: float
    tokens_per_ms: float
    ms_per_million_pairs: float
    tokens_per_event: int
    accepted_pause_ms: float


# Values from the users' sheets.
SLOW_READERS = EngineProfile(6.35, 42.8, 0.97, 4, 300.0)
FAST_READERS = EngineProfile(3.79, 56.6, 0.124, 5, 400.0)


@dataclass(slots=True)
class Answer:
    """One request on its engine, times in milliseconds.

    Attributes:
        health: The router's view of the engine.
        unread_tokens: Prompt tokens still to prefill.
        context_tokens: Prompt tokens prefilled or cached.
        remaining_tokens: Tokens still to generate.
        long: Whether the prompt is a long one.
        mix: The router's record of the prompts of the service.
        prompt_tokens: Tokens of the whole prompt.
        max_pause_ms: Maximum time between two events.
        first_token_at: Time of the first token; negative before it.
    """

    health: TargetHealth
    unread_tokens: int
    context_tokens: int
    remaining_tokens: int
    long: bool
    mix: PromptMix
    prompt_tokens: int
    max_pause_ms: float = 0.0
    first_token_at: float = -1.0
    _last_event_at: float = -1.0

    def generate_token(self, now: float, profile: EngineProfile) -> None:
        """Generate one token."""
        self.remaining_tokens -= 1
        if self.first_token_at < 0:
            self.first_token_at = now
        self.health.last_received_at = now / 1_000
        if self.remaining_tokens % profile.tokens_per_event:
            return
        if self._last_event_at >= 0:
            self.max_pause_ms = max(self.max_pause_ms, now - self._last_event_at)
        self._last_event_at = now


@dataclass(slots=True)
class Engine:
    """One engine, with its prompts to prefill and its running answers."""

    entry: TargetEntry
    profile: EngineProfile
    cached: set[str] = field(default_factory=set)
    waiting: list[Answer] = field(default_factory=list)
    running: list[Answer] = field(default_factory=list)
    now: float = 0.0

    def run_until(self, until: float, ended: list[Answer]) -> None:
        """Run steps until a time."""
        while self.now < until:
            if not (self.waiting or self.running):
                self.now = until
                return
            self._step(ended)

    def _step(self, ended: list[Answer]) -> None:
        self.now += self.profile.step_ms + self._prefill()
        for answer in tuple(self.running):
            answer.generate_token(self.now, self.profile)
            if not answer.remaining_tokens:
                self._finish_answer(answer, ended)

    def _finish_answer(self, answer: Answer, ended: list[Answer]) -> None:
        self.running.remove(answer)
        answer.health.end_request()
        pause = answer.max_pause_ms / 1_000
        accepted = self.profile.accepted_pause_ms / 1_000
        answer.mix.record_answer(
            answer.prompt_tokens, pause, accepted, self.now / 1_000
        )
        ended.append(answer)

    def _prefill(self) -> float:
        """Prefill a chunk of the first prompt; return its duration in milliseconds."""
        if not self.waiting:
            return 0.0
        first = self.waiting[0]
        chunk = min(PREFILL_CHUNK_TOKENS, first.unread_tokens)
        first.unread_tokens -= chunk
        first.health.pending_prompt_tokens -= chunk
        first.context_tokens += chunk
        if not first.unread_tokens:
            self.waiting.pop(0)
            self.running.append(first)
        pairs = chunk * first.context_tokens / 1e6
        attention = self.profile.ms_per_million_pairs * pairs
        return chunk / self.profile.tokens_per_ms + attention


@dataclass(frozen=True, slots=True)
class Outcome:
    """Results of a simulation.

    Attributes:
        long_paused: Share of the answers to long prompts that pause too long.
        short_paused: The same share for short prompts.
        apart: Number of routers that keep long prompts apart at the end.
    """

    long_paused: float
    short_paused: float
    apart: int


class _Simulation:
    def __init__(self, choose: Chooser, seed: int, profile: EngineProfile) -> None:
        self._choose = choose
        self._profile = profile
        self._mixes = [PromptMix() for _ in range(ROUTERS)]
        self._rng = random.Random(seed)
        self._engines = [build_engine(number, profile) for number in range(ENGINES)]
        self._views = [
            [Candidate(engine.entry, TargetHealth()) for engine in self._engines]
            for _ in range(ROUTERS)
        ]
        self._ended: list[Answer] = []

    def run(self) -> Outcome:
        """Send requests for the whole duration; return the results."""
        now = 0.0
        while now < RUN_SECONDS * 1_000:
            now += (
                self._rng.expovariate(
                    LONG_PROMPTS_PER_SECOND + SHORT_PROMPTS_PER_SECOND
                )
                * 1_000
            )
            for engine in self._engines:
                engine.run_until(now, self._ended)
            self._send(now)
        apart = sum(mix.split is not None for mix in self._mixes)
        return Outcome(
            self._measure_paused_share(True), self._measure_paused_share(False), apart
        )

    def _send(self, now: float) -> None:
        long = self._rng.random() < LONG_PROMPTS_PER_SECOND / (
            LONG_PROMPTS_PER_SECOND + SHORT_PROMPTS_PER_SECOND
        )
        parts = self._draw_long_prompt() if long else self._draw_short_prompt()
        router = self._rng.randrange(ROUTERS)
        view, mix = self._views[router], self._mixes[router]
        chosen = self._choose(view, parts, now / 1_000, mix.split)
        assert chosen is not None
        engine = self._engines[view.index(chosen)]
        self._start(engine, chosen.health, mix, parts, now)

    def _start(
        self,
        engine: Engine,
        health: TargetHealth,
        mix: PromptMix,
        parts: Sequence[PromptPart],
        now: float,
    ) -> None:
        """Queue a prompt on an engine and record it at its router."""
        long = parts[0].part_id.startswith('long')
        shared = [part for part in parts[:-1] if part.part_id not in engine.cached]
        unread = parts[-1].tokens + sum(part.tokens for part in shared)
        cached = sum(part.tokens for part in parts) - unread
        engine.cached.update(part.part_id for part in parts[:-1])
        health.begin_request(now / 1_000)
        health.pending_prompt_tokens += unread
        prompt = sum(part.tokens for part in parts)
        mix.record_prompt(prompt, unread, now / 1_000)
        health.record_parts(parts, now / 1_000)
        events = 13 if long else 73
        tokens = events * self._profile.tokens_per_event
        answer = Answer(health, unread, cached, tokens, long, mix, prompt)
        engine.waiting.append(answer)

    def _draw_long_prompt(self) -> tuple[PromptPart, ...]:
        prefix_number = self._rng.randrange(118)
        sizes = random.Random(prefix_number)
        shared = min(17_000, int(sizes.lognormvariate(8.5, 0.7)))
        own = min(39_600, int(self._rng.lognormvariate(7.5, 1.0)))
        return PromptPart(f'long-{prefix_number}', shared), PromptPart('own', own)

    def _draw_short_prompt(self) -> tuple[PromptPart, ...]:
        prefix_number = self._rng.randrange(199)
        own = min(1_500, int(self._rng.lognormvariate(6.0, 1.0)))
        return PromptPart(f'short-{prefix_number}', 198), PromptPart('own', own)

    def _measure_paused_share(self, long: bool) -> float:
        pauses = [answer.max_pause_ms for answer in self._ended if answer.long is long]
        accepted = self._profile.accepted_pause_ms
        return sum(pause > accepted for pause in pauses) / max(1, len(pauses))


def play(choose: Chooser, seed: int, profile: EngineProfile = SLOW_READERS) -> Outcome:
    """Simulate a minute of mixed prompts and return the results.

    Args:
        choose: Function with which a router chooses the engine of a request.
        seed: Seed of arrivals and sizes.
        profile: Profile of the engines.
    """
    return _Simulation(choose, seed, profile).run()


def choose_least_running(
    candidates: Sequence[Candidate],
    parts: Sequence[PromptPart],
    now: float,
    split: EngineSplit | None = None,
) -> Candidate | None:
    """Choose the engine that runs the fewest requests of this router (baseline)."""
    return min(candidates, key=lambda candidate: candidate.health.running)


def choose_mixed(
    candidates: Sequence[Candidate],
    parts: Sequence[PromptPart],
    now: float,
    split: EngineSplit | None = None,
) -> Candidate | None:
    """Choose as shipped, but never keep long prompts apart (baseline)."""
    return choose_engine(candidates, parts, now)


def main() -> None:
    """Print the table."""
    print('| engines | choice | seed | long that paused | short that paused | apart |')
    print('| --- | --- | --- | --- | --- | --- |')
    for name, profile in (('slow', SLOW_READERS), ('fast', FAST_READERS)):
        for choose in (choose_least_running, choose_mixed, choose_engine):
            for seed in (1, 2, 3):
                run = play(choose, seed, profile)
                cells = f'{run.long_paused:.3f} | {run.short_paused:.3f}'
                print(
                    f'| {name} | {choose.__name__} | {seed} | {cells} | {run.apart} |'
                )


def build_engine(number: int, profile: EngineProfile) -> Engine:
    """Return an engine without work; engines are spread over four domains."""
    address = ('10.0.0.1', number)
    domain = f'd-{number % 4}'
    entry = TargetEntry(f'i-{number}', 'svc', address, domain, 64, False, 1)
    return Engine(entry, profile)


if __name__ == '__main__':
    main()
