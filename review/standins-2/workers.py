"""Stand-in for a worker of a service: a model worker or a plain one."""

import asyncio
import itertools
import random
import time

from http_io import encode_answer, encode_head, read_message

SILENT_HEARTBEATS = 3
HEARTBEAT_SECONDS = 1.2
KEEP_ALIVE_SECONDS = 5
EVENT_SECONDS = 0.02


class Worker:
    """One machine's worker, which may start several times.

    Attributes:
        id: Its id in the store, at the present start.
        born: Unix millisecond of its present start.
        runs: What ran, in order: time, request id and the headers.
        running: Number of requests that run.
        arrivals: Number of requests that arrived.
        warmup_seconds: For how long it is cold after a start.
    """

    def __init__(self, site, index, service, slots, answer, version='1'):
        """Create a worker that hasn't started.

        Args:
            site: The deployment.
            index: Number of its machine.
            service: Name of its service.
            slots: Requests that it runs at once.
            answer: Coroutine function that gets this worker, the request and the
                connection, and writes the answer.
            version: Version of its software.
        """
        self.site, self.service, self.slots = site, service, slots
        self.version, self.index = version, index
        self.ip = site.worker_ip(index)
        self.zone = site.zones[index % len(site.zones)]
        self.id = ''
        self.born = 0
        self.state = 'ready'
        self.runs = []
        self.running = 0
        self.arrivals = 0
        self.starts = 0
        self.crashes = 0
        self._answer = answer
        self.warmup_seconds = 0.0
        self._started_at = 0.0
        self._writers = set()
        self._server = None
        self._seals = itertools.count(1)

    @property
    def key(self):
        """Key of its entry in the store."""
        return f'servers/{self.id}'

    @property
    def is_up(self):
        """Whether it serves."""
        return self._server is not None

    async def start(self, keeps_id=False):
        """Start, with the id of the start before or a new one."""
        if not (keeps_id and self.id):
            self.id = f'i-{random.randrange(16**10):010x}'
        self.starts += 1
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self.state = 'ready'
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.site.port + 10, backlog=512, limit=2**20
        )
        self.register()
        self.site.record.write(
            f'worker {self.index + 1} starts: {self.id}, born {self.born}'
        )

    def register(self):
        """Write its entry to the store; try again while the store is down."""
        if not self.is_up:
            return
        if self.site.store.down:
            asyncio.get_running_loop().call_later(HEARTBEAT_SECONDS, self.register)
            return
        self.site.store.put(
            self.key,
            {
                'service': self.service,
                'address': f'{self.ip}:{self.site.port + 10}',
                'zone': self.zone,
                'version': self.version,
                'slots': self.slots,
                'state': self.state,
                'coldLeftMs': self.cold_left_ms(),
                'seq': self.starts,
                'born': self.born,
            },
        )

    def crash(self):
        """End at once: all connections are reset, and new ones are refused."""
        if self._server is None:
            return
        self.crashes += 1
        self._server.close()
        self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()
        born = self.born
        asyncio.get_running_loop().call_later(
            SILENT_HEARTBEATS * HEARTBEAT_SECONDS, self._expire, self.id, born
        )

    def _expire(self, worker_id, born):
        is_silent = self.id != worker_id or (self.born == born and not self.is_up)
        if is_silent and not self.site.store.down:
            self.site.store.remove(f'servers/{worker_id}')

    def close(self):
        """Stop for good."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def cold_left_ms(self):
        """Return for how long it is still cold, in whole milliseconds."""
        warm_at = self._started_at + self.warmup_seconds
        return max(0, int((warm_at - time.monotonic()) * 1000))

    def describe_load(self):
        """Return the value of the header Worker-Load."""
        return f'{min(self.running, self.slots)},{max(0, self.running - self.slots)},{self.slots}'

    def build_headers(self, request):
        """Return the headers of an answer to a request that ran."""
        headers = [
            ('Attempt-Id', request.headers.get('attempt-id', '')),
            ('Response-Seal', f'{self.id}.{next(self._seals):x}'),
            ('Worker-Load', self.describe_load()),
            ('Keep-Alive', f'timeout={KEEP_ALIVE_SECONDS}'),
        ]
        return headers

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                await self._handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            # The run is over; asyncio's streams would log the cancelled task.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        if request.target.startswith('/report'):
            body = (
                b'{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],'
                b'"busy":false,"seq":1,"waiting":0,"running":%d,"kvUsed":0,'
                b'"kvTotal":300000,"handles":0,"state":"ready"}' % self.running
            )
            writer.write(
                encode_answer(200, [('Content-Type', 'application/json')], body)
            )
            return
        self.arrivals += 1
        expected = request.headers.get('expect-instance')
        if expected not in (None, self.id):
            writer.write(
                encode_answer(
                    421,
                    [
                        ('Attempt-Id', request.headers.get('attempt-id', '')),
                        ('Not-Executed', '1'),
                    ],
                    b'',
                )
            )
            return
        self.runs.append(
            (time.monotonic(), request.headers.get('attempt-id', ''), request.headers)
        )
        self.site.record.write(
            f'worker {self.index + 1} runs {request.headers.get("attempt-id", "")}'
        )
        self.running += 1
        try:
            await self._answer(self, request, writer)
        finally:
            self.running -= 1


async def write_stream(worker, request, writer, events, gap=EVENT_SECONDS):
    """Write a complete stream of events after the last one that the request names."""
    after = int(request.headers.get('last-event-id', 0))
    headers = [
        *worker.build_headers(request),
        ('Content-Type', 'text/event-stream'),
        ('Transfer-Encoding', 'chunked'),
    ]
    await asyncio.sleep(gap)
    writer.write(encode_head('HTTP/1.1 200 OK', headers))
    for number in range(after + 1, events + 1):
        if writer.transport.is_closing():
            raise ConnectionResetError('the caller has left')
        event = f'id: {number}\ndata: piece-{number} of {worker.version}\n\n'.encode()
        writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(gap)
    writer.write(b'0\r\n\r\n')
