"""Faults of the store that a test may order."""

import random
import threading
import time
from typing import Any

from pydantic import BaseModel

from ibisport_bench.standins.errors import CallRejected, ConnectionDropped


class StoreFaults(BaseModel):
    """Faults in force.

    Attributes:
        down: Connections are closed without an answer, before applying.
        refuse: Calls are answered 503, before applying.
        slow_ms: Milliseconds that each call waits before it is applied.
        lose_answers: Number of next writes that commit without an answer.
        lose_answer_rate: Share of further writes that commit without one.
        seed: Seed of that share.
        hold_watches: Events are held back while streams stay open.
        only_sources: Client labels that are cut off, or None.
    """

    down: bool = False
    refuse: bool = False
    slow_ms: float = 0
    lose_answers: int = 0
    lose_answer_rate: float = 0
    seed: int = 0
    hold_watches: bool = False
    only_sources: list[str] | None = None


class FaultControl:
    """The faults in force and their effect on calls."""

    def __init__(self) -> None:
        """Start without faults."""
        self.faults = StoreFaults()
        self._random = random.Random(0)
        self._lock = threading.Lock()

    def change(self, fields: dict[str, Any]) -> StoreFaults:
        """Merge the fields into the faults in force and return these."""
        with self._lock:
            merged = {**self.faults.model_dump(), **fields}
            self.faults = StoreFaults.model_validate(merged)
            if 'seed' in fields:
                self._random = random.Random(self.faults.seed)
            return self.faults

    def is_partitioned(self, label: str) -> bool:
        """Tell whether the client is on the other side of a partition."""
        return label in (self.faults.only_sources or ())

    def apply_before_call(self, label: str) -> None:
        """Apply the faults that strike before a call.

        Raises:
            ConnectionDropped: The store is down or cut off.
            CallRejected: The store refuses.
        """
        faults = self.faults
        if faults.down or self.is_partitioned(label):
            raise ConnectionDropped('down')
        if faults.refuse:
            raise CallRejected('etcdserver: no leader', 503, 14)
        if faults.slow_ms:
            time.sleep(faults.slow_ms / 1000)

    def apply_after_write(self) -> None:
        """Apply the faults that strike after a committed write.

        Raises:
            ConnectionDropped: The answer is lost.
        """
        with self._lock:
            if self.faults.lose_answers > 0:
                left = self.faults.lose_answers - 1
                self.faults = self.faults.model_copy(update={'lose_answers': left})
                raise ConnectionDropped('answer lost')
            if self._random.random() < self.faults.lose_answer_rate:
                raise ConnectionDropped('answer lost')
