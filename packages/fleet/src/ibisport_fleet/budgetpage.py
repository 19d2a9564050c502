"""The page of all budgets in the store: who may spend how much of which.

One record holds every workspace's account, so one compare-and-swap keeps

    closed + sum(row.isolated_cap of every host) <= tokens paid for

for each of them: tokens that a router may still spend have left the budget
before the router knows of them (escrow: O'Neil, ACM TODS 11(4), 1986). Whatever
happens to a router, its row bounds what it can have spent.
"""

from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from ibisport_fleet.errors import RecordInvalid


@dataclass(frozen=True, slots=True)
class Row:
    """What one host holds of one budget, in tokens since its process began.

    Attributes:
        used: Spent, and reserved at the most, when the row was written.
        contact_cap: Bound of ``used`` while the host's proof of contact lives.
        isolated_cap: Bound of ``used`` in any case, at least ``contact_cap``.
        rate: Tokens a second that callers have lately asked for at this host.
    """

    used: int = 0
    contact_cap: int = 0
    isolated_cap: int = 0
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Account:
    """One workspace's budget.

    Attributes:
        closed: Tokens counted as spent by processes that have ended.
        rows: What hosts hold, by the host's name.
    """

    closed: int = 0
    rows: dict[str, Row] = field(default_factory=dict)

    @property
    def held(self) -> int:
        """Tokens that have left the budget."""
        return self.closed + sum(row.isolated_cap for row in self.rows.values())

    @property
    def used(self) -> int:
        """Tokens known to be spent or reserved."""
        return self.closed + sum(row.used for row in self.rows.values())

    @property
    def rate(self) -> float:
        """Tokens a second that callers ask for at all hosts."""
        return sum(row.rate for row in self.rows.values())


@dataclass(frozen=True, slots=True)
class Session:
    """The process of a host that last wrote.

    Attributes:
        incarnation: Drawn at the start of the process.
        sequence: Number of its last write.
    """

    incarnation: str
    sequence: int


@dataclass(frozen=True, slots=True)
class BudgetPage:
    """All accounts, and the sessions of all hosts."""

    accounts: dict[str, Account] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)

    def close_session(self, host: str, proved: bool) -> 'BudgetPage':
        """Return the page with a dead process's rows counted as spent.

        Args:
            host: The host whose process has ended.
            proved: Its proof of contact still lived, so it can't have gone
                beyond its contact caps.
        """
        accounts = {}
        for name, account in self.accounts.items():
            row = account.rows.get(host)
            if row is not None:
                lost = row.contact_cap if proved else row.isolated_cap
                rows = {
                    other: one for other, one in account.rows.items() if other != host
                }
                account = Account(account.closed + lost, rows)
            accounts[name] = account
        sessions = {one: held for one, held in self.sessions.items() if one != host}
        return BudgetPage(accounts, sessions)

    def with_rows(
        self, host: str, session: Session, rows: dict[str, Row]
    ) -> 'BudgetPage':
        """Return the page with all rows of a host replaced."""
        accounts = dict(self.accounts)
        for name, row in rows.items():
            account = accounts.get(name, Account())
            accounts[name] = replace(account, rows={**account.rows, host: row})
        return BudgetPage(accounts, {**self.sessions, host: session})


def dump_page(page: BudgetPage) -> bytes:
    """Return the page as it stands in the store."""
    return msgspec.json.encode(
        {
            'accounts': {
                name: [account.closed, _dump_rows(account)]
                for name, account in page.accounts.items()
            },
            'sessions': {
                host: [session.incarnation, session.sequence]
                for host, session in page.sessions.items()
            },
        }
    )


def load_page(content: bytes) -> BudgetPage:
    """Return the page that stands in the store.

    Raises:
        RecordInvalid: The content is no page.
    """
    try:
        document = msgspec.json.decode(content)
        return _build_page(document)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
        raise RecordInvalid(f'budget page: {error!r}') from error


def _dump_rows(account: Account) -> dict[str, list[float]]:
    return {
        host: [row.used, row.contact_cap, row.isolated_cap, round(row.rate, 1)]
        for host, row in account.rows.items()
    }


def _build_page(document: dict[str, Any]) -> BudgetPage:
    accounts = {}
    for name, (closed, rows) in document['accounts'].items():
        built = {
            host: Row(int(used), int(contact), int(isolated), float(rate))
            for host, (used, contact, isolated, rate) in rows.items()
        }
        accounts[name] = Account(int(closed), built)
    sessions = {
        host: Session(str(incarnation), int(sequence))
        for host, (incarnation, sequence) in document['sessions'].items()
    }
    return BudgetPage(accounts, sessions)
