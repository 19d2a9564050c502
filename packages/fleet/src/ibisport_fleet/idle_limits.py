"""The idle limits that callers may know."""

from collections import deque

# Each of them is lower than those before it.
MAX_LIMITS = 64


class IdleLimits:
    """The idle limits of the newest versions of the catalogue.

    A caller may follow any version that was in force while its connection was idle. A
    limit is dropped once a later version has one that is as long.
    """

    def __init__(self, seconds: float) -> None:
        """Begin with the limit in force before the first version."""
        self._limits: deque[tuple[int, float]] = deque([(0, seconds)], MAX_LIMITS)

    def record(self, version: int, seconds: float) -> None:
        """Record the limit of a newer version."""
        while self._limits and self._limits[-1][1] <= seconds:
            self._limits.pop()
        self._limits.append((version, seconds))

    def find_longest(self, since: int) -> float:
        """Return the longest limit of a version and all later ones.

        Args:
            since: The version, which was in force at some time.
        """
        return next(seconds for version, seconds in self._limits if version >= since)
