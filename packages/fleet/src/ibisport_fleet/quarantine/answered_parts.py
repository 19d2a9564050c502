"""Remembers which prompt parts targets have survived."""

from collections import OrderedDict

MAX_PARTS = 16_384
# Bounds for how long an answer raises the number of crashes that quarantine a part,
# which may crash targets only since new software was released.
LIFETIME_SECONDS = 600.0


class AnsweredParts:
    """When an answer to a prompt with a part last got past its beginning."""

    def __init__(self) -> None:
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    def record(self, part: str, answered_at: float) -> None:
        """Record an answer at a loop time; earlier ones than the known are ignored."""
        known = self._answered_at.get(part)
        if known is None or known < answered_at:
            self._answered_at[part] = answered_at
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > MAX_PARTS:
            self._answered_at.popitem(last=False)

    def find(self, part: str, now: float) -> float | None:
        """Return the loop time of the last answer; None: there was none lately."""
        answered_at = self._answered_at.get(part)
        if answered_at is None or now - answered_at > LIFETIME_SECONDS:
            return None
        return answered_at
