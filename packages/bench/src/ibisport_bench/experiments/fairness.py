"""Compares queue policies of one target, with a large workspace and in overload.

Run by ``python -m ibisport_bench.experiments.fairness --seed 1``. All times are
virtual, so the figures depend only on the seed.
"""

from collections.abc import Callable
from dataclasses import dataclass

import fire

from ibisport_agent.internal.fairness_baseline import (
    FifoOrder,
    PlainPolicy,
    RoundRobinOrder,
)
from ibisport_agent.internal.fairness_policy import FairOptions, FairPolicy
from ibisport_agent.internal.fairness_reserve import (
    HoldLimit,
    NoReserve,
    Reserve,
    TrunkReserve,
)
from ibisport_agent.internal.fairness_ticket import QueuePolicy
from ibisport_bench.experiments.figures import compute_percentile, print_table
from ibisport_bench.experiments.target_model import (
    CAPACITY,
    MEAN_TOKENS,
    SLOTS,
    Source,
    TargetFigures,
    TargetRun,
)

SMALL_WORKSPACES = 9
SMALL_LOADS = (0.45, 0.7)
LARGE_FACTORS = (0, 1, 10, 100)
LOADS = (0.5, 0.9, 1.0, 1.2, 2.0)
RUN_SECONDS = 300
SEED_COUNT = 3
WARM_UP_SECONDS = 30
LARGE = 'large'


@dataclass(frozen=True, slots=True)
class PolicyVariant:
    """A queue policy and its name in the tables."""

    name: str
    make: Callable[[], QueuePolicy]


@dataclass(frozen=True, slots=True)
class Goodput:
    """Fractions of the capacity that were spent on answers in time.

    Attributes:
        slot_time: Fraction of the slot time.
        tokens: Fraction of the token capacity; higher for long prompts, as a prompt
            token takes less time than an output token.
    """

    slot_time: float
    tokens: float


def make_fair(
    name: str, reserve: Reserve | None = None, head_start: float | None = None
) -> PolicyVariant:
    """Return the fair queue with other options."""
    defaults = FairOptions()
    options = FairOptions(
        reserve=defaults.reserve if reserve is None else reserve,
        head_start=defaults.head_start if head_start is None else head_start,
    )
    return PolicyVariant(name, lambda: FairPolicy(SLOTS, options))


FAIR = make_fair('fair')
POLICIES = (
    FAIR,
    PolicyVariant('FIFO', lambda: PlainPolicy(SLOTS, FifoOrder())),
    PolicyVariant('round robin', lambda: PlainPolicy(SLOTS, RoundRobinOrder())),
)
RESERVES = (
    make_fair('none', NoReserve()),
    make_fair('hold limit 4', HoldLimit(4)),
    *(
        make_fair(f'trunk {blocked}', TrunkReserve(blocked))
        for blocked in (0.2, 0.05, 0.02)
    ),
    make_fair('trunk 0.02, most 0.25', TrunkReserve(0.02, 0.25)),
)
HEAD_STARTS = (
    make_fair('no class priority', head_start=0),
    make_fair('head start 2', head_start=2),
    make_fair('head start 8', head_start=8),
    make_fair('strict', head_start=1e9),
)


def run_policy(
    variant: PolicyVariant, sources: list[Source], seed: int
) -> list[TargetFigures]:
    """Run a policy with consecutive seeds."""
    return [
        TargetRun(variant.make(), seed + step, RUN_SECONDS, WARM_UP_SECONDS).run(
            sources
        )
        for step in range(SEED_COUNT)
    ]


def make_small(load: float, priority: int = 0) -> list[Source]:
    """Return sources of the small workspaces; load is a fraction of the capacity."""
    rate = load * CAPACITY / SMALL_WORKSPACES
    return [
        Source(f'small-{number}', rate, priority) for number in range(SMALL_WORKSPACES)
    ]


def add_large(sources: list[Source], factor: float, priority: int = 0) -> list[Source]:
    """Return the sources and a large workspace that sends factor times its share."""
    if not factor:
        return sources
    share = CAPACITY / (SMALL_WORKSPACES + 1)
    return [*sources, Source(LARGE, factor * share, priority)]


def gather(
    runs: list[TargetFigures], kind: str, priority: int | None = None
) -> list[float]:
    """Return the samples of the small workspaces of all runs.

    Args:
        runs: Figures of the runs.
        kind: ``waits`` or ``first_tokens``.
        priority: Priority of the samples; all if not given.
    """
    samples: list[float] = []
    for run in runs:
        for (workspace, sample_priority), times in getattr(run, kind).items():
            if workspace != LARGE and priority in {None, sample_priority}:
                samples.extend(times)
    return samples


def measure_goodput(runs: list[TargetFigures]) -> Goodput:
    """Return the goodput over all runs."""
    seconds = (RUN_SECONDS - WARM_UP_SECONDS) * len(runs)
    return Goodput(
        slot_time=sum(run.seconds_in_time for run in runs) / seconds / SLOTS,
        tokens=sum(run.tokens_in_time for run in runs)
        / seconds
        / (CAPACITY * MEAN_TOKENS),
    )


