"""Latency histograms and counts of a load run, by workspace."""

import threading
from collections import Counter, defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

_MIN_MICROSECONDS = 1
_MAX_MICROSECONDS = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_MICROSECONDS_PER_SECOND = 1_000_000
_MICROSECONDS_PER_MS = 1000
PERCENTS = (50, 95, 99)
ALL = 'all'
FIRST = 'first_token_ms'
GAP = 'between_tokens_ms'
TOTAL = 'answer_ms'
LATE = 'send_late_ms'


class Recorder:
    """Collects what callers met; safe to use from many threads."""

    def __init__(self) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._histograms: dict[tuple[str, str], HdrHistogram] = defaultdict(
            make_histogram
        )
        self._counts: Counter[str] = Counter()

    def observe(self, workspace: str, kind: str, *seconds: float) -> None:
        """Add times of one kind to a workspace's and to the whole's histogram."""
        with self._lock:
            for name in (workspace, ALL):
                histogram = self._histograms[name, kind]
                for one in seconds:
                    histogram.record_value(max(1, int(one * _MICROSECONDS_PER_SECOND)))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a count."""
        with self._lock:
            self._counts[name] += amount

    def read_count(self, name: str) -> int:
        """Return a count."""
        return self._counts[name]

    def describe(self) -> dict[str, Any]:
        """Return counts and percentiles, in milliseconds, by workspace."""
        with self._lock:
            names = sorted({name for name, _ in self._histograms})
            return {
                'counts': dict(sorted(self._counts.items())),
                'workspaces': {name: self._describe_workspace(name) for name in names},
            }

    def list_percentiles(self, kind: str) -> list[tuple[float, float]]:
        """Return (percentile, milliseconds) of a kind over all workspaces."""
        histogram = self._histograms[ALL, kind]
        points = (*range(0, 100, 2), 99, 99.5, 99.9, 100)
        return [
            (point, histogram.get_value_at_percentile(point) / _MICROSECONDS_PER_MS)
            for point in points
        ]

    def encode_all(self) -> dict[str, str]:
        """Return the whole's histograms encoded, so that runs can be added up."""
        with self._lock:
            return {
                kind: histogram.encode().decode()
                for (owner, kind), histogram in self._histograms.items()
                if owner == ALL
            }

    def _describe_workspace(self, name: str) -> dict[str, Any]:
        return {
            kind: summarise(histogram)
            for (owner, kind), histogram in sorted(self._histograms.items())
            if owner == name
        }


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to an hour, to three digits."""
    return HdrHistogram(_MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)


def summarise(histogram: HdrHistogram) -> dict[str, float]:
    """Return a histogram's count and percentiles, in milliseconds."""
    found = {
        f'p{percent}': round(
            histogram.get_value_at_percentile(percent) / _MICROSECONDS_PER_MS, 3
        )
        for percent in PERCENTS
    }
    return {'count': histogram.get_total_count(), **found}
