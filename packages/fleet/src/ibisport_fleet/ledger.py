"""Tracks what this process has spent, reserved and may still spend per budget."""

import math
from dataclasses import dataclass

from ibisport_fleet.cap_planning import Demand

# Time constant of the exponential average of demand: long enough to include rare large
# prompts, short enough to follow a workspace whose rate suddenly multiplies.
DEMAND_TIME_CONSTANT_SECONDS = 8.0


@dataclass(slots=True)
class Reservation:
    """Tokens reserved for one request.

    Attributes:
        workspace: Name of the workspace that pays, or None if the request is free.
        tokens: Maximum cost of the request.
        spent: Cost of the request so far.
        borrowed: Whether the tokens were lent by another router, which already
            counts them as spent.
    """

    workspace: str | None
    tokens: int
    spent: int = 0
    borrowed: bool = False


@dataclass(slots=True)
class LocalBudget:
    """This process's part of one budget, in tokens since the process started.

    Attributes:
        settled: Tokens spent by completed requests.
        reserved: Tokens reserved for running requests.
        contact_cap: Bound of the spending while the contact proof is valid, as far
            as the store is known to hold it.
        cap: Bound of the spending after the contact proof has expired, as far as
            the store is known to hold it.
        wanted: Tokens that requests are waiting for.
        borrowed: Tokens lent by another router that no request has reserved.
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
        """Tokens spent, plus the maximum cost of running requests."""
        return self.settled + self.reserved

    def add_demand(self, tokens: int, now: float) -> None:
        """Add requested tokens to the demand; negative for tokens given back."""
        self._decay(now)
        self._recent_demand = max(0.0, self._recent_demand + tokens)

    def compute_bound(self, released: float) -> int:
        """Return the bound of ``used``.

        Args:
            released: How far the bound has grown from the contact cap to the cap.
        """
        contact_cap = min(self.cap, self.contact_cap)
        return contact_cap + int(released * (self.cap - contact_cap))

    def fits(self, tokens: int, released: float) -> bool:
        """Return whether a request of this many tokens is within the bound."""
        return self.used + tokens <= self.compute_bound(released)

    def measure_demand(self, now: float) -> Demand:
        """Return the current demand for the budget at this host."""
        self._decay(now)
        return Demand(
            self.used, self._recent_demand / DEMAND_TIME_CONSTANT_SECONDS, self.wanted
        )

    def _decay(self, now: float) -> None:
        elapsed_seconds = now - self._decayed_at
        decay_factor = math.exp(-elapsed_seconds / DEMAND_TIME_CONSTANT_SECONDS)
        self._recent_demand *= decay_factor
        self._decayed_at = now


class Ledger:
    """This process's part of all budgets."""

    def __init__(self) -> None:
        self._local_budgets: dict[str, LocalBudget] = {}

    @property
    def local_budgets(self) -> dict[str, LocalBudget]:
        """This process's part of each budget, by workspace name."""
        return self._local_budgets

    def find(self, workspace: str) -> LocalBudget:
        """Return the local budget of a workspace; creates it on first use."""
        found = self._local_budgets.get(workspace)
        if found is None:
            found = LocalBudget()
            self._local_budgets[workspace] = found
        return found

    def reserve(
        self, workspace: str, tokens: int, released: float
    ) -> Reservation | None:
        """Reserve tokens for a request, or return None if the bound is too low."""
        if not self.find(workspace).fits(tokens, released):
            return None
        return self.hold(workspace, tokens)

    def hold(self, workspace: str, tokens: int) -> Reservation:
        """Reserve tokens for a request whose bounds the caller has checked."""
        self.find(workspace).reserved += tokens
        return Reservation(workspace, tokens)

    def settle(self, reservation: Reservation) -> None:
        """Record the final cost of a request and release the rest."""
        if reservation.workspace is None:
            return
        local_budget = self.find(reservation.workspace)
        if reservation.borrowed:
            unspent = reservation.tokens - min(reservation.spent, reservation.tokens)
            local_budget.borrowed += unspent
            return
        local_budget.reserved -= reservation.tokens
        local_budget.settled += min(reservation.spent, reservation.tokens)

    def lend(self, reservation: Reservation, ahead: int, now: float) -> None:
        """Count a loan as spent.

        Args:
            reservation: The tokens that the borrower needs.
            ahead: Tokens that it gets in addition, within the bound of the budget.
            now: Boot-clock time.
        """
        reservation.spent = reservation.tokens
        self.settle(reservation)
        if reservation.workspace is not None:
            local_budget = self.find(reservation.workspace)
            local_budget.settled += ahead
            local_budget.add_demand(ahead, now)

    def reserve_borrowed(self, workspace: str, tokens: int) -> Reservation | None:
        """Reserve borrowed tokens, or return None if there aren't enough."""
        local_budget = self.find(workspace)
        if local_budget.borrowed < tokens:
            return None
        local_budget.borrowed -= tokens
        return Reservation(workspace, tokens, borrowed=True)

    def credit_repayment(self, workspace: str, tokens: int) -> None:
        """Subtract repaid loans from the tokens counted as spent."""
        local_budget = self.find(workspace)
        local_budget.settled -= min(tokens, local_budget.settled)

    def apply_unconfirmed(
        self,
        contact_caps: dict[str, int],
        caps: dict[str, int],
        released: float,
        *,
        renews: bool,
    ) -> None:
        """Apply the bounds of a write whose outcome is unknown.

        Both the old and the new bounds may be in the store, so the lower of the two
        applies.

        Args:
            contact_caps: The contact caps of the write.
            caps: Its caps; empty if the write doesn't change them.
            released: How far the bound has grown from the old contact caps to the caps.
            renews: Whether the write contains a contact proof, after which the bound
                starts to grow anew. What the old bound allows by now stays allowed.
        """
        for name, contact_cap in contact_caps.items():
            local_budget = self.find(name)
            old_bound = local_budget.contact_cap
            if renews:
                old_bound = local_budget.compute_bound(released)
            local_budget.contact_cap = min(old_bound, contact_cap)
            local_budget.cap = min(local_budget.cap, caps.get(name, local_budget.cap))

    def apply_confirmed(
        self, contact_caps: dict[str, int], caps: dict[str, int]
    ) -> None:
        """Apply the bounds of a write that is known to be stored."""
        for name, contact_cap in contact_caps.items():
            self.find(name).contact_cap = contact_cap
        for name, cap in caps.items():
            self.find(name).cap = cap
