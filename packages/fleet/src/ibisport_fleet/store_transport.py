"""Sends store calls over the ways that work, on kept connections."""

import asyncio
from collections.abc import Sequence

from ibisport_fleet.addresses import Address
from ibisport_fleet.content_coding import ACCEPTED, decode_body
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
    MOST_WHOLE_BODY,
    HttpConnection,
    open_http_connection,
)
from ibisport_fleet.http_messages import Answer
from ibisport_fleet.store_call import (
    LEAST_MEASURED_S,
    LONGEST_SILENCE_S,
    CallTry,
    StoreCall,
)
from ibisport_fleet.store_paths import StorePaths

# Connecting takes a few milliseconds; a path that drops packets never answers.
CONNECT_SECONDS = 0.15
# The store did nothing: it is down, or turns this host away.
REFUSALS = frozenset((429, 503))
# A call that takes so much longer than usual is sent on a second way as well, which
# answers soon in a partition; a write that is done twice shows, since each is
# conditional.
LEAST_PATIENCE_S = 0.1
PATIENCE_FACTOR = 2.5
LATENCY_WEIGHT = 0.2
# Hosts without a relay that are tried before a shared watch goes to the next way.
MOST_VACANT = 4
# Two watches, a write, a lease and the list of routers are on their way at once. With
# two connections kept, the others were opened anew for each call.
MOST_IDLE = 6
# Answers that take longer from their first byte to their last are logged.
SLOW_ANSWER_S = 0.5


class StoreTransport:
    """Sends calls and remembers which ways work."""

    def __init__(self, paths: StorePaths, log: EventLog) -> None:
        self._paths = paths
        self._log = log
        self._idle: dict[Address, list[HttpConnection]] = {}
        self._waiting: dict[HttpConnection, CallTry] = {}
        self._latency = 0.0
        paths.on_straight_lost = self._drop_straight

    async def send(self, call: StoreCall) -> Answer:
        """Return the first answer that comes on any way.

        Raises:
            StoreUnavailable: Nothing was done.
            StoreUnknown: No answer came, and the call may have been executed.
        """
        loop = asyncio.get_running_loop()
        if call.shared_prefix:
            ways = await self._find_shared_ways(call.shared_prefix)
        else:
            ways = self._paths.list_ways(loop.time())
        deadline = loop.time() + call.timeout_seconds
        race = _Race(self, call, ways, deadline)
        try:
            answer = await race.run()
        except ChangesTooLong:
            self._note_shared(call, race, ways[0])
            raise
        self._note_shared(call, race, ways[0])
        return answer

    def _note_shared(self, call: StoreCall, race: '_Race', first: Address) -> None:
        """Ask a relay less if it failed where another way has answered.

        While the store is away all ways fail alike, and the relay is no worse.
        """
        if call.shared_prefix and first in race.failed:
            self._paths.note_unshared(first, asyncio.get_running_loop().time())

    async def _find_shared_ways(self, prefix: str) -> list[Address]:
        """Return the ways for a shared watch, beginning with a relay that listens.

        Relays are named by the hosts of targets, some of which have none. Each costs a
        millisecond to find out, and a watch of the store if that is asked instead.
        """
        loop = asyncio.get_running_loop()
        ways = self._paths.list_shared_paths(prefix, loop.time())
        for _ in range(MOST_VACANT):
            if ways[0] == self._paths.direct or not await self._is_vacant(ways[0]):
                break
            self._paths.note_vacant(ways[0], loop.time())
            ways = self._paths.list_shared_paths(prefix, loop.time())
        return ways

    async def _is_vacant(self, address: Address) -> bool:
        """Whether nobody listens at an address; a connection is kept for the call."""
        until = asyncio.get_running_loop().time() + CONNECT_SECONDS
        try:
            exchange = await self._take(address, until)
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
            await self.send_on_path(CallTry(self._paths.direct, call, until), until)
        except StoreError:
            return False
        return True

    def measure_patience(self) -> float:
        """Return after how many seconds a second way is tried as well."""
        return max(LEAST_PATIENCE_S, PATIENCE_FACTOR * self._latency)

    def note_slow(self, address: Address) -> None:
        """Note that another way answered first."""
        self._note_failure(address)

    async def send_on_path(self, attempt: CallTry, until: float) -> Answer:
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
            exchange = await self._take(address, until)
        except ConnectionFailed as error:
            self._note_failure(address)
            raise StoreUnavailable(repr(error)) from error
        begun = loop.time()
        self._paths.note_sent(call.kind, address)
        self._waiting[exchange] = attempt
        headers = call.headers
        if address != self._paths.direct:
            headers = (*headers, *ACCEPTED)
        try:
            async with attempt.timer:
                answer = await exchange.request(
                    call.request_line, headers, call.body, attempt
                )
            body = decode_body(answer, MOST_WHOLE_BODY)
        except ChangesTooLong as error:
            self._log_cut(attempt, error)
            raise
        except (ConnectionBroken, TimeoutError) as error:
            self._waiting.pop(exchange)
            self._note_failure(address)
            self._log_cut(attempt, error)
            raise StoreUnknown(f'{call.request_line!r}: {error!r}') from error
        finally:
            self._waiting.pop(exchange, None)
            self._keep(exchange)
        if answer.head.status in REFUSALS:
            self._paths.note_failure(address, loop.time())
            raise StoreUnavailable(f'the store answered {answer.head.status}')
        if not call.long_poll:
            # How long the answer is says nothing of the way.
            first = (attempt.first_at or loop.time()) - begun
            self._latency += LATENCY_WEIGHT * (first - self._latency)
        self._paths.record_answer(address)
        self._log_slow(attempt)
        return Answer(answer.head, body)

    def _log_cut(self, attempt: CallTry, error: Exception) -> None:
        """Write down an answer that ended midway."""
        if attempt.first_at is not None:
            self._log.write(
                Event.answer_cut, reason=repr(error), **self._describe(attempt)
            )

    def _log_slow(self, attempt: CallTry) -> None:
        if attempt.seconds >= SLOW_ANSWER_S:
            self._log.write(Event.answer_slow, **self._describe(attempt))

    def _describe(self, attempt: CallTry) -> dict[str, object]:
        straight = attempt.address == self._paths.direct
        return {
            'kind': attempt.call.kind.value,
            'way': 'straight' if straight else attempt.address[0],
            'bytes': attempt.received,
            'of': attempt.length,
            'seconds': round(attempt.seconds, 3),
        }

    def _note_failure(self, address: Address) -> None:
        """Note that a call failed on a way, unless the way carries another answer.

        A large catalogue fills a narrow link for a second, and small calls beside it
        come late. Were the way given up for them, the large answer would be dropped
        and asked for again on another way, over the same link.
        """
        if not self._receives(address):
            self._paths.note_failure(address, asyncio.get_running_loop().time())

    def _receives(self, address: Address) -> bool:
        """Whether an answer is coming on a way."""
        return any(
            attempt.address == address and not attempt.is_silent(LONGEST_SILENCE_S)
            for attempt in self._waiting.values()
        )

    def _drop_straight(self) -> None:
        """End the calls that wait on the straight way, so that they take another."""
        for exchange in tuple(self._waiting):
            if exchange.address == self._paths.direct:
                exchange.close()

    async def _take(self, address: Address, until: float) -> HttpConnection:
        idle = self._idle.setdefault(address, [])
        while idle:
            exchange = idle.pop()
            if exchange.reusable:
                return exchange
            exchange.close()
        busy = self._receives(address)
        seconds = LONGEST_SILENCE_S if busy else CONNECT_SECONDS
        now = asyncio.get_running_loop().time()
        return await open_http_connection(address, min(until, now + seconds))

    def _keep(self, exchange: HttpConnection) -> None:
        idle = self._idle.setdefault(exchange.address, [])
        if exchange.answered and exchange.reusable and len(idle) < MOST_IDLE:
            idle.append(exchange)
        else:
            exchange.close()


