"""What waits at a target, what a queue policy answers, and its interface."""

from dataclasses import dataclass
from typing import Protocol

from ibisport_core.errors import Refusal


@dataclass(frozen=True, slots=True)
class Ticket:
    """One request that waits for a slot of the target.

    Attributes:
        request_id: Identity of the request, 16 bytes.
        workspace: Workspace that is served and charged.
        class_name: Class of the request in the catalogue.
        priority: Lower goes first.
        weight: Weight of the workspace, above zero.
        cost: Prompt tokens and the most output tokens.
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
    """Load of one target as its queue sees it.

    Attributes:
        running: Requests that hold a slot.
        queued: Requests that wait.
        queued_tokens: Tokens that are expected of the waiting requests.
        slots: Requests that may run at once.
        token_rate: Tokens a second with all slots taken, by recent requests;
            zero while none has ended.
    """

    running: int
    queued: int
    queued_tokens: int
    slots: int
    token_rate: float


@dataclass(frozen=True, slots=True)
class Started:
    """The ticket holds a slot from now on."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Dropped:
    """The ticket left the queue with a refusal; it did not run."""

    ticket: Ticket
    refusal: Refusal


Turn = Started | Dropped


class QueuePolicy(Protocol):
    """Decides who is next; without locks, threads or a clock of its own."""

    def enter(self, ticket: Ticket, now: float) -> list[Dropped]:
        """Queue a ticket and return those that made room for it.

        Raises:
            Overloaded: The ticket was not queued.
        """

    def take_turn(self, now: float) -> Turn | None:
        """Start or drop one waiting ticket; None when nothing can change."""

    def leave(
        self, ticket: Ticket, used_tokens: int, seconds: float, now: float
    ) -> None:
        """Free the slot of a started ticket."""

    def withdraw(self, request_id: bytes) -> bool:
        """Remove a waiting ticket and tell whether it was waiting."""

    def measure(self) -> QueueLoad:
        """Return the load of now."""

    def resize(self, slots: int) -> None:
        """Change how many requests may run at once."""
