"""Measured rates of a queue: decayed sums and moving means."""

import math

# Mean absolute errors above the mean: all of a uniform spread.
MAX_MEAN_ERRORS = 2


class DecayedSum:
    """A sum whose terms fade with a time constant.

    Args:
        seconds: Time constant.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._amount = 0.0
        self._counted_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a Unix time in seconds."""
        self._amount = self.read(now) + amount
        self._counted_at = now

    def read(self, now: float) -> float:
        """Return the faded sum."""
        age = max(now - self._counted_at, 0)
        return self._amount * math.exp(-age / self._seconds)

    def rate(self, now: float) -> float:
        """Return the amount a second over about the time constant."""
        return self.read(now) / self._seconds


class MovingMean:
    """A mean in which a new sample has at least a fixed weight."""

    def __init__(self, weight: float, initial: float = 0) -> None:
        self.mean = initial
        self.samples = 0
        self._weight = weight

    def add(self, sample: float) -> None:
        """Take in one sample."""
        self.samples += 1
        share = max(self._weight, 1 / self.samples)
        self.mean += (sample - self.mean) * share


class ServiceRate:
    """Speed of one slot and the time that a request holds it."""

    def __init__(self, weight: float = 0.02) -> None:
        self._tokens = MovingMean(weight)
        self._seconds = MovingMean(weight)
        self._error = MovingMean(weight)

    def add(self, used_tokens: int, seconds: float) -> None:
        """Take in one request that ended."""
        if used_tokens > 0 and seconds > 0:
            self._error.add(abs(seconds - self.hold_seconds))
            self._tokens.add(used_tokens)
            self._seconds.add(seconds)

    @property
    def tokens_per_second(self) -> float:
        """Tokens a second of one slot; zero while unknown."""
        if self._seconds.mean <= 0:
            return 0
        return self._tokens.mean / self._seconds.mean

    @property
    def hold_seconds(self) -> float:
        """Mean time a request holds its slot; zero while unknown."""
        return self._seconds.mean

    @property
    def request_tokens(self) -> float:
        """Mean tokens a request uses; zero while unknown."""
        return self._tokens.mean

    def predict_max_seconds(self, tokens: float) -> float:
        """Return the seconds that so many tokens hardly ever exceed."""
        speed = self.tokens_per_second
        if speed <= 0:
            return 0
        return tokens / speed + MAX_MEAN_ERRORS * self._error.mean
