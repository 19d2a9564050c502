"""What this process has spent and reserved of each budget, and may still spend."""

import math
from dataclasses import dataclass

from ibisport_fleet.cap_planning import Demand

# Demand is averaged over about this time: long enough to see rare large prompts,
# short enough to follow a workspace that suddenly sends several times its usual.
DEMAND_TIME_CONSTANT_SECONDS = 8.0


@dataclass(slots=True)
class Reservation:
    """Tokens held for one request.

    Attributes:
        workspace: Whose tokens they are; None: nobody pays.
        tokens: The most that the request may cost.
        spent: What it has cost so far.
        borrowed: The tokens are another router's, which counts them as spent.
    """

    workspace: str | None
    tokens: int
    spent: int = 0
    borrowed: bool = False


@dataclass(slots=True)
class LocalBudget:
    """One budget at this host, in tokens since the process began.

    Attributes:
        settled: Spent by requests that have ended.
        reserved: Held for requests that run.
        contact_cap: Bound while the proof of contact lives, as it surely stands
            in the store.
        cap: Bound without it, as it surely stands in the store.
        wanted: Tokens that requests wait for.
        borrowed: Tokens lent by another router that no request holds.
    """

    settled: int = 0
    reserved: int = 0
    contact_cap: int = 0
    cap: int = 0
    wanted: int = 0
    borrowed: int = 0
    _recent_demand: float = 0.0
    _decayed_at: float = 0.0

    @property
    def used(self) -> int:
        """Spent, and reserved at the most."""
        return self.settled + self.reserved

    def add_demand(self, tokens: int, now: float) -> None:
        """Count tokens that callers asked for, less those that they give back."""
        self._decay(now)
        self._recent_demand = max(0.0, self._recent_demand + tokens)

    def fits(self, tokens: int, isolated: bool) -> bool:
        """Whether a request of so many tokens is within the bounds."""
        bound = self.cap if isolated else min(self.cap, self.contact_cap)
        return self.used + tokens <= bound

    def measure_demand(self, now: float) -> Demand:
        """Return what this host needs of the budget."""
        self._decay(now)
        return Demand(
            self.used, self._recent_demand / DEMAND_TIME_CONSTANT_SECONDS, self.wanted
        )

    def _decay(self, now: float) -> None:
        passed = now - self._decayed_at
        kept = math.exp(-passed / DEMAND_TIME_CONSTANT_SECONDS)
        self._recent_demand *= kept
        self._decayed_at = now


class Ledger:
    """All budgets at this host."""

    def __init__(self) -> None:
        self._local_budgets: dict[str, LocalBudget] = {}

    @property
    def local_budgets(self) -> dict[str, LocalBudget]:
        """The budgets by workspace."""
        return self._local_budgets

    def find(self, workspace: str) -> LocalBudget:
        """Return the purse of a workspace, empty at first."""
        found = self._local_budgets.get(workspace)
        if found is None:
            found = LocalBudget()
            self._local_budgets[workspace] = found
        return found

    def reserve(
        self, workspace: str, tokens: int, isolated: bool
    ) -> Reservation | None:
        """Hold tokens for a request, or return None if they aren't at hand."""
        if not self.find(workspace).fits(tokens, isolated):
            return None
        return self.hold(workspace, tokens)

    def hold(self, workspace: str, tokens: int) -> Reservation:
        """Hold tokens for a request; that they are at hand was checked before."""
        self.find(workspace).reserved += tokens
        return Reservation(workspace, tokens)

    def settle(self, reservation: Reservation) -> None:
        """Count what a request has cost and give the rest back."""
        if reservation.workspace is None:
            return
        purse = self.find(reservation.workspace)
        if reservation.borrowed:
            unspent = reservation.tokens - min(reservation.spent, reservation.tokens)
            purse.borrowed += unspent
            return
        purse.reserved -= reservation.tokens
        purse.settled += min(reservation.spent, reservation.tokens)

    def reserve_borrowed(self, workspace: str, tokens: int) -> Reservation | None:
        """Hold borrowed tokens for a request, or return None if they don't do."""
        purse = self.find(workspace)
        if purse.borrowed < tokens:
            return None
        purse.borrowed -= tokens
        return Reservation(workspace, tokens, borrowed=True)

    def credit_repayment(self, workspace: str, tokens: int) -> None:
        """Count lent tokens as not spent after all."""
        purse = self.find(workspace)
        purse.settled -= min(tokens, purse.settled)

    def apply_unconfirmed(
        self, contact_caps: dict[str, int], caps: dict[str, int], isolated: bool
    ) -> None:
        """Bound the purses by a write that may or may not be done.

        Args:
            contact_caps: The contact caps of the write.
            caps: Its caps; empty if the write doesn't change them.
            isolated: The proof of contact beside the old caps has run out, so
                that the old contact caps don't bind any more.
        """
        for name, contact_cap in contact_caps.items():
            purse = self.find(name)
            old = purse.cap if isolated else purse.contact_cap
            purse.contact_cap = min(old, contact_cap)
            purse.cap = min(purse.cap, caps.get(name, purse.cap))

    def apply_confirmed(
        self, contact_caps: dict[str, int], caps: dict[str, int]
    ) -> None:
        """Bound the purses by a write that surely stands in the store."""
        for name, contact_cap in contact_caps.items():
            self.find(name).contact_cap = contact_cap
        for name, cap in caps.items():
            self.find(name).cap = cap
