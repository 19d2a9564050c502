"""Targets that answer plainly or stream events slowly, and record each run."""

import asyncio
import itertools
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from urllib.parse import parse_qsl

from ibisport_bench.soak.endless import send_without_end
from ibisport_bench.soak.evidence import (
    EVENT_END,
    Arrival,
    Cause,
    Crash,
    Journal,
    Life,
    Overrun,
    RequestedPause,
    Run,
    make_body,
    make_event,
    read_clock,
)
from ibisport_bench.soak.http_messages import (
    HEAD_END,
    Head,
    MessageInvalid,
    encode_message,
    read_head,
    skip_body,
)
from ibisport_bench.soak.links import Link
from ibisport_bench.standins.memory_store import MemoryService
from ibisport_fleet.catalogue import WarmUp
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.headers import (
    EXPECT_INSTANCE,
    KV_BACKUP,
    KV_FROM,
    LAST_EVENT_ID,
    MISDIRECTED,
    NOT_EXECUTED,
    REQUEST_ID,
    RETRY_AFTER,
    SEAL,
    SERVER_LEAVING,
    SERVER_LIMIT,
    WORKER_LOAD,
)
from ibisport_platform.stand_in_records import encode_target

POLL_INTERVAL_SECONDS = 0.1
# Software versions that serve side by side; a restarted target has any of them.
VERSIONS = ('v1', 'v2')
# The query parameter of a fatal request: seconds after which its target crashes.
FATAL_PARAMETER = 'crash'
# The query parameter of a request to which a target sends bytes without end.
ENDLESS_PARAMETER = 'endless'
# Three heartbeats of a target, after which the platform drops its entry.
ENTRY_TIMEOUT_SECONDS = 1.5
CRASH_RESTART_DELAY_SECONDS = 0.5
# Range of the time for which a target keeps serving after the store has accepted that
# it drains, with some margin.
SERVE_AFTER_DRAIN_SECONDS = (4.5, 8.0)
# A cold target crashes at more requests in a second than its rate times the factor,
# plus the slack, as the platform documents.
COLD_FACTOR = 1.5
COLD_SLACK = 5
# How long a target keeps a copy after its last part.
COPY_LIFETIME_SECONDS = 5.0
# uvloop raises RuntimeError on a write to a closed connection.
CONNECTION_ERRORS = (
    ConnectionError,
    asyncio.IncompleteReadError,
    MessageInvalid,
    ValueError,
    RuntimeError,
)


@dataclass(slots=True)
class TargetFaults:
    """The current faults of a target.

    Attributes:
        break_share: Share of the answers that it breaks off.
        delay_seconds: Delay before it starts an answer.
        reject_share: Share of the requests that it rejects.
        pause_seconds: Pause that its rejections ask for, or None.
    """

    break_share: float = 0.0
    delay_seconds: float = 0.0
    reject_share: float = 0.0
    pause_seconds: float | None = None


class CopyStore:
    """The copies of runs that all targets hold, by address and id of the run."""

    def __init__(self) -> None:
        self._copied_at: dict[tuple[bytes | None, bytes], float] = {}

    def put(self, backup: bytes | None, run_id: bytes) -> None:
        """Record that a part of a run arrived at its backup, if it has one."""
        if backup is not None:
            self._copied_at[backup, run_id] = read_clock()

    def drop(self, backup: bytes | None, run_id: bytes) -> None:
        """Drop the copy of a run that has ended successfully."""
        self._copied_at.pop((backup, run_id), None)

    def drop_all(self, address: bytes) -> None:
        """Drop the copies at a target that ends."""
        self._copied_at = {
            key: copied_at
            for key, copied_at in self._copied_at.items()
            if key[0] != address
        }

    def holds(self, address: bytes, run_id: bytes) -> bool:
        """Return whether the target with an address still holds a copy."""
        copied_at = self._copied_at.get((address, run_id), -math.inf)
        return read_clock() - copied_at < COPY_LIFETIME_SECONDS


