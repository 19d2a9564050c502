"""The engine's load, sampled and shown with a lag."""

import threading
import time
from collections import deque
from dataclasses import dataclass

from ibisport_bench.standins.engine.batch import Batch

SAMPLE_INTERVAL_SECONDS = 0.05
RATE_SAMPLES = 20


@dataclass(frozen=True, slots=True)
class Load:
    """One sample of the load.

    Attributes:
        taken_at: Monotonic time.
        running: Requests running.
        waiting: Requests waiting.
        emitted: Tokens emitted since the start.
        cache_used: Tokens in the prefix cache.
    """

    taken_at: float
    running: int
    waiting: int
    emitted: int
    cache_used: int


class LoadReport:
    """Samples the load in a thread of its own."""

    def __init__(self, batch: Batch, lag: float) -> None:
        """Set the lag in seconds."""
        self._batch = batch
        self._lag = lag
        most = int(lag / SAMPLE_INTERVAL_SECONDS) + 2 * RATE_SAMPLES
        self._samples = deque([self._sample()], most)

    def start(self) -> None:
        """Start to sample."""
        threading.Thread(target=self._sample_periodically, daemon=True).start()

    def describe(self) -> dict[str, float]:
        """Return the load as it was one lag ago."""
        seen_until = time.monotonic() - self._lag
        samples = tuple(self._samples)
        seen = [one for one in samples if one.taken_at <= seen_until] or [samples[0]]
        shown = seen[-1]
        first = seen[-min(len(seen), RATE_SAMPLES)]
        seconds = max(shown.taken_at - first.taken_at, SAMPLE_INTERVAL_SECONDS)
        return {
            'running': shown.running,
            'waiting': shown.waiting,
            'cache_used': shown.cache_used,
            'tokens_per_second': (shown.emitted - first.emitted) / seconds,
        }

    def _sample_periodically(self) -> None:
        while True:
            time.sleep(SAMPLE_INTERVAL_SECONDS)
            self._samples.append(self._sample())

    def _sample(self) -> Load:
        running, waiting = self._batch.count()
        emitted = self._batch.emitted
        cache_used = self._batch.cache.count_tokens()
        return Load(time.monotonic(), running, waiting, emitted, cache_used)
