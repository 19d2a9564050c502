"""Overspend, false refusals, idle tokens and store writes of ways to spend.

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
    """Return the scenes at a count of routers."""
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
    scene: Scenario, ways: dict[str, StrategyFactory], seed: int
) -> dict[str, list[Outcome]]:
    """Return the outcomes of every way, one for each seed."""
    with patch(_LEDGER_TIME_PATH, ledger_clock()):
        return {
            name: [
                Simulation(scene, way, seed + step).run() for step in range(SEED_COUNT)
            ]
            for name, way in ways.items()
        }


def format_row(scene: Scenario, name: str, outcomes: list[Outcome]) -> list[str]:
    """Return a table's row: sums over the seeds, shares of all requests."""
    asked = sum(one.asked for one in outcomes)
    refused = sum(one.refused for one in outcomes)
    falsely = sum(one.falsely for one in outcomes)
    writes = sum(one.writes for one in outcomes)
    idle = sum(one.idle for one in outcomes) / len(outcomes)
    return [
        scene.name,
        str(scene.routers),
        name,
        str(sum(one.overspent for one in outcomes)),
        f'{refused / asked:.4f}',
        f'{falsely / asked:.4f}',
        f'{writes / asked:.3f}',
        f'{idle / scene.budget:.4f}',
    ]


def measure_admission() -> float:
    """Return the microseconds of one reservation and its end, without a draw."""
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
    """Run everything and print the tables.

    Args:
        seed: First seed; each figure sums up two in a row.
        out: File for the figures as JSON; empty for none.
        routers: Counts of routers.
        horizons: Seconds of demand that a grant should cover, each a way.
    """
    ways: dict[str, StrategyFactory] = {
        f'grants {horizon:.0f} s': partial(Grants, horizon=horizon)
        for horizon in horizons
    }
    ways |= {'fixed split': FixedSplit, 'write each': WriteEach}
    figures = []
    rows = []
    for count in routers:
        for scene in list_scenarios(count):
            for name, outcomes in run_strategies(scene, ways, seed).items():
                rows.append(format_row(scene, name, outcomes))
                figures += [
                    {'scene': asdict(scene), 'way': name, **asdict(one)}
                    for one in outcomes
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
