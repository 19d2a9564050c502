"""Least-squares lines through measured points."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    Attributes:
        slope: Change of the level per unit of size.
        base: Level at size zero.
        residual: Largest vertical distance of a point from the line.
    """

    slope: float
    base: float
    residual: float

    def evaluate(self, size: float) -> float:
        """Return the level of the line at a size."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], levels: Sequence[float]) -> Line:
    """Fit a least-squares line.

    Args:
        sizes: At least two distinct sizes; shape (points,).
        levels: The level measured at each size; shape (points,).
    """
    slope, base = np.polyfit(sizes, levels, 1)
    distances = np.abs(np.asarray(levels) - (base + slope * np.asarray(sizes)))
    return Line(float(slope), float(base), float(distances.max()))
