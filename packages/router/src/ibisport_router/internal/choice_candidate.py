"""What a router knows of a target, and the interface of the ways to choose."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Candidate:
    """One target by its last report and by the router's own work there.

    Attributes:
        target: Name of the target in the catalogue.
        failure_domain: Where its host is.
        slots: Requests that may run at once.
        running: Requests that held a slot at the report.
        queued: Requests that waited at the report.
        queued_tokens: Tokens expected of those.
        token_rate: Tokens a second with all slots taken; zero: unknown.
        measured_at: Unix time in seconds of the report.
        own_in_flight_tokens: Tokens this router has in flight there.
        own_in_flight_since_report: Requests this router sent after the report.
        draining: It takes no new work.
        connected: A live link leads to it.
    """

    target: str
    failure_domain: str
    slots: int
    running: int
    queued: int
    queued_tokens: int
    token_rate: float
    measured_at: float
    own_in_flight_tokens: int
    own_in_flight_since_report: int
    draining: bool
    connected: bool


class Chooser(Protocol):
    """A way to choose a target; safe to call from several threads."""

    def rank(
        self, candidates: Sequence[Candidate], affinity: bytes | None, now: float
    ) -> list[str]:
        """Return the usable targets, the best first."""

    def note_result(self, target: str, ok: bool, seconds: float) -> None:
        """Learn how a request to the target ended."""


def is_available(candidate: Candidate) -> bool:
    """Tell whether new work may be sent to the target at all."""
    return candidate.connected and not candidate.draining
