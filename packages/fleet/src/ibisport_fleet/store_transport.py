"""Sends store calls over the ways that work, on kept connections."""

import asyncio
from collections.abc import Sequence

from ibisport_fleet.addresses import Address
from ibisport_fleet.content_coding import ACCEPT_HEADERS, decode_body
from ibisport_fleet.errors import (
    ChangesTooLong,
    ConnectionBroken,
    ConnectionFailed,
    NobodyListens,
    StoreError,
    StoreUnavailable,
    StoreUnknown,
)
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.http_connection import (
    MAX_BODY_BYTES,
    HttpConnection,
    open_http_connection,
)
from ibisport_fleet.http_messages import Answer
from ibisport_fleet.store_call import (
    MAX_SILENCE_SECONDS,
    MIN_MEASURED_SECONDS,
    CallAttempt,
    StoreCall,
)
from ibisport_fleet.store_paths import StorePaths

# Connecting takes a few milliseconds; a path that drops packets never answers.
CONNECT_TIMEOUT_SECONDS = 0.15
# The store did nothing: it is down, or turns this host away.
REFUSAL_STATUSES = frozenset((429, 503))
# A call that takes so much longer than usual is sent on a second way as well, which
# answers soon in a partition; a write that is done twice shows, since each is
# conditional.
MIN_HEDGE_DELAY_SECONDS = 0.1
HEDGE_DELAY_FACTOR = 2.5
LATENCY_WEIGHT = 0.2
# Hosts without a relay that are tried before a shared watch goes to the next way.
MAX_MISSING_RELAYS = 4
# Two watches, a write, a lease and the list of routers are on their way at once. With
# two connections kept, the others were opened anew for each call.
MAX_IDLE_CONNECTIONS = 6
# Answers that take longer from their first byte to their last are logged.
SLOW_ANSWER_SECONDS = 0.5


