"""What the requests of all connections of a listener have in common."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ibisport_fleet.http_messages import Request
from ibisport_fleet.overload.parsing_turns import ParsingTurns


def _accept_unidentified(head: Request) -> None:
    """Accept a request without a look at its head."""


@dataclass(frozen=True, slots=True)
class Intake:
    """How requests are accepted while they arrive.

    Attributes:
        identify: Returns the workspace of a request with a large body from its head,
            or None; it raises RequestInvalid if the request will be refused.
        turns: Lets costly connections take turns.
        drops_departed: Whether requests are dropped whose peers have closed their
            sending half: peers that keep it open until they have their answer.
    """

    identify: Callable[[Request], str | None] = _accept_unidentified
    turns: ParsingTurns = field(default_factory=ParsingTurns)
    drops_departed: bool = False
