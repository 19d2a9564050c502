"""Command line of the soak."""

import argparse
import shutil
import sys
import tempfile
from pathlib import Path

import uvloop

from ibisport_bench.soak.fault_injection import EXCLUSIVE_FAULTS, FAULT_WEIGHTS
from ibisport_bench.soak.mutants import MUTANTS
from ibisport_bench.soak.run import RunOptions, Verdict, run_seed


def main() -> int:
    """Run the seeds one after the other; 1 if one of them failed."""
    chosen = parse_arguments()
    logs: Path = chosen.logs or Path(tempfile.mkdtemp(prefix='soak-'))
    # The faults that bring the mutant out.
    only = MUTANTS[chosen.mutant].fault_kind if chosen.mutant else chosen.only
    seeds = range(chosen.seed, chosen.seed + chosen.seeds)
    orders = [
        RunOptions(seed, chosen.seconds, chosen.routers, chosen.mutant, only)
        for seed in seeds
    ]
    failed = [order.seed for order in orders if not run_and_report(order, logs)]
    print(f'failed seeds: {failed}, logs in {logs}')
    return 1 if failed else 0


def parse_arguments() -> argparse.Namespace:
    """Return what the command line says."""
    parser = argparse.ArgumentParser(prog='ibisport_bench.soak')
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many seeds')
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--routers', type=int, default=3)
    parser.add_argument('--logs', type=Path, help='where logs of failed seeds stay')
    parser.add_argument('--mutant', choices=sorted(MUTANTS), help='must be caught')
    parser.add_argument(
        '--only',
        choices=sorted({*FAULT_WEIGHTS, *EXCLUSIVE_FAULTS}),
        help='one kind of fault',
    )
    return parser.parse_args()


def run_and_report(order: RunOptions, logs: Path) -> bool:
    """Play one seed and print its verdict; whether it is as it should be."""
    folder = logs / f'seed-{order.seed}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    verdict = uvloop.run(run_seed(order, folder))
    print(verdict, flush=True)
    if verdict.violations:
        (folder / 'story.txt').write_text(f'{verdict}\n')
    else:
        shutil.rmtree(folder)
    return is_as_expected(verdict, order.mutant)


def is_as_expected(verdict: Verdict, mutant: str | None) -> bool:
    """Whether nothing was violated, or what the mutant violates."""
    found = {one.check for one in verdict.violations}
    if mutant is None:
        return not found
    return MUTANTS[mutant].check in found


if __name__ == '__main__':
    sys.exit(main())
