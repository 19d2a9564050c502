"""Sends store calls on the paths that work, over kept connections."""

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
from ibisport_fleet.event_log import Event, EventLog
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
# The store didn't execute the call: it is down, or throttles this host.
REFUSAL_STATUSES = frozenset((429, 503))
# A call that takes this much longer than usual is also sent on a second path, which
# answers soon in a partition. Writes are conditional, so a write that is executed
# twice shows as a conflict.
MIN_HEDGE_DELAY_SECONDS = 0.1
HEDGE_DELAY_FACTOR = 2.5
LATENCY_WEIGHT = 0.2
# Hosts without a relay that are tried before a shared watch uses the next path.
MAX_MISSING_RELAYS = 4
# Two watches, a write, a lease and the list of routers are in flight at once. With
# only two connections kept, each of the other calls opened a new one.
MAX_IDLE_CONNECTIONS = 6
# Answers that take longer from their first byte to their last are logged.
SLOW_ANSWER_SECONDS = 0.5


class StoreTransport:
    """Sends calls to the store and records which paths work."""

    def __init__(self, paths: StorePaths, log: EventLog) -> None:
        self._paths = paths
        self._log = log
        self._idle: dict[Address, list[HttpConnection]] = {}
        self._in_flight: dict[HttpConnection, CallAttempt] = {}
        self._latency = 0.0
        paths.on_direct_lost = self._close_direct_connections

    async def send(self, call: StoreCall) -> Answer:
        """Return the first answer that arrives on any path.

        Raises:
            StoreUnavailable: The store didn't execute the call.
            StoreUnknown: No answer came; the store may have executed the call.
        """
        loop = asyncio.get_running_loop()
        if call.shared_prefix:
            paths = await self._find_shared_paths(call.shared_prefix)
        else:
            paths = self._paths.list_paths(loop.time())
        deadline = loop.time() + call.timeout_seconds
        hedged = _HedgedCall(self, call, paths, deadline)
        try:
            answer = await hedged.run()
        except ChangesTooLong:
            self._record_shared_failure(call, hedged, paths[0])
            raise
        self._record_shared_failure(call, hedged, paths[0])
        return answer

    def _record_shared_failure(
        self, call: StoreCall, hedged: '_HedgedCall', first: Address
    ) -> None:
        """Back off from a relay that failed where another path answered.

        During an outage of the store all paths fail alike, and the relay is no worse.
        """
        if call.shared_prefix and first in hedged.failed_paths:
            self._paths.record_shared_failure(first, asyncio.get_running_loop().time())

    async def _find_shared_paths(self, prefix: str) -> list[Address]:
        """Return the paths for a shared watch, beginning with a relay that listens.

        Relay addresses derive from the hosts of targets, some of which run no relay.
        Checking a host costs a millisecond; falling back to the store costs it a watch.
        """
        loop = asyncio.get_running_loop()
        paths = self._paths.list_shared_paths(prefix, loop.time())
        for _ in range(MAX_MISSING_RELAYS):
            if paths[0] == self._paths.direct or not await self._is_relay_missing(
                paths[0]
            ):
                break
            self._paths.record_missing_relay(paths[0], loop.time())
            paths = self._paths.list_shared_paths(prefix, loop.time())
        return paths

    async def _is_relay_missing(self, address: Address) -> bool:
        """Return whether an address refuses connections; keep an opened connection."""
        deadline = asyncio.get_running_loop().time() + CONNECT_TIMEOUT_SECONDS
        try:
            connection = await self._acquire(address, deadline)
        except NobodyListens:
            return True
        except ConnectionFailed:
            return False
        self._idle[address].append(connection)
        return False

    async def probe(self, call: StoreCall) -> bool:
        """Return whether a call is answered on the direct path."""
        deadline = asyncio.get_running_loop().time() + call.timeout_seconds
        try:
            await self.send_on_path(
                CallAttempt(self._paths.direct, call, deadline), deadline
            )
        except StoreError:
            return False
        return True

    def compute_hedge_delay(self) -> float:
        """Return the seconds after which a second path is tried as well."""
        return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_FACTOR * self._latency)

    def record_slow_path(self, address: Address) -> None:
        """Record that another path answered first."""
        self._record_failure(address)

    async def send_on_path(self, attempt: CallAttempt, deadline: float) -> Answer:
        """Send a call on one path.

        Args:
            attempt: The call and the path.
            deadline: Loop time by which the answer must begin.

        Raises:
            StoreUnavailable: Nothing was sent, or the store didn't execute the call.
            StoreUnknown: The call was sent, and no complete answer came.
            ChangesTooLong: The answer is longer than the call allows.
        """
        loop = asyncio.get_running_loop()
        address, call = attempt.address, attempt.call
        try:
            connection = await self._acquire(address, deadline)
        except ConnectionFailed as error:
            self._record_failure(address)
            raise StoreUnavailable(repr(error)) from error
        sent_at = loop.time()
        self._paths.count_attempt(call.kind, address)
        self._in_flight[connection] = attempt
        headers = call.headers
        if address != self._paths.direct:
            headers = (*headers, *ACCEPT_HEADERS)
        try:
            async with attempt.timeout:
                answer = await connection.request(
                    call.request_line, headers, call.body, attempt
                )
            body = decode_body(answer, MAX_BODY_BYTES)
        except ChangesTooLong as error:
            self._log_cut_answer(attempt, error)
            raise
        except (ConnectionBroken, TimeoutError) as error:
            self._in_flight.pop(connection)
            self._record_failure(address)
            self._log_cut_answer(attempt, error)
            raise StoreUnknown(f'{call.request_line!r}: {error!r}') from error
        finally:
            self._in_flight.pop(connection, None)
            self._release(connection)
        if answer.head.status in REFUSAL_STATUSES:
            self._paths.record_failure(address, loop.time())
            raise StoreUnavailable(f'the store answered {answer.head.status}')
        if not call.long_poll:
            # Only the time to the first byte counts: the answer's length says
            # nothing about the path.
            latency = (attempt.first_received_at or loop.time()) - sent_at
            self._latency += LATENCY_WEIGHT * (latency - self._latency)
        self._paths.record_answer(address)
        self._log_slow_answer(attempt)
        return Answer(answer.head, body)

    def _log_cut_answer(self, attempt: CallAttempt, error: Exception) -> None:
        """Log an answer that ended before it was complete."""
        if attempt.first_received_at is not None:
            self._log.write(
                Event.answer_cut, reason=repr(error), **self._describe(attempt)
            )

    def _log_slow_answer(self, attempt: CallAttempt) -> None:
        if attempt.transfer_seconds >= SLOW_ANSWER_SECONDS:
            self._log.write(Event.answer_slow, **self._describe(attempt))

    def _describe(self, attempt: CallAttempt) -> dict[str, object]:
        direct = attempt.address == self._paths.direct
        return {
            'kind': attempt.call.kind.value,
            'way': 'straight' if direct else attempt.address[0],
            'bytes': attempt.received,
            'of': attempt.length,
            'seconds': round(attempt.transfer_seconds, 3),
        }

    def _record_failure(self, address: Address) -> None:
        """Record that a call failed on a path, unless the path is receiving an answer.

        A large catalogue fills a narrow link for a second, and the answers to small
        calls beside it come late. If these marked the path as failed, the large answer
        would be dropped and requested again on another path, over the same link.
        """
        if not self._is_receiving(address):
            self._paths.record_failure(address, asyncio.get_running_loop().time())

    def _is_receiving(self, address: Address) -> bool:
        """Return whether an answer is arriving on a path."""
        return any(
            attempt.address == address and not attempt.is_silent(MAX_SILENCE_SECONDS)
            for attempt in self._in_flight.values()
        )

    def _close_direct_connections(self) -> None:
        """End the calls that wait on the direct path, so that they try another."""
        for connection in tuple(self._in_flight):
            if connection.address == self._paths.direct:
                connection.close()

    async def _acquire(self, address: Address, deadline: float) -> HttpConnection:
        idle = self._idle.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        receiving = self._is_receiving(address)
        timeout = MAX_SILENCE_SECONDS if receiving else CONNECT_TIMEOUT_SECONDS
        now = asyncio.get_running_loop().time()
        return await open_http_connection(address, min(deadline, now + timeout))

    def _release(self, connection: HttpConnection) -> None:
        idle = self._idle.setdefault(connection.address, [])
        if (
            connection.keep_alive
            and connection.reusable
            and len(idle) < MAX_IDLE_CONNECTIONS
        ):
            idle.append(connection)
        else:
            connection.close()


