"""How many tokens a router draws at once, and how many it gives back.

A grant covers a few seconds of demand, so that store writes stay few, but
never more than a share of what remains, so that a budget near zero is not
locked up at routers that do not use it.
"""

from dataclasses import dataclass

from ibisport_core.internal.account import Account, Grant
from ibisport_router.internal.ledger import LedgerView

SHARE_OF_REMAINING = 2
LOW_SHARE = 16
# A sparse caller's next requests find their reservations drawn already.
READY_REQUESTS = 3


@dataclass(frozen=True, slots=True)
class Draw:
    """The store can give this: the session's new cumulative figure."""

    granted: int


@dataclass(frozen=True, slots=True)
class Short:
    """The store cannot give enough.

    Attributes:
        held_elsewhere: Tokens that other sessions hold and may give back.
        missing: Tokens that the request needs beyond those within reach.
    """

    held_elsewhere: int
    missing: int


def choose_draw(
    account: Account, session: str, view: LedgerView, needed: int, horizon: float
) -> Draw | Short:
    """Decide how much to draw.

    Args:
        account: The account as it stands.
        session: The session that draws.
        view: Its ledger's figures.
        needed: Tokens that the request at hand needs.
        horizon: Seconds of demand that a grant should cover.

    Returns:
        The new cumulative figure, or that there is not enough.
    """
    stored = account.grants.get(session, Grant())
    free = stored.granted - view.spent - view.reserved
    missing = max(0, needed - free)
    if missing > account.remaining:
        others = _count_elsewhere(account, session)
        return Short(held_elsewhere=others, missing=missing - account.remaining)
    share = _find_share(account, session)
    wanted = int(view.demand * horizon) + needed - free
    return Draw(stored.granted + max(missing, min(wanted, share)))


def choose_refill(
    account: Account, session: str, view: LedgerView, horizon: float
) -> int:
    """Decide the grant that a settlement writes beside the spend.

    It tops the grant up to the horizon while the budget is ample, so that a
    partition finds it full and not nearly spent, at no further write.

    Args:
        account: The account as it stands.
        session: The session that settles.
        view: Its ledger's figures.
        horizon: Seconds of demand that a grant should cover.

    Returns:
        The new cumulative figure; never below the present one.
    """
    granted = account.grants.get(session, Grant()).granted
    free = granted - view.spent - view.reserved
    ample = max(int(view.demand * horizon), READY_REQUESTS * view.typical)
    return granted + max(0, min(ample - free, _find_share(account, session)))


def choose_return(view: LedgerView, horizon: float, idle: bool, asked: bool) -> int:
    """Decide how much of a grant to give back.

    Args:
        view: The ledger's figures.
        horizon: Seconds of demand that a grant should cover.
        idle: Whether nothing was reserved for long.
        asked: Whether a peer runs short of this budget.

    Returns:
        Tokens to give back.
    """
    if idle or asked:
        # A peer that asks would refuse a request now; what is kept here may
        # never be wanted. Near zero, parts too small for a request add up so.
        return view.available
    keep = max(int(view.demand * horizon), READY_REQUESTS * view.typical)
    if not view.demand or view.available < LOW_SHARE * keep:
        # A short pause is no idleness: what goes back now is drawn again soon,
        # or cannot be, in a partition.
        return 0
    return view.available - keep


def _find_share(account: Account, session: str) -> int:
    """Return the most that one router may draw beyond its need."""
    drawers = len({*account.grants, session})
    return account.remaining // (SHARE_OF_REMAINING * drawers)


def _count_elsewhere(account: Account, session: str) -> int:
    """Return what sessions that still answer may give back."""
    return sum(
        grant.granted - grant.spent
        for name, grant in account.grants.items()
        if name != session and not grant.fenced
    )