class StoreTransport:
    """Sends calls and remembers which ways work."""

    def __init__(self, paths: StorePaths, log: EventLog) -> None:
        self._paths = paths
        self._log = log
        self._idle: dict[Address, list[HttpConnection]] = {}
        self._in_flight: dict[HttpConnection, CallAttempt] = {}
        self._latency = 0.0
        paths.on_direct_lost = self._close_direct_connections

    async def send(self, call: StoreCall) -> Answer:
        """Return the first answer that comes on any way.

        Raises:
            StoreUnavailable: Nothing was done.
            StoreUnknown: No answer came, and the call may have been executed.
        """
        loop = asyncio.get_running_loop()
        if call.shared_prefix:
            ways = await self._find_shared_paths(call.shared_prefix)
        else:
            ways = self._paths.list_paths(loop.time())
        deadline = loop.time() + call.timeout_seconds
        race = _HedgedCall(self, call, ways, deadline)
        try:
            answer = await race.run()
        except ChangesTooLong:
            self._record_shared_failure(call, race, ways[0])
            raise
        self._record_shared_failure(call, race, ways[0])
        return answer

    def _record_shared_failure(
        self, call: StoreCall, race: '_HedgedCall', first: Address
    ) -> None:
        """Ask a relay less if it failed where another way has answered.

        While the store is away all ways fail alike, and the relay is no worse.
        """
        if call.shared_prefix and first in race.failed_paths:
            self._paths.record_shared_failure(first, asyncio.get_running_loop().time())

    async def _find_shared_paths(self, prefix: str) -> list[Address]:
        """Return the ways for a shared watch, beginning with a relay that listens.

        Relays are named by the hosts of targets, some of which have none. Each costs a
        millisecond to find out, and a watch of the store if that is asked instead.
        """
        loop = asyncio.get_running_loop()
        ways = self._paths.list_shared_paths(prefix, loop.time())
        for _ in range(MAX_MISSING_RELAYS):
            if ways[0] == self._paths.direct or not await self._is_relay_missing(
                ways[0]
            ):
                break
            self._paths.record_missing_relay(ways[0], loop.time())
            ways = self._paths.list_shared_paths(prefix, loop.time())
        return ways

    async def _is_relay_missing(self, address: Address) -> bool:
        """Whether nobody listens at an address; a connection is kept for the call."""
        until = asyncio.get_running_loop().time() + CONNECT_TIMEOUT_SECONDS
        try:
            exchange = await self._acquire(address, until)
        except NobodyListens:
            return True
        except ConnectionFailed:
            return False
        self._idle[address].append(exchange)
        return False

    async def probe(self, call: StoreCall) -> bool:
        """Whether a call is answered on the straight way."""
        until = asyncio.get_running_loop().time() + call.timeout_seconds
        try:
            await self.send_on_path(CallAttempt(self._paths.direct, call, until), until)
        except StoreError:
            return False
        return True

    def compute_hedge_delay(self) -> float:
        """Return after how many seconds a second way is tried as well."""
        return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_FACTOR * self._latency)

    def record_slow_path(self, address: Address) -> None:
        """Note that another way answered first."""
        self._record_failure(address)

    async def send_on_path(self, attempt: CallAttempt, until: float) -> Answer:
        """Send a call on one way.

        Args:
            attempt: The call and the way.
            until: Loop time by which the answer must begin.

        Raises:
            StoreUnavailable: Nothing was sent, or the store did nothing.
            StoreUnknown: It was sent, and no whole answer came.
            ChangesTooLong: Its answer is longer than the call allows.
        """
        loop = asyncio.get_running_loop()
        address, call = attempt.address, attempt.call
        try:
            exchange = await self._acquire(address, until)
        except ConnectionFailed as error:
            self._record_failure(address)
            raise StoreUnavailable(repr(error)) from error
        begun = loop.time()
        self._paths.count_attempt(call.kind, address)
        self._in_flight[exchange] = attempt
        headers = call.headers
        if address != self._paths.direct:
            headers = (*headers, *ACCEPT_HEADERS)
        try:
            async with attempt.timeout:
                answer = await exchange.request(
                    call.request_line, headers, call.body, attempt
                )
            body = decode_body(answer, MAX_BODY_BYTES)
        except ChangesTooLong as error:
            self._log_cut_answer(attempt, error)
            raise
        except (ConnectionBroken, TimeoutError) as error:
            self._in_flight.pop(exchange)
            self._record_failure(address)
            self._log_cut_answer(attempt, error)
            raise StoreUnknown(f'{call.request_line!r}: {error!r}') from error
        finally:
            self._in_flight.pop(exchange, None)
            self._release(exchange)
        if answer.head.status in REFUSAL_STATUSES:
            self._paths.record_failure(address, loop.time())
            raise StoreUnavailable(f'the store answered {answer.head.status}')
        if not call.long_poll:
            # How long the answer is says nothing of the way.
            first = (attempt.first_received_at or loop.time()) - begun
            self._latency += LATENCY_WEIGHT * (first - self._latency)
        self._paths.record_answer(address)
        self._log_slow_answer(attempt)
        return Answer(answer.head, body)

    def _log_cut_answer(self, attempt: CallAttempt, error: Exception) -> None:
        """Write down an answer that ended midway."""
        if attempt.first_received_at is not None:
            self._log.write(
                Event.answer_cut, reason=repr(error), **self._describe(attempt)
            )

    def _log_slow_answer(self, attempt: CallAttempt) -> None:
        if attempt.transfer_seconds >= SLOW_ANSWER_SECONDS:
            self._log.write(Event.answer_slow, **self._describe(attempt))

    def _describe(self, attempt: CallAttempt) -> dict[str, object]:
        straight = attempt.address == self._paths.direct
        return {
            'kind': attempt.call.kind.value,
            'way': 'straight' if straight else attempt.address[0],
            'bytes': attempt.received,
            'of': attempt.length,
            'seconds': round(attempt.transfer_seconds, 3),
        }

    def _record_failure(self, address: Address) -> None:
        """Note that a call failed on a way, unless the way carries another answer.

        A large catalogue fills a narrow link for a second, and small calls beside it
        come late. Were the way given up for them, the large answer would be dropped
        and asked for again on another way, over the same link.
        """
        if not self._is_receiving(address):
            self._paths.record_failure(address, asyncio.get_running_loop().time())

    def _is_receiving(self, address: Address) -> bool:
        """Whether an answer is coming on a way."""
        return any(
            attempt.address == address and not attempt.is_silent(MAX_SILENCE_SECONDS)
            for attempt in self._in_flight.values()
        )

    def _close_direct_connections(self) -> None:
        """End the calls that wait on the straight way, so that they take another."""
        for exchange in tuple(self._in_flight):
            if exchange.address == self._paths.direct:
                exchange.close()

    async def _acquire(self, address: Address, until: float) -> HttpConnection:
        idle = self._idle.setdefault(address, [])
        while idle:
            exchange = idle.pop()
            if exchange.reusable:
                return exchange
            exchange.close()
        busy = self._is_receiving(address)
        seconds = MAX_SILENCE_SECONDS if busy else CONNECT_TIMEOUT_SECONDS
        now = asyncio.get_running_loop().time()
        return await open_http_connection(address, min(until, now + seconds))

    def _release(self, exchange: HttpConnection) -> None:
        idle = self._idle.setdefault(exchange.address, [])
        if (
            exchange.keep_alive
            and exchange.reusable
            and len(idle) < MAX_IDLE_CONNECTIONS
        ):
            idle.append(exchange)
        else:
            exchange.close()


