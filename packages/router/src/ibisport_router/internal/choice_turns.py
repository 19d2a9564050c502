"""When this router last chose each target by load."""

import random

from ibisport_router.internal.choice_candidate import Candidate

MOST_TARGETS = 20_000


class TurnTable:
    """The order in which targets were chosen; the caller holds a lock.

    Args:
        random: Gives targets that were never chosen an order of their own.
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._count = 0
        self._turns: dict[str, float] = {}

    def read(self, candidate: Candidate) -> float:
        """Return a number that is lower the longer ago it was chosen."""
        turn = self._turns.get(candidate.target)
        if turn is None:
            if len(self._turns) >= MOST_TARGETS:
                self._turns.clear()
            turn = self._turns[candidate.target] = -self._random.random()
        return turn

    def note(self, candidate: Candidate) -> None:
        """Remember that the target was chosen now."""
        self._count += 1
        self._turns[candidate.target] = self._count
