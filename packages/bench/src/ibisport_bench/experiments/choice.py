"""Compares target choosers for several routers with delayed load reports.

Run by ``python -m ibisport_bench.experiments.choice --seed 1``. All times are
virtual, so the figures depend only on the seed.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import fire

from ibisport_bench.experiments.figures import compute_percentile, print_table
from ibisport_bench.experiments.fleet_model import (
    Fleet,
    FleetFigures,
    FleetRun,
    MakeChooser,
)
from ibisport_router.internal.choice import (
    Candidate,
    ChoiceOptions,
    Chooser,
    TargetChooser,
)
from ibisport_router.internal.choice_baseline import (
    LeastReportedChooser,
    RandomChooser,
    RoundRobinChooser,
)

SEED_COUNT = 3
LOADS = (0.5, 0.9)
SMALL_FLEET = Fleet(targets=6, routers=4, prefixes=40, load=0)
LARGE_FLEET = Fleet(targets=24, routers=8, prefixes=160, load=0, seconds=60)
FLEETS = (
    ('6 targets, 4 routers', SMALL_FLEET),
    (
        '6 targets, 4 routers, no shared prefixes',
        replace(SMALL_FLEET, share_prefix=False),
    ),
    ('24 targets, 8 routers', LARGE_FLEET),
    (
        '24 targets, 8 routers, no shared prefixes',
        replace(LARGE_FLEET, share_prefix=False),
    ),
)


@dataclass(frozen=True, slots=True)
class ChooserVariant:
    """A chooser and its name in the tables."""

    name: str
    make: MakeChooser


def make_target_chooser(name: str, options: ChoiceOptions) -> ChooserVariant:
    """Return the router's own chooser with the given options."""

    def make(domain: str, seeded: random.Random, clock: Callable[[], float]) -> Chooser:
        return TargetChooser(domain, seeded, clock, options)

    return ChooserVariant(name, make)


class PairChooser(TargetChooser):
    """The chooser as first built: two random candidates near and two far."""

    def _choose_by_load(self, usable: Sequence[Candidate]) -> Candidate:
        near = [candidate for candidate in usable if self._is_near(candidate)]
        far = [candidate for candidate in usable if not self._is_near(candidate)]
        drawn = [*self._draw(near), *self._draw(far)]
        return min(drawn, key=self._score)

    def _draw(self, candidates: list[Candidate]) -> list[Candidate]:
        return self._random.sample(candidates, min(2, len(candidates)))


OURS = make_target_chooser('ours', ChoiceOptions())
CHOOSERS = (
    OURS,
    ChooserVariant('round robin', lambda _domain, _random, _clock: RoundRobinChooser()),
    ChooserVariant('random', lambda _domain, seeded, _clock: RandomChooser(seeded)),
    ChooserVariant(
        'least reported', lambda _domain, seeded, _clock: LeastReportedChooser(seeded)
    ),
)
VARIANTS = (
    OURS,
    ChooserVariant('random pairs', PairChooser),
    make_target_chooser('homes 0', ChoiceOptions(homes=0)),
    make_target_chooser('homes 1', ChoiceOptions(homes=1)),
    make_target_chooser('homes 3', ChoiceOptions(homes=3)),
    make_target_chooser('load bound 1', ChoiceOptions(load_bound=1)),
    make_target_chooser('load bound 1.5', ChoiceOptions(load_bound=1.5)),
    make_target_chooser('load bound 2', ChoiceOptions(load_bound=2)),
    make_target_chooser('draws 1', ChoiceOptions(draws=1)),
    make_target_chooser('draws 2', ChoiceOptions(draws=2)),
    make_target_chooser('draws 6', ChoiceOptions(draws=6)),
    make_target_chooser('imbalance 0', ChoiceOptions(imbalance=0)),
    make_target_chooser('no imbalance', ChoiceOptions(imbalance=99)),
    make_target_chooser('domain margin 0', ChoiceOptions(domain_margin=0)),
    make_target_chooser('domain margin 0.3', ChoiceOptions(domain_margin=0.3)),
)


def compare_choosers(
    choosers: tuple[ChooserVariant, ...], title: str, fleet: Fleet, seed: int
) -> None:
    """Print times to the first token and cache hits of each chooser."""
    rows = []
    for load in LOADS:
        for chooser in choosers:
            loaded = replace(fleet, load=load)
            runs = [
                FleetRun(loaded, chooser.make, seed + step).run()
                for step in range(SEED_COUNT)
            ]
            rows.append((f'{load}', chooser.name, *_format_runs(runs)))
    columns = ('load', 'way', 'p50', 'p95', 'p99', 'cache hits')
    print_table(f'{title}: seconds to the first token', columns, rows)


def run_experiment(seed: int = 1, part: str = 'all') -> None:
    """Run the experiment and print its tables.

    Args:
        seed: First seed; each figure pools three consecutive seeds.
        part: ``ways`` for the choosers, ``variants`` for the router's own chooser
            with other options, or ``all``.
    """
    print(f'seed {seed}, {SEED_COUNT} seeds pooled')
    if part in {'ways', 'all'}:
        for title, fleet in FLEETS:
            compare_choosers(CHOOSERS, title, fleet, seed)
    if part in {'variants', 'all'}:
        for variant_title, variant_fleet in FLEETS[:2]:
            compare_choosers(VARIANTS, variant_title, variant_fleet, seed)


def _format_runs(runs: list[FleetFigures]) -> list[str]:
    first_tokens = [sample for run in runs for sample in run.first_tokens]
    hits = sum(run.hits for run in runs)
    started = sum(run.started for run in runs)
    figures = [compute_percentile(first_tokens, percent) for percent in (50, 95, 99)]
    return [f'{figure:.3f}' for figure in (*figures, hits / max(started, 1))]


if __name__ == '__main__':
    fire.Fire(run_experiment)
