"""Simulates long prompts with shared parts on engines that may copy cached parts.

Twice in a run a quarter of the engines restart with empty caches. Sizes and rates are
those of a fleet of 24 routers. Time is virtual and all draws are seeded.
``python -m ibisport_bench.experiments.cache_copies`` prints the table.
"""

import random
from dataclasses import dataclass

from ibisport_bench.experiments.placing import (
    SLOW_READERS,
    Answer,
    Engine,
    build_engine,
)
from ibisport_fleet.cache_sources import find_cache_source
from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.prompt_mix import PromptMix
from ibisport_fleet.target_choice import Candidate, TargetHealth

ENGINES = 16
ROUTERS = 24
RUN_MS = 60_000
PROMPTS_PER_SECOND = 23.6
COMMON_PARTS = 4
SESSIONS = 257
OUTPUT_TOKENS = 50
# 163,840 bytes a token at 740 Gbit/s, and the time to set a copy up.
COPY_MS_PER_TOKEN = 0.00177
COPY_SETUP_MS = 2.5
RESTARTS_AT_MS = (20_000, 40_000)
RESTARTED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Outcome:
    """Results of a simulation.

    Attributes:
        read_again: Shared tokens that an engine read though another one had read them.
        first_token_p90_ms: Time to the first token that nine in ten prompts keep.
    """

    read_again: int
    first_token_p90_ms: float


class _Simulation:
    def __init__(self, seed: int, copies: bool) -> None:
        self._copies = copies
        self._rng = random.Random(seed)
        self._mix = PromptMix()
        self._engines = [
            build_engine(number, SLOW_READERS) for number in range(ENGINES)
        ]
        self._views = [
            [Candidate(engine.entry, TargetHealth()) for engine in self._engines]
            for _ in range(ROUTERS)
        ]
        self._known: set[str] = set()
        self._read_again = 0
        self._sent: list[tuple[float, Answer]] = []

    def run(self) -> Outcome:
        """Send prompts for the whole duration; return the results."""
        now, restarts = 0.0, list(RESTARTS_AT_MS)
        while now < RUN_MS:
            now += self._rng.expovariate(PROMPTS_PER_SECOND) * 1_000
            if restarts and now > restarts[0]:
                restarts.pop(0)
                self._restart_some()
            for engine in self._engines:
                engine.run_until(now, [])
            self._send(now)
        times = sorted(
            answer.first_token_at - sent_at
            for sent_at, answer in self._sent
            if answer.first_token_at >= 0
        )
        return Outcome(self._read_again, times[int(0.9 * len(times))])

    def _restart_some(self) -> None:
        for engine in self._rng.sample(self._engines, int(ENGINES * RESTARTED_SHARE)):
            engine.cached.clear()

    def _send(self, now: float) -> None:
        view = self._rng.choice(self._views)
        parts = self._draw_prompt()
        chosen = choose_engine(view, parts, now / 1_000)
        assert chosen is not None
        engine = self._engines[view.index(chosen)]
        source = find_cache_source(chosen, view, parts, now / 1_000)
        copied = 0
        if self._copies and source is not None:
            copied = _copy(self._engines[view.index(source)], engine, parts)
        unread = [part for part in parts[:-1] if part.part_id not in engine.cached]
        for part in unread:
            self._read_again += part.tokens if part.part_id in self._known else 0
            self._known.add(part.part_id)
        engine.cached.update(part.part_id for part in parts[:-1])
        tokens = parts[-1].tokens + sum(part.tokens for part in unread)
        # A copy takes as long as reading this many tokens.
        tokens += int(_compute_copy_ms(copied) * SLOW_READERS.tokens_per_ms)
        health = chosen.health
        health.begin_request(now / 1_000)
        health.pending_prompt_tokens += tokens
        health.record_parts(parts, now / 1_000)
        context = sum(part.tokens for part in parts) - tokens
        answer = Answer(health, tokens, context, OUTPUT_TOKENS, True, self._mix, tokens)
        engine.waiting.append(answer)
        self._sent.append((now, answer))

    def _draw_prompt(self) -> tuple[PromptPart, ...]:
        session = self._rng.randrange(SESSIONS)
        sizes = random.Random(session)
        return (
            PromptPart(f'common-{session % COMMON_PARTS}', 2_520),
            PromptPart(f'session-{session}', int(sizes.lognormvariate(8.0, 0.7))),
            PromptPart('own', int(self._rng.lognormvariate(7.5, 1.0))),
        )


def _copy(source: Engine, engine: Engine, parts: tuple[PromptPart, ...]) -> int:
    """Copy the first parts that the source caches; return the number of tokens."""
    copied = 0
    for part in parts[:-1]:
        if part.part_id not in source.cached:
            break
        if part.part_id not in engine.cached:
            engine.cached.add(part.part_id)
            copied += part.tokens
    return copied


def _compute_copy_ms(tokens: int) -> float:
    return COPY_SETUP_MS + tokens * COPY_MS_PER_TOKEN if tokens else 0.0


def play_shared(seed: int, *, copies: bool) -> Outcome:
    """Simulate a minute of prompts with shared parts.

    Args:
        seed: Seed of arrivals and sizes.
        copies: Whether engines fetch cached parts from each other.
    """
    return _Simulation(seed, copies).run()


def main() -> None:
    """Print the table."""
    print('| copies | seed | shared tokens read again | first token p90 ms |')
    print('| --- | --- | --- | --- |')
    for copies in (False, True):
        for seed in (1, 2, 3):
            run = play_shared(seed, copies=copies)
            p90 = f'{run.first_token_p90_ms:.0f}'
            print(f'| {copies} | {seed} | {run.read_again:,} | {p90} |')


if __name__ == '__main__':
    main()
