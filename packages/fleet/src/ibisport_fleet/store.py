"""What the fleet needs of a key-value service; adapters speak its protocol."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Item:
    """One key as it was last written."""

    key: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """One key that is gone since a revision."""

    key: str
    revision: int


Change = Item | Removal


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys of a prefix; ``revision`` is from where a watch goes on."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchResult:
    """What a watch brought, in order; empty if its wait ran out."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchOptions:
    """How a watch is asked for.

    Attributes:
        wait: Longest wait for a change, seconds.
        most_bytes: Longest changes that are worth their way; 0 is without a bound.
        shared: A relay that watches for several routers is asked first.
        on_bytes: Is called as bytes of the answer come, if set.
    """

    wait: float
    max_bytes: int = 0
    shared: bool = False
    on_bytes: Callable[[], None] | None = None


@dataclass(frozen=True, slots=True)
class Condition:
    """A write happens only if a key has this revision; 0: there is no such key."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """One key to be written; it goes with its lease, unless that is 0."""

    key: str
    content: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Written:
    """A write happened."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A write didn't happen.

    Attributes:
        items: The conditions' keys as they are now.
        absent: Those of them that don't exist now.
    """

    items: tuple[Item, ...]
    absent: tuple[str, ...] = ()

    def find(self, key: str) -> Item | None:
        """Return a key as it is now, or None if it is absent or isn't told."""
        for item in self.items:
            if item.key == key:
                return item
        return None


class Store(Protocol):
    """The calls. Each raises StoreUnavailable or StoreUnknown when it fails."""

    async def read(self, key: str) -> Item | None:
        """Return one key, or None if there is none."""

    async def scan(
        self, prefix: str, *, stale: bool = False, shared: bool = False
    ) -> Listing:
        """Return all keys of a prefix.

        Args:
            prefix: What the keys begin with.
            stale: It may be old, and is cheap.
            shared: A relay of the domain, which codes long answers, is asked first.
        """

    async def watch(self, prefix: str, after: int, terms: WatchOptions) -> WatchResult:
        """Return what changed after a revision, or nothing once the wait is over.

        Raises:
            HistoryLost: The service no longer has these changes.
            ChangesTooLong: The changes are longer.
        """

    async def write(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Written | Conflict:
        """Write all keys if all conditions hold, or none."""

    async def grant_lease(self, seconds: float) -> tuple[int, float]:
        """Return a new lease and how long it lasts, counted from the call."""

    async def renew_lease(self, lease: int) -> bool:
        """Let a lease last as long again; False if it has ended."""

    async def end_lease(self, lease: int) -> None:
        """End a lease, and with it its keys; one that has ended is no failure."""

    async def probe(self) -> bool:
        """Whether the service answers on the straight way."""
