"""Interface of the key-value store; platform adapters implement its protocol."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its latest content and the revision of its last write."""

    key: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that was deleted at a revision."""

    key: str
    revision: int


Change = Item | Removal


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys of a prefix; a watch continues from ``revision``."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Changes that a watch returned, in order; empty if its wait ran out."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchOptions:
    """Options of a watch call.

    Attributes:
        wait: Maximum wait for a change, seconds.
        max_bytes: Maximum size of the changes, beyond which a listing is cheaper;
            0 means unlimited.
        shared: Try a relay that watches for several routers first.
        on_bytes: Called whenever bytes of the answer arrive, if set.
    """

    wait: float
    max_bytes: int = 0
    shared: bool = False
    on_bytes: Callable[[], None] | None = None


@dataclass(frozen=True, slots=True)
class Condition:
    """Precondition of a write: the key has this revision; 0 means it is absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A key to write; it is deleted when its lease ends, unless the lease is 0."""

    key: str
    content: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Written:
    """Result of a write that was carried out."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a write whose conditions didn't hold.

    Attributes:
        items: Current state of the conditions' keys.
        absent: Keys of the conditions that don't exist.
    """

    items: tuple[Item, ...]
    absent: tuple[str, ...] = ()

    def find(self, key: str) -> Item | None:
        """Return the current state of a key, or None if it is absent or not given."""
        for item in self.items:
            if item.key == key:
                return item
        return None


class Store(Protocol):
    """Calls to the store; each raises StoreUnavailable or StoreUnknown on failure."""

    async def read(self, key: str) -> Item | None:
        """Return a key, or None if it doesn't exist."""

    async def scan(
        self, prefix: str, *, stale: bool = False, shared: bool = False
    ) -> Listing:
        """Return all keys of a prefix.

        Args:
            prefix: Prefix of the keys.
            stale: Allow a stale but cheaper answer.
            shared: Try a relay of the failure domain first; it compresses long
                answers.
        """

    async def watch(
        self, prefix: str, after: int, options: WatchOptions
    ) -> WatchResult:
        """Return the changes after a revision, or none once the wait is over.

        Raises:
            HistoryLost: The store no longer has these changes.
            ChangesTooLong: The changes exceed the maximum size.
        """

    async def write(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Written | Conflict:
        """Write all keys if all conditions hold, or none."""

    async def grant_lease(self, seconds: float) -> tuple[int, float]:
        """Return a new lease and its duration in seconds, counted from the call."""

    async def renew_lease(self, lease: int) -> bool:
        """Extend a lease by its full duration; return False if it has ended."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys; a lease that has ended is no error."""

    async def probe(self) -> bool:
        """Return whether the store answers on the direct path."""
