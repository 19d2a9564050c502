"""What the requests of all connections of a listener have in common."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ibisport_fleet.http_messages import Request
from ibisport_fleet.overload.parsing_turns import ParsingTurns


def _accept_unidentified(head: Request) -> None:
    """Accept a request without a look at its head."""


def _drop_silently(request: Request) -> None:
    """Drop a request without a record."""


@dataclass(frozen=True, slots=True)
class Intake:
    """How requests are accepted while they arrive.

    Attributes:
        identify: Returns the workspace of a request with a large body from its head,
            or None; it raises RequestInvalid if the request will be refused.
        turns: Lets costly connections take turns.
        record_departure: Records a complete request whose peer has left.
    """

    identify: Callable[[Request], str | None] = _accept_unidentified
    turns: ParsingTurns = field(default_factory=ParsingTurns)
    record_departure: Callable[[Request], None] = _drop_silently
