"""Loans of tokens between routers, over direct HTTP connections.

A lender counts lent tokens as spent. A loan whose answer is lost, or whose borrower
dies, therefore wastes tokens but never overspends a budget.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec

from ibisport_fleet.addresses import Address
from ibisport_fleet.peers import PeerClient, PeerHandler, decode_message
from ibisport_fleet.token_counts import TokenCount

LOANS_PATH = b'/loans'


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A borrower's request for tokens, a repayment, or both.

    Attributes:
        lender: Incarnation of the lender's process that the request is meant for.
        workspace: Name of the workspace whose tokens are lent.
        tokens: Number of tokens requested.
        repaid: Unspent tokens from earlier loans of that process.
        ahead: Tokens for requests still to come, lent only as far as the lender can
            spare them.
    """

    lender: str
    workspace: str
    tokens: TokenCount
    repaid: TokenCount = 0
    ahead: TokenCount = 0


@dataclass(frozen=True, slots=True)
class Loan:
    """A lender's answer.

    Attributes:
        tokens: Tokens lent: all that were requested and those lent ahead, or 0.
        used: Tokens of the budget known to be spent or reserved.
        certain: Whether the lender reaches the store. If so, no other router can
            provide the tokens sooner.
        lends: Whether the process that answers is the one that was asked, and lends
            at all.
        scarce: Whether the budget is nearly spent, so that tokens held ahead of demand
            should be returned.
    """

    tokens: TokenCount
    used: TokenCount
    certain: bool
    lends: bool = True
    scarce: bool = False


class LoanPeer(Protocol):
    """Transport that carries loan requests to other routers."""

    async def ask(
        self, address: Address, request: LoanRequest, deadline: float
    ) -> Loan:
        """Return a lender's answer.

        Raises:
            PeerUnavailable: No answer arrived before the deadline.
        """


class LoanClient:
    """Sends loan requests to lenders over HTTP."""

    def __init__(self, peers: PeerClient) -> None:
        self._peers = peers

    async def ask(
        self, address: Address, request: LoanRequest, deadline: float
    ) -> Loan:
        """Return a lender's answer; see ``LoanPeer``."""
        content = msgspec.json.encode(request)
        answer = await self._peers.ask(address, LOANS_PATH, content, deadline)
        return decode_message(answer, Loan)


class LoanServer:
    """Handles loan requests from borrowers."""

    def __init__(self, lend: Callable[[LoanRequest], Awaitable[Loan]]) -> None:
        self._lend = lend

    @property
    def handlers(self) -> Mapping[bytes, PeerHandler]:
        """Handlers of loan requests by path."""
        return {LOANS_PATH: self._handle}

    async def _handle(self, content: bytes) -> bytes:
        loan = await self._lend(decode_message(content, LoanRequest))
        return msgspec.json.encode(loan)
