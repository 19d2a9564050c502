"""Decides which requests are not sent any more: targets end under them.

A target that ends breaks every request that runs there, and the one that caused it
looks like the others. What tells it apart is that targets end wherever it runs, and
that it never gets an answer.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

# Different targets that end under a request before it is quarantined.
MOST_ENDS = 3
MOST_SUSPECTS = 4_096
SUSPECT_SECONDS = 600.0
MOST_QUARANTINED = 512
QUARANTINE_SECONDS = 86_400.0


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """A target ended while requests ran there.

    Attributes:
        target: Its incarnation.
        digests: The requests, as ``Call.digest`` names them.
    """

    target: str
    digests: tuple[str, ...]


@dataclass(slots=True)
class _Suspect:
    """A request under which targets ended, and that got no answer since.

    Attributes:
        targets: Incarnations that ended.
        until: Wall-clock time at which it is forgotten, seconds.
    """

    targets: set[str] = field(default_factory=set)
    until: float = 0.0


class Quarantine:
    """Requests under which targets ended, by digest."""

    def __init__(self, read_clock: Callable[[], float]) -> None:
        """Begin with nothing.

        Args:
            read_clock: Returns the time of day, seconds.
        """
        self._read_clock = read_clock
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        # Wall-clock times at which they end.
        self._until: dict[str, float] = {}

    @property
    def suspects(self) -> int:
        """How many requests are watched."""
        return len(self._suspects)

    @property
    def entries(self) -> Mapping[str, float]:
        """Wall-clock times, in seconds, until which requests are quarantined."""
        return self._until

    def find_pause(self, digest: str) -> float | None:
        """Return for how many seconds a request is quarantined; None: it isn't."""
        until = self._until.get(digest)
        if until is None:
            return None
        left = until - self._read_clock()
        return left if left > 0 else None

    def take_end(self, end: TargetEnd) -> list[str]:
        """Count the end of a target; return the requests that are now quarantined."""
        now = self._read_clock()
        return [digest for digest in end.digests if self._count(digest, end, now)]

    def note_answer(self, digest: str) -> bool:
        """Note that a request got a whole answer; return whether it was suspected."""
        suspected = self._suspects.pop(digest, None) is not None
        quarantined = self._until.pop(digest, None) is not None
        return suspected or quarantined

    def put(self, digest: str, until: float) -> None:
        """Quarantine a request until a wall-clock time."""
        self._suspects.pop(digest, None)
        self._until[digest] = until
        while len(self._until) > MOST_QUARANTINED:
            self._until.pop(min(self._until, key=self._until.__getitem__))

    def lift(self, digest: str) -> None:
        """Let a request be sent again."""
        self._until.pop(digest, None)

    def _count(self, digest: str, end: TargetEnd, now: float) -> bool:
        if self.find_pause(digest) is not None:
            return False
        suspect = self._suspects.pop(digest, None)
        if suspect is None or suspect.until < now:
            suspect = _Suspect()
        suspect.targets.add(end.target)
        suspect.until = now + SUSPECT_SECONDS
        self._suspects[digest] = suspect
        if len(self._suspects) > MOST_SUSPECTS:
            self._suspects.popitem(last=False)
        if len(suspect.targets) < MOST_ENDS:
            return False
        self.put(digest, now + QUARANTINE_SECONDS)
        return True
