"""Observed demand of a service: arrivals by rank, and requests that end."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

# Time constant of the exponential decay. Bursts last for some seconds, and the smallest
# routers get an urgent request about every second.
DECAY_SECONDS = 5.0
# A rank counts as present for this long after its last request.
PRESENCE_SECONDS = 10.0
# A rate that was observed for less than this counts as if it had been for this long.
MIN_OBSERVATION_SECONDS = 1.0
# With fewer recent ends their rate is unknown.
MIN_RECENT_ENDS = 5.0
# Figures are reused for this long, so that most requests cost no computation.
REUSE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class RankDemand:
    """Recent requests of one rank at this router.

    Attributes:
        rate: Requests per second.
        tokens: Mean number of prompt tokens that belong to one request alone.
        objective: Shortest objective of these requests, seconds.
    """

    rate: float
    tokens: float
    objective: float


class DecayingRate:
    """Events per second, with exponentially decaying weights."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._updated_at = 0.0
        self._begun_at = math.inf

    def record(self, now: float) -> float:
        """Count one event; return the decayed number of events."""
        self._weight = self.count_recent(now) + 1
        self._updated_at = now
        self._begun_at = min(self._begun_at, now)
        return self._weight

    def measure(self, now: float) -> float:
        """Return the events per second."""
        observed = max(MIN_OBSERVATION_SECONDS, now - self._begun_at)
        span = DECAY_SECONDS * (1 - math.exp(-observed / DECAY_SECONDS))
        return self.count_recent(now) / span

    def count_recent(self, now: float) -> float:
        """Return the decayed number of events."""
        return self._weight * math.exp((self._updated_at - now) / DECAY_SECONDS)


class _RankStatistics:
    """Decaying statistics of the requests of one rank."""

    def __init__(self, objective: float) -> None:
        self.last_arrival_at = -math.inf
        self.arrivals = DecayingRate()
        self.tokens = 0.0
        self.objective = objective

    def record(self, tokens: int, objective: float, now: float) -> None:
        self.tokens += (tokens - self.tokens) / self.arrivals.record(now)
        if not self.is_present(now) or objective < self.objective:
            self.objective = objective
        self.last_arrival_at = now

    def is_present(self, now: float) -> bool:
        return now - self.last_arrival_at <= PRESENCE_SECONDS


class ServiceDemand:
    """Demand for one service at this router."""

    def __init__(self) -> None:
        self._ranks: dict[int, _RankStatistics] = {}
        self._ends = DecayingRate()
        self._more_urgent: dict[int, list[RankDemand]] = {}
        self._reusable_until = -math.inf

    def record_arrival(
        self, rank: int, tokens: int, objective: float, now: float
    ) -> None:
        """Count a request.

        Args:
            rank: Its rank; 0 is the most urgent.
            tokens: Prompt tokens that belong to it alone.
            objective: Target for the time to its first byte, seconds.
            now: Loop time.
        """
        statistics = self._ranks.get(rank)
        if statistics is None:
            statistics = self._ranks[rank] = _RankStatistics(objective)
        if not statistics.is_present(now):
            self._more_urgent.clear()
        statistics.record(tokens, objective, now)

    def record_end(self, now: float) -> None:
        """Count a request that has ended at a target."""
        self._ends.record(now)

    def measure_release_rate(self, now: float) -> float:
        """Return how many requests of this router end per second; 0 while unknown."""
        if self._ends.count_recent(now) < MIN_RECENT_ENDS:
            return 0.0
        return self._ends.measure(now)

    def list_more_urgent(self, rank: int, now: float) -> list[RankDemand]:
        """Return the demand of each present rank that is more urgent than a rank."""
        if now >= self._reusable_until:
            self._reusable_until = now + REUSE_SECONDS
            self._more_urgent.clear()
        found = self._more_urgent.get(rank)
        if found is None:
            found = list(self._iterate_more_urgent(rank, now))
            self._more_urgent[rank] = found
        return found

    def _iterate_more_urgent(self, rank: int, now: float) -> Iterator[RankDemand]:
        for other, statistics in self._ranks.items():
            if other < rank and statistics.is_present(now):
                rate = statistics.arrivals.measure(now)
                yield RankDemand(rate, statistics.tokens, statistics.objective)
