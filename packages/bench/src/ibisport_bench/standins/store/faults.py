"""Faults that tests inject into the store."""

import random
import threading
import time
from typing import Any

from pydantic import BaseModel

from ibisport_bench.standins.errors import CallRejected, ConnectionDropped


class StoreFaults(BaseModel):
    """Faults in force.

    Attributes:
        down: Connections are closed without an answer, before a call is applied.
        refuse: Calls are answered with 503 and not applied.
        slow_ms: Delay in milliseconds before each call is applied.
        lose_answers: Number of following writes that commit without an answer.
        lose_answer_rate: Share of the other writes that commit without an answer.
        seed: Seed of the random draws for ``lose_answer_rate``.
        hold_watches: Watch events are delayed while their streams stay open.
        only_sources: Labels of the clients that are partitioned from the store;
            None for no partition.
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
    """Holds the faults in force and applies them to calls."""

    def __init__(self) -> None:
        """Create the control without faults."""
        self.faults = StoreFaults()
        self._random = random.Random(0)
        self._lock = threading.Lock()

    def change(self, fields: dict[str, Any]) -> StoreFaults:
        """Update the given fields of the faults in force and return the faults."""
        with self._lock:
            merged = {**self.faults.model_dump(), **fields}
            self.faults = StoreFaults.model_validate(merged)
            if 'seed' in fields:
                self._random = random.Random(self.faults.seed)
            return self.faults

    def is_partitioned(self, label: str) -> bool:
        """Return whether a client is partitioned from the store."""
        return label in (self.faults.only_sources or ())

    def apply_before_call(self, label: str) -> None:
        """Apply the faults that affect a call before it is executed.

        Raises:
            ConnectionDropped: The store is down or the client is partitioned from it.
            CallRejected: The store refuses calls.
        """
        faults = self.faults
        if faults.down or self.is_partitioned(label):
            raise ConnectionDropped('down')
        if faults.refuse:
            raise CallRejected('etcdserver: no leader', 503, 14)
        if faults.slow_ms:
            time.sleep(faults.slow_ms / 1000)

    def apply_after_write(self) -> None:
        """Apply the faults that affect a committed write.

        Raises:
            ConnectionDropped: The answer is not sent.
        """
        with self._lock:
            if self.faults.lose_answers > 0:
                remaining = self.faults.lose_answers - 1
                self.faults = self.faults.model_copy(update={'lose_answers': remaining})
                raise ConnectionDropped('answer lost')
            if self._random.random() < self.faults.lose_answer_rate:
                raise ConnectionDropped('answer lost')
