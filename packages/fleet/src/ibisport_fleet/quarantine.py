"""Decides which requests are not sent any more: targets end under them.

A target that ends breaks every request that runs there, and the one that caused it
looks like the others. What tells it apart is that targets end wherever it runs, and
that it never gets an answer.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

# Different targets that end under a request before it is quarantined.
CRASH_THRESHOLD = 3
MAX_SUSPECTS = 4_096
SUSPECT_SECONDS = 600.0
MAX_QUARANTINED = 512
QUARANTINE_SECONDS = 86_400.0


@dataclass(frozen=True, slots=True)
class TargetCrash:
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

    crashed_targets: set[str] = field(default_factory=set)
    expires_at: float = 0.0


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
        self._quarantined_until: dict[str, float] = {}

    @property
    def suspects(self) -> int:
        """How many requests are watched."""
        return len(self._suspects)

    @property
    def entries(self) -> Mapping[str, float]:
        """Wall-clock times, in seconds, until which requests are quarantined."""
        return self._quarantined_until

    def find_remaining_seconds(self, digest: str) -> float | None:
        """Return for how many seconds a request is quarantined; None: it isn't."""
        until = self._quarantined_until.get(digest)
        if until is None:
            return None
        left = until - self._read_clock()
        return left if left > 0 else None

    def record_crash(self, end: TargetCrash) -> list[str]:
        """Count the end of a target; return the requests that are now quarantined."""
        now = self._read_clock()
        return [digest for digest in end.digests if self._count_crash(digest, end, now)]

    def record_answer(self, digest: str) -> bool:
        """Note that a request got a whole answer; return whether it was suspected."""
        suspected = self._suspects.pop(digest, None) is not None
        quarantined = self._quarantined_until.pop(digest, None) is not None
        return suspected or quarantined

    def put(self, digest: str, until: float) -> None:
        """Quarantine a request until a wall-clock time."""
        self._suspects.pop(digest, None)
        self._quarantined_until[digest] = until
        while len(self._quarantined_until) > MAX_QUARANTINED:
            self._quarantined_until.pop(
                min(self._quarantined_until, key=self._quarantined_until.__getitem__)
            )

    def lift(self, digest: str) -> None:
        """Let a request be sent again."""
        self._quarantined_until.pop(digest, None)

    def _count_crash(self, digest: str, end: TargetCrash, now: float) -> bool:
        if self.find_remaining_seconds(digest) is not None:
            return False
        suspect = self._suspects.pop(digest, None)
        if suspect is None or suspect.expires_at < now:
            suspect = _Suspect()
        suspect.crashed_targets.add(end.target)
        suspect.expires_at = now + SUSPECT_SECONDS
        self._suspects[digest] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        if len(suspect.crashed_targets) < CRASH_THRESHOLD:
            return False
        self.put(digest, now + QUARANTINE_SECONDS)
        return True
