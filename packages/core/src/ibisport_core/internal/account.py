"""The account of one prepaid budget, as kept in the key-value service.

One record holds a whole account, so one compare-and-swap keeps the invariant

    closed_spent + sum(grant.granted for every session) <= topped_up

whatever is cut off, paused or dead: tokens that a router may still spend have
left the budget before the router knows of them. This is the escrow method of
O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986, with the
sessions of routers as holders. Every figure is cumulative and every write
carries its writer's sequence, so writing the same state twice changes nothing
and a lost answer is resolved by reading back.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

import orjson

from ibisport_core.errors import AccountInvalid, TopUpConflict

ACCOUNT_PREFIX = '/ibisport/budget/'


@dataclass(frozen=True, slots=True)
class Grant:
    """What one router session has drawn out of a budget.

    Attributes:
        granted: Tokens drawn so far, less those given back.
        spent: Tokens of the charges below ``floor``, all final.
        floor: Every charge with a lower sequence number is final.
        sequence: Number of the session's last write to this account.
        fenced: The session may draw and spend no more; recovery has begun.
    """

    granted: int = 0
    spent: int = 0
    floor: int = 0
    sequence: int = 0
    fenced: bool = False


@dataclass(frozen=True, slots=True)
class Account:
    """One budget: what was paid in, what is spent, who holds the rest."""

    topped_up: int = 0
    closed_spent: int = 0
    top_ups: Mapping[str, int] = field(default_factory=lambda: MappingProxyType({}))
    grants: Mapping[str, Grant] = field(default_factory=lambda: MappingProxyType({}))

    @property
    def remaining(self) -> int:
        """Tokens that nobody holds yet."""
        return self.topped_up - self.closed_spent - self.held

    @property
    def held(self) -> int:
        """Tokens drawn by sessions that are not closed, spent or not."""
        return sum(grant.granted for grant in self.grants.values())

    @property
    def stranded(self) -> int:
        """Tokens of fenced sessions of which it is not yet proved what ran."""
        fenced = (grant for grant in self.grants.values() if grant.fenced)
        return sum(grant.granted - grant.spent for grant in fenced)

    @property
    def spent(self) -> int:
        """Tokens known to be spent: a lower bound while sessions are open."""
        return self.closed_spent + sum(grant.spent for grant in self.grants.values())

    def top_up(self, top_up_id: str, tokens: int) -> 'Account':
        """Return the account with a payment added, once for each id.

        Args:
            top_up_id: The operator's id of the payment.
            tokens: How many tokens were paid for, above zero.

        Returns:
            The changed account, or this one when the id is known.

        Raises:
            TopUpConflict: The id is known with another amount.
            AccountInvalid: The amount is not above zero.
        """
        known = self.top_ups.get(top_up_id)
        if known == tokens:
            return self
        if known is not None:
            raise TopUpConflict(f'top-up {top_up_id} was of {known} tokens')
        if tokens <= 0:
            raise AccountInvalid('a top-up is of more than zero tokens')
        paid = {**self.top_ups, top_up_id: tokens}
        return replace(self, topped_up=self.topped_up + tokens, top_ups=paid)

    def with_grant(self, session: str, grant: Grant) -> 'Account':
        """Return the account with a session's grant replaced.

        Args:
            session: The router session that holds the grant.
            grant: Its new figures.

        Returns:
            The changed account.

        Raises:
            AccountInvalid: The budget would be overdrawn, or a cumulative
                figure would go back.
        """
        before = self.grants.get(session, Grant())
        if grant.spent < before.spent or grant.floor < before.floor:
            raise AccountInvalid('spent and floor never go back')
        if grant.granted < grant.spent:
            raise AccountInvalid('a grant is never below what is spent of it')
        changed = replace(self, grants={**self.grants, session: grant})
        if grant.granted > before.granted and changed.remaining < 0:
            raise AccountInvalid('the budget does not cover this grant')
        return changed

    def without_grant(self, session: str, spent: int) -> 'Account':
        """Return the account with a session closed at its final spend.

        Args:
            session: The session, known to spend no more.
            spent: All that it spent, in tokens.

        Returns:
            The changed account; this one when the session is closed already.

        Raises:
            AccountInvalid: More is said to be spent than was granted.
        """
        grant = self.grants.get(session)
        if grant is None:
            return self
        if not grant.spent <= spent <= grant.granted:
            raise AccountInvalid(f'{spent} spent of a grant of {grant.granted}')
        others = {name: held for name, held in self.grants.items() if name != session}
        closed = self.closed_spent + spent
        return replace(self, closed_spent=closed, grants=others)


def name_account(workspace: str, budget: str) -> str:
    """Return the store key of a budget's account."""
    return f'{ACCOUNT_PREFIX}{workspace}/{budget}'


def dump_account(account: Account) -> bytes:
    """Return the account as JSON, as it stands in the store."""
    return orjson.dumps(
        {
            'topped_up': account.topped_up,
            'closed_spent': account.closed_spent,
            'top_ups': dict(account.top_ups),
            'grants': dict(account.grants),
        }
    )


def load_account(content: bytes) -> Account:
    """Return the account that stands in the store.

    Raises:
        AccountInvalid: The content is not an account.
    """
    try:
        document = orjson.loads(content)
        return _build_account(document)
    except (ValueError, KeyError, TypeError) as error:
        raise AccountInvalid(f'unreadable account: {error}') from error


def _build_account(document: dict[str, Any]) -> Account:
    held = document['grants'].items()
    return Account(
        topped_up=int(document['topped_up']),
        closed_spent=int(document['closed_spent']),
        top_ups=MappingProxyType(document['top_ups']),
        grants=MappingProxyType({name: Grant(**grant) for name, grant in held}),
    )
