"""Tracks store outages, after which missing entries may belong to live targets."""

from ibisport_fleet.targets import RETURN_GRACE_SECONDS

# Leases of entries last 3.6 s and are renewed every 1.2 s, so an outage shorter than
# the difference expires none. A waiting watch may have started 1.5 s earlier.
MIN_OUTAGE_SECONDS = 2.2


class StoreContact:
    """Tracks the store's answers to all calls of this process.

    An entry expires after three missed heartbeats, so only an outage of several
    seconds can remove a live target's entry. A watch whose connection broke or whose
    history was compacted isn't an outage: entries missing afterwards are deleted.

    Attributes:
        doubtful_until: Loop time until which missing entries may reappear. Set once
            when an outage ends, so that a target that leaves soon afterwards isn't
            retained any longer.
    """

    def __init__(self, now: float) -> None:
        self.doubtful_until = now
        self._last_answer = now

    def record_answer(self, now: float) -> float:
        """Record an answer and return the seconds since the previous answer."""
        elapsed_seconds = now - self._last_answer
        self._last_answer = now
        if elapsed_seconds >= MIN_OUTAGE_SECONDS:
            self.doubtful_until = now + RETURN_GRACE_SECONDS
        return elapsed_seconds
