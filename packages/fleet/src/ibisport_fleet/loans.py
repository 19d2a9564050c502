"""Loans of tokens between routers, over HTTP on their own links.

The lender counts what it lends as spent, so a loan whose answer is lost, or whose
borrower dies, costs tokens and never overspends.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Annotated, Protocol

import msgspec

from ibisport_fleet.addresses import Address
from ibisport_fleet.peers import PeerClient, PeerHandler, decode_message

LOANS_PATH = b'/loans'
# The largest whole number that JSON carries exactly everywhere.
# A negative count would create tokens at the lender.
MAX_TOKENS = 2**53
_TokenCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """What a borrower asks for.

    Attributes:
        lender: The lender's process, as the borrower knows it.
        workspace: Whose tokens.
        tokens: How many are needed.
        repaid: Tokens of earlier loans of this process that come back unspent.
    """

    lender: str
    workspace: str
    tokens: _TokenCount
    repaid: _TokenCount = 0


@dataclass(frozen=True, slots=True)
class Loan:
    """What a lender answers.

    Attributes:
        tokens: Lent: all that was asked for, or none.
        used: Tokens of the budget known to be spent or reserved.
        certain: The lender reaches the store, so nobody else can bring the tokens
            any sooner.
    """

    tokens: _TokenCount
    used: _TokenCount
    certain: bool


class LoanPeer(Protocol):
    """Reaches other routers."""

    async def ask(
        self, address: Address, request: LoanRequest, deadline: float
    ) -> Loan:
        """Return a lender's answer.

        Raises:
            PeerUnavailable: No answer came by then.
        """


class LoanClient:
    """Asks lenders."""

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
    """Answers borrowers."""

    def __init__(self, lend: Callable[[LoanRequest], Awaitable[Loan]]) -> None:
        self._lend = lend

    @property
    def handlers(self) -> Mapping[bytes, PeerHandler]:
        """What takes borrowers' messages, by path."""
        return {LOANS_PATH: self._handle}

    async def _handle(self, content: bytes) -> bytes:
        loan = await self._lend(decode_message(content, LoanRequest))
        return msgspec.json.encode(loan)
