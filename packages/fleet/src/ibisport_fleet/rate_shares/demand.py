"""Measures how many requests a router would send to targets with a rate limit."""

import math

# Time constant of the average: long enough for shares of one request in some seconds,
# short enough to follow callers that move to another router.
AVERAGING_SECONDS = 2.0


class Demand:
    """Decaying average of requests to limited targets, sent or refused."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0

    def record_request(self, now: float) -> None:
        """Count a request, sent or refused, at a loop time."""
        self._rate = self.compute_rate(now) + 1 / AVERAGING_SECONDS
        self._updated_at = now

    def compute_rate(self, now: float) -> float:
        """Return the requests per second at a loop time."""
        return self._rate * math.exp((self._updated_at - now) / AVERAGING_SECONDS)
