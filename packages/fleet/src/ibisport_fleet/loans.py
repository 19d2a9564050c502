"""Loans of tokens between routers, over HTTP on their own links.

The lender counts what it lends as spent, so a loan whose answer is lost, or whose
borrower dies, costs tokens and never overspends.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated, Protocol, TypeVar

import msgspec

from ibisport_fleet.addresses import Address
from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.connections import ConnectionTasks
from ibisport_fleet.errors import (
    ConnectionBroken,
    ConnectionFailed,
    FleetError,
    PeerUnavailable,
)
from ibisport_fleet.eventlog import EventLog
from ibisport_fleet.messages import Headers
from ibisport_fleet.pool import ConnectionPool
from ibisport_fleet.requestreader import RequestReader

START = b'POST /loans HTTP/1.1'
HEADERS: Headers = ((b'host', b'router'), (b'content-type', b'application/json'))
ANSWER = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n'
)
# A loan is a hundred bytes.
LOAN_LIMITS = Limits(most_header_bytes=1_024, most_body_bytes=4_096)
# Lenders keep connections open for so long; borrowers give them up before.
IDLE_SECONDS = 30.0
POOLED_SECONDS = 20.0
# Connecting takes under 5 ms between failure domains.
CONNECT_SECONDS = 0.1
# The largest whole number that JSON carries exactly everywhere.
# A negative count would create tokens at the lender.
MOST_TOKENS = 2**53
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MOST_TOKENS)]


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
    tokens: _Tokens
    repaid: _Tokens = 0


@dataclass(frozen=True, slots=True)
class Loan:
    """What a lender answers.

    Attributes:
        tokens: Lent: all that was asked for, or none.
        used: Tokens of the budget known to be spent or reserved.
        certain: The lender reaches the store, so nobody else can bring the tokens
            any sooner.
    """

    tokens: _Tokens
    used: _Tokens
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
    """Asks lenders over kept connections."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def ask(
        self, address: Address, request: LoanRequest, deadline: float
    ) -> Loan:
        """Return a lender's answer; see ``LoanPeer``."""
        loop = asyncio.get_running_loop()
        connect_until = min(deadline, loop.time() + CONNECT_SECONDS)
        try:
            exchange = self._pool.take(address) or await self._pool.open(
                address, connect_until
            )
        except ConnectionFailed as error:
            raise PeerUnavailable(repr(error)) from error
        try:
            async with asyncio.timeout_at(deadline):
                answer = await exchange.ask(
                    START, HEADERS, msgspec.json.encode(request)
                )
            loan = _decode(answer.body, Loan)
        except (ConnectionBroken, TimeoutError, PeerUnavailable) as error:
            exchange.close()
            raise PeerUnavailable(repr(error)) from error
        except asyncio.CancelledError:
            exchange.close()
            raise
        self._pool.keep(exchange, POOLED_SECONDS)
        return loan


class LoanServer:
    """Accepts borrowers' connections.

    Attributes:
        connections: The connections of other routers.
    """

    def __init__(
        self, lend: Callable[[LoanRequest], Awaitable[Loan]], log: EventLog
    ) -> None:
        self._lend = lend
        self.connections = ConnectionTasks(self._serve, 'loans', log)

    async def _serve(self, channel: Channel) -> None:
        reader = RequestReader(channel, LOAN_LIMITS)
        try:
            async with asyncio.timeout(IDLE_SECONDS) as timer:
                while (request := await reader.read()) is not None:
                    loan = await self._lend(_decode(request.body, LoanRequest))
                    content = msgspec.json.encode(loan)
                    channel.write(ANSWER % len(content) + content)
                    timer.reschedule(asyncio.get_running_loop().time() + IDLE_SECONDS)
        except (FleetError, TimeoutError):
            # The borrower sees its connection end and asks elsewhere.
            channel.abort()


_Message = TypeVar('_Message', Loan, LoanRequest)


def _decode(content: bytes, kind: type[_Message]) -> _Message:
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PeerUnavailable(f'unreadable message: {error!r}') from error
