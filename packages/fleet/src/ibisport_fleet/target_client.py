"""Sends a request to one target and reports the outcome."""

import asyncio
from dataclasses import dataclass

from ibisport_fleet.calls import Call
from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.errors import (
    CallerLeft,
    ConnectionBroken,
    ConnectionFailed,
    FleetError,
    NobodyListens,
)
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.http_connection import HttpConnection
from ibisport_fleet.http_messages import AnswerHead
from ibisport_fleet.metadata import AnswerMetadata, Dialect, SendMetadata
from ibisport_fleet.overload.answer_charge import PartCharge
from ibisport_fleet.overload.memory_budget import Part
from ibisport_fleet.rate_shares.target_limits import TargetLimits
from ibisport_fleet.stream_versions.origin import permits
from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.target_pauses import apply_pause

# Connecting takes less than 10 ms between failure domains. A lost packet is sent again
# only after a second, and a target that is gone never answers.
CONNECT_TIMEOUT_SECONDS = 0.35
FIRST_FAILURE_STATUS = 500
STATUS_OK = 200
STATUS_REDIRECT = 300
# Answers to earlier requests that may precede the expected one on a reused connection.
MAX_STRAY_ANSWERS = 3


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection could be opened, so the target never got the request.

    Attributes:
        reason: A description for logs.
        absent: Whether the host answered that no process listens at the address.
    """

    reason: str
    absent: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target confirmed that it did not execute the request.

    Attributes:
        misdirected: Whether another incarnation has the address now.
    """

    status: int
    misdirected: bool


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request was sent without a usable answer: it may have been executed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Answered:
    """The head of the target's answer has arrived; its body follows."""

    connection: HttpConnection
    head: AnswerHead
    metadata: AnswerMetadata
    health: TargetHealth

    @property
    def succeeded(self) -> bool:
        """Whether the status of the answer is a success."""
        return STATUS_OK <= self.head.status < STATUS_REDIRECT


SendOutcome = NotSent | NotRun | OutcomeUnknown | Answered


class TargetClient:
    """Sends requests to targets over pooled connections."""

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        limits: TargetLimits,
        log: EventLog,
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._limits = limits
        self._log = log

    async def send(
        self, call: Call, candidate: Candidate, last_event_id: int | None
    ) -> SendOutcome:
        """Send a request to one target and wait for the head of its answer.

        A stream that has begun is sent only to targets with the same software.

        Args:
            call: The request.
            candidate: The target.
            last_event_id: Id of the last event that the caller got, or None.

        Raises:
            CallerLeft: Nobody waits for the answer any more; nothing was sent.
        """
        if not permits(call.origin, candidate.entry):
            return NotSent('the stream began with other software')
        candidate.health.awaiting += 1
        try:
            return await self._send(call, candidate, last_event_id)
        finally:
            candidate.health.awaiting -= 1

    async def _send(
        self, call: Call, candidate: Candidate, last_event_id: int | None
    ) -> SendOutcome:
        loop = asyncio.get_running_loop()
        health = candidate.health
        try:
            connection = await self._connect(candidate, call)
        except ConnectionFailed as error:
            health.record_failure(loop.time())
            return NotSent(repr(error), isinstance(error, NobodyListens))
        # What the target sends counts for the caller until it has taken it.
        memory = call.request.memory
        memory.assign(None if call.workspace is None else call.workspace.name)
        connection.charge(PartCharge(memory, Part.upstream))
        try:
            self._write_request(connection, call, candidate, last_event_id)
            return await self._read_answer(connection, call, health)
        except ConnectionBroken as error:
            connection.close()
            health.record_failure(loop.time())
            return OutcomeUnknown(repr(error))
        except (FleetError, asyncio.CancelledError):
            connection.close()
            raise
        except Exception as error:
            connection.close()
            return self.record_error(call, error)

    def record_error(self, call: Call, error: Exception) -> OutcomeUnknown:
        """Record an unforeseen error of a send, whose outcome isn't known then."""
        self._log.write_error(
            Event.request_error, error, request=call.metadata.request_id
        )
        return OutcomeUnknown(repr(error))

    def release(self, answered: Answered) -> None:
        """Return a connection to the pool after its answer was read completely."""
        if answered.head.keeps_open:
            self._pool.release(answered.connection, answered.metadata.idle_seconds)
        else:
            answered.connection.close()

    async def _connect(self, candidate: Candidate, call: Call) -> HttpConnection:
        address = candidate.entry.address
        call.check_caller()
        pooled = self._pool.acquire_idle(address)
        if pooled is not None:
            return pooled
        now = asyncio.get_running_loop().time()
        connection = await self._pool.open(
            address, min(call.deadline, now + CONNECT_TIMEOUT_SECONDS)
        )
        try:
            call.check_caller()
        except CallerLeft:
            self._pool.release(connection, None)
            raise
        return connection

    def _write_request(
        self,
        connection: HttpConnection,
        call: Call,
        candidate: Candidate,
        last_event_id: int | None,
    ) -> None:
        now = asyncio.get_running_loop().time()
        metadata = SendMetadata(
            incarnation=candidate.entry.incarnation,
            workspace=None if call.workspace is None else call.workspace.name,
            seconds_left=call.remaining_seconds(now),
            urgency=call.urgency,
            last_event_id=last_event_id,
            cache_source=call.cache_source,
            backup=call.backup,
            continued_from=call.continued_from,
        )
        request = call.request
        headers = self._dialect.encode_send(request, call.metadata, metadata)
        request_line = request.method.encode() + b' ' + request.target + b' HTTP/1.1'
        connection.send(request_line, headers, request.body)

    async def _read_answer(
        self, connection: HttpConnection, call: Call, health: TargetHealth
    ) -> SendOutcome:
        for _ in range(MAX_STRAY_ANSWERS):
            head = await connection.read_head()
            health.last_received_at = asyncio.get_running_loop().time()
            metadata = self._dialect.decode_answer(head)
            if metadata.request_id in (None, call.metadata.request_id):
                if not metadata.misdirected:
                    self._apply_answer(call, health, head, metadata)
                return await self._classify_answer(connection, head, metadata, health)
            # A late second answer to an earlier request.
            await connection.read_body()
        raise ConnectionBroken('only answers to other requests came')

    def _apply_answer(
        self,
        call: Call,
        health: TargetHealth,
        head: AnswerHead,
        metadata: AnswerMetadata,
    ) -> None:
        """Apply what an answer says about its target."""
        now = asyncio.get_running_loop().time()
        if metadata.load is not None:
            health.record_load(metadata.load, now)
        self._limits.apply_answer(call, health, metadata.rate)
        health.leaving = health.leaving or metadata.leaving
        apply_pause(metadata.pause, call.target or '', health, now, self._log)
        if metadata.not_run or head.status >= FIRST_FAILURE_STATUS:
            health.record_rejection(now)
        else:
            health.record_accepted(now)

    async def _classify_answer(
        self,
        connection: HttpConnection,
        head: AnswerHead,
        metadata: AnswerMetadata,
        health: TargetHealth,
    ) -> SendOutcome:
        answered = Answered(connection, head, metadata, health)
        if metadata.not_run:
            await connection.read_body()
            self.release(answered)
            if metadata.misdirected:
                health.mark_replaced()
            return NotRun(head.status, metadata.misdirected)
        if answered.succeeded and not (metadata.signed and metadata.request_id):
            raise ConnectionBroken('a success without a signature')
        return answered
