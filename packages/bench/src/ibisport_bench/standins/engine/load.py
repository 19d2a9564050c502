"""Load of the engine, sampled and reported with a lag."""

import threading
import time
from collections import deque
from dataclasses import dataclass

from ibisport_bench.standins.engine.batch import Batch

SAMPLE_INTERVAL_SECONDS = 0.05
RATE_SAMPLES = 20


@dataclass(frozen=True, slots=True)
class Load:
    """Sample of the load.

    Attributes:
        taken_at: Monotonic time of the sample.
        running: Number of running requests.
        waiting: Number of waiting requests.
        emitted: Tokens emitted since the start.
        cache_used: Tokens in the prefix cache.
    """

    taken_at: float
    running: int
    waiting: int
    emitted: int
    cache_used: int


class LoadReport:
    """Samples the load in a background thread."""

    def __init__(self, batch: Batch, lag: float) -> None:
        """Report the load of a batch with a lag in seconds."""
        self._batch = batch
        self._lag = lag
        max_samples = int(lag / SAMPLE_INTERVAL_SECONDS) + 2 * RATE_SAMPLES
        self._samples = deque([self._sample()], max_samples)

    def start(self) -> None:
        """Start the sampling thread."""
        threading.Thread(target=self._sample_periodically, daemon=True).start()

    def describe(self) -> dict[str, float]:
        """Return the load as of one lag ago."""
        visible_until = time.monotonic() - self._lag
        samples = tuple(self._samples)
        visible = [
            sample for sample in samples if sample.taken_at <= visible_until
        ] or [samples[0]]
        last = visible[-1]
        first = visible[-min(len(visible), RATE_SAMPLES)]
        seconds = max(last.taken_at - first.taken_at, SAMPLE_INTERVAL_SECONDS)
        return {
            'running': last.running,
            'waiting': last.waiting,
            'cache_used': last.cache_used,
            'tokens_per_second': (last.emitted - first.emitted) / seconds,
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
