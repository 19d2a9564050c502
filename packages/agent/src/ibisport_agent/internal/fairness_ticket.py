"""Tickets of a target's queue, the outcomes of a turn and the policy interface."""

from dataclasses import dataclass
from typing import Protocol

from ibisport_core.errors import Refusal


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits for or holds a slot of the target.

    Attributes:
        request_id: Identity of the request, 16 bytes.
        workspace: Workspace that is charged for the request.
        class_name: Class of the request in the catalogue.
        priority: Lower goes first.
        weight: Weight of the workspace, above zero.
        cost: Prompt tokens plus the maximum of output tokens.
        deadline: Unix time in seconds.
    """

    request_id: bytes
    workspace: str
    class_name: str
    priority: int
    weight: float
    cost: int
    deadline: float


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """Load of one target as measured by its queue.

    Attributes:
        running: Requests that hold a slot.
        queued: Requests that wait.
        queued_tokens: Tokens that the waiting requests are expected to use.
        slots: Requests that may run at once.
        token_rate: Tokens per second with all slots taken, measured on recent
            requests; zero until one has ended.
    """

    running: int
    queued: int
    queued_tokens: int
    slots: int
    token_rate: float


@dataclass(frozen=True, slots=True)
class Started:
    """The ticket was given a slot."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Dropped:
    """The ticket was removed from the queue with a refusal; it did not run."""

    ticket: Ticket
    refusal: Refusal


Turn = Started | Dropped


class QueuePolicy(Protocol):
    """Chooses the next ticket; has no locks, threads or clock of its own."""

    def enter(self, ticket: Ticket, now: float) -> list[Dropped]:
        """Queue a ticket and return those evicted to make room for it.

        Raises:
            Overloaded: The ticket was not queued.
        """

    def take_turn(self, now: float) -> Turn | None:
        """Start or drop one waiting ticket; None when neither is possible."""

    def leave(
        self, ticket: Ticket, used_tokens: int, seconds: float, now: float
    ) -> None:
        """Free the slot of a started ticket."""

    def withdraw(self, request_id: bytes) -> bool:
        """Remove a waiting ticket; return whether it was waiting."""

    def measure(self) -> QueueLoad:
        """Return the current load."""

    def resize(self, slots: int) -> None:
        """Change how many requests may run at once."""
