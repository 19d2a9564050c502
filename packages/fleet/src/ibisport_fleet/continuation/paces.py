"""What the continuation of streams needs to know about the pace of engines."""

from typing import Protocol

from ibisport_fleet.target_choice import Candidate

StartId = tuple[str, int]


class ServicePaces(Protocol):
    """Observed paces of the engines of a service."""

    def find_usual_gap(self, start_id: StartId) -> float | None:
        """Return the usual gap between two events, seconds; None: not observed."""

    def estimate_start_seconds(
        self, candidate: Candidate, uncached_tokens: int, now: float
    ) -> float | None:
        """Return the estimated time to the first event, seconds; None: not known.

        Args:
            candidate: The engine.
            uncached_tokens: Tokens of the prompt that it hasn't cached.
            now: Loop time.
        """


class UnknownPaces:
    """Paces of engines that aren't observed."""

    def find_usual_gap(self, start_id: StartId) -> float | None:
        """Return None."""

    def estimate_start_seconds(
        self, candidate: Candidate, uncached_tokens: int, now: float
    ) -> float | None:
        """Return None."""
