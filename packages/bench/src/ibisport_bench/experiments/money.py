"""Overspend, false refusals, idle tokens and store writes of budget strategies.

``python -m ibisport_bench.experiments.money --seed 1`` prints tables and, with
``--out``, writes the figures as JSON. Compares the shipped grants with a fixed
equal split over the routers and with two store writes for every request.
"""

import time
from dataclasses import asdict
from functools import partial
from pathlib import Path
from unittest.mock import patch

import fire
import orjson

from ibisport_bench.experiments.figures import print_table
from ibisport_bench.experiments.money_model import (
    FixedSplit,
    Grants,
    Outcome,
    Scenario,
    Simulation,
    StrategyFactory,
    WriteEach,
    ledger_clock,
)
from ibisport_core.internal.account import Grant
from ibisport_router.internal.ledger import Ledger

SEED_COUNT = 2
ROUTER_COUNTS = (2, 4, 8)
AMPLE_TOKENS = 3_000_000
SCARCE_TOKENS = 200_000
PARTITION_SECONDS = (60.0, 660.0)
SHIFT_SECONDS = 300.0
ADMISSIONS = 20_000
MICROSECONDS_PER_SECOND = 1_000_000
HORIZONS_SECONDS = (5.0, 600.0)
_LEDGER_TIME_PATH = 'ibisport_router.internal.ledger.time'


def list_scenarios(routers: int) -> list[Scenario]:
    """Return the scenarios for a number of routers."""
    half = routers // 2
    return [
        Scenario('ample budget', routers, AMPLE_TOKENS),
        Scenario('near zero', routers, SCARCE_TOKENS),
        Scenario(
            'near zero, demand moves', routers, SCARCE_TOKENS, shift=SHIFT_SECONDS
        ),
        Scenario(
            'half cut off', routers, AMPLE_TOKENS, cut=PARTITION_SECONDS, cut_off=half
        ),
        Scenario(
            'all cut off', routers, AMPLE_TOKENS, cut=PARTITION_SECONDS, cut_off=routers
        ),
    ]


def run_strategies(
    scenario: Scenario, strategies: dict[str, StrategyFactory], seed: int
) -> dict[str, list[Outcome]]:
    """Run every strategy and return its outcomes, one per seed."""
    with patch(_LEDGER_TIME_PATH, ledger_clock()):
        return {
            name: [
                Simulation(scenario, strategy, seed + step).run()
                for step in range(SEED_COUNT)
            ]
            for name, strategy in strategies.items()
        }


def format_row(scenario: Scenario, name: str, outcomes: list[Outcome]) -> list[str]:
    """Return a table row: sums over the seeds, and shares of all requests."""
    requests = sum(outcome.asked for outcome in outcomes)
    refused = sum(outcome.refused for outcome in outcomes)
    falsely_refused = sum(outcome.falsely for outcome in outcomes)
    writes = sum(outcome.writes for outcome in outcomes)
    idle = sum(outcome.idle for outcome in outcomes) / len(outcomes)
    return [
        scenario.name,
        str(scenario.routers),
        name,
        str(sum(outcome.overspent for outcome in outcomes)),
        f'{refused / requests:.4f}',
        f'{falsely_refused / requests:.4f}',
        f'{writes / requests:.3f}',
        f'{idle / scenario.budget:.4f}',
    ]


def measure_admission() -> float:
    """Return the microseconds that reserving and settling take, without a draw."""
    ledger = Ledger('w', 'b')
    ledger.adopt(Grant(granted=ADMISSIONS * 10))
    started = time.perf_counter()
    for _ in range(ADMISSIONS):
        charge = ledger.reserve(10)
        if charge is not None:
            ledger.end(charge, 10)
    return (time.perf_counter() - started) / ADMISSIONS * MICROSECONDS_PER_SECOND


def run_experiment(
    seed: int = 1,
    out: str = '',
    routers: tuple[int, ...] = ROUTER_COUNTS,
    horizons: tuple[float, ...] = HORIZONS_SECONDS,
) -> None:
    """Run all scenarios with all strategies and print the table.

    Args:
        seed: First seed; each figure covers this seed and the next.
        out: Path of a JSON file for the figures; empty for none.
        routers: Numbers of routers to simulate.
        horizons: Seconds of demand that a grant covers; each value is a strategy.
    """
    strategies: dict[str, StrategyFactory] = {
        f'grants {horizon:.0f} s': partial(Grants, horizon=horizon)
        for horizon in horizons
    }
    strategies |= {'fixed split': FixedSplit, 'write each': WriteEach}
    figures = []
    rows = []
    for count in routers:
        for scenario in list_scenarios(count):
            for name, outcomes in run_strategies(scenario, strategies, seed).items():
                rows.append(format_row(scenario, name, outcomes))
                figures += [
                    {'scene': asdict(scenario), 'way': name, **asdict(outcome)}
                    for outcome in outcomes
                ]
    columns = (
        'scene',
        'routers',
        'way',
        'overspent',
        'refused',
        'falsely',
        'writes a request',
        'idle share',
    )
    print_table(f'Seeds {seed} to {seed + SEED_COUNT - 1}', columns, rows)
    admission = measure_admission()
    print(f'\none admission and its end: {admission:.1f} microseconds')
    if out:
        document = {'seed': seed, 'admission_micros': admission, 'runs': figures}
        Path(out).write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))


if __name__ == '__main__':
    fire.Fire(run_experiment)
