"""Remembers which requests ran at targets that crashed."""

from collections import OrderedDict
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from ibisport_fleet.quarantine.keys import is_part

MAX_CRASHES = 1_024
MAX_SUSPECTS = 4_096
SUSPECT_SECONDS = 600.0
NO_TARGETS: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class TargetCrash:
    """Message to other routers: a target crashed while it ran requests.

    Attributes:
        target: The target's incarnation.
        digests: ``Call.digest`` of each request.
        parts: ``Call.shared_parts`` by digest, of the requests whose answers had at
            most begun.
    """

    target: str
    digests: tuple[str, ...]
    parts: dict[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Evidence:
    """The crashes under requests that have a key in common.

    Attributes:
        targets: Incarnations of the targets that crashed.
        requests: Digests of the requests that ran there.
        first_at: Loop time of the first crash; 0 without crashes.
        last_at: Loop time of the last crash; 0 without crashes.
    """

    targets: frozenset[str]
    requests: frozenset[str]
    first_at: float
    last_at: float


@dataclass(slots=True)
class _Crash:
    """A crash, as all reports together describe it.

    Attributes:
        at: Loop time of the first report.
        digests: The requests that ran.
        digests_by_part: Requests that ran and contain a part.
    """

    at: float
    digests: set[str] = field(default_factory=set)
    digests_by_part: dict[str, set[str]] = field(default_factory=dict)


class CrashHistory:
    """The latest crashes, with an index by key."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._targets_by_key: dict[str, set[str]] = {}

    @property
    def suspects(self) -> int:
        """Number of keys that any crash speaks against."""
        return len(self._targets_by_key)

    def record(self, report: TargetCrash, now: float) -> frozenset[str]:
        """Add a report, and return its keys."""
        self._drop_old(now)
        crash = self._crashes.setdefault(report.target, _Crash(now))
        keys = set(report.digests)
        crash.digests.update(report.digests)
        for digest, parts in report.parts.items():
            for part in parts:
                crash.digests_by_part.setdefault(part, set()).add(digest)
            keys.update(parts)
        for key in keys:
            self._targets_by_key.setdefault(key, set()).add(report.target)
        while len(self._crashes) > MAX_CRASHES or self.suspects > MAX_SUSPECTS:
            self._drop_oldest()
        return frozenset(keys)

    def gather(
        self,
        key: str,
        since: float | None = None,
        explained: AbstractSet[str] = NO_TARGETS,
    ) -> Evidence:
        """Return what speaks against a key.

        Args:
            key: The key.
            since: Loop time; crashes until then don't count. None: all count.
            explained: Targets whose crashes don't count.
        """
        crashes = {
            target: self._crashes[target]
            for target in self._targets_by_key.get(key, ())
            if target not in explained
            and (since is None or self._crashes[target].at > since)
        }
        times = [crash.at for crash in crashes.values()]
        requests = {key}
        if is_part(key):
            requests = set().union(
                *(crash.digests_by_part.get(key, ()) for crash in crashes.values())
            )
        return Evidence(
            frozenset(crashes),
            frozenset(requests),
            min(times, default=0.0),
            max(times, default=0.0),
        )

    def list_related_keys(self, key: str) -> set[str]:
        """Return all keys that any crash has in common with a key, and the key."""
        related = {key}
        for target in self._targets_by_key.get(key, ()):
            related |= self._list_keys(self._crashes[target])
        return related

    def forget(self, key: str) -> bool:
        """Drop all that speaks against a key; return whether anything did."""
        targets = self._targets_by_key.pop(key, ())
        for target in targets:
            crash = self._crashes[target]
            crash.digests.discard(key)
            crash.digests_by_part.pop(key, None)
        return bool(targets)

    def _drop_old(self, now: float) -> None:
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            if now - oldest.at <= SUSPECT_SECONDS:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        target, crash = self._crashes.popitem(last=False)
        for key in self._list_keys(crash):
            targets = self._targets_by_key[key]
            targets.discard(target)
            if not targets:
                self._targets_by_key.pop(key)

    def _list_keys(self, crash: _Crash) -> set[str]:
        return crash.digests | crash.digests_by_part.keys()
