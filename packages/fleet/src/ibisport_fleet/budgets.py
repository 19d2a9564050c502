"""What workspaces may still spend at this router."""

from dataclasses import dataclass

from ibisport_fleet.catalogue import Workspace


@dataclass(slots=True)
class Reservation:
    """Tokens held for one request.

    Attributes:
        workspace: Whose tokens they are; None: nobody pays.
        tokens: The most that the request may cost.
        spent: What it has cost so far.
    """

    workspace: str | None
    tokens: int
    spent: int = 0


class Budgets:
    """Reserves tokens before a request runs and settles them after it."""

    routers = 5

    def reserve(self, workspace: Workspace | None, tokens: int) -> Reservation | None:
        """Hold tokens for a request, or return None if the budget is short."""
        return Reservation(None, tokens)

    def settle(self, reservation: Reservation) -> None:
        """Give back what a request didn't cost."""