class Target:
    """A target behind a link; each start is a new incarnation.

    Attributes:
        name: Name shared by its incarnations, which add a number.
        entry: Its current entry in the store.
        link: The loopback proxy in front of it.
        faults: Its current faults.
        rate_limit: Requests per second that its answers advertise, or None.
        leaves: Whether its answers say that it leaves.
        versions: Software versions of which a restart draws one.
    """

    def __init__(
        self,
        entry: TargetEntry,
        link: Link,
        service: MemoryService,
        journal: Journal,
        warm_up: WarmUp | None,
        copies: CopyStore,
        versions: Sequence[str] = VERSIONS,
    ) -> None:
        self._copies = copies
        self.versions = versions
        self.name = entry.incarnation
        self.entry = entry
        self.link = link
        self.faults = TargetFaults()
        self.rate_limit: float | None = None
        self.leaves = False
        self._service = service
        self._journal = journal
        self._random = random.Random(f'{entry.incarnation} {entry.started_at_ms}')
        self._numbers = itertools.count(1)
        self._in_flight = 0
        self._warm_up = warm_up
        self._cold_until = 0.0
        self._cold_arrivals: list[float] = []
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._restart_task: asyncio.Future[None] | None = None
        self._running = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and write the entry of a new incarnation to the store.

        A target that crashed restarts by itself, maybe while a fault restarts it.
        """
        if self._running:
            return
        self._running = True
        number = next(self._numbers)
        version = self.entry.software_version
        if number > 1:
            self.become_cold()
            version = self._random.choice(self.versions)
        self.entry = replace(
            self.entry,
            incarnation=f'{self.name}-{number}',
            draining=False,
            software_version=version,
        )
        self._journal.lives[self.entry.incarnation] = Life(
            self.entry.service, version, read_clock()
        )
        self._server = await asyncio.start_server(self._serve, *self.link.sink)
        await self.link.open()
        await self.announce()

    def become_cold(self) -> None:
        """Warm up from now on; the next write of the entry tells."""
        if self._warm_up is not None:
            self._cold_until = read_clock() + self._warm_up.seconds

    async def announce_cold(self) -> None:
        """Warm up from now on, and write the entry, as a heartbeat does."""
        self.become_cold()
        await self.announce()

    async def drain(self) -> None:
        """Drain, keep serving for a while, and stop; answers in progress break off."""
        self.entry = replace(self.entry, draining=True)
        await self.announce()
        self._journal.drains[self.entry.incarnation] = read_clock()
        self._end_life()
        await asyncio.sleep(self._random.uniform(*SERVE_AFTER_DRAIN_SECONDS))
        self.end()
        await self.remove_entry()

    async def leave(self) -> None:
        """Say in answers only that it leaves, keep serving for a while, and stop."""
        self.leaves = True
        self._end_life()
        await asyncio.sleep(self._random.uniform(*SERVE_AFTER_DRAIN_SECONDS))
        self.end()
        self.leaves = False
        await self.remove_entry()

    async def remove_entry(self) -> None:
        """Remove the entry from the store."""
        await self._wait_for_store()
        self._service.remove(encode_target(self.entry, self._seq)[0])

    def end(self) -> None:
        """Close the listener and all connections."""
        incarnation = self.entry.incarnation
        self._journal.record_fault(
            Cause.target, incarnation, 'ended'
        ).ended = read_clock()
        self._running = False
        self._end_life()
        self._copies.drop_all(self._encoded_address)
        self.link.close()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def _end_life(self) -> None:
        life = self._journal.lives[self.entry.incarnation]
        life.ended = min(life.ended, read_clock())

    @property
    def _encoded_address(self) -> bytes:
        host, port = self.entry.address
        return b'%b:%d' % (host.encode(), port)

    async def announce(self) -> None:
        """Write the entry, as a heartbeat does."""
        await self._wait_for_store()
        self._seq += 1
        cold_seconds = max(0.0, self._cold_until - read_clock())
        self.entry = replace(self.entry, cold_seconds=cold_seconds)
        key, content = encode_target(self.entry, self._seq)
        self._service.put(key, content)

    async def _wait_for_store(self) -> None:
        while self._service.faults.down:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        incarnation = self.entry.incarnation
        try:
            while incarnation == self.entry.incarnation:
                head = await read_head(reader)
                await skip_body(reader, head)
                await self._answer(head, reader, writer)
        except CONNECTION_ERRORS:
            # The router closed or reset the connection.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_id = head.headers.get(REQUEST_ID, b'').decode()
        arrival = Arrival(request_id, self.entry.incarnation, read_clock())
        self._journal.arrivals.append(arrival)
        refusal_status = self._find_refusal_status(head)
        if refusal_status != MISDIRECTED and arrival.at < self._cold_until:
            self._count_cold_arrival(arrival)
        if refusal_status:
            writer.write(self._make_rejection(arrival, refusal_status))
            return
        if self.leaves:
            self._journal.leavings.append(arrival)
        run = Run(request_id, self.entry.incarnation, read_clock(), '')
        run.seal = f'{run.target}.{len(self._journal.runs)}'
        run.continued = KV_FROM in head.headers
        run.after = int(head.headers.get(LAST_EVENT_ID, b'0'))
        self._journal.runs.append(run)
        self._in_flight += 1
        endless = _find_parameters(head).get(ENDLESS_PARAMETER)
        try:
            if endless is not None:
                headers = [*self._make_headers(request_id), (SEAL, run.seal.encode())]
                await send_without_end(endless, headers, writer)
            await self._run(run, head, reader, writer)
        finally:
            self._in_flight -= 1
            run.ended = read_clock()

    def _find_refusal_status(self, head: Head) -> int:
        expected = head.headers.get(EXPECT_INSTANCE, b'').decode()
        if expected and expected != self.entry.incarnation:
            return MISDIRECTED
        if KV_FROM in head.headers:
            holder, _, run_id = head.headers[KV_FROM].partition(b'/')
            is_here = holder == self._encoded_address
            return 0 if is_here and self._copies.holds(holder, run_id) else 503
        is_full = self._in_flight >= self.entry.slots
        rejects = self._random.random() < self.faults.reject_share
        return 503 if is_full or rejects else 0

    def _make_rejection(self, arrival: Arrival, status: int) -> bytes:
        """Return a rejection, which asks for a pause if that is a current fault."""
        headers = [*self._make_headers(arrival.request_id), (NOT_EXECUTED, b'1')]
        pause_seconds = self.faults.pause_seconds
        if status == 503 and pause_seconds is not None:
            headers.append((RETRY_AFTER, b'%.1f' % pause_seconds))
            pause = RequestedPause(arrival, arrival.at + pause_seconds)
            self._journal.pauses.append(pause)
        return encode_message(f'HTTP/1.1 {status} -', headers, b'')

    def _make_headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        load = b'%d,0,%d' % (self._in_flight, self.entry.slots)
        headers = [(REQUEST_ID, request_id.encode()), (WORKER_LOAD, load)]
        if self.rate_limit is not None:
            headers.append((SERVER_LIMIT, b'%.1f' % self.rate_limit))
        if self.leaves:
            headers.append((SERVER_LEAVING, b'1'))
        return headers

    async def _run(
        self,
        run: Run,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        parameters = _find_parameters(head)
        events = int(parameters.get('events', '0'))
        interval = float(parameters.get('pause', '0'))
        break_at = self._draw_break(events)
        headers = [*self._make_headers(run.request_id), (SEAL, run.seal.encode())]
        await _sleep_while_connected(self.faults.delay_seconds, reader)
        if FATAL_PARAMETER in parameters:
            return await self._crash(run, head, float(parameters[FATAL_PARAMETER]))
        if not events:
            await asyncio.sleep(interval)
            if break_at == 0:
                return self._break_off(run, writer)
            body = _fill(make_body(run.request_id, 0), parameters)
            self._record_advertised_limit(run)
            writer.write(encode_message('HTTP/1.1 200 OK', headers, body))
            run.complete = True
            return None
        headers.append((b'transfer-encoding', b'chunked'))
        self._record_advertised_limit(run)
        writer.write(_encode_stream_head(headers))
        backup = head.headers.get(KV_BACKUP)
        run_id = run.request_id.encode()
        # The events are those of the run that the request names.
        source = head.headers.get(KV_FROM, b'').partition(b'/')[2] or run_id
        for number in range(run.after + 1, events + 1):
            self._copies.put(backup, run_id)
            await asyncio.sleep(interval)
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError
            if number == break_at:
                return self._break_off(run, writer)
            event = make_event(source.decode(), number)
            event = _fill(event, parameters)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        self._copies.drop(backup, run_id)
        writer.write(b'0\r\n\r\n')
        run.complete = True

    async def _crash(self, run: Run, head: Head, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if run.target != self.entry.incarnation or self._restart_task is not None:
            return
        path = head.start_line.split(b' ')[1].decode()
        self._journal.crashes.append(Crash(path, read_clock()))
        self._crash_now()

    def _crash_now(self) -> None:
        self._restart_task = asyncio.ensure_future(self._restart())
        self.end()

    def _count_cold_arrival(self, arrival: Arrival) -> None:
        """Crash if more requests arrive in a second than a cold target bears."""
        recent = [at for at in self._cold_arrivals if at > arrival.at - 1.0]
        self._cold_arrivals = [*recent, arrival.at]
        count = len(self._cold_arrivals)
        assert self._warm_up is not None
        if count > COLD_FACTOR * self._warm_up.rate + COLD_SLACK:
            self._journal.overruns.append(Overrun(arrival, count))
            if self._restart_task is None:
                self._crash_now()

    async def _restart(self) -> None:
        await asyncio.sleep(ENTRY_TIMEOUT_SECONDS)
        await self.remove_entry()
        await asyncio.sleep(CRASH_RESTART_DELAY_SECONDS)
        self._restart_task = None
        await self.start()

    def _record_advertised_limit(self, run: Run) -> None:
        if self.rate_limit is not None:
            run.named = read_clock()

    def _draw_break(self, events: int) -> int:
        if self._random.random() >= self.faults.break_share:
            return -1
        return self._random.randint(min(1, events), events)

    def _break_off(self, run: Run, writer: asyncio.StreamWriter) -> None:
        run.broken_off = True
        self._journal.record_fault(
            Cause.target, run.target, 'broke off'
        ).ended = read_clock()
        writer.transport.abort()


def _find_parameters(head: Head) -> dict[str, str]:
    query = head.start_line.split(b' ')[1].decode().partition('?')[2]
    return dict(parse_qsl(query))


async def _sleep_while_connected(seconds: float, reader: asyncio.StreamReader) -> None:
    """Work for some seconds; most targets drop a request when its connection closes."""
    until = read_clock() + seconds
    while (left := until - read_clock()) > 0:
        if reader.at_eof():
            raise ConnectionResetError
        await asyncio.sleep(min(left, POLL_INTERVAL_SECONDS))


def _fill(event: bytes, parameters: dict[str, str]) -> bytes:
    """Return an event with as many bytes more as a request asks for."""
    filling = b'x' * int(parameters.get('fill', '0'))
    return event.removesuffix(EVENT_END) + filling + EVENT_END


def _encode_stream_head(headers: list[tuple[bytes, bytes]]) -> bytes:
    lines = b''.join(b'%b: %b\r\n' % pair for pair in headers)
    return b'HTTP/1.1 200 OK\r\n' + lines + HEAD_END[2:]
