"""Virtual time: actions run in the order of their times, nothing sleeps."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class Timeline:
    """A clock that jumps from action to action.

    Attributes:
        now: Virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._actions: list[tuple[float, int, Action]] = []

    def read(self) -> float:
        """Return the virtual time, for code that takes a clock."""
        return self.now

    def schedule(self, at: float, action: Action) -> None:
        """Run an action at a virtual time; those of one time run in order."""
        heapq.heappush(self._actions, (at, next(self._numbers), action))

    def run(self) -> None:
        """Run all actions, also those that are scheduled meanwhile."""
        while self._actions:
            self.now, _, action = heapq.heappop(self._actions)
            action()
