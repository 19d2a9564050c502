"""Command line of the soak test."""

import argparse
import os
import shutil
import sys
import tempfile
from pathlib import Path

import uvloop

from ibisport_bench.soak.fault_injection import (
    EXCLUSIVE_FAULTS,
    FAULT_WEIGHTS,
    FINAL_FAULT,
)
from ibisport_bench.soak.mutants import MUTANTS
from ibisport_bench.soak.run import RunOptions, Verdict, run_seed
from ibisport_bench.soak.targets import VERSIONS
from ibisport_platform.settings import FEATURES_VARIABLE


def main() -> int:
    """Run the seeds one after the other; return 1 if any of them failed."""
    arguments = parse_arguments()
    # The routers' processes inherit it.
    os.environ[FEATURES_VARIABLE] = (
        MUTANTS[arguments.mutant].features if arguments.mutant else arguments.features
    )
    logs: Path = arguments.logs or Path(tempfile.mkdtemp(prefix='soak-'))
    # A mutant only misbehaves visibly under its own kind of fault.
    only = MUTANTS[arguments.mutant].fault_kind if arguments.mutant else arguments.only
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    mutant = MUTANTS[arguments.mutant] if arguments.mutant else None
    versions = mutant.versions if mutant else arguments.versions
    routers = mutant.routers if mutant else arguments.routers
    runs = [
        RunOptions(
            seed,
            arguments.seconds,
            routers,
            arguments.mutant,
            only,
            versions,
            arguments.crowd,
        )
        for seed in seeds
    ]
    failed = [options.seed for options in runs if not run_and_report(options, logs)]
    print(f'failed seeds: {failed}, logs in {logs}')
    return 1 if failed else 0


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog='ibisport_bench.soak')
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='the number of seeds')
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--routers', type=int, default=3)
    parser.add_argument(
        '--versions',
        type=int,
        choices=range(1, len(VERSIONS) + 1),
        default=len(VERSIONS),
        help='software versions of engines side by side',
    )
    parser.add_argument('--logs', type=Path, help='folder for logs of failed seeds')
    parser.add_argument('--features', default='', help='optional parts of the routers')
    parser.add_argument(
        '--crowd', action='store_true', help='clients press that finish nothing'
    )
    parser.add_argument(
        '--mutant', choices=sorted(MUTANTS), help='router that must fail'
    )
    parser.add_argument(
        '--only',
        choices=sorted({*FAULT_WEIGHTS, *EXCLUSIVE_FAULTS, FINAL_FAULT}),
        help='the only kind of fault',
    )
    return parser.parse_args()


def run_and_report(options: RunOptions, logs: Path) -> bool:
    """Run one seed, print its verdict and return whether it is the expected one."""
    folder = logs / f'seed-{options.seed}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    verdict = uvloop.run(run_seed(options, folder))
    print(verdict, flush=True)
    if verdict.violations:
        (folder / 'story.txt').write_text(f'{verdict}\n')
    else:
        shutil.rmtree(folder)
    return is_as_expected(verdict, options.mutant)


def is_as_expected(verdict: Verdict, mutant: str | None) -> bool:
    """Return whether a run is clean, or fails the check that must catch its mutant."""
    found = {violation.check for violation in verdict.violations}
    if mutant is None:
        return not found
    return MUTANTS[mutant].check in found


if __name__ == '__main__':
    sys.exit(main())
