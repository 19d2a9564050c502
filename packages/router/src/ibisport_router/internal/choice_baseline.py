"""Plain ways to choose with the chooser's interface, to measure it against."""

import itertools
import random
from collections.abc import Sequence

from ibisport_router.internal.choice_candidate import Candidate, is_available


class RoundRobinChooser:
    """Each target in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def rank(
        self, candidates: Sequence[Candidate], affinity: bytes | None, now: float
    ) -> list[str]:
        """Return the available targets, the next one first."""
        names = [one.target for one in candidates if is_available(one)]
        if not names:
            return []
        place = next(self._turns) % len(names)
        return names[place:] + names[:place]

    def note_result(self, target: str, ok: bool, seconds: float) -> None:
        """Learn nothing."""


class RandomChooser:
    """Any target, all alike.

    Args:
        random: Source of the choices.
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random

    def rank(
        self, candidates: Sequence[Candidate], affinity: bytes | None, now: float
    ) -> list[str]:
        """Return the available targets, shuffled."""
        names = [one.target for one in candidates if is_available(one)]
        self._random.shuffle(names)
        return names

    def note_result(self, target: str, ok: bool, seconds: float) -> None:
        """Learn nothing."""


class LeastReportedChooser:
    """The target with the least load in its last report, ties by chance.

    Args:
        random: Source of the tie-breaks.
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random

    def rank(
        self, candidates: Sequence[Candidate], affinity: bytes | None, now: float
    ) -> list[str]:
        """Return the available targets, the least loaded first."""
        usable = [one for one in candidates if is_available(one)]
        self._random.shuffle(usable)
        usable.sort(key=_read_load)
        return [one.target for one in usable]

    def note_result(self, target: str, ok: bool, seconds: float) -> None:
        """Learn nothing."""


def _read_load(candidate: Candidate) -> float:
    return (candidate.running + candidate.queued) / max(candidate.slots, 1)
