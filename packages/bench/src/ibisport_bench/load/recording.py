"""Latency histograms by workspace, and the counts, of a load run."""

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
    """Collects latencies and counts of all callers; thread-safe."""

    def __init__(self) -> None:
        """Create a recorder without samples."""
        self._lock = threading.Lock()
        self._histograms: dict[tuple[str, str], HdrHistogram] = defaultdict(
            make_histogram
        )
        self._counts: Counter[str] = Counter()

    def observe(self, workspace: str, kind: str, *seconds: float) -> None:
        """Add durations to the histograms of a workspace and of all workspaces."""
        with self._lock:
            for name in (workspace, ALL):
                histogram = self._histograms[name, kind]
                for duration in seconds:
                    histogram.record_value(
                        max(1, int(duration * _MICROSECONDS_PER_SECOND))
                    )

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a count."""
        with self._lock:
            self._counts[name] += amount

    def read_count(self, name: str) -> int:
        """Return a count."""
        return self._counts[name]

    def describe(self) -> dict[str, Any]:
        """Return the counts, and percentiles in milliseconds by workspace."""
        with self._lock:
            names = sorted({name for name, _ in self._histograms})
            return {
                'counts': dict(sorted(self._counts.items())),
                'workspaces': {name: self._describe_workspace(name) for name in names},
            }

    def list_percentiles(self, kind: str) -> list[tuple[float, float]]:
        """Return (percentile, milliseconds) pairs of a kind over all workspaces."""
        histogram = self._histograms[ALL, kind]
        percents = (*range(0, 100, 2), 99, 99.5, 99.9, 100)
        return [
            (percent, histogram.get_value_at_percentile(percent) / _MICROSECONDS_PER_MS)
            for percent in percents
        ]

    def encode_all(self) -> dict[str, str]:
        """Return the encoded histograms of all workspaces, to merge several runs."""
        with self._lock:
            return {
                kind: histogram.encode().decode()
                for (workspace, kind), histogram in self._histograms.items()
                if workspace == ALL
            }

    def _describe_workspace(self, name: str) -> dict[str, Any]:
        return {
            kind: summarise(histogram)
            for (workspace, kind), histogram in sorted(self._histograms.items())
            if workspace == name
        }


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds, up to an hour, with three digits."""
    return HdrHistogram(_MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)


def summarise(histogram: HdrHistogram) -> dict[str, float]:
    """Return a histogram's count and percentiles, in milliseconds."""
    percentiles = {
        f'p{percent}': round(
            histogram.get_value_at_percentile(percent) / _MICROSECONDS_PER_MS, 3
        )
        for percent in PERCENTS
    }
    return {'count': histogram.get_total_count(), **percentiles}
