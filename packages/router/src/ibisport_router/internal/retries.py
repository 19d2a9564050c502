"""Whether a failed request is sent again: when safe, in time and in budget."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from ibisport_core.errors import (
    OutcomeUnknown,
    Overloaded,
    Refusal,
    Statement,
    TargetDraining,
    TargetFailed,
    TargetUnavailable,
)

RETRIED = (
    OutcomeUnknown,
    Overloaded,
    TargetDraining,
    TargetFailed,
    TargetUnavailable,
)


@dataclass(frozen=True, slots=True)
class Retry:
    """Send the request to the next target.

    Attributes:
        earliest: Unix time in seconds before which it is not sent.
    """

    earliest: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with the failure.

    Attributes:
        failure: What the caller is told.
    """

    failure: Refusal


@dataclass(frozen=True, slots=True)
class RetryOptions:
    """Constants of the retries.

    Attributes:
        share: Retries that each request earns.
        per_second: Retries earned a second.
        burst: Most retries that are saved up.
        most_attempts: Attempts of one request, the first one included.
        least_backoff: Bound in seconds of the first back-off; it doubles.
        most_backoff: Bound in seconds of any back-off.
    """

    share: float = 0.1
    per_second: float = 3
    burst: float = 10
    most_attempts: int = 4
    least_backoff: float = 0.02
    most_backoff: float = 1


class RetryBudget:
    """A token bucket of retries; safe for threads.

    Keep one for each workspace, so that the failures of one workspace do not
    use up the retries of another.

    Args:
        random: Source of the jitter.
        clock: Unix time in seconds.
        options: Constants.
    """

    def __init__(
        self,
        random: random.Random,
        clock: Callable[[], float] = time.time,
        options: RetryOptions | None = None,
    ) -> None:
        self._random = random
        self._options = options or RetryOptions()
        self._lock = threading.Lock()
        self._saved = self._options.burst
        self._filled_at = clock()
        self._clock = clock

    def note_request(self) -> None:
        """Let a new request earn its share of a retry."""
        with self._lock:
            self._fill(self._clock(), self._options.share)

    def decide_retry(
        self,
        failure: Refusal,
        idempotent: bool,
        deadline: float,
        attempt: int,
        now: float,
    ) -> Retry | GiveUp:
        """Decide what follows a failed attempt.

        Args:
            failure: How the attempt ended.
            idempotent: Whether the request may run more than once.
            deadline: Unix time in seconds of the caller.
            attempt: Number of the failed attempt, from one.
            now: Unix time in seconds.

        Returns:
            ``Retry`` only where it provably did not run or is idempotent,
            another target may help, the deadline is not passed and the budget
            allows it. A draining target costs no budget: its refusal is cheap,
            and a rolling replacement must not break answers.
        """
        if not _may_repeat(failure, idempotent):
            return GiveUp(failure)
        if attempt >= self._options.most_attempts:
            return GiveUp(failure)
        earliest = now + self._draw_backoff(failure, attempt)
        if earliest >= deadline or not self._take(failure, now):
            return GiveUp(failure)
        return Retry(earliest)

    def _draw_backoff(self, failure: Refusal, attempt: int) -> float:
        if isinstance(failure, TargetDraining):
            return 0
        bound = self._options.least_backoff * 2.0 ** (attempt - 1)
        bound = min(bound, self._options.most_backoff)
        with self._lock:
            return self._random.uniform(0, bound)

    def _take(self, failure: Refusal, now: float) -> bool:
        if isinstance(failure, TargetDraining):
            return True
        with self._lock:
            self._fill(now, 0)
            if self._saved < 1:
                return False
            self._saved -= 1
            return True

    def _fill(self, now: float, earned: float) -> None:
        elapsed = max(now - self._filled_at, 0)
        self._filled_at = max(now, self._filled_at)
        saved = self._saved + earned + elapsed * self._options.per_second
        self._saved = min(saved, self._options.burst)


def _may_repeat(failure: Refusal, idempotent: bool) -> bool:
    if not isinstance(failure, RETRIED):
        return False
    return idempotent or failure.statement is Statement.did_not_run