def measure_refused(runs: list[TargetFigures], large: bool) -> float:
    """Return the fraction of the requests that was refused or expired."""
    names = {name for run in runs for name in run.sent if (name == LARGE) is large}
    sent = sum(run.sent[name] for run in runs for name in names)
    return sum(run.refused[name] for run in runs for name in names) / max(sent, 1)


def compare_neighbours(
    variants: tuple[PolicyVariant, ...], load: float, seed: int
) -> None:
    """Print the waits of small workspaces, alone and beside a large one."""
    rows = []
    for variant in variants:
        alone = float('nan')
        for factor in LARGE_FACTORS:
            runs = run_policy(variant, add_large(make_small(load), factor), seed)
            first = compute_percentile(gather(runs, 'first_tokens'), 95)
            alone = first if not factor else alone
            rows.append(
                (
                    variant.name,
                    f'{factor}x',
                    *_format_waits(gather(runs, 'waits')),
                    f'{first:.3f}',
                    f'{first / alone:.2f}',
                    f'{measure_refused(runs, large=False):.4f}',
                    f'{measure_refused(runs, large=True):.3f}',
                    f'{measure_goodput(runs).slot_time:.3f}',
                )
            )
    print_table(
        f'Small workspaces at {load} of capacity, times in seconds',
        (
            'way',
            'large',
            'wait p50',
            'wait p95',
            'wait p99',
            'first token p95',
            'to alone',
            'small refused',
            'large refused',
            'goodput (slot time)',
        ),
        rows,
    )


def compare_loads(variants: tuple[PolicyVariant, ...], seed: int) -> None:
    """Print the goodput of ten equal workspaces below and above capacity."""
    rows = []
    for variant in variants:
        goodputs = [_run_equal_workspaces(variant, load, seed) for load in LOADS]
        slot_time = [goodput.slot_time for goodput in goodputs]
        tokens = [goodput.tokens for goodput in goodputs]
        rows.append((variant.name, 'slot time', *_format_by_load(slot_time)))
        rows.append((variant.name, 'tokens', *_format_by_load(tokens)))
    columns = ('way', 'in time', *(f'{load}' for load in LOADS), '2.0 to 1.0')
    print_table('Goodput as a part of capacity, by load', columns, rows)


def compare_priorities(seed: int) -> None:
    """Print waits by class while a large workspace floods the preferred class."""
    rows = []
    for variant in HEAD_STARTS:
        sources = [*make_small(0.35, 0), *make_small(0.35, 1)]
        runs = run_policy(variant, add_large(sources, 100), seed)
        preferred = gather(runs, 'waits', priority=0)
        other = gather(runs, 'waits', priority=1)
        rows.append(
            (
                variant.name,
                *_format_waits(preferred),
                *_format_waits(other),
                f'{measure_refused(runs, large=False):.4f}',
            )
        )
    columns = ('way', 'p50', 'p95', 'p99', 'worse p50', 'p95', 'p99', 'refused')
    print_table(
        'Small workspaces with two classes, a large one floods the better (100x)',
        columns,
        rows,
    )


def run_experiment(seed: int = 1, part: str = 'all') -> None:
    """Run the experiment and print its tables.

    Args:
        seed: First seed; each figure pools three consecutive seeds.
        part: One of ``neighbours``, ``loads``, ``reserves``, ``priorities``, or
            ``all``.
    """
    print(
        f'seed {seed}, {SEED_COUNT} seeds pooled, {RUN_SECONDS} s each, {SLOTS} slots'
    )
    if part in {'neighbours', 'all'}:
        for load in SMALL_LOADS:
            compare_neighbours(POLICIES, load, seed)
    if part in {'loads', 'all'}:
        compare_loads(POLICIES, seed)
    if part in {'reserves', 'all'}:
        compare_neighbours(RESERVES, SMALL_LOADS[0], seed)
        compare_loads(RESERVES, seed)
    if part in {'priorities', 'all'}:
        compare_priorities(seed)


def _run_equal_workspaces(variant: PolicyVariant, load: float, seed: int) -> Goodput:
    rate = load * CAPACITY / (SMALL_WORKSPACES + 1)
    names = [f'equal-{number}' for number in range(SMALL_WORKSPACES + 1)]
    return measure_goodput(
        run_policy(variant, [Source(name, rate) for name in names], seed)
    )


def _format_by_load(by_load: list[float]) -> list[str]:
    ratio = by_load[LOADS.index(2.0)] / by_load[LOADS.index(1.0)]
    return [f'{figure:.3f}' for figure in (*by_load, ratio)]


def _format_waits(waits: list[float]) -> list[str]:
    return [f'{compute_percentile(waits, percent):.3f}' for percent in (50, 95, 99)]


if __name__ == '__main__':
    fire.Fire(run_experiment)
