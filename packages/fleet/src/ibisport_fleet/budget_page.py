"""The budget page: the store record of how much each host holds of each budget.

The page holds the accounts of all workspaces, so one compare-and-swap maintains

    closed + sum(share.cap of every host) <= tokens paid for

for each workspace. Tokens are deducted from the budget before a router may spend
them (escrow: O'Neil, ACM TODS 11(4), 1986), so a router's cap bounds its spending
even if the router crashes.
"""

from dataclasses import dataclass, field, replace
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.token_counts import MAX_TOKENS, TokenCount

_Rate = Annotated[float, Meta(ge=0, le=MAX_TOKENS)]
# Tokens used, cap and rate.
_Share = tuple[TokenCount, TokenCount, _Rate]
_Sequence = Annotated[int, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class Share:
    """One host's part of one budget, in tokens since its process started.

    Attributes:
        used: Tokens spent, plus the maximum cost of running requests, when the page
            was written.
        cap: Upper bound of ``used`` in all circumstances.
        rate: Tokens per second that callers recently requested at this host.
    """

    used: int = 0
    cap: int = 0
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Account:
    """One workspace's budget.

    Attributes:
        closed: Tokens counted as spent by processes that have ended.
        shares: Shares of the running processes, by host name.
    """

    closed: int = 0
    shares: dict[str, Share] = field(default_factory=dict)

    def find_cap(self, host: str) -> int:
        """Return the cap of a host's share, or 0 if it has none."""
        return self.shares.get(host, Share()).cap

    @property
    def held(self) -> int:
        """Tokens deducted from the budget, spent or not."""
        return self.closed + sum(share.cap for share in self.shares.values())

    @property
    def used(self) -> int:
        """Tokens known to be spent or reserved."""
        return self.closed + sum(share.used for share in self.shares.values())


@dataclass(frozen=True, slots=True)
class Session:
    """The process that last wrote the page on behalf of a host.

    Attributes:
        incarnation: Random identifier of the process.
        sequence: Sequence number of its last write.
    """

    incarnation: str
    sequence: int


@dataclass(frozen=True, slots=True)
class BudgetPage:
    """The accounts by workspace name, and the sessions by host name."""

    accounts: dict[str, Account] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)

    def find(self, workspace: str) -> Account:
        """Return a workspace's account, or an empty one."""
        return self.accounts.get(workspace, Account())

    def close_session(self, host: str, spent: dict[str, int]) -> 'BudgetPage':
        """Return the page with an ended process's shares counted as spent.

        Args:
            host: The host whose process has ended.
            spent: Bounds of its spending by workspace name, where they are known to
                be lower than its caps.
        """
        accounts = {}
        for name, account in self.accounts.items():
            share = account.shares.get(host)
            if share is not None:
                counted = min(share.cap, spent.get(name, share.cap))
                others = {
                    other_host: other_share
                    for other_host, other_share in account.shares.items()
                    if other_host != host
                }
                account = Account(account.closed + counted, others)
            accounts[name] = account
        sessions = {
            other_host: other_session
            for other_host, other_session in self.sessions.items()
            if other_host != host
        }
        return BudgetPage(accounts, sessions)

    def count_closed(self, host: str, spent: dict[str, int]) -> tuple[int, int]:
        """Count the tokens that closing a host's session counts as spent.

        Args:
            host: The host whose process has ended.
            spent: Bounds of its spending, as for ``close_session``.

        Returns:
            The tokens of all workspaces, and how many of them the process hadn't used
            when it last wrote the page.
        """
        counted = 0
        unused = 0
        for name, account in self.accounts.items():
            share = account.shares.get(host, Share())
            bound = min(share.cap, spent.get(name, share.cap))
            counted += bound
            unused += max(0, bound - share.used)
        return counted, unused

    def with_shares(
        self, host: str, session: Session, shares: dict[str, Share]
    ) -> 'BudgetPage':
        """Return the page with a host's shares replaced; omits shares without a cap."""
        accounts = dict(self.accounts)
        for name, share in shares.items():
            account = self.find(name)
            shares = {**account.shares, host: share}
            if not share.cap:
                # Every write sends the page, and every conflict returns it. With the
                # empty shares of 30 hosts in 24 budgets the page was 20 KB: on a
                # low-bandwidth link a write took 80 ms, compared to 11 ms without the
                # page, and 4 of 5 writes conflicted.
                shares.pop(host)
            accounts[name] = replace(account, shares=shares)
        return BudgetPage(accounts, {**self.sessions, host: session})


class _Page(Struct):
    # Tokens of ended processes and shares by host name, by workspace name.
    accounts: dict[str, tuple[TokenCount, dict[str, _Share]]]
    # Incarnations and sequence numbers by host name.
    sessions: dict[str, tuple[str, _Sequence]]


_DECODER = msgspec.json.Decoder(_Page)


def encode_page(page: BudgetPage) -> bytes:
    """Encode a page for the store."""
    return msgspec.json.encode(
        {
            'accounts': {
                name: [account.closed, _encode_shares(account)]
                for name, account in page.accounts.items()
            },
            'sessions': {
                host: [session.incarnation, session.sequence]
                for host, session in page.sessions.items()
            },
        }
    )


def decode_page(content: bytes) -> BudgetPage:
    """Decode a page from the store.

    Raises:
        RecordInvalid: The content is not a valid budget page.
    """
    try:
        return _build_page(_DECODER.decode(content))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordInvalid(f'budget page: {error!r}') from error


def _encode_shares(account: Account) -> dict[str, list[float]]:
    return {
        host: [share.used, share.cap, round(share.rate, 1)]
        for host, share in account.shares.items()
    }


def _build_page(record: _Page) -> BudgetPage:
    accounts = {
        name: Account(closed, {host: Share(*share) for host, share in shares.items()})
        for name, (closed, shares) in record.accounts.items()
    }
    sessions = {
        host: Session(incarnation, sequence)
        for host, (incarnation, sequence) in record.sessions.items()
    }
    return BudgetPage(accounts, sessions)
