"""Sends a request to one target and says what became of it."""

import asyncio
from dataclasses import dataclass

from ibisport_fleet.calls import Call
from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.errors import ConnectionBroken, ConnectionFailed
from ibisport_fleet.http_connection import HttpConnection
from ibisport_fleet.http_messages import AnswerHead
from ibisport_fleet.metadata import AnswerMetadata, Dialect, SendMetadata
from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.target_limits import TargetLimits

# Connecting takes under 10 ms between failure domains; a lost packet is sent
# again after a second, a target that is gone never answers.
CONNECT_SECONDS = 0.35
FIRST_FAILURE_STATUS = 500
STATUS_OK = 200
STATUS_REDIRECT = 300
# Answers to earlier requests that may stand before ours on a kept connection.
MOST_STRAY_ANSWERS = 3


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection stood: the target never saw the request."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target proved that the request did not run.

    Attributes:
        misdirected: Another incarnation has the address now.
    """

    status: int
    misdirected: bool


@dataclass(frozen=True, slots=True)
class Broken:
    """The request was sent and no usable answer came: it may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Answered:
    """The head of the target's answer has come; its body follows."""

    exchange: HttpConnection
    head: AnswerHead
    terms: AnswerMetadata
    health: TargetHealth

    @property
    def succeeded(self) -> bool:
        """Whether the target says that the request was served."""
        return STATUS_OK <= self.head.status < STATUS_REDIRECT


Sent = NotSent | NotRun | Broken | Answered


class Sender:
    """Sends requests to targets over kept connections."""

    def __init__(
        self, dialect: Dialect, pool: ConnectionPool, limits: TargetLimits
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._limits = limits

    async def send(
        self, call: Call, candidate: Candidate, last_event_id: int | None
    ) -> Sent:
        """Send a request to one target and wait for the head of its answer.

        Args:
            call: The request.
            candidate: The target.
            last_event_id: The last event that the caller has, or None.
        """
        loop = asyncio.get_running_loop()
        health = candidate.health
        try:
            exchange = await self._connect(candidate, call.until)
        except ConnectionFailed as error:
            health.record_failure(loop.time())
            return NotSent(repr(error))
        try:
            self._write(exchange, call, candidate, last_event_id)
            return await self._read(exchange, call, health)
        except ConnectionBroken as error:
            exchange.close()
            health.record_failure(loop.time())
            return Broken(repr(error))
        except asyncio.CancelledError:
            exchange.close()
            raise

    def finish(self, answered: Answered) -> None:
        """Give a connection back after the whole answer was read."""
        if answered.head.keeps_open:
            self._pool.release(answered.exchange, answered.terms.idle_seconds)
        else:
            answered.exchange.close()

    async def _connect(self, candidate: Candidate, until: float) -> HttpConnection:
        address = candidate.entry.address
        kept = self._pool.acquire_idle(address)
        if kept is not None:
            return kept
        now = asyncio.get_running_loop().time()
        return await self._pool.open(address, min(until, now + CONNECT_SECONDS))

    def _write(
        self,
        exchange: HttpConnection,
        call: Call,
        candidate: Candidate,
        last_event_id: int | None,
    ) -> None:
        now = asyncio.get_running_loop().time()
        terms = SendMetadata(
            incarnation=candidate.entry.incarnation,
            workspace=None if call.workspace is None else call.workspace.name,
            seconds_left=call.left(now),
            urgency=call.urgency,
            last_event_id=last_event_id,
        )
        request = call.request
        headers = self._dialect.encode_send(request, call.terms, terms)
        start = request.method.encode() + b' ' + request.target + b' HTTP/1.1'
        exchange.send(start, headers, request.body)

    async def _read(
        self, exchange: HttpConnection, call: Call, health: TargetHealth
    ) -> Sent:
        for _ in range(MOST_STRAY_ANSWERS):
            head = await exchange.read_head()
            health.last_received_at = asyncio.get_running_loop().time()
            terms = self._dialect.decode_answer(head)
            if terms.request_id in (None, call.terms.request_id):
                if not terms.misdirected:
                    self._limits.apply_answer(call, health, terms.rate)
                return await self._judge(exchange, head, terms, health)
            # The late second answer of an earlier request: not ours.
            await exchange.read_body()
        raise ConnectionBroken('only answers to other requests came')

    async def _judge(
        self,
        exchange: HttpConnection,
        head: AnswerHead,
        terms: AnswerMetadata,
        health: TargetHealth,
    ) -> Sent:
        if terms.load is not None:
            health.record_load(terms.load, asyncio.get_running_loop().time())
        answered = Answered(exchange, head, terms, health)
        if terms.not_run:
            await exchange.read_body()
            self.finish(answered)
            if terms.misdirected:
                health.mark_replaced()
            return NotRun(head.status, terms.misdirected)
        if answered.succeeded and not (terms.signed and terms.request_id):
            raise ConnectionBroken('a success without a signature')
        return answered
