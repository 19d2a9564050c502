"""Rate limits of the store, and call counts by client."""

import threading
import time
from collections import Counter

from ibisport_bench.standins.errors import CallRejected

MAX_WAIT_SECONDS = 1
BURST_SECONDS = 0.1


class RateLimiter:
    """Spaces calls at a fixed rate; idle time allows a burst of ``BURST_SECONDS``."""

    def __init__(self, per_second: float) -> None:
        """Set the rate in calls per second; 0 stands for no limit."""
        self._interval = 1 / per_second if per_second else 0
        self._next_at = time.monotonic()
        self._lock = threading.Lock()

    def wait(self) -> None:
        """Wait until the rate admits this call.

        Raises:
            CallRejected: The wait would exceed ``MAX_WAIT_SECONDS``.
        """
        delay = self._reserve() if self._interval else 0
        if delay > 0:
            time.sleep(delay)

    def _reserve(self) -> float:
        with self._lock:
            now = time.monotonic()
            starts_at = max(self._next_at, now - BURST_SECONDS)
            if starts_at - now > MAX_WAIT_SECONDS:
                raise CallRejected('etcdserver: too many requests', 503, 8)
            self._next_at = starts_at + self._interval
            return starts_at - now


class Counts:
    """Counts calls and open watches by client label."""

    def __init__(self) -> None:
        """Create the counts at zero."""
        self._lock = threading.Lock()
        self._counts: dict[str, Counter[str]] = {}
        self._open = Counter[str]()

    def count_call(self, label: str, kind: str) -> None:
        """Count a call of the kind ``reads`` or ``writes``."""
        with self._lock:
            self._counts.setdefault(label, Counter()).update((kind,))

    def count_open_watch(self, label: str, step: int) -> None:
        """Count a watch that opens (step 1) or ends (step -1)."""
        with self._lock:
            self._open[label] += step

    def reset(self) -> None:
        """Reset the counts of reads and writes; open watches stay counted."""
        with self._lock:
            self._counts.clear()

    def describe(self) -> dict[str, object]:
        """Return the totals and the counts by client label."""
        with self._lock:
            labels = {*self._counts, *self._open}
            clients = {label: self._describe_client(label) for label in sorted(labels)}
        kinds = ('reads', 'writes', 'watches_open')
        totals = {
            kind: sum(client[kind] for client in clients.values()) for kind in kinds
        }
        return {**totals, 'clients': clients}

    def _describe_client(self, label: str) -> dict[str, int]:
        counts = self._counts.get(label, Counter[str]())
        return {
            'reads': counts['reads'],
            'writes': counts['writes'],
            'watches_open': self._open[label],
        }
