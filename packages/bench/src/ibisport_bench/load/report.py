"""Writes results of runs as JSON, with seed, commit and machine, and plots them."""

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
    """Return the processor count, load, system and Python version."""
    return {
        'processors': os.cpu_count(),
        'load_1min': round(os.getloadavg()[0], 1),
        'system': platform.system(),
        'python': platform.python_version(),
    }


def read_commit() -> str:
    """Return the commit that git describes, or ``unknown``."""
    command = ['git', 'describe', '--always', '--dirty', '--abbrev=12']
    process = subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=_GIT_TIMEOUT_SECONDS,
        check=False,
        cwd=Path(__file__).parent,
    )
    return process.stdout.strip() or 'unknown'


def write_result(path: Path, seed: int, found: dict[str, Any]) -> None:
    """Write a result as JSON, with seed, commit and machine.

    Args:
        path: Path of the JSON file; missing folders are created.
        seed: Seed of the run.
        found: Figures of the run.
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
    """Plot milliseconds by percentile of each kind of answer time."""
    figure, axes = plt.subplots()
    for kind in (FIRST, GAP, TOTAL):
        points = recorder.list_percentiles(kind)
        axes.plot(
            [percent for percent, _ in points], [ms for _, ms in points], label=kind
        )
    axes.set_yscale('log')
    axes.set_xlabel('percentile')
    axes.set_ylabel('milliseconds')
    axes.set_title(title)
    axes.legend()
    figure.savefig(path)
    plt.close(figure)
