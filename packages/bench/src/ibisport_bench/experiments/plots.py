"""Plots of the results in a folder: ``python -m ibisport_bench.experiments.plots``."""

from pathlib import Path
from typing import Any

import fire
import matplotlib
import orjson

matplotlib.use('Agg')

from matplotlib import pyplot as plt

PERCENTILE = 'p95'


def run(folder: str = 'bench-results') -> None:
    """Plot what ``slopes.json`` and ``latency.json`` hold.

    Args:
        folder: Where the results are, and the plots go.
    """
    place = Path(folder)
    slopes = orjson.loads((place / 'slopes.json').read_bytes())['slopes']
    for name, slope in slopes.items():
        _plot_slope(place / f'slope-{name}.png', name, slope)
    runs = orjson.loads((place / 'latency.json').read_bytes())['runs']
    _plot_latency(place / 'latency.png', runs)


def _plot_slope(path: Path, name: str, slope: dict[str, Any]) -> None:
    figure, axes = plt.subplots()
    sizes = [cost['size'] for cost in slope['costs']]
    for level in ('router_core', 'agent_core'):
        line = slope['lines'][level]
        axes.plot(sizes, [cost[level] for cost in slope['costs']], 'o', label=level)
        axes.plot(sizes, [line['base'] + line['slope'] * size for size in sizes], '--')
    _save_figure(figure, axes, path, name, 'share of a core')


def _plot_latency(path: Path, runs: list[dict[str, Any]]) -> None:
    figure, axes = plt.subplots()
    for way in ('direct', 'routed'):
        chosen = [one for one in runs if one['way'] == way]
        streams = [one['streams'] for one in chosen]
        for kind in chosen[0]['times']:
            levels = [one['times'][kind][PERCENTILE] for one in chosen]
            axes.plot(streams, levels, 'o-', label=f'{way} {kind} {PERCENTILE}')
    axes.set_yscale('log')
    _save_figure(figure, axes, path, 'open streams', 'milliseconds')


def _save_figure(figure: Any, axes: Any, path: Path, across: str, up: str) -> None:
    axes.set_xlabel(across)
    axes.set_ylabel(up)
    axes.legend()
    figure.savefig(path)
    plt.close(figure)


if __name__ == '__main__':
    fire.Fire(run)
