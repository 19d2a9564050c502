"""Times one answer for the histograms of its workspace and class."""

import time
from collections.abc import Mapping

from ibisport_core.metrics import Metrics


class StreamWatch:
    """Observes first piece, gaps and end of one answer."""

    def __init__(
        self, metrics: Metrics, labels: Mapping[str, str], started: float
    ) -> None:
        """Begin.

        Args:
            metrics: Where the times go.
            labels: Workspace and class.
            started: Unix time when the request came.
        """
        self._metrics = metrics
        self._labels = labels
        self._started = started
        self._last = 0.0
        # One lock for all streams, taken at each piece, makes them queue for
        # it; a stream's own list is merged once, at its end.
        self._gaps: list[float] = []

    def note_piece(self) -> None:
        """Note that a piece goes out now."""
        now = time.time()
        if self._last:
            self._gaps.append(now - self._last)
        else:
            self._metrics.observe(
                'ibisport_first_piece_seconds', self._labels, now - self._started
            )
        self._last = now

    def note_end(self) -> None:
        """Note that the answer has ended."""
        series = self._metrics.find_series('ibisport_piece_gap_seconds', self._labels)
        series.observe_all(self._gaps)
        total = time.time() - self._started
        self._metrics.observe('ibisport_answer_seconds', self._labels, total)
