"""What callers will ask and when, drawn from one seed before the run."""

from dataclasses import dataclass

import numpy as np

from ibisport_bench.load.config import Lengths, LoadConfig


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request as it is meant to come.

    Attributes:
        number: Its number in the run.
        at: Seconds after the start at which it should be sent.
        workspace: Who asks.
        prompt: The prompt; it names the answer's length.
        tokens: Tokens of the whole answer.
        streamed: Whether the answer is streamed.
        service: Whether the plain service is called.
        router: Index of the router that is asked first.
    """

    number: int
    at: float
    workspace: str
    prompt: str
    tokens: int
    streamed: bool
    service: bool
    router: int


def name_workspace(number: int) -> str:
    """Return the name of a workspace; number 0 is the largest."""
    return f'workspace-{number}'


def compute_shares(config: LoadConfig) -> np.ndarray:
    """Return the share of all requests of each workspace; shape (workspaces,)."""
    ranks = np.arange(1, config.workspaces + 1)
    sizes = ranks**-config.skew
    return sizes / sizes.sum()


def draw_arrivals(config: LoadConfig, routers: int) -> list[Arrival]:
    """Draw the requests of a run: Poisson arrivals, in order of time.

    Args:
        config: The run.
        routers: How many routers there are to ask.
    """
    generator = np.random.default_rng(config.seed)
    count = int(generator.poisson(config.rate * config.seconds))
    times = np.sort(generator.uniform(0, config.seconds, count))
    owners = generator.choice(config.workspaces, count, p=compute_shares(config))
    words = _draw_lengths(generator, config.prompts, count)
    tokens = _draw_lengths(generator, config.answers, count)
    prefixes = generator.integers(config.prefixes, size=count)
    chances = generator.uniform(size=(count, 2))
    chosen = generator.integers(routers, size=count)
    return [
        Arrival(
            number=number,
            at=float(times[number]),
            workspace=name_workspace(int(owners[number])),
            prompt=_make_prompt(
                config,
                number,
                f'w{owners[number]}p{prefixes[number]}',
                int(words[number]),
                int(tokens[number]),
            ),
            tokens=int(tokens[number]),
            streamed=bool(chances[number, 0] < config.streamed),
            service=bool(chances[number, 1] < config.service_share),
            router=int(chosen[number]),
        )
        for number in range(count)
    ]


def _draw_lengths(
    generator: np.random.Generator, lengths: Lengths, count: int
) -> np.ndarray:
    drawn = generator.lognormal(np.log(lengths.median), lengths.sigma, count)
    return np.clip(np.rint(drawn), 1, lengths.most).astype(int)


def _make_prompt(
    config: LoadConfig, number: int, prefix: str, words: int, tokens: int
) -> str:
    shared = [f'{prefix}-{index}' for index in range(config.prefix_words)]
    own = [f'own{number}-{index}' for index in range(words)]
    named = f'seed{config.seed} answer_tokens={tokens}'
    return ' '.join((*shared, *own, named))
