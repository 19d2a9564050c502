"""Results of runs as JSON with seed, commit and machine, and their plots."""

import os
import platform
import subprocess
from pathlib import Path
from typing import Any

import matplotlib
import orjson

from ibisport_bench.load.recording import FIRST, GAP, TOTAL, Recorder

matplotlib.use('Agg')

from matplotlib import pyplot as plt

_GIT_TIMEOUT_SECONDS = 5


def describe_machine() -> dict[str, Any]:
    """Return processor count, load and interpreter of this machine."""
    return {
        'processors': os.cpu_count(),
        'load_1min': round(os.getloadavg()[0], 1),
        'system': platform.system(),
        'python': platform.python_version(),
    }


def read_commit() -> str:
    """Return the commit of the working tree, or ``unknown``."""
    asked = ['git', 'describe', '--always', '--dirty', '--abbrev=12']
    answer = subprocess.run(
        asked,
        capture_output=True,
        text=True,
        timeout=_GIT_TIMEOUT_SECONDS,
        check=False,
        cwd=Path(__file__).parent,
    )
    return answer.stdout.strip() or 'unknown'


def write_result(path: Path, seed: int, found: dict[str, Any]) -> None:
    """Write a result with seed, commit and machine.

    Args:
        path: The JSON file.
        seed: Seed of the run.
        found: The figures.
    """
    document = {
        'seed': seed,
        'commit': read_commit(),
        'machine': describe_machine(),
        **found,
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2) + b'\n')


def plot_latency(path: Path, recorder: Recorder, title: str) -> None:
    """Plot milliseconds against percentile for the main times of a run."""
    figure, axes = plt.subplots()
    for kind in (FIRST, GAP, TOTAL):
        points = recorder.list_percentiles(kind)
        axes.plot(
            [point for point, _ in points], [level for _, level in points], label=kind
        )
    axes.set_yscale('log')
    axes.set_xlabel('percentile')
    axes.set_ylabel('milliseconds')
    axes.set_title(title)
    axes.legend()
    figure.savefig(path)
    plt.close(figure)
