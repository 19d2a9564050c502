"""How much of a budget a host holds: decisions over a page, without a network."""

from dataclasses import dataclass

from ibisport_fleet.budget_page import Account, Share

# What a host may spend without asking while it is in contact covers half a second and
# this many writes; more would be lost in a crash. Two writes may pass before what a
# request needs is written, and as many again before a conflict is settled.
CONTACT_RESERVE_SECONDS = 0.5
CONTACT_RESERVE_WRITES = 4
# And at most this part of what the host holds.
MAX_CONTACT_FRACTION = 0.3
# While the store can't be reached a lender lives on its cap. A longer reserve would
# bridge longer outages, and a lender that dies in one strands what is left of it.
ISOLATED_RESERVE_SECONDS = 6.0
# And at most this share of the unspent rest: a lender that dies in an outage strands
# what is left of it.
MAX_ISOLATED_FRACTION = 0.35
# A lender that saw no demand yet is taken for one that sees this share of the rest
# a second, so that it can answer the first requests in a partition.
PRIOR_RATE_FRACTION_PER_SECOND = 0.002
# Below so much demand a lender's share is raised at once, and not only when it is
# balanced: under a flood every write is one that requests wait for.
LOW_RESERVE_SECONDS = 3.0
# A cap is left as it is while it is within this factor of what is planned, so
# that hosts don't write the shared page for nothing.
CAP_TOLERANCE = 0.3


@dataclass(frozen=True, slots=True)
class Demand:
    """What a host needs of one budget.

    Attributes:
        used: Spent, and reserved at the most.
        rate: Tokens a second that callers ask for.
        wanted: Tokens that requests wait for now.
    """

    used: int
    rate: float
    wanted: int = 0


def compute_max_cap(account: Account, budget: int, host: str) -> int:
    """Return up to which cap a host could raise its own."""
    own = account.shares.get(host, Share())
    return budget - (account.held - own.cap)


def plan_share(
    account: Account, budget: int, host: str, demand: Demand, *, lends: bool
) -> Share:
    """Return what a host should hold of a budget from now on.

    Args:
        account: The budget's account as it stands.
        budget: Tokens paid for in all.
        host: The host that asks.
        demand: What it needs; at a lender that is what all routers need.
        lends: The host holds the unspent rest for all routers.
    """
    held = account.shares.get(host, Share())
    room = max(0, compute_max_cap(account, budget, host) - demand.used)
    planned = 0
    if lends:
        unspent = max(0, budget - (account.used - held.used) - demand.used)
        rate = demand.rate + PRIOR_RATE_FRACTION_PER_SECOND * unspent
        planned = int(
            min(ISOLATED_RESERVE_SECONDS * rate, MAX_ISOLATED_FRACTION * unspent)
        )
    cap = demand.used + min(room, max(planned, demand.wanted))
    return Share(demand.used, cap, demand.rate)


def plan_contact_cap(cap: int, demand: Demand, latency: float = 0.0) -> int:
    """Return what a host may spend without asking while it is in contact.

    Args:
        cap: What it holds.
        demand: What it needs.
        latency: How long a write takes now, seconds.
    """
    covered = CONTACT_RESERVE_SECONDS + CONTACT_RESERVE_WRITES * latency
    spare = max(0, cap - demand.used)
    usual = min(covered * demand.rate, MAX_CONTACT_FRACTION * spare)
    return demand.used + min(spare, int(usual) + demand.wanted)


def is_running_low(cap: int, planned: Share, demand: Demand) -> bool:
    """Whether a lender's share is about to end though it could hold more.

    Args:
        cap: What it holds.
        planned: What it should hold.
        demand: What it needs.
    """
    have = cap - demand.used
    return (
        have < LOW_RESERVE_SECONDS * demand.rate
        and planned.cap - demand.used > 2 * have
    )


def needs_rebalance(cap: int, planned: Share, demand: Demand) -> bool:
    """Whether a host's share is worth a write of the shared page.

    Args:
        cap: What it holds.
        planned: What it should hold.
        demand: What it needs.
    """
    have = cap - demand.used
    want = planned.cap - demand.used
    return abs(have - want) > CAP_TOLERANCE * max(have, want, 1)
