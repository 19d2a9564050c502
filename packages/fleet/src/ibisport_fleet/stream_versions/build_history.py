"""Remembers which builds of a service were listed lately."""

import math
from collections.abc import Iterable, Set
from itertools import takewhile

from ibisport_fleet.targets import Build

# Builds that are no longer listed; far more than services have within their streams.
MAX_FORMER_BUILDS = 4_096


class BuildHistory:
    """The builds that were listed since the list has been known without a gap."""

    def __init__(self) -> None:
        """Create a history without any list."""
        self._known_since = math.inf
        # Ordered by time.
        self._last_listed: dict[Build, float] = {}

    def restart(self, now: float) -> None:
        """Forget the time before a full listing, since builds may be missed there."""
        self._known_since = now

    def record(self, build: Build, now: float) -> None:
        """Record that a build is listed, or was until now."""
        self._last_listed.pop(build, None)
        self._last_listed[build] = now
        if len(self._last_listed) > MAX_FORMER_BUILDS:
            oldest = next(iter(self._last_listed))
            # What is forgotten can't be told from what was never listed.
            self._known_since = max(self._known_since, self._last_listed.pop(oldest))

    def find(
        self, service: str, listed: Iterable[Build], since: float
    ) -> Set[Build] | None:
        """Return the builds of a service that were listed since a loop time.

        Args:
            service: Name of the service.
            listed: The builds that are listed now, of any service.
            since: Loop time.

        Returns:
            The builds; None if the list wasn't known all the time.
        """
        if self._known_since > since:
            return None
        return {
            build
            for build in self.list_since(listed, since)
            if build.service == service
        }

    def is_known_since(self, since: float) -> bool:
        """Return whether the list has been known without a gap since a loop time."""
        return self._known_since <= since

    def list_since(self, listed: Iterable[Build], since: float) -> Set[Build]:
        """Return the builds of all services that were seen listed since a loop time.

        Args:
            listed: The builds that are listed now.
            since: Loop time; the list may not have been known all the time.
        """
        former = takewhile(
            lambda item: item[1] >= since, reversed(self._last_listed.items())
        )
        return {build for build, _ in former}.union(listed)
