"""How much of a budget a host holds: decisions over a page, without a network."""

from dataclasses import dataclass

from ibisport_fleet.budgetpage import Account, Row

# While the store can't be reached a host lives on what it holds. Its contact cap
# carries it until its proof of contact has lapsed, 3 s after the last write that
# is up to 1 s old; half as much again is for bursts.
CONTACT_SECONDS = 0.6
BURST = 1.5
# Its isolated cap carries it through a partition of nine seconds in which one
# workspace sends several times its usual.
ISOLATED_SECONDS = 24.0
# Shares of the unspent rest that all hosts together may hold. What is left over
# is drawn on demand; above these, hosts would strand what others need.
CONTACT_SHARE = 0.15
ISOLATED_SHARE = 0.5
# A host that saw no demand yet is taken for one that sees this share of the rest
# a second, so that it can answer its first requests in a partition.
PRIOR_RATE_SHARE = 0.002


EVEN_PART = 0.4


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


def measure_unspent(account: Account, budget: int) -> int:
    """Return the tokens that nobody has spent or reserved, as far as is known."""
    return max(0, budget - account.used)


def plan_row(
    account: Account, budget: int, host: str, demand: Demand, hosts: int
) -> Row:
    """Return what a host should hold of a budget from now on.

    Args:
        account: The budget's account as it stands.
        budget: Tokens paid for in all.
        host: The host that asks.
        demand: What it needs.
        hosts: How many hosts draw on the budget.
    """
    held = account.rows.get(host, Row())
    others = account.held - held.isolated_cap
    room = max(0, budget - others - demand.used)
    unspent = max(0, budget - (account.used - held.used) - demand.used)
    prior = PRIOR_RATE_SHARE * unspent / max(1, hosts)
    rate = demand.rate + prior
    everyone = account.rate - held.rate + demand.rate + prior * max(1, hosts)
    even = 1 / max(1, hosts)
    share = (rate / everyone if everyone > 0 else even) * (1 - EVEN_PART) + even * EVEN_PART
    contact = min(CONTACT_SECONDS * BURST * rate, CONTACT_SHARE * unspent * share)
    contact = min(room, max(int(contact), demand.wanted))
    isolated = min(ISOLATED_SECONDS * rate, ISOLATED_SHARE * unspent * share)
    isolated = min(room - contact, int(isolated))
    contact_cap = demand.used + contact
    return Row(demand.used, contact_cap, contact_cap + isolated, demand.rate)
