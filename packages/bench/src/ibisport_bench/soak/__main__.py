"""Command line of the soak."""

import argparse
import shutil
import sys
import tempfile
from pathlib import Path

import uvloop

from ibisport_bench.soak.run import run_seed


def main() -> int:
    """Run the seeds one after the other; 1 if one of them failed."""
    parser = argparse.ArgumentParser(prog='ibisport_bench.soak')
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many seeds')
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--routers', type=int, default=3)
    parser.add_argument('--logs', type=Path, help='where logs of failed seeds stay')
    chosen = parser.parse_args()
    logs: Path = chosen.logs or Path(tempfile.mkdtemp(prefix='soak-'))
    failed = []
    for seed in range(chosen.seed, chosen.seed + chosen.seeds):
        folder = logs / f'seed-{seed}'
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        verdict = uvloop.run(run_seed(seed, chosen.seconds, chosen.routers, folder))
        print(verdict, flush=True)
        if verdict.violations:
            failed.append(seed)
            (folder / 'story.txt').write_text(f'{verdict}\n')
        else:
            shutil.rmtree(folder)
    print(f'failed seeds: {failed}, logs in {logs}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
