"""Seeded callers that keep connections open until the process behind them is gone."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from ibisport_bench.soak.evidence import Journal, Kind, RequestRecord, read_clock
from ibisport_bench.soak.http_messages import (
    MessageInvalid,
    encode_message,
    read_body,
    read_head,
)
from ibisport_bench.soak.processes import Host
from ibisport_bench.soak.targets import FATAL_PARAMETER
from ibisport_platform.headers import HOST, SEAL
from ibisport_platform.stand_in_records import encode_request_headers

SITE_HOST = 'soak.example'
# Connections that are held open without a request, for each router.
IDLE_CONNECTIONS = 24
IDLE_CONNECTION_INTERVAL_SECONDS = 0.2
PROBE_INTERVAL_SECONDS = 0.1
# Versions that are asked for: the newest ones.
PROBED_VERSIONS = 4
CONNECT_TIMEOUT_SECONDS = 1.0
# Four fifths of the time after which a router closes an idle connection.
MAX_IDLE_SECONDS = 12.0
REQUEST_TIMEOUT_SECONDS = 25.0
MIN_STREAM_SECONDS = 0.2
MAX_STREAM_SECONDS = 6.0
EVENT_INTERVAL_SECONDS = (0.05, 0.3)
MAX_PROMPT_TOKENS = 400
KINDS = (Kind.read, Kind.once, Kind.talk, Kind.resume)
KIND_WEIGHTS = (2, 3, 5, 3)
FATAL_REQUEST_INTERVAL_SECONDS = 0.25
CONNECTION_ERRORS = (
    OSError,
    EOFError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    MessageInvalid,
    ValueError,
)


@dataclass(slots=True)
class Connection:
    """One open connection to one start of a router."""

    host: Host
    start: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    last_used_at: float

    @property
    def usable(self) -> bool:
        """Whether a request may be sent on it."""
        idle = read_clock() - self.last_used_at
        ended = self.reader.at_eof() or self.writer.is_closing()
        return not ended and idle < MAX_IDLE_SECONDS


class Callers:
    """All callers of one run.

    Attributes:
        version: The newest version of the catalogue that the store has accepted.
    """

    def __init__(
        self,
        hosts: Sequence[Host],
        keys: Sequence[tuple[str, str]],
        journal: Journal,
        seed: int,
    ) -> None:
        self.version = 0
        self._hosts = hosts
        self._keys = keys
        self._journal = journal
        self._random = random.Random(f'callers {seed}')
        self._ids = itertools.count(1)
        self._seed = seed
        self._connections: dict[str, list[Connection]] = {
            host.name: [] for host in hosts
        }
        self._tasks: set[asyncio.Task[None]] = set()

    async def send_requests(self, rate: float, until: float) -> None:
        """Send requests at a mean rate for each router until a clock time."""
        works: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._keep_idle_connections,
            self._probe_versions,
        ]
        sides = [asyncio.ensure_future(work()) for work in works]
        while read_clock() < until:
            await asyncio.sleep(self._random.expovariate(rate * len(self._hosts)))
            self._spawn(self._random.choice(self._hosts), self._make_request())
        for side in sides:
            side.cancel()

    async def repeat_fatal_request(self, seconds: float) -> None:
        """Send one fatal request again and again, at any router."""
        path = (
            f'/talk/fatal-{next(self._ids)}?events=9&pause=0.1&{FATAL_PARAMETER}=0.09'
        )
        workspace = self._keys[-1][0]
        until = read_clock() + seconds
        while read_clock() < until:
            ask = RequestRecord(self._make_id(), Kind.talk, path, workspace, 1, 9)
            self._spawn(self._random.choice(self._hosts), ask)
            await asyncio.sleep(FATAL_REQUEST_INTERVAL_SECONDS)

    async def finish(self) -> None:
        """Wait for the answers that are still due, and close all connections."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=REQUEST_TIMEOUT_SECONDS)
        for line in itertools.chain.from_iterable(self._connections.values()):
            line.writer.close()

    def _make_request(self) -> RequestRecord:
        kind = self._random.choices(KINDS, KIND_WEIGHTS)[0]
        workspace = self._random.choice(self._keys)[0]
        ask = RequestRecord(self._make_id(), kind, '', workspace)
        pause = round(self._random.uniform(*EVENT_INTERVAL_SECONDS), 3)
        if kind.streams:
            lasts = self._random.uniform(MIN_STREAM_SECONDS, MAX_STREAM_SECONDS)
            ask.events = max(1, int(lasts / pause))
            ask.prompt = self._random.randint(1, MAX_PROMPT_TOKENS)
        ask.path = f'/{kind.value}/{ask.request_id}?events={ask.events}&pause={pause}'
        return ask

    def _make_id(self) -> str:
        return f'{self._seed:04x}{next(self._ids):08x}'

    def _spawn(self, host: Host, ask: RequestRecord) -> None:
        task = asyncio.ensure_future(self._send(host, ask))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _keep_idle_connections(self) -> None:
        """Keep idle connections to each router as long as its listener stands."""
        while True:
            await asyncio.sleep(IDLE_CONNECTION_INTERVAL_SECONDS)
            for host in self._hosts:
                lines = self._connections[host.name]
                for line in tuple(lines):
                    if not line.usable:
                        lines.remove(line)
                        line.writer.close()
                if len(lines) < IDLE_CONNECTIONS:
                    await self._fill_idle_connections(host)

    async def _fill_idle_connections(self, host: Host) -> None:
        for _ in range(IDLE_CONNECTIONS - len(self._connections[host.name])):
            line = await self._connect(host)
            if line is None:
                return
            self._connections[host.name].append(line)

    async def _probe_versions(self) -> None:
        """Ask every router for what only some version of the catalogue allows."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            versions = list(self._journal.versions)
            for host in self._hosts:
                version = self._random.choice(versions[-PROBED_VERSIONS:])
                ask = RequestRecord(self._make_id(), Kind.mark, '', version=version)
                ask.path = f'/mark/{version}/{ask.request_id}?pause=0'
                self._spawn(host, ask)

    async def _connect(self, host: Host) -> Connection | None:
        address = host.settings.callers_address
        if address is None or not host.is_running:
            return None
        start = host.start.number
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError):
            return None
        return Connection(host, start, reader, writer, read_clock())

    async def _send(self, host: Host, ask: RequestRecord) -> None:
        line = await self._acquire_connection(host)
        if line is None:
            return
        ask.router, ask.start = host.name, line.start
        key = dict(self._keys).get(ask.workspace)
        tokens = (ask.prompt, ask.events) if ask.events else None
        headers = encode_request_headers(
            ask.request_id, key, tokens, REQUEST_TIMEOUT_SECONDS
        )
        headers.append((HOST, SITE_HOST.encode()))
        method = 'GET' if ask.kind is Kind.mark else 'POST'
        line.writer.write(
            encode_message(f'{method} {ask.path} HTTP/1.1', headers, b'x')
        )
        ask.sent = line.last_used_at = read_clock()
        self._journal.asks.append(ask)
        keeps = await self._receive(line, ask)
        if keeps:
            line.last_used_at = read_clock()
            self._connections[host.name].append(line)
        else:
            line.writer.transport.abort()

    async def _acquire_connection(self, host: Host) -> Connection | None:
        lines = self._connections[host.name]
        while lines:
            line = lines.pop(self._random.randrange(len(lines)))
            if line.usable:
                return line
            line.writer.close()
        return await self._connect(host)

    async def _receive(self, line: Connection, ask: RequestRecord) -> bool:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                return await self._read(line, ask)
        except TimeoutError:
            return False
        except CONNECTION_ERRORS:
            ask.cut = True
            return False
        finally:
            ask.ended = read_clock()

    async def _read(self, line: Connection, ask: RequestRecord) -> bool:
        head = await read_head(line.reader)
        ask.status = head.status
        ask.seal = head.headers.get(SEAL, b'').decode()
        async for piece in read_body(line.reader, head):
            ask.body += piece
        ask.whole = True
        return head.keeps_open
