"""Plans how many tokens of a budget a host holds.

The plans depend only on the budget page, the host's demand and the duration of a store
write. The functions do no input or output.
"""

from dataclasses import dataclass

from ibisport_fleet.budget_page import Account, Share

# A contact cap covers the demand of half a second plus four writes: a request may wait
# for two writes until its tokens are stored, and for two more to resolve a conflict.
# A higher contact cap would strand more tokens in a crash: they count as spent although
# no request used them.
CONTACT_RESERVE_SECONDS = 0.5
CONTACT_RESERVE_WRITES = 4
# Upper bound of the contact reserve, as a fraction of the unspent part of the cap.
MAX_CONTACT_FRACTION = 0.3
# Demand that a lender's cap covers while the store is unreachable. A larger reserve
# bridges longer outages, but a lender that dies in an outage strands what is left.
ISOLATED_RESERVE_SECONDS = 6.0
# Upper bound of that reserve, as a fraction of the unspent budget, because a lender
# that dies in an outage strands what is left.
MAX_ISOLATED_FRACTION = 0.35
# Demand that a lender adds to its observed demand, as a fraction of the unspent budget,
# so that it can serve the first requests during a partition even if it has observed
# none before.
PRIOR_RATE_FRACTION_PER_SECOND = 0.002
# A lender whose reserve covers less demand than this raises its share at once instead
# of at the next rebalance: under overload, requests wait for every write, and a
# rebalance is put off while requests wait.
LOW_RESERVE_SECONDS = 3.0
# Relative difference between planned and held tokens below which the cap is left
# unchanged, to avoid needless writes of the shared page.
CAP_TOLERANCE = 0.3


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand for one budget at one host.

    Attributes:
        used: Tokens spent, plus the maximum cost of running requests.
        rate: Tokens per second that callers request.
        wanted: Tokens that requests are waiting for.
    """

    used: int
    rate: float
    wanted: int = 0


def compute_max_cap(account: Account, budget: int, host: str) -> int:
    """Return the highest cap that the budget allows a host."""
    own = account.shares.get(host, Share())
    return budget - (account.held - own.cap)


def plan_share(
    account: Account, budget: int, host: str, demand: Demand, *, lends: bool
) -> Share:
    """Return the share that a host should hold of a budget.

    Args:
        account: The budget's account in the budget page.
        budget: Total number of prepaid tokens.
        host: The host to plan for.
        demand: The host's demand; a lender's includes that of its borrowers.
        lends: Whether the host lends this budget's tokens to other routers.
    """
    held = account.shares.get(host, Share())
    available = max(0, compute_max_cap(account, budget, host) - demand.used)
    planned = 0
    if lends:
        unspent = max(0, budget - (account.used - held.used) - demand.used)
        rate = demand.rate + PRIOR_RATE_FRACTION_PER_SECOND * unspent
        planned = int(
            min(ISOLATED_RESERVE_SECONDS * rate, MAX_ISOLATED_FRACTION * unspent)
        )
    cap = demand.used + min(available, max(planned, demand.wanted))
    return Share(demand.used, cap, demand.rate)


def plan_contact_cap(cap: int, demand: Demand, latency: float = 0.0) -> int:
    """Return the bound of a host's spending while its contact proof is valid.

    Args:
        cap: The host's cap in the budget page.
        demand: The host's demand.
        latency: Current duration of a store write in seconds.
    """
    covered_seconds = CONTACT_RESERVE_SECONDS + CONTACT_RESERVE_WRITES * latency
    spare = max(0, cap - demand.used)
    reserve = min(covered_seconds * demand.rate, MAX_CONTACT_FRACTION * spare)
    return demand.used + min(spare, int(reserve) + demand.wanted)


def is_running_low(cap: int, planned: Share, demand: Demand) -> bool:
    """Return whether a lender is nearly out of tokens and can raise its cap.

    Args:
        cap: The lender's current cap.
        planned: The share that the lender should hold.
        demand: The lender's demand.
    """
    remaining = cap - demand.used
    return (
        remaining < LOW_RESERVE_SECONDS * demand.rate
        and planned.cap - demand.used > 2 * remaining
    )


def needs_rebalance(cap: int, planned: Share, demand: Demand) -> bool:
    """Return whether a share differs enough from its plan to rewrite the page.

    Args:
        cap: The host's current cap.
        planned: The share that the host should hold.
        demand: The host's demand.
    """
    remaining = cap - demand.used
    planned_remaining = planned.cap - demand.used
    return abs(remaining - planned_remaining) > CAP_TOLERANCE * max(
        remaining, planned_remaining, 1
    )
