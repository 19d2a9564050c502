"""What one router session may spend of one budget, and what it has spent.

All in memory: admission costs no call to the store. The invariant is

    spent + reserved + withheld <= granted

where ``granted`` is what the store is known to have given this session. A
charge has a number; charges end in any order, but only the unbroken run of
ended ones is settled (``floor``), so that recovery can tell which charges a
settlement covers.
"""

import threading
import time
from dataclasses import dataclass, replace

from ibisport_core.internal.account import Grant

_DEMAND_WINDOW_SECONDS = 10.0
_WAKE_SECONDS = 0.5
FIRST_CHARGE = 1


@dataclass(frozen=True, slots=True)
class Charge:
    """A reservation for one request.

    Attributes:
        workspace: The workspace that pays.
        budget: Its budget.
        number: Number of the charge in (session, budget).
        tokens: What is reserved: the most the request can cost.
    """

    workspace: str
    budget: str
    number: int
    tokens: int


@dataclass(frozen=True, slots=True)
class LedgerView:
    """A ledger's figures at one moment, in tokens.

    Attributes:
        granted: What may be used.
        spent: Of ended charges.
        reserved: Of open charges.
        available: The rest.
        demand: Asked for a second, lately.
        typical: Size of the last reservation that was asked for.
    """

    granted: int
    spent: int
    reserved: int
    available: int
    demand: float
    typical: int = 0


class Ledger:
    """One budget at one router session."""

    def __init__(self, workspace: str, budget: str) -> None:
        """Start with nothing granted."""
        self.workspace = workspace
        self.budget = budget
        self.write_lock = threading.Lock()
        self.known_revision = 0
        self._changed = threading.Condition()
        self._grant = Grant()
        self._usable = 0
        self._settled_floor = 0
        self._next_number = FIRST_CHARGE
        self._open: dict[int, int] = {}
        self._ended: dict[int, int] = {}
        self._spent = 0
        self._floor = FIRST_CHARGE
        self._floor_spent = 0
        self._demanded = 0
        self._demand_since = time.monotonic()
        self._demand = 0.0
        self._typical = 0
        self._last_use = time.monotonic()

    def __repr__(self) -> str:
        """Show budget and figures."""
        return f'Ledger({self.workspace}/{self.budget}, {self.view()})'

    def view(self) -> LedgerView:
        """Return the figures."""
        with self._changed:
            return LedgerView(
                self._usable,
                self._spent,
                sum(self._open.values()),
                self._available(),
                self._read_demand(),
                self._typical,
            )

    def reserve(self, tokens: int) -> Charge | None:
        """Reserve tokens, or return None when they are not there.

        Args:
            tokens: The most that the request can cost.
        """
        with self._changed:
            self._last_use = time.monotonic()
            if self._available() < tokens:
                return None
            number = self._next_number
            self._next_number += 1
            self._open[number] = tokens
            return Charge(self.workspace, self.budget, number, tokens)

    def end(self, charge: Charge, tokens: int) -> None:
        """End a charge at what it came to; a second end changes nothing.

        Args:
            charge: The charge.
            tokens: What is billed, at most what was reserved; 0 voids it.
        """
        with self._changed:
            reserved = self._open.pop(charge.number, None)
            if reserved is None:
                return
            billed = min(tokens, reserved)
            self._ended[charge.number] = billed
            self._spent += billed
            self._raise_floor()
            self._changed.notify_all()

    def note_demand(self, tokens: int) -> None:
        """Count what requests ask for, admitted or not."""
        with self._changed:
            self._demanded += tokens
            self._typical = tokens

    def wait_change(self, deadline: float) -> None:
        """Wait for a charge to end, or the grant to grow, or a monotonic time."""
        left = deadline - time.monotonic()
        if left > 0:
            with self._changed:
                self._changed.wait(min(left, _WAKE_SECONDS))

    def covers_soon(self, tokens: int) -> bool:
        """Whether open charges hold enough that may come free."""
        with self._changed:
            return self._available() + sum(self._open.values()) >= tokens

    def make_grant(self, stored: Grant, granted: int) -> Grant:
        """Return the grant to write, with the settlement of this moment.

        Args:
            stored: The session's grant as it stands in the store.
            granted: Cumulative tokens that it should have afterwards.
        """
        with self._changed:
            return replace(
                stored,
                granted=granted,
                spent=self._floor_spent,
                floor=self._floor,
                sequence=stored.sequence + 1,
            )

    def withhold(self, granted: int) -> bool:
        """Stop using tokens above a figure, before they are given back.

        Args:
            granted: Cumulative tokens that stay usable.

        Returns:
            False when more than that is spent or reserved by now.
        """
        with self._changed:
            if self._spent + sum(self._open.values()) > granted:
                return False
            self._usable = min(self._usable, granted)
            return True

    def adopt(self, grant: Grant) -> None:
        """Take over a grant that the store is known to hold, for good.

        Called after a write of this session succeeded: a write that was never
        answered can take effect no more then, since its comparison fails.
        """
        with self._changed:
            self._grant = grant
            self._usable = grant.granted
            self._settled_floor = grant.floor
            self._changed.notify_all()

    def restore(self) -> None:
        """Use withheld tokens again: giving them back took no effect."""
        with self._changed:
            self._usable = self._grant.granted
            self._changed.notify_all()

    @property
    def is_settled(self) -> bool:
        """Whether the store knows all that it should.

        Tokens withheld for a return that was never answered count as unsettled:
        the next write decides what became of them.
        """
        with self._changed:
            decided = self._usable == self._grant.granted
            return decided and self._settled_floor >= self._floor

    @property
    def settled_floor(self) -> int:
        """The floor that stands in the store."""
        return self._settled_floor

    @property
    def next_number(self) -> int:
        """Number that the next charge will have."""
        with self._changed:
            return self._next_number

    def has_settled(self, number: int) -> bool:
        """Whether every charge below a number is settled in the store."""
        with self._changed:
            return number <= max(self._settled_floor, FIRST_CHARGE)

    @property
    def is_idle(self) -> bool:
        """Whether no charge is open."""
        with self._changed:
            return not self._open

    @property
    def idle_since(self) -> float:
        """Monotonic time of the last reservation."""
        return self._last_use

    def _available(self) -> int:
        return self._usable - self._spent - sum(self._open.values())

    def _raise_floor(self) -> None:
        while self._floor in self._ended:
            self._floor_spent += self._ended.pop(self._floor)
            self._floor += 1

    def _read_demand(self) -> float:
        now = time.monotonic()
        elapsed = now - self._demand_since
        if elapsed > _DEMAND_WINDOW_SECONDS:
            self._demand = self._demanded / elapsed
            self._demanded = 0
            self._demand_since = now
        return max(self._demand, self._demanded / _DEMAND_WINDOW_SECONDS)
