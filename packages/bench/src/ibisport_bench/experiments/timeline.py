"""Virtual time: runs scheduled actions in time order without sleeping."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class Timeline:
    """A virtual clock that advances to the time of each action.

    Attributes:
        now: Virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._actions: list[tuple[float, int, Action]] = []

    def read(self) -> float:
        """Return the virtual time; can be passed as a clock function."""
        return self.now

    def schedule(self, at: float, action: Action) -> None:
        """Schedule an action; actions at the same time run in the order scheduled."""
        heapq.heappush(self._actions, (at, next(self._numbers), action))

    def run(self) -> None:
        """Run all actions, including those scheduled while running."""
        while self._actions:
            self.now, _, action = heapq.heappop(self._actions)
            action()
