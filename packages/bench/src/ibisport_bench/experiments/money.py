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
    MakeWay,
    Outcome,
    Run,
    Scene,
    WriteEach,
    ledger_clock,
)
from ibisport_core.internal.account import Grant
from ibisport_router.internal.ledger import Ledger

SEEDS = 2
ROUTERS = (2, 4, 8)
AMPLE = 3_000_000
SCARCE = 200_000
PARTITION = (60.0, 660.0)
SHIFT = 300.0
ADMISSIONS = 20_000
MICROS = 1_000_000
HORIZONS = (5.0, 600.0)
_LEDGER_TIME = 'ibisport_router.internal.ledger.time'


def list_scenes(routers: int) -> list[Scene]:
    """Return the scenes at a count of routers."""
    half = routers // 2
    return [
        Scene('ample budget', routers, AMPLE),
        Scene('near zero', routers, SCARCE),
        Scene('near zero, demand moves', routers, SCARCE, shift=SHIFT),
        Scene('half cut off', routers, AMPLE, cut=PARTITION, cut_off=half),
        Scene('all cut off', routers, AMPLE, cut=PARTITION, cut_off=routers),
    ]


def run_ways(
    scene: Scene, ways: dict[str, MakeWay], seed: int
) -> dict[str, list[Outcome]]:
    """Return the outcomes of every way, one for each seed."""
    with patch(_LEDGER_TIME, ledger_clock()):
        return {
            name: [Run(scene, way, seed + step).run() for step in range(SEEDS)]
            for name, way in ways.items()
        }


def format_row(scene: Scene, name: str, outcomes: list[Outcome]) -> list[str]:
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
    return (time.perf_counter() - started) / ADMISSIONS * MICROS


def run_experiment(
    seed: int = 1,
    out: str = '',
    routers: tuple[int, ...] = ROUTERS,
    horizons: tuple[float, ...] = HORIZONS,
) -> None:
    """Run everything and print the tables.

    Args:
        seed: First seed; each figure sums up two in a row.
        out: File for the figures as JSON; empty for none.
        routers: Counts of routers.
        horizons: Seconds of demand that a grant should cover, each a way.
    """
    ways: dict[str, MakeWay] = {
        f'grants {horizon:.0f} s': partial(Grants, horizon=horizon)
        for horizon in horizons
    }
    ways |= {'fixed split': FixedSplit, 'write each': WriteEach}
    figures = []
    rows = []
    for count in routers:
        for scene in list_scenes(count):
            for name, outcomes in run_ways(scene, ways, seed).items():
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
    print_table(f'Seeds {seed} to {seed + SEEDS - 1}', columns, rows)
    admission = measure_admission()
    print(f'\none admission and its end: {admission:.1f} microseconds')
    if out:
        document = {'seed': seed, 'admission_micros': admission, 'runs': figures}
        Path(out).write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))


if __name__ == '__main__':
    fire.Fire(run_experiment)
