"""When the store answered, and what its outages mean for entries that are missing."""

from ibisport_fleet.targets import RETURN_GRACE_SECONDS

# Entries live for 3.6 s and are renewed every 1.2 s: an outage shorter than the
# difference makes none lapse. A watch that waits may have begun 1.5 s before.
MIN_OUTAGE_SECONDS = 2.2


class StoreContact:
    """The store's answers to all calls of this process.

    An entry lapses after three heartbeats, so only an outage of some seconds can
    make a living target's entry go. A watch that was merely cut, or whose history
    was dropped, is no outage: what is missing then is gone.

    Attributes:
        doubtful_until: Loop time until which missing entries may come back. It is
            set once when an outage ends, so that a target that leaves soon after
            isn't kept any longer.
    """

    def __init__(self, now: float) -> None:
        self.doubtful_until = now
        self._last_answer = now

    def record_answer(self, now: float) -> float:
        """Note an answer; return the seconds since the one before."""
        away = now - self._last_answer
        self._last_answer = now
        if away >= MIN_OUTAGE_SECONDS:
            self.doubtful_until = now + RETURN_GRACE_SECONDS
        return away
