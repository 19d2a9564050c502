"""Decides which requests are no longer sent because they crash targets.

A crash breaks all requests that run at the target, and doesn't show which of them
caused it. That request is identified over several crashes: every target that runs it
crashes, and it never gets an answer.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

# Different targets that crash while they run a request before it is quarantined.
CRASH_THRESHOLD = 3
MAX_SUSPECTS = 4_096
SUSPECT_SECONDS = 600.0
MAX_QUARANTINED = 512
QUARANTINE_SECONDS = 86_400.0


@dataclass(frozen=True, slots=True)
class TargetCrash:
    """Message to other routers: a target crashed while it ran requests.

    Attributes:
        target: The target's incarnation.
        digests: ``Call.digest`` of each request.
    """

    target: str
    digests: tuple[str, ...]


@dataclass(slots=True)
class _Suspect:
    """A request that ran on targets that crashed, without an answer since then.

    Attributes:
        crashed_targets: Incarnations of these targets.
        expires_at: Wall-clock time from which the crashes count no longer, seconds.
    """

    crashed_targets: set[str] = field(default_factory=set)
    expires_at: float = 0.0


class Quarantine:
    """Suspected and quarantined requests, by digest."""

    def __init__(self, read_clock: Callable[[], float]) -> None:
        """Create an empty quarantine.

        Args:
            read_clock: Returns the wall-clock time, seconds.
        """
        self._read_clock = read_clock
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        # Wall-clock times by digest.
        self._quarantined_until: dict[str, float] = {}

    @property
    def suspects(self) -> int:
        """Number of suspected requests."""
        return len(self._suspects)

    @property
    def entries(self) -> Mapping[str, float]:
        """Wall-clock times, in seconds, until which requests are quarantined."""
        return self._quarantined_until

    def find_remaining_seconds(self, digest: str) -> float | None:
        """Return how long a request stays quarantined; None: it isn't quarantined."""
        until = self._quarantined_until.get(digest)
        if until is None:
            return None
        remaining = until - self._read_clock()
        return remaining if remaining > 0 else None

    def record_crash(self, crash: TargetCrash) -> list[str]:
        """Count a target's crash; return the requests that it quarantines."""
        now = self._read_clock()
        return [
            digest for digest in crash.digests if self._count_crash(digest, crash, now)
        ]

    def record_answer(self, digest: str) -> bool:
        """Clear a request that got a complete answer.

        Returns:
            Whether the request was suspected or quarantined.
        """
        suspected = self._suspects.pop(digest, None) is not None
        quarantined = self._quarantined_until.pop(digest, None) is not None
        return suspected or quarantined

    def put(self, digest: str, until: float) -> None:
        """Quarantine a request until a wall-clock time in seconds.

        Beyond ``MAX_QUARANTINED`` requests, those that end earliest are dropped.
        """
        self._suspects.pop(digest, None)
        self._quarantined_until[digest] = until
        while len(self._quarantined_until) > MAX_QUARANTINED:
            self._quarantined_until.pop(
                min(self._quarantined_until, key=self._quarantined_until.__getitem__)
            )

    def lift(self, digest: str) -> None:
        """Allow a request to be sent again."""
        self._quarantined_until.pop(digest, None)

    def _count_crash(self, digest: str, crash: TargetCrash, now: float) -> bool:
        """Count a crash for one request; return whether it is now quarantined."""
        if self.find_remaining_seconds(digest) is not None:
            return False
        suspect = self._suspects.pop(digest, None)
        if suspect is None or suspect.expires_at < now:
            suspect = _Suspect()
        suspect.crashed_targets.add(crash.target)
        suspect.expires_at = now + SUSPECT_SECONDS
        self._suspects[digest] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        if len(suspect.crashed_targets) < CRASH_THRESHOLD:
            return False
        self.put(digest, now + QUARANTINE_SECONDS)
        return True
