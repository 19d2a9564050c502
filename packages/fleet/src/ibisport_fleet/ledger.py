"""What this process has spent and reserved of each budget, and may still spend."""

import math
from dataclasses import dataclass, field

from ibisport_fleet.allowance import Demand
from ibisport_fleet.budgetpage import Row

# Demand is averaged over about this time: long enough to see rare large prompts,
# short enough to follow a workspace that suddenly sends several times its usual.
RATE_SECONDS = 8.0


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


@dataclass(slots=True)
class Purse:
    """One budget at this host, in tokens since the process began.

    Attributes:
        settled: Spent by requests that have ended.
        reserved: Held for requests that run.
        row: The row that bounds it, as it surely stands in the store.
        wanted: Tokens that requests wait for.
    """

    settled: int = 0
    reserved: int = 0
    row: Row = field(default_factory=Row)
    wanted: int = 0
    _asked: float = 0.0
    _asked_at: float = 0.0

    @property
    def used(self) -> int:
        """Spent, and reserved at the most."""
        return self.settled + self.reserved

    def note_asked(self, tokens: int, now: float) -> None:
        """Count tokens that a caller asked for."""
        self._decay(now)
        self._asked += tokens

    def fits(self, tokens: int, isolated: bool) -> bool:
        """Whether a request of so many tokens is within the row."""
        cap = self.row.isolated_cap if isolated else self.row.contact_cap
        return self.used + tokens <= cap

    def demand(self, now: float) -> Demand:
        """Return what this host needs of the budget."""
        self._decay(now)
        return Demand(self.used, self._asked / RATE_SECONDS, self.wanted)

    def _decay(self, now: float) -> None:
        passed = now - self._asked_at
        self._asked *= math.exp(-passed / RATE_SECONDS)
        self._asked_at = now


class Ledger:
    """All budgets at this host."""

    def __init__(self) -> None:
        self._purses: dict[str, Purse] = {}

    @property
    def purses(self) -> dict[str, Purse]:
        """The budgets by workspace."""
        return self._purses

    def find(self, workspace: str) -> Purse:
        """Return the purse of a workspace, empty at first."""
        found = self._purses.get(workspace)
        if found is None:
            found = Purse()
            self._purses[workspace] = found
        return found

    def reserve(self, workspace: str, tokens: int, isolated: bool) -> Reservation | None:
        """Hold tokens for a request, or return None if they aren't at hand."""
        purse = self.find(workspace)
        if not purse.fits(tokens, isolated):
            return None
        purse.reserved += tokens
        return Reservation(workspace, tokens)

    def settle(self, reservation: Reservation) -> None:
        """Count what a request has cost and give the rest back."""
        if reservation.workspace is None:
            return
        purse = self.find(reservation.workspace)
        purse.reserved -= reservation.tokens
        purse.settled += min(reservation.spent, reservation.tokens)

    def narrow(self, rows: dict[str, Row], isolated: bool) -> None:
        """Bound the purses by rows that may or may not have been written.

        Args:
            rows: The rows of the write that is on its way.
            isolated: The proof of contact beside the old rows has run out, so
                that these bound the host by their isolated caps.
        """
        for name, row in rows.items():
            purse = self.find(name)
            old = purse.row
            old_cap = old.isolated_cap if isolated else old.contact_cap
            purse.row = Row(
                row.used,
                min(old_cap, row.contact_cap),
                min(old.isolated_cap, row.isolated_cap),
                row.rate,
            )

    def take_rows(self, rows: dict[str, Row]) -> None:
        """Bound the purses by rows that surely stand in the store."""
        for name, row in rows.items():
            self.find(name).row = row
