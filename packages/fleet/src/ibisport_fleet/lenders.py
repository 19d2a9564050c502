"""Decides which router holds the unspent rest of a budget and lends it to others.

Were the rest cut into a piece for each router, each piece would need its own writes
and its own reserve. So few routers hold it, and the others borrow for each request
over the routers' own links, which costs no call to the store.
"""

from collections.abc import Iterable
from math import ceil

import xxhash

# One lender for so many routers, so that each is asked for few loans. At least two, so
# that not all budgets feel the loss of one router.
ROUTERS_PER_LENDER = 12
MIN_LENDERS = 2


def rank_lenders(hosts: Iterable[str], workspace: str) -> list[str]:
    """Return the hosts that lend a workspace's tokens, the first one first.

    All routers that know the same hosts agree; where they don't, budgets hold all
    the same.

    Args:
        hosts: Names of the routers' hosts.
        workspace: The workspace whose budget it is.
    """
    drawn = sorted(hosts, key=_hash)
    most = max(MIN_LENDERS, ceil(len(drawn) / ROUTERS_PER_LENDER))
    return sorted(drawn[:most], key=lambda host: _hash(f'{workspace}|{host}'))


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
