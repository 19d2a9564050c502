"""Which targets hold which prompt prefix, by late and gappy cache events."""

from collections import OrderedDict
from collections.abc import Iterable

MOST_PREFIXES = 8192
MOST_HOLDERS = 8


class CacheTable:
    """A bounded hint: the prefixes noted last and the targets holding them."""

    def __init__(self) -> None:
        self._holders: OrderedDict[bytes, tuple[str, ...]] = OrderedDict()

    def note(self, target: str, prefixes: Iterable[bytes], held: bool) -> None:
        """Learn that a target holds prefixes, or no longer does."""
        for prefix in prefixes:
            others = self._holders.pop(prefix, ())
            kept = tuple(other for other in others if other != target)
            if held:
                kept = (target, *kept)[:MOST_HOLDERS]
            if kept:
                self._holders[prefix] = kept
        while len(self._holders) > MOST_PREFIXES:
            self._holders.popitem(last=False)

    def find(self, prefix: bytes) -> tuple[str, ...]:
        """Return the targets that seem to hold the prefix."""
        return self._holders.get(prefix, ())
