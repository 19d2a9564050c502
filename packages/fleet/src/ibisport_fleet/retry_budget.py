"""The retry budget of the fleet, of which each router enforces its share."""

from collections import deque

# Keeps part of the budget in reserve, since the windows of routers aren't aligned.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Limits the retries to one service within a sliding window.

    Attributes:
        window: Length of the window, seconds.
    """

    def __init__(
        self, ratio: float, slack: float, window: float, started_at: float
    ) -> None:
        """Create an empty budget with the settings of the whole fleet.

        Args:
            ratio: Retries allowed per request.
            slack: Retries allowed in addition, over all routers.
            window: Length of the window, seconds.
            started_at: Loop time at which the process started. The retries of the
                previous process aren't known, so this router's share of the slack
                counts as used up until a window has passed.
        """
        self._slack_available_at = started_at + window
        self.window = window
        self._ratio = ratio
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request to the service."""
        self._requests.append(now)

    def try_acquire(self, now: float, routers: int) -> bool:
        """Take one retry from the budget; return whether the budget allows it.

        Args:
            now: Loop time.
            routers: Number of routers that share the budget.
        """
        self._trim(now)
        earned = self._ratio * len(self._requests) * SAFETY_FACTOR
        slack = self._slack * SAFETY_FACTOR / max(1, routers)
        allowed = earned + (slack if now >= self._slack_available_at else 0)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self.window:
                times.popleft()
