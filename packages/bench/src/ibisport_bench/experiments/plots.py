"""Plots results: ``python -m ibisport_bench.experiments.plots``."""

from pathlib import Path
from typing import Any

import fire
import matplotlib
import orjson

matplotlib.use('Agg')

from matplotlib import pyplot as plt

PERCENTILE = 'p95'


def run(folder: str = 'bench-results') -> None:
    """Plot the results in ``slopes.json`` and ``latency.json``.

    Args:
        folder: Holds the results; the plots are written there too.
    """
    path = Path(folder)
    slopes = orjson.loads((path / 'slopes.json').read_bytes())['slopes']
    for name, slope in slopes.items():
        _plot_slope(path / f'slope-{name}.png', name, slope)
    runs = orjson.loads((path / 'latency.json').read_bytes())['runs']
    _plot_latency(path / 'latency.png', runs)


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
        results = [result for result in runs if result['way'] == way]
        streams = [result['streams'] for result in results]
        for kind in results[0]['times']:
            levels = [result['times'][kind][PERCENTILE] for result in results]
            axes.plot(streams, levels, 'o-', label=f'{way} {kind} {PERCENTILE}')
    axes.set_yscale('log')
    _save_figure(figure, axes, path, 'open streams', 'milliseconds')


def _save_figure(
    figure: Any, axes: Any, path: Path, x_label: str, y_label: str
) -> None:
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.legend()
    figure.savefig(path)
    plt.close(figure)


if __name__ == '__main__':
    fire.Fire(run)