class _HedgedCall:
    """The tries of one call: the next begins when one fails or takes long.

    Attributes:
        failed: The ways on which it failed, or another one was faster.
    """

    def __init__(
        self,
        caller: StoreTransport,
        call: StoreCall,
        ways: Sequence[Address],
        deadline: float,
    ) -> None:
        self._transport = caller
        self._call = call
        self._paths = list(ways)
        self._deadline = deadline
        self.failed_paths: set[Address] = set()
        self._attempts: dict[asyncio.Task[Answer], CallAttempt] = {}
        self._failure: StoreError = StoreUnavailable('no way to the store')

    async def run(self) -> Answer:
        """Return the first answer, and give the other tries up."""
        try:
            while True:
                answer = await self._advance()
                if answer is not None:
                    return answer
        finally:
            for task in self._attempts:
                task.cancel()

    async def _advance(self) -> Answer | None:
        loop = asyncio.get_running_loop()
        patience = self._transport.compute_hedge_delay()
        stuck = all(self._needs_hedge(one, patience) for one in self._attempts.values())
        until = self._deadline
        if self._call.shared_prefix:
            # A relay may have taken its time. The next way has as much, or a sound way
            # would look broken.
            until = loop.time() + self._call.timeout_seconds
        if self._paths and stuck and loop.time() < until:
            self._start_attempt(self._paths.pop(0), until)
        if not self._attempts:
            raise self._failure
        # Each try ends by itself when its answer falls silent.
        pause = MIN_MEASURED_SECONDS if self._call.long_poll else patience
        wait = pause if self._paths else None
        done, _ = await asyncio.wait(
            self._attempts, timeout=wait, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            answer = self._finish_attempt(task)
            if answer is not None:
                return answer
        return None

    def _needs_hedge(self, attempt: CallAttempt, patience: float) -> bool:
        """Whether another way may bring the answer sooner.

        While bytes come at a fair rate none does: on a narrow link it would take half
        of what the first one needs.
        """
        if attempt.is_slow():
            return True
        return not self._call.long_poll and attempt.is_silent(patience)

    def _start_attempt(self, address: Address, until: float) -> None:
        attempt = CallAttempt(address, self._call, until)
        work = self._transport.send_on_path(attempt, until)
        self._attempts[asyncio.get_running_loop().create_task(work)] = attempt

    def _finish_attempt(self, task: asyncio.Task[Answer]) -> Answer | None:
        attempt = self._attempts.pop(task)
        failure = task.exception()
        if failure is None:
            for other in self._attempts.values():
                self._transport.record_slow_path(other.address)
                if other.is_slow():
                    self.failed_paths.add(other.address)
            return task.result()
        if not isinstance(failure, StoreError) or isinstance(failure, ChangesTooLong):
            raise failure
        self.failed_paths.add(attempt.address)
        if not isinstance(self._failure, StoreUnknown):
            self._failure = failure
        return None
