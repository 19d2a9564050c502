"""Decides when a router leaves the balancer's rotation, and when it returns."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from ibisport_fleet.admission import REASON_NO_CATALOGUE, Refused
from ibisport_fleet.budgets import TokensUnavailable

# Requests and refusals are counted over this time. At the rate of a loaded router it
# holds enough requests for a decision before the balancer's second check.
WINDOW_SECONDS = 1.5
# Fewer requests may be one caller that retries.
MIN_REQUESTS = 12
MIN_REFUSED_FRACTION = 0.5
# The router returns after this time without contact too, in case its own attempts fail
# although requests could be served.
MAX_SECONDS = 3.0
# A standby that begins within this time after the last one may take twice as long.
REPEAT_SECONDS = 10.0
MAX_REPEATED_SECONDS = 12.0
# Own attempts to reach a lender or the store while on standby.
ATTEMPT_INTERVAL_SECONDS = 0.25
# A regained contact is noticed up to an attempt interval and a connection timeout
# later, 0.3 s in practice. Eight times that between two standbys keeps a router whose
# contact flaps in rotation for more than seven eighths of the time it has contact.
MIN_ROTATION_SECONDS = 2.5


class Cause(Enum):
    """Why this router refuses requests that other routers may serve.

    Attributes:
        no_contact: It has no tokens, and neither a lender nor the store answers.
        no_catalogue: It has no catalogue yet.
    """

    no_contact = 'no_contact'
    no_catalogue = 'no_catalogue'


@dataclass(frozen=True, slots=True)
class Begun:
    """A standby that begins.

    Attributes:
        cause: Why requests were refused.
        refused: Refusals for that cause in the window.
        requests: Requests that arrived in the window.
    """

    cause: Cause
    refused: int
    requests: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A standby that ends.

    Attributes:
        cause: Why it began.
        seconds: How long it took.
        regained: Whether the cause is gone; otherwise the time was over.
    """

    cause: Cause
    seconds: float
    regained: bool


Transition = Begun | Ended


def find_local_cause(error: Exception) -> Cause | None:
    """Return why a request was refused if other routers may serve it, or None.

    A spent budget, a full service and failing targets are the same at all routers.
    """
    match error:
        case TokensUnavailable(out_of_contact=True, retry_after=float()):
            return Cause.no_contact
        case Refused(reason=reason) if reason == REASON_NO_CATALOGUE:
            return Cause.no_catalogue
        case _:
            return None


class StandbyPolicy:
    """Counts requests and local refusals; all times are loop times.

    Attributes:
        until: End of the standby at the latest, or None while in rotation.
        cause: Cause of the standby, or None while in rotation.
    """

    def __init__(self) -> None:
        self.until: float | None = None
        self.cause: Cause | None = None
        self._requests: deque[float] = deque()
        self._refused: dict[Cause, deque[float]] = {cause: deque() for cause in Cause}
        self._begun_at = 0.0
        self._ended_at = float('-inf')
        self._max_seconds = MAX_SECONDS
        self._rotates_until = 0.0

    def record_request(self, now: float) -> None:
        """Count a request that arrived."""
        if self.until is None:
            self._requests.append(now)
            _drop_before(self._requests, now - WINDOW_SECONDS)

    def record_refusal(self, cause: Cause, now: float) -> Begun | None:
        """Count a refusal for a local cause; return a standby that begins with it."""
        if self.until is not None:
            return None
        self._refused[cause].append(now)
        return self._begin_if_due(cause, now)

    def record_contact(self, cause: Cause, now: float) -> Ended | None:
        """Record that a cause isn't present; return a standby that ends with it."""
        self._refused[cause].clear()
        if self.cause is not cause:
            return None
        self._rotates_until = now + MIN_ROTATION_SECONDS
        return self._end(cause, now, regained=True)

    def end_if_due(self, now: float) -> Ended | None:
        """End a standby whose time is over."""
        if self.cause is None or self.until is None or now < self.until:
            return None
        return self._end(self.cause, now, regained=False)

    def _begin_if_due(self, cause: Cause, now: float) -> Begun | None:
        refused = self._refused[cause]
        for counted in (self._requests, refused):
            _drop_before(counted, now - WINDOW_SECONDS)
        requests = len(self._requests)
        if (
            now < self._rotates_until
            or requests < MIN_REQUESTS
            or len(refused) <= requests * MIN_REFUSED_FRACTION
        ):
            return None
        repeated = now - self._ended_at < REPEAT_SECONDS
        self._max_seconds = (
            min(2 * self._max_seconds, MAX_REPEATED_SECONDS)
            if repeated
            else MAX_SECONDS
        )
        begun = Begun(cause, len(refused), requests)
        self.cause = cause
        self.until = now + self._max_seconds
        self._begun_at = now
        self._clear()
        return begun

    def _end(self, cause: Cause, now: float, *, regained: bool) -> Ended:
        self.cause = self.until = None
        self._ended_at = now
        self._clear()
        return Ended(cause, now - self._begun_at, regained)

    def _clear(self) -> None:
        self._requests.clear()
        for refused in self._refused.values():
            refused.clear()


def _drop_before(times: deque[float], start: float) -> None:
    while times and times[0] < start:
        times.popleft()
