"""Applies the quarantine to one request."""

import math

from ibisport_fleet.calls import Call
from ibisport_fleet.quarantine.fatal_requests import FatalRequests
from ibisport_fleet.quarantine.keys import REASON_QUARANTINED
from ibisport_fleet.target_selection import TargetSelector
from ibisport_fleet.targets import TargetEntry

# A target that a prompt crashes does so as it begins to answer. An answer that goes on
# for this long after its first event is past that.
BEGINNING_SECONDS = 0.5


class RequestGuard:
    """Refuses a request that is quarantined, and records what becomes of its sends."""

    def __init__(
        self, fatal_requests: FatalRequests, selector: TargetSelector, call: Call
    ) -> None:
        self._fatal_requests = fatal_requests
        self._selector = selector
        self._call = call
        # Loop time of the first event of the present attempt.
        self._begun_at = math.inf
        # Whether the answer of the present attempt got past its beginning.
        self._survived = False

    def check(self) -> None:
        """Refuse a request that crashes targets.

        Raises:
            RequestFailed: The request is quarantined to protect other targets.
        """
        self._refuse(self._fatal_requests.find_remaining_seconds(self._call))

    def begin_send(self) -> None:
        """Refuse a request that was quarantined while it waited, or begin an attempt.

        Raises:
            RequestFailed: The request is quarantined to protect other targets.
        """
        self._refuse(self._fatal_requests.begin_send(self._call))
        self._begun_at = math.inf
        self._survived = False

    def record_events(self, now: float) -> None:
        """Record that events of the answer arrived at a loop time."""
        self._begun_at = min(self._begun_at, now)
        if now - self._begun_at >= BEGINNING_SECONDS and not self._survived:
            self._survived = True
            self._fatal_requests.record_survival(self._call)

    def record_break(self, entry: TargetEntry) -> None:
        """Record that the connection to a target broke before the answer's end."""
        self._fatal_requests.record_break(entry, self._call, survived=self._survived)

    def record_answer(self, *, failed: bool = False) -> None:
        """Record a complete answer, which may be a failure."""
        self._fatal_requests.record_answer(self._call, failed=failed)

    def _refuse(self, retry_after: float | None) -> None:
        if retry_after is not None:
            raise self._selector.build_failure(REASON_QUARANTINED, retry_after)
