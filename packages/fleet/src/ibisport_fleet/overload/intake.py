"""What the requests of all connections of a listener have in common."""

from collections.abc import Callable
from dataclasses import dataclass

from ibisport_fleet.http_messages import Request


def _accept_unidentified(head: Request) -> None:
    """Accept a request without a look at its head."""


@dataclass(frozen=True, slots=True)
class Intake:
    """How requests are accepted while they arrive.

    Attributes:
        identify: Returns the workspace of a request with a large body from its head,
            or None; it raises RequestInvalid if the request will be refused.
    """

    identify: Callable[[Request], str | None] = _accept_unidentified
