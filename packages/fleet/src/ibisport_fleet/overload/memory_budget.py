"""Bounds the memory that a process uses for all connections together.

Each connection uses some: for bytes that arrived and weren't processed, for requests
that are incomplete, queued or in progress, and for answers that the peer hasn't read.
The first bytes of each connection come from a share of their own, so that small
requests are served while large ones fill the rest.

When a share is full, room is made at the cost of connections that wait for their peer,
the longest wait first, and never for an owner at the cost of one that uses less.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

from ibisport_fleet.errors import FleetError

# The part of each use that is taken from the share of small requests.
SMALL_BYTES = 65_536
# Fraction of the budget that only small requests use.
SMALL_SHARE = 0.5
# Fraction of the share of large requests that one owner may use.
OWNER_SHARE = 0.5
# A peer that is still sending isn't closed for the sake of others before this time.
MIN_WAIT_SECONDS = 1.0


class MemoryExhausted(FleetError):
    """The process uses as much as it may, and no room can be made."""


class Part(Enum):
    """What a connection uses memory for."""

    unread = 'unread'
    request = 'request'
    answer = 'answer'
    upstream = 'upstream'


class _Share:
    """A fraction of the budget, and what each owner uses of it."""

    def __init__(self, max_bytes: float) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self.used_by_owner: Counter[str | None] = Counter()

    def add(self, owner: str | None, size: int) -> None:
        """Count bytes that an owner takes, or returns if negative."""
        self.used += size
        self.used_by_owner[owner] += size
        if not self.used_by_owner[owner]:
            del self.used_by_owner[owner]


class MemoryBudget:
    """The memory that all connections of a process share.

    Attributes:
        evictions: Number of connections whose memory others got.
        refusals: Number of times that no room could be made.
    """

    def __init__(self, max_bytes: float) -> None:
        """Create a budget of which nothing is used."""
        self.evictions = 0
        self.refusals = 0
        self._small = _Share(max_bytes * SMALL_SHARE)
        self._large = _Share(max_bytes * (1.0 - SMALL_SHARE))
        # Loop time at which each connection that waits for its peer began to use
        # memory, in that order.
        self._waiting: dict[MemoryUse, float] = {}

    @property
    def used(self) -> int:
        """Bytes in use."""
        return self._small.used + self._large.used

    def track(self, use: 'MemoryUse') -> None:
        """Note whether others may get what a connection uses."""
        if use.size and use.evict is not None:
            self._waiting.setdefault(use, asyncio.get_running_loop().time())
        else:
            self._waiting.pop(use, None)

    def resize(self, use: 'MemoryUse', size: int) -> None:
        """Take bytes for a connection, or return them.

        Args:
            use: What the connection uses.
            size: What it will use, in bytes.

        Raises:
            MemoryExhausted: There is no room for more; nothing was taken.
        """
        small = min(size, SMALL_BYTES) - min(use.size, SMALL_BYTES)
        large = size - use.size - small
        if small > 0:
            self._make_room(self._small, use, small)
        if large > 0:
            self._make_room(self._large, use, large)
        # The small share isn't divided among owners.
        self._small.add(None, small)
        self._large.add(use.owner, large)

    def change_owner(self, use: 'MemoryUse', owner: str | None) -> None:
        """Count what a connection uses for another owner."""
        large = use.size - min(use.size, SMALL_BYTES)
        self._large.add(use.owner, -large)
        self._large.add(owner, large)

    def _make_room(self, share: _Share, use: 'MemoryUse', size: int) -> None:
        while not self._fits(share, use, size):
            victim = self._find_victim(share, use, size)
            if victim is None:
                self.refusals += 1
                raise MemoryExhausted('no room for what a peer sends')
            self.evictions += 1
            victim.lose()

    def _fits(self, share: _Share, use: 'MemoryUse', size: int) -> bool:
        if share.used + size > share.max_bytes:
            return False
        return share is self._small or not self._exceeds_owner_share(use, size)

    def _exceeds_owner_share(self, use: 'MemoryUse', size: int) -> bool:
        used = self._large.used_by_owner[use.owner] + size
        return used > self._large.max_bytes * OWNER_SHARE

    def _find_victim(
        self, share: _Share, use: 'MemoryUse', size: int
    ) -> 'MemoryUse | None':
        """Return the connection that gives way, or None."""
        waiting = self._list_evictable(use)
        if share is self._small:
            return next(waiting, None)
        used = share.used_by_owner
        owners = {use.owner}
        if not self._exceeds_owner_share(use, size):
            least = used[use.owner] + size
            owners |= {owner for owner in used if used[owner] >= least}
        candidates = [
            other
            for other in waiting
            if other.size > SMALL_BYTES and other.owner in owners
        ]
        return max(candidates, key=lambda other: used[other.owner], default=None)

    def _list_evictable(self, use: 'MemoryUse') -> Iterator['MemoryUse']:
        """Yield the other connections that may give way, the longest wait first."""
        latest = asyncio.get_running_loop().time() - MIN_WAIT_SECONDS
        for other, since in self._waiting.items():
            if since > latest:
                return
            if other is not use:
                yield other


class MemoryUse:
    """The memory that one connection uses.

    Attributes:
        owner: The workspace that its request belongs to, or None.
        size: Bytes in use.
        evict: Ends the wait for the peer so that others get the bytes; None while the
            connection doesn't wait.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        """Start with nothing in use; without a budget there is no bound."""
        self.owner: str | None = None
        self.size = 0
        self.evict: Callable[[], None] | None = None
        self._budget = budget
        self._parts = dict.fromkeys(Part, 0)

    def resize(self, part: Part, size: int) -> None:
        """Set the size of a part in bytes.

        Raises:
            MemoryExhausted: There is no room; the part keeps its size.
        """
        total = self.size + size - self._parts[part]
        if self._budget is not None:
            self._budget.resize(self, total)
        self._parts[part] = size
        self.size = total
        if self._budget is not None and self.evict is not None:
            self._budget.track(self)

    def grow(self, part: Part, size: int) -> None:
        """Add bytes to a part, or return them if negative.

        Raises:
            MemoryExhausted: There is no room; the part keeps its size.
        """
        # Others may have got the bytes meanwhile.
        self.resize(part, max(0, self._parts[part] + size))

    def assign(self, owner: str | None) -> None:
        """Count the bytes for a workspace."""
        if self._budget is not None:
            self._budget.change_owner(self, owner)
        self.owner = owner

    def release(self) -> None:
        """Return all bytes."""
        for part in Part:
            self.resize(part, 0)

    def lose(self) -> None:
        """Return all bytes to others and end the wait for the peer."""
        evict = self.evict
        self.release()
        if evict is not None:
            evict()

    @contextmanager
    def wait_for_peer(self, evict: Callable[[], None]) -> Iterator[None]:
        """Let others have the bytes meanwhile if they need room.

        Args:
            evict: Called once the bytes were given to others.
        """
        self.evict = evict
        if self._budget is not None:
            self._budget.track(self)
        try:
            yield
        finally:
            self.evict = None
            if self._budget is not None:
                self._budget.track(self)
