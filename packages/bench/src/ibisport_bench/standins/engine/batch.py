"""Continuous batching: priority queue, slots, prefill and decoding steps."""

import heapq
import itertools
import random
import threading
import time
from collections.abc import Iterator

from ibisport_bench.standins.engine.messages import EngineFaults
from ibisport_bench.standins.engine.prefix_cache import PrefixCache
from ibisport_bench.standins.engine.run import Run
from ibisport_bench.standins.engine.settings import EngineSettings
from ibisport_bench.standins.errors import ConnectionDropped
from ibisport_bench.standins.web import Call, pause_while

POLL_INTERVAL_SECONDS = 0.1
MS_PER_SECOND = 1000


class Batch:
    """The running and waiting requests of the engine.

    Attributes:
        cache: Prefix cache of the engine.
        faults: Faults in force.
        runs: All runs that got a slot, in order of start.
    """

    def __init__(self, settings: EngineSettings) -> None:
        """Create an idle batch."""
        self._settings = settings
        self.faults = EngineFaults()
        self.cache = PrefixCache(
            settings.cache_tokens,
            settings.event_lag_ms / MS_PER_SECOND,
            settings.event_loss,
            settings.seed,
        )
        self.runs: list[Run] = []
        self.emitted = 0
        self._random = random.Random(settings.seed)
        self._changed = threading.Condition()
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, Run]] = []
        self._running: set[Run] = set()
        self._prefilled_at = 0.0

    def draw_failure(self) -> bool:
        """Return whether the next request fails, drawn at random."""
        with self._changed:
            return self._random.random() < self.faults.fail_rate

    def generate(self, call: Call, run: Run) -> Iterator[int]:
        """Yield the index of each token as soon as it is generated.

        Raises:
            ConnectionDropped: The client disconnected, or the answer must break off.
        """
        try:
            self._admit(call, run)
            self._prefill(call, run)
            yield from self._decode(call, run)
        finally:
            self._release(run)

    def cancel(self, request_id: str) -> int:
        """Cancel all runs of a request and return their number."""
        with self._changed:
            waiting = [run for _, _, run in self._waiting]
            found = [
                run
                for run in (*waiting, *self._running)
                if run.request_id == request_id
            ]
            for run in found:
                run.cancelled = True
            self._changed.notify_all()
        return len(found)

    def count(self) -> tuple[int, int]:
        """Return the numbers of running and waiting requests."""
        with self._changed:
            return len(self._running), len(self._waiting)

    def consume_break(self) -> int | None:
        """Return the number of tokens after which this answer breaks off, or None.

        The fault applies to one answer only, so it is cleared.
        """
        with self._changed:
            break_after = self.faults.break_after_tokens
            if break_after is not None:
                self.faults = self.faults.model_copy(
                    update={'break_after_tokens': None}
                )
            return break_after

    def _admit(self, call: Call, run: Run) -> None:
        queue_entry = (run.priority, next(self._sequence), run)
        with self._changed:
            heapq.heappush(self._waiting, queue_entry)
            try:
                self._wait_for_slot(call, queue_entry)
            finally:
                self._waiting.remove(queue_entry)
                heapq.heapify(self._waiting)
            if not run.cancelled:
                run.record_start()
                self.runs.append(run)
                self._running.add(run)
            self._changed.notify_all()

    def _wait_for_slot(self, call: Call, queue_entry: tuple[int, int, Run]) -> None:
        slots = self._settings.slots
        while len(self._running) >= slots or self._waiting[0] is not queue_entry:
            if queue_entry[-1].cancelled:
                return
            self._changed.wait(POLL_INTERVAL_SECONDS)
            if call.is_abandoned():
                raise ConnectionDropped('client left')

    def _release(self, run: Run) -> None:
        with self._changed:
            run.cancelled = not run.finished
            self._running.discard(run)
            self._changed.notify_all()

    def _prefill(self, call: Call, run: Run) -> None:
        if run.cancelled:
            return
        cached = self.cache.add_prompt(run.prompt.text)
        uncached = max(0, run.prompt.tokens - cached)
        work = uncached / self._settings.prefill_tokens_per_second
        with self._changed:
            start = max(self._prefilled_at, time.monotonic())
            self._prefilled_at = start + work * self.faults.slow_factor
            ready_at = self._prefilled_at
        self._wait_until(call, ready_at)

    def _decode(self, call: Call, run: Run) -> Iterator[int]:
        break_after = self.consume_break()
        ready_at = time.monotonic()
        for index in range(run.prompt.answer_tokens):
            if index == break_after:
                raise ConnectionDropped('answer broken')
            step = self._settings.token_ms / MS_PER_SECOND * self.faults.slow_factor
            # A thread that is up to a step late catches up; after a longer delay, such
            # as a freeze, the schedule restarts.
            ready_at = max(ready_at, time.monotonic() - step) + step
            self._wait_until(call, ready_at)
            if run.cancelled:
                return
            run.completion_tokens += 1
            self.emitted += 1
            yield index
        run.finished = True

    def _wait_until(self, call: Call, ready_at: float) -> None:
        time.sleep(max(0, ready_at - time.monotonic()))
        pause_while(self._is_frozen, call)
        if call.is_abandoned():
            raise ConnectionDropped('client left')

    def _is_frozen(self) -> bool:
        return self.faults.freeze
