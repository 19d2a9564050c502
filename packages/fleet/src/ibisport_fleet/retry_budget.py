"""The budget of second sends, shared by all routers, of which each keeps a part."""

from collections import deque

# A share is held back, since windows of several routers don't begin together.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Second sends to one service within a sliding window.

    Attributes:
        window: Length of the window, seconds.
    """

    def __init__(
        self, ratio: float, slack: float, window: float, started: float
    ) -> None:
        """Keep the figures of the whole fleet.

        Args:
            ratio: Second sends allowed for each request.
            slack: Second sends allowed besides, over all routers.
            window: Length of the window, seconds.
            started: Loop time at which the process began. What the one before it
                sent is forgotten, so its part of the slack counts as used up
                until a window has passed.
        """
        self._slack_available_at = started + window
        self.window = window
        self._ratio = ratio
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request for the service."""
        self._requests.append(now)

    def try_acquire(self, now: float, routers: int) -> bool:
        """Take leave for one second send, if there is any.

        Args:
            now: Loop time.
            routers: How many routers share the budget.
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
