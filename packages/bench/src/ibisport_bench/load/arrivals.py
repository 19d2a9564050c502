"""Draws the requests of a run and their times from one seed, before the run."""

from dataclasses import dataclass

import numpy as np

from ibisport_bench.load.config import Lengths, LoadConfig


@dataclass(frozen=True, slots=True)
class Arrival:
    """One planned request.

    Attributes:
        number: Position in the run, from 0.
        at: Seconds after the start of the run at which it is due.
        workspace: Workspace of the caller.
        prompt: Prompt text; it states the length of the answer.
        tokens: Tokens of the complete answer.
        streamed: Whether the answer is streamed.
        service: Whether the plain service is called instead of a model.
        router: Index of the router that the first attempt is sent to.
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
    """Return the name of a workspace; number 0 has the largest share."""
    return f'workspace-{number}'


def compute_shares(config: LoadConfig) -> np.ndarray:
    """Return each workspace's share of the requests; shape (workspaces,)."""
    ranks = np.arange(1, config.workspaces + 1)
    weights = ranks**-config.skew
    return weights / weights.sum()


def draw_arrivals(config: LoadConfig, routers: int) -> list[Arrival]:
    """Draw Poisson arrivals, in order of time.

    Args:
        config: Configuration of the run.
        routers: Number of routers.
    """
    generator = np.random.default_rng(config.seed)
    count = int(generator.poisson(config.rate * config.seconds))
    times = np.sort(generator.uniform(0, config.seconds, count))
    workspace_numbers = generator.choice(
        config.workspaces, count, p=compute_shares(config)
    )
    prompt_words = _draw_lengths(generator, config.prompts, count)
    tokens = _draw_lengths(generator, config.answers, count)
    prefixes = generator.integers(config.prefixes, size=count)
    uniforms = generator.uniform(size=(count, 2))
    router_indexes = generator.integers(routers, size=count)
    return [
        Arrival(
            number=number,
            at=float(times[number]),
            workspace=name_workspace(int(workspace_numbers[number])),
            prompt=_make_prompt(
                config,
                number,
                f'w{workspace_numbers[number]}p{prefixes[number]}',
                int(prompt_words[number]),
                int(tokens[number]),
            ),
            tokens=int(tokens[number]),
            streamed=bool(uniforms[number, 0] < config.streamed),
            service=bool(uniforms[number, 1] < config.service_share),
            router=int(router_indexes[number]),
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
    directives = f'seed{config.seed} answer_tokens={tokens}'
    return ' '.join((*shared, *own, directives))
