"""Decides when a plain request that may run twice is sent to a second target."""

import math
from collections import deque
from dataclasses import dataclass, field

# Answers are compared with those of the last seconds, since the load changes.
MAX_AGE_SECONDS = 30.0
MAX_ANSWERS = 256
# The 95th percentile of fewer answers is hardly more than their maximum.
MIN_ANSWERS = 20
LATE_PERCENTILE = 0.95
LATE_FACTOR = 2.0
MIN_OBJECTIVE_SHARE = 0.5


@dataclass(slots=True)
class AnswerTimes:
    """How long the recent answers of a service took, at this router."""

    _answers: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_ANSWERS)
    )

    def record(self, seconds: float, now: float) -> None:
        """Record the time from a send to the end of its answer.

        An attempt that was given up counts with its time until then.
        """
        self._answers.append((now, seconds))

    def find_late_seconds(self, now: float) -> float | None:
        """Return the time that one answer in twenty exceeds; None: too few answers."""
        recent = sorted(
            seconds for at, seconds in self._answers if now - at <= MAX_AGE_SECONDS
        )
        if len(recent) < MIN_ANSWERS:
            return None
        return recent[math.ceil(LATE_PERCENTILE * len(recent)) - 1]


def compute_hedge_delay(objective: float, late_seconds: float | None) -> float | None:
    """Return how long to wait for an answer before a second target is asked, seconds.

    Args:
        objective: Target for the time to the first byte of an answer, seconds.
        late_seconds: Time that few answers exceed; None: not known.

    Returns:
        The delay; None: no second target is asked.
    """
    if late_seconds is None:
        return None
    return max(LATE_FACTOR * late_seconds, MIN_OBJECTIVE_SHARE * objective)
