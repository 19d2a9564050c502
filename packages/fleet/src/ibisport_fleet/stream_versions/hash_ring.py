"""Consistent hashing: routers with like lists choose the same routers for a key."""

from bisect import bisect
from collections.abc import Mapping

from ibisport_fleet.membership import Member
from ibisport_fleet.rendezvous import hash_text

# Points of each router; more of them spread keys more evenly.
POINTS_PER_MEMBER = 16


class HashRing:
    """Selects routers for a key.

    Selecting takes the time of a binary search: scores of all routers of a large fleet
    for each stream would take a percent of a core.
    """

    def __init__(self) -> None:
        """Create an empty ring."""
        self._members: Mapping[str, Member] = {}
        self._points: list[tuple[int, str]] = []

    def update(self, members: Mapping[str, Member]) -> None:
        """Use the routers of a list, by host; a list must not be changed later."""
        if members is self._members:
            return
        if members.keys() != self._members.keys():
            self._points = sorted(
                (hash_text(f'{host}|{number}'), host)
                for host in members
                for number in range(POINTS_PER_MEMBER)
            )
        self._members = members

    def select(self, key: bytes, count: int, own_host: str) -> list[Member]:
        """Return the first routers for a key.

        Args:
            key: At least eight bytes that are spread evenly.
            count: Maximum number of routers.
            own_host: Host of the router that selects, which is left out.
        """
        selected: dict[str, Member] = {}
        first = bisect(self._points, (int.from_bytes(key[:8]), ''))
        for offset in range(len(self._points)):
            if len(selected) == count:
                break
            _, host = self._points[(first + offset) % len(self._points)]
            if host != own_host:
                selected[host] = self._members[host]
        return list(selected.values())
