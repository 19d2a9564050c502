"""Measured rates of a queue: decayed sums and moving means."""

import math

# Mean absolute errors added to the mean; two reach the end of a uniform
# distribution.
MAX_MEAN_ERRORS = 2


class DecayedSum:
    """A sum whose terms decay exponentially.

    Args:
        seconds: Time constant of the decay.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._amount = 0.0
        self._counted_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount; ``now`` is the Unix time in seconds."""
        self._amount = self.read(now) + amount
        self._counted_at = now

    def read(self, now: float) -> float:
        """Return the decayed sum."""
        age = max(now - self._counted_at, 0)
        return self._amount * math.exp(-age / self._seconds)

    def rate(self, now: float) -> float:
        """Return the amount per second over about one time constant."""
        return self.read(now) / self._seconds


class MovingMean:
    """A moving mean in which each new sample has at least a fixed weight."""

    def __init__(self, weight: float, initial: float = 0) -> None:
        self.mean = initial
        self.samples = 0
        self._weight = weight

    def add(self, sample: float) -> None:
        """Update the mean with one sample."""
        self.samples += 1
        weight = max(self._weight, 1 / self.samples)
        self.mean += (sample - self.mean) * weight


class ServiceRate:
    """Mean token rate of one slot and mean time that a request holds it."""

    def __init__(self, weight: float = 0.02) -> None:
        self._tokens = MovingMean(weight)
        self._seconds = MovingMean(weight)
        self._error = MovingMean(weight)

    def add(self, used_tokens: int, seconds: float) -> None:
        """Update the means with one request that ended."""
        if used_tokens > 0 and seconds > 0:
            self._error.add(abs(seconds - self.hold_seconds))
            self._tokens.add(used_tokens)
            self._seconds.add(seconds)

    @property
    def tokens_per_second(self) -> float:
        """Tokens per second of one slot; zero while unknown."""
        if self._seconds.mean <= 0:
            return 0
        return self._tokens.mean / self._seconds.mean

    @property
    def hold_seconds(self) -> float:
        """Mean time that a request holds its slot; zero while unknown."""
        return self._seconds.mean

    @property
    def request_tokens(self) -> float:
        """Mean number of tokens that a request uses; zero while unknown."""
        return self._tokens.mean

    def predict_max_seconds(self, tokens: float) -> float:
        """Return the seconds that the tokens rarely exceed."""
        token_rate = self.tokens_per_second
        if token_rate <= 0:
            return 0
        return tokens / token_rate + MAX_MEAN_ERRORS * self._error.mean
