"""Targets that fail in a row are set aside and probed back."""

import random
from dataclasses import dataclass

FAILURES_IN_A_ROW = 3
LEAST_SECONDS = 1.0
MOST_SECONDS = 30.0
PROBE_SECONDS = 5.0
MOST_TARGETS = 20_000


@dataclass(frozen=True, slots=True)
class Healthy:
    """The target is used as any other.

    Attributes:
        failures: Failures since the last success.
    """

    failures: int = 0


@dataclass(frozen=True, slots=True)
class SetAside:
    """The target gets no request until a time.

    Attributes:
        until: Unix time in seconds.
        times: How often in a row it was set aside.
    """

    until: float
    times: int


@dataclass(frozen=True, slots=True)
class Probing:
    """One request is on its way to see whether the target is back.

    Attributes:
        until: Unix time in seconds at which another one may go.
        times: How often in a row it was set aside.
    """

    until: float
    times: int


Health = Healthy | SetAside | Probing


class HealthTable:
    """Health of all targets; the caller holds a lock.

    Args:
        random: Source of the jitter.
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._known: dict[str, Health] = {}

    def is_usable(self, target: str, now: float) -> bool:
        """Tell whether a request may go to the target now."""
        health = self._known.get(target)
        if isinstance(health, SetAside | Probing):
            return now >= health.until
        return True

    def note_chosen(self, target: str, now: float) -> None:
        """Let one request probe a target whose time aside is over."""
        health = self._known.get(target)
        if isinstance(health, SetAside | Probing) and now >= health.until:
            self._known[target] = Probing(now + PROBE_SECONDS, health.times)

    def note_result(self, target: str, ok: bool, now: float) -> None:
        """Learn how a request ended."""
        if ok:
            self._known.pop(target, None)
            return
        if len(self._known) > MOST_TARGETS:
            self._known.clear()
        health = self._known.get(target, Healthy())
        self._known[target] = self._worsen(health, now)

    def _worsen(self, health: Health, now: float) -> Health:
        match health:
            case Healthy(failures) if failures + 1 < FAILURES_IN_A_ROW:
                return Healthy(failures + 1)
            case Probing(_, times):
                return self._set_aside(times + 1, now)
            case SetAside():
                return health
            case _:
                return self._set_aside(1, now)

    def _set_aside(self, times: int, now: float) -> SetAside:
        seconds = min(LEAST_SECONDS * 2.0 ** (times - 1), MOST_SECONDS)
        return SetAside(now + seconds * self._random.uniform(0.75, 1.25), times)