class _HedgedCall:
    """Attempts of a call: the next one starts when one fails or takes long.

    Attributes:
        failed_paths: Paths on which the call failed or was slower than on another.
    """

    def __init__(
        self,
        transport: StoreTransport,
        call: StoreCall,
        paths: Sequence[Address],
        deadline: float,
    ) -> None:
        self._transport = transport
        self._call = call
        self._paths = list(paths)
        self._deadline = deadline
        self.failed_paths: set[Address] = set()
        self._attempts: dict[asyncio.Task[Answer], CallAttempt] = {}
        self._failure: StoreError = StoreUnavailable('no path to the store')

    async def run(self) -> Answer:
        """Return the first answer and cancel the other attempts."""
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
        hedge_delay = self._transport.compute_hedge_delay()
        hedge = all(
            self._needs_hedge(attempt, hedge_delay)
            for attempt in self._attempts.values()
        )
        deadline = self._deadline
        if self._call.shared_prefix:
            # A relay may have used up the call's time. The next path gets the full
            # timeout, or a healthy path would look broken.
            deadline = loop.time() + self._call.timeout_seconds
        if self._paths and hedge and loop.time() < deadline:
            self._start_attempt(self._paths.pop(0), deadline)
        if not self._attempts:
            raise self._failure
        # Each attempt times out when its answer stops arriving.
        interval = MIN_MEASURED_SECONDS if self._call.long_poll else hedge_delay
        max_wait = interval if self._paths else None
        done, _ = await asyncio.wait(
            self._attempts, timeout=max_wait, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            answer = self._finish_attempt(task)
            if answer is not None:
                return answer
        return None

    def _needs_hedge(self, attempt: CallAttempt, hedge_delay: float) -> bool:
        """Return whether another path may deliver the answer sooner.

        No path does while bytes arrive at a fair rate: on a narrow link, a second
        answer would take half of the bandwidth that the first one needs.
        """
        if attempt.is_slow():
            return True
        return not self._call.long_poll and attempt.is_silent(hedge_delay)

    def _start_attempt(self, address: Address, deadline: float) -> None:
        attempt = CallAttempt(address, self._call, deadline)
        work = self._transport.send_on_path(attempt, deadline)
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
