"""How much of a budget a host holds: decisions over a page, without a network."""

from dataclasses import dataclass

from ibisport_fleet.budgetpage import Account, Share

# What a host may spend without asking while it is in contact covers the time that
# a write takes when the store is slow; more would be lost in a crash (two seconds
# and a half of demand lost 0.08 of worth when all routers died).
CONTACT_SECONDS = 1.0
# And at most this part of what the host holds.
CONTACT_PART = 0.3
# While neither the store nor a relay can be reached a host lives on its cap: it
# carries it through nine seconds in which one workspace sends twice its usual.
ISOLATED_SECONDS = 20.0
# Share of the unspent rest that all hosts together hold. What is left over is
# drawn on demand; above it, hosts would strand what others need.
ISOLATED_SHARE = 0.5
# A host that saw no demand yet is taken for one that sees this share of the rest
# a second, so that it can answer its first requests in a partition.
PRIOR_RATE_SHARE = 0.002
# This part of the shares is even, the rest follows demand: single large prompts
# make short measurements of demand jump.
EVEN_PART = 0.4
# A cap is left as it is while it is within this factor of what is planned, so
# that hosts don't write the shared page for nothing.
TOLERANCE = 0.3


@dataclass(frozen=True, slots=True)
class Demand:
    """What a host needs of one budget.

    Attributes:
        used: Spent, and reserved at the most.
        rate: Tokens a second that callers ask for.
        wanted: Tokens that requests wait for now.
        usual: Tokens of a usual request; 0 if none has come.
    """

    used: int
    rate: float
    wanted: int = 0
    usual: float = 0.0


def measure_room(account: Account, budget: int, host: str) -> int:
    """Return up to which cap a host could raise its own."""
    own = account.shares.get(host, Share())
    return budget - (account.held - own.cap)


def plan_share(
    account: Account, budget: int, host: str, demand: Demand, hosts: int
) -> Share:
    """Return what a host should hold of a budget from now on.

    Args:
        account: The budget's account as it stands.
        budget: Tokens paid for in all.
        host: The host that asks.
        demand: What it needs.
        hosts: How many hosts draw on the budget.
    """
    held = account.shares.get(host, Share())
    room = max(0, measure_room(account, budget, host) - demand.used)
    unspent = max(0, budget - (account.used - held.used) - demand.used)
    even = 1 / max(1, hosts)
    prior = PRIOR_RATE_SHARE * unspent * even
    everyone = account.rate - held.rate + demand.rate + prior / even
    by_demand = (demand.rate + prior) / everyone if everyone > 0 else even
    part = by_demand * (1 - EVEN_PART) + even * EVEN_PART
    planned = min(
        ISOLATED_SECONDS * (demand.rate + prior), ISOLATED_SHARE * unspent * part
    )
    if planned < demand.usual:
        # A share that covers no usual request serves nobody here, and is missed
        # where one comes: the last twentieth of a budget was held in such pieces.
        planned = 0.0
    cap = demand.used + min(room, max(int(planned), demand.wanted))
    return Share(demand.used, cap, demand.rate)


def plan_contact_cap(cap: int, demand: Demand) -> int:
    """Return what a host may spend without asking while it is in contact.

    Args:
        cap: What it holds.
        demand: What it needs.
    """
    spare = max(0, cap - demand.used)
    usual = min(CONTACT_SECONDS * demand.rate, CONTACT_PART * spare)
    return demand.used + min(spare, max(int(usual), demand.wanted))


def needs_page(cap: int, planned: Share, demand: Demand) -> bool:
    """Whether a host's share is worth a write of the shared page.

    Args:
        cap: What it holds.
        planned: What it should hold.
        demand: What it needs.
    """
    have = cap - demand.used
    want = planned.cap - demand.used
    return abs(have - want) > TOLERANCE * max(have, want, 1)
