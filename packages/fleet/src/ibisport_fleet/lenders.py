"""Selects the routers that hold the unspent part of a budget and lend it to others.

If the unspent part were divided among all routers, each router would need its own
store writes and its own reserve. Instead, a few routers hold it, and the other routers
borrow for each request over connections between routers, without a store call.
"""

from collections.abc import Iterable
from math import ceil

from ibisport_fleet.rendezvous import compute_score, hash_text

# Bounds the loan requests that each lender receives.
ROUTERS_PER_LENDER = 12
# With a single lender, the loss of one router would affect all budgets.
MIN_LENDERS = 2


def rank_lenders(hosts: Iterable[str], workspace: str) -> list[str]:
    """Return the hosts that lend a workspace's tokens, most preferred first.

    Routers that know the same hosts compute the same ranking. If rankings differ,
    budgets are still never overspent.

    Args:
        hosts: Names of the routers' hosts.
        workspace: Name of the workspace that owns the budget.
    """
    hashed = sorted(hosts, key=hash_text)
    lender_count = max(MIN_LENDERS, ceil(len(hashed) / ROUTERS_PER_LENDER))
    return sorted(
        hashed[:lender_count], key=lambda host: compute_score(workspace, host)
    )
