"""An event loop whose time jumps to the next timer, for seeded runs without waits."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualTimeSelector(selectors.SelectSelector):
    """Lets the time that a wait would take pass at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now, and count the wait as passed."""
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop for tasks that use timers only."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def stand_still(self, seconds: float) -> None:
        """Let time pass in which nothing runs."""
        self._time_selector.now += seconds

    def time(self) -> float:
        """Return the virtual seconds since the loop was made."""
        return self._time_selector.now


def run_virtually(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
