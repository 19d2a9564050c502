"""Estimates of the time until a target starts a request, and of the room for more."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ibisport_fleet.queueing.demand import RankDemand
from ibisport_fleet.target_choice import Candidate, TargetHealth

# Share of an objective that an urgent request may spend until its first event. The rest
# covers the network, and requests that other routers send at the same time.
MAX_START_SHARE = 0.5
# A target that starts a request within this multiple of the time that it takes when
# idle has room, whatever the objective: waiting can't make the start much earlier.
IDLE_FACTOR = 1.5

# Callers aren't spread evenly, so a router may see this much less than its share of the
# requests that end. The total rate isn't underestimated, since no request may be
# refused that a target could start in time.
UNEVEN_SHARE_FACTOR = 4.0


class StartEstimator(Protocol):
    """Estimates when a target starts a request."""

    def estimate_start_seconds(
        self, candidate: Candidate, uncached_tokens: int, now: float
    ) -> float | None:
        """Return the seconds until the first event if a request is sent now.

        Args:
            candidate: The target.
            uncached_tokens: Prompt tokens that the target has to read.
            now: Loop time.

        Returns:
            The estimate, or None while too little has been observed.
        """


@dataclass(frozen=True, slots=True)
class Capacity:
    """The targets that may get a request, as this router observes them.

    Attributes:
        candidates: Targets that nothing holds back.
        estimator: Estimates when they start a request, or None.
        routers: Number of routers that share the targets, including this one.
        release_rate: Requests of this router that end per second; 0: unknown.
    """

    candidates: Sequence[Candidate]
    estimator: StartEstimator | None
    routers: int
    release_rate: float

    def estimate_best_start(
        self,
        tokens: int,
        now: float,
        *,
        enough: float = 0.0,
        unknown_seconds: float = 0.0,
    ) -> float:
        """Return the seconds until the best target starts a request sent now.

        Args:
            tokens: Prompt tokens that the target has to read.
            now: Loop time.
            enough: The search ends at a target that starts within this time, seconds.
            unknown_seconds: Assumed for targets with a free slot and no estimate.
        """
        best = math.inf
        for candidate in self.candidates:
            best = min(
                best, self._estimate_start(candidate, tokens, unknown_seconds, now)
            )
            if best <= enough:
                break
        return best

    def rejects_all(self, now: float) -> bool:
        """Return whether each target is full and has just rejected a request."""
        return all(
            now < candidate.health.rejected_until
            and candidate.health.estimate_load(now) >= candidate.entry.slots
            for candidate in self.candidates
        )

    def has_room(self, tokens: int, urgent: Sequence[RankDemand], now: float) -> bool:
        """Return whether a request leaves room for more urgent ones.

        The share of free slots that this router may use must exceed the number of
        urgent requests that it expects before a slot becomes free again. Reserving
        slots for longer leaves them idle, which delays all requests later on. Only
        targets count where an urgent request still starts in time behind this one.

        Args:
            tokens: Prompt tokens of the request that a target has to read.
            urgent: The demand of the more urgent ranks.
            now: Loop time.
        """
        reserved = sum(self._count_expected(demand) for demand in urgent)
        room = 0.0
        for candidate in self.candidates:
            slots = self._count_usable_slots(candidate, now)
            if slots and self._starts_urgent(candidate, tokens, urgent, now):
                room += slots
            if room > reserved:
                return True
        return False

    def _count_expected(self, demand: RankDemand) -> float:
        """Return how many urgent requests come before a slot becomes free again."""
        seconds = MAX_START_SHARE * demand.objective
        if self.release_rate:
            seconds = min(seconds, 1 / self.release_rate)
        return demand.rate * seconds

    def _count_usable_slots(self, candidate: Candidate, now: float) -> float:
        """Return this router's share of a target's free slots, at least one if any.

        Other routers don't tell which slots they are about to use.
        """
        free = candidate.entry.slots - candidate.health.estimate_load(now)
        return max(1.0, free / self.routers) if free > 0 else 0.0

    def _starts_urgent(
        self,
        candidate: Candidate,
        tokens: int,
        urgent: Sequence[RankDemand],
        now: float,
    ) -> bool:
        """Return whether urgent requests start in time at a target behind another."""
        for demand in urgent:
            total = tokens + round(demand.tokens)
            seconds = self._find_estimate(candidate, total, now)
            if seconds is None or seconds <= MAX_START_SHARE * demand.objective:
                continue
            idle = Candidate(candidate.entry, TargetHealth())
            idle_seconds = self._find_estimate(idle, total, now)
            if idle_seconds is None or seconds > IDLE_FACTOR * idle_seconds:
                return False
        return True

    def _estimate_start(
        self, candidate: Candidate, tokens: int, unknown_seconds: float, now: float
    ) -> float:
        seconds = self._find_estimate(candidate, tokens, now)
        if seconds is not None:
            return seconds
        excess = candidate.health.estimate_load(now) - candidate.entry.slots + 1
        return unknown_seconds + max(0, excess) * self._estimate_release_interval()

    def _find_estimate(
        self, candidate: Candidate, tokens: int, now: float
    ) -> float | None:
        if self.estimator is None:
            return None
        return self.estimator.estimate_start_seconds(candidate, tokens, now)

    def _estimate_release_interval(self) -> float:
        """Return the seconds between two ends of requests at one target.

        Zero while the rate is unknown, so that no request is refused on a guess.
        """
        others = self.routers - 1
        total_rate = self.release_rate * (1 + UNEVEN_SHARE_FACTOR * others)
        return len(self.candidates) / total_rate if total_rate else 0.0
