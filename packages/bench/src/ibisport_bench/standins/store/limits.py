"""Call rates of the store, and counts of calls by client."""

import threading
import time
from collections import Counter

from ibisport_bench.standins.errors import CallRejected

MAX_WAIT_SECONDS = 1
BURST_SECONDS = 0.1


class RateLimiter:
    """A token bucket in which calls wait their turn."""

    def __init__(self, per_second: float) -> None:
        """Set the rate in calls a second; 0 stands for no limit."""
        self._interval = 1 / per_second if per_second else 0
        self._next_at = time.monotonic()
        self._lock = threading.Lock()

    def wait(self) -> None:
        """Wait for this call's turn.

        Raises:
            CallRejected: The turn is more than a second away.
        """
        delay = self._reserve() if self._interval else 0
        if delay > 0:
            time.sleep(delay)

    def _reserve(self) -> float:
        with self._lock:
            now = time.monotonic()
            turn = max(self._next_at, now - BURST_SECONDS)
            if turn - now > MAX_WAIT_SECONDS:
                raise CallRejected('etcdserver: too many requests', 503, 8)
            self._next_at = turn + self._interval
            return turn - now


class Counts:
    """Calls by client label."""

    def __init__(self) -> None:
        """Start at zero."""
        self._lock = threading.Lock()
        self._counts: dict[str, Counter[str]] = {}
        self._open = Counter[str]()

    def count_call(self, label: str, kind: str) -> None:
        """Count a call of the kind ``reads`` or ``writes``."""
        with self._lock:
            self._counts.setdefault(label, Counter()).update((kind,))

    def count_open_watch(self, label: str, step: int) -> None:
        """Count a watch that opens (1) or ends (-1)."""
        with self._lock:
            self._open[label] += step

    def reset(self) -> None:
        """Forget reads and writes; open watches stay counted."""
        with self._lock:
            self._counts.clear()

    def describe(self) -> dict[str, object]:
        """Return totals and numbers by client label."""
        with self._lock:
            labels = {*self._counts, *self._open}
            clients = {label: self._describe_client(label) for label in sorted(labels)}
        kinds = ('reads', 'writes', 'watches_open')
        totals = {kind: sum(one[kind] for one in clients.values()) for kind in kinds}
        return {**totals, 'clients': clients}

    def _describe_client(self, label: str) -> dict[str, int]:
        counts = self._counts.get(label, Counter[str]())
        return {
            'reads': counts['reads'],
            'writes': counts['writes'],
            'watches_open': self._open[label],
        }