class _Race:
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
        self._caller = caller
        self._call = call
        self._ways = list(ways)
        self._deadline = deadline
        self.failed: set[Address] = set()
        self._tries: dict[asyncio.Task[Answer], CallTry] = {}
        self._failure: StoreError = StoreUnavailable('no way to the store')

    async def run(self) -> Answer:
        """Return the first answer, and give the other tries up."""
        try:
            while True:
                answer = await self._step()
                if answer is not None:
                    return answer
        finally:
            for task in self._tries:
                task.cancel()

    async def _step(self) -> Answer | None:
        loop = asyncio.get_running_loop()
        patience = self._caller.measure_patience()
        stuck = all(self._is_stuck(one, patience) for one in self._tries.values())
        until = self._deadline
        if self._call.shared_prefix:
            # A relay may have taken its time. The next way has as much, or a sound way
            # would look broken.
            until = loop.time() + self._call.timeout_seconds
        if self._ways and stuck and loop.time() < until:
            self._begin(self._ways.pop(0), until)
        if not self._tries:
            raise self._failure
        # Each try ends by itself when its answer falls silent.
        pause = LEAST_MEASURED_S if self._call.long_poll else patience
        wait = pause if self._ways else None
        done, _ = await asyncio.wait(
            self._tries, timeout=wait, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            answer = self._finish(task)
            if answer is not None:
                return answer
        return None

    def _is_stuck(self, attempt: CallTry, patience: float) -> bool:
        """Whether another way may bring the answer sooner.

        While bytes come at a fair rate none does: on a narrow link it would take half
        of what the first one needs.
        """
        if attempt.is_slow():
            return True
        return not self._call.long_poll and attempt.is_silent(patience)

    def _begin(self, address: Address, until: float) -> None:
        attempt = CallTry(address, self._call, until)
        work = self._caller.send_on_path(attempt, until)
        self._tries[asyncio.get_running_loop().create_task(work)] = attempt

    def _finish(self, task: asyncio.Task[Answer]) -> Answer | None:
        attempt = self._tries.pop(task)
        failure = task.exception()
        if failure is None:
            for other in self._tries.values():
                self._caller.note_slow(other.address)
                if other.is_slow():
                    self.failed.add(other.address)
            return task.result()
        if not isinstance(failure, StoreError) or isinstance(failure, ChangesTooLong):
            raise failure
        self.failed.add(attempt.address)
        if not isinstance(self._failure, StoreUnknown):
            self._failure = failure
        return None
