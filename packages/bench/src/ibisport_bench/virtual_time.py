"""An event loop in virtual time for seeded runs: it jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances a virtual clock instead of waiting for a timeout."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready file objects, or advance the clock by the timeout."""
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, for tasks that wait only for timers."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def stand_still(self, seconds: float) -> None:
        """Advance the clock as if the process were suspended for that long."""
        self._time_selector.now += seconds

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._time_selector.now


def run_virtually(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
