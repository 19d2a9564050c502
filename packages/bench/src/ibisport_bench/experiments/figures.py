"""Percentiles and Markdown tables for the experiments."""

from collections.abc import Iterable, Sequence

import numpy as np


def compute_percentile(samples: Sequence[float], percent: float) -> float:
    """Return a percentile of the samples, or NaN if there are none."""
    if not samples:
        return float('nan')
    return float(np.percentile(np.asarray(samples), percent))


def print_table(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[str]]
) -> None:
    """Print a Markdown table."""
    print(f'\n{title}\n')
    print('| ' + ' | '.join(columns) + ' |')
    print('|' + ' --- |' * len(columns))
    for row in rows:
        print_row(row)


def print_row(row: Sequence[str]) -> None:
    """Print one Markdown table row and flush the output."""
    print('| ' + ' | '.join(row) + ' |', flush=True)
