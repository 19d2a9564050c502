"""Stand-ins for the review's scripts: store, model workers, clients and platform.

Only the standard library is used. The stand-ins run in the process of the script; the
project's own programs are started with the commands of the deploy file. All addresses
are loopback addresses.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, unquote

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.2
ENTRY_LIFETIME_SECONDS = 3 * HEARTBEAT_SECONDS
STORE_ANSWER_SECONDS = 0.004
HOST = 'review.example'
KEY = 'key-of-the-only-tenant'
TENANT = 'tenant-1'
READY_TIMEOUT_SECONDS = 20.0
CONNECTION_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError, ValueError)
# A task of the stand-ins that the end of the script cancels.
ENDED = (*CONNECTION_ERRORS, asyncio.CancelledError)


class CannotRun(Exception):
    """The case can't be run here."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self._file = (Path(folder) / 'record.txt').open('w')

    def now(self):
        return time.monotonic() - self.started

    def write(self, who, what, **details):
        fields = ' '.join(f'{name}={value}' for name, value in details.items())
        self._file.write(f'{self.now():8.3f} {who} {what} {fields}\n'.rstrip() + '\n')
        self._file.flush()


async def read_head(reader):
    """Return the start line and the headers of a message; names are in lower case."""
    lines = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')[:-2]
    pairs = (line.partition(':') for line in lines[1:])
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader, headers):
    """Yield the parts of a message's body; raises if it ends early."""
    if headers.get('transfer-encoding') != 'chunked':
        length = int(headers.get('content-length', 0))
        if length:
            yield await reader.readexactly(length)
        return
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        chunk = (await reader.readexactly(size + 2))[:-2]
        if not size:
            return
        yield chunk


async def read_body(reader, headers):
    return b''.join([part async for part in read_chunks(reader, headers)])


def encode(status, headers, body=b''):
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it.

    While it is down it answers each call with 503, which means that nothing was done,
    and leases and the time-outs of workers' entries pause.
    """

    def __init__(self, address, record):
        self.address = address
        self._record = record
        self._items = {}
        self._history = []
        self._revision = 100
        self._leases = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = set()
        self.down = False

    async def open(self):
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._tasks.add(asyncio.ensure_future(self._expire()))

    def set_down(self, down):
        self.down = down
        self._record.write('store', 'down' if down else 'up')
        self._notify()

    def put(self, key, content):
        """Write a key on behalf of the operator or of a worker."""
        self._put(key, base64.b64encode(content).decode(), 0)
        self._notify()

    def remove(self, key):
        if key in self._items:
            self._delete(key)
            self._notify()

    def _notify(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _put(self, key, value, lease):
        self._revision += 1
        created = self._items[key]['createdRev'] if key in self._items else self._revision
        item = {'key': key, 'value': value, 'revision': self._revision}
        self._items[key] = {**item, 'createdRev': created, 'lease': lease}
        self._history.append(self._items[key])

    def _delete(self, key):
        self._revision += 1
        self._items.pop(key)
        removal = {'key': key, 'revision': self._revision, 'removed': True}
        self._history.append(removal)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.down:
                for lease in self._leases.values():
                    lease['until'] += 0.05
                continue
            now = time.monotonic()
            for number in [n for n, x in self._leases.items() if x['until'] < now]:
                self._end_lease(number)

    def _end_lease(self, number):
        if self._leases.pop(number, None) is None:
            return False
        for key in [k for k, item in self._items.items() if item['lease'] == number]:
            self._delete(key)
        self._notify()
        return True

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(' ')
                path, _, query = target.partition('?')
                await asyncio.sleep(STORE_ANSWER_SECONDS)
                fields = dict(parse_qsl(query, keep_blank_values=True))
                status, answer = await self._answer(method, path, fields, body)
                content = json.dumps(answer).encode()
                writer.write(encode(status, [('Content-Type', 'application/json')], content))
        except ENDED:
            return
        finally:
            writer.close()

    async def _answer(self, method, path, fields, body):
        if self.down:
            return 503, {}
        match method, path.split('/')[1:]:
            case 'GET', ['kv-key']:
                item = self._items.get(fields['key'])
                found = {**(item or {}), 'storeRevision': self._revision}
                return (404, {}) if item is None else (200, found)
            case 'GET', ['kv-range']:
                items = [self._items[k] for k in sorted(self._items)]
                items = [i for i in items if i['key'].startswith(fields['prefix'])]
                items = [i for i in items if i['key'] > fields.get('after', '')]
                page = {'items': items[:500], 'hasMore': len(items) > 500}
                return 200, {**page, 'storeRevision': self._revision}
            case 'GET', ['kv-watch']:
                return await self._watch(fields)
            case 'POST', ['kv-txn']:
                return self._write(json.loads(body))
            case 'POST', ['kv-lease']:
                ttl = max(1000, json.loads(body)['ttlMs'])
                number = next(self._numbers)
                until = time.monotonic() + ttl / 1000
                self._leases[number] = {'ttl': ttl, 'until': until}
                return 200, {'lease': number, 'ttlMs': ttl}
            case 'POST', ['kv-keep', number]:
                lease = self._leases.get(int(unquote(number)))
                if lease is None:
                    return 404, {}
                lease['until'] = time.monotonic() + lease['ttl'] / 1000
                return 200, {}
            case 'DELETE', ['kv-lease-end', number]:
                return (200, {}) if self._end_lease(int(unquote(number))) else (404, {})
        return 404, {}

    async def _watch(self, fields):
        after, prefix = int(fields['after']), fields['prefix']
        until = time.monotonic() + int(fields['waitMs']) / 1000
        while not self.down:
            events = [
                event
                for event in self._history
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'storeRevision': self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
        return 503, {}

    def _write(self, call):
        expected = call.get('expectRev', [])
        found = [self._items.get(row['key']) for row in expected]
        if any((i or {'revision': 0})['revision'] != r['revision'] for i, r in zip(found, expected)):
            rows = [i or {'key': r['key'], 'revision': 0} for i, r in zip(found, expected)]
            return 412, {'items': rows}
        keys = [put['key'] for put in call.get('puts', [])] + call.get('deletes', [])
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, {}
        leases = [put.get('lease') or 0 for put in call.get('puts', [])]
        if any(lease and lease not in self._leases for lease in leases):
            return 404, {}
        for put, lease in zip(call.get('puts', []), leases):
            self._put(put['key'], put['value'], lease)
        for key in call.get('deletes', []):
            if key in self._items:
                self._delete(key)
        self._notify()
        return 200, {'revision': self._revision}


class Worker:
    """A model worker: streams events, and registers itself in the store.

    Attributes:
        arrivals: Requests that it began to run: (time, id, parts, after).
        fatal_part: A prompt part that crashes it as it begins to write an answer.
        keeps_id: Whether it starts again under the id that it had.
    """

    def __init__(self, name, zone, address, service, store, record, version, slots=48):
        self.name, self.zone, self.address = name, zone, address
        self.service, self.version, self.slots = service, version, slots
        self.keeps_id = True
        self.fatal_part = None
        self.arrivals = []
        self.crashes = []
        self.restart_seconds = 2.0
        self.events, self.gap = 10, 0.05
        # Seconds that a plain answer takes; None: it answers with a stream.
        self.work = None
        self.id = f'i-{name}'
        self._starts = itertools.count(1)
        self._store, self._record = store, record
        self._running = 0
        self._seq = 0
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._heartbeats = None
        self.running = False

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self):
        number = next(self._starts)
        if number > 1 and not self.keeps_id:
            self.id = f'i-{self.name}-{number}'
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=2**20, reuse_address=True
        )
        self.running = True
        self._record.write(self.name, 'start', id=self.id, version=self.version, born=self._born)
        self._heartbeats = self.spawn(self._beat())

    async def _beat(self):
        """Write the entry at the start, and again at each heartbeat."""
        written = None
        while True:
            if not self._store.down:
                self._seq += 1
                self._beat_at = time.monotonic()
                entry = {
                    'service': self.service, 'address': '{}:{}'.format(*self.address),
                    'zone': self.zone, 'version': self.version, 'slots': self.slots,
                    'state': 'ready', 'coldLeftMs': 0, 'born': self._born,
                }
                if entry != written:
                    # It isn't written again to change `seq` alone.
                    self._store.put(f'servers/{self.id}', json.dumps({**entry, 'seq': self._seq}).encode())
                    self._record.write(self.name, 'registered', id=self.id, version=self.version)
                    written = entry
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def crash(self):
        """End at once: connections are reset and new ones are refused."""
        if not self.running:
            return
        self.running = False
        self.crashes.append(self._record.now())
        self._record.write(self.name, 'crash', id=self.id, number=len(self.crashes))
        self._heartbeats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self.spawn(self._come_back(self.id))

    async def _come_back(self, old_id):
        self.spawn(self._drop_entry(old_id, self._born))
        await asyncio.sleep(self.restart_seconds)
        await self.start()

    async def _drop_entry(self, old_id, born):
        """Remove the entry after three heartbeats of silence, as the platform does."""
        silent = time.monotonic() - self._beat_at
        while silent < ENTRY_LIFETIME_SECONDS:
            await asyncio.sleep(0.05)
            silent += 0 if self._store.down else 0.05
            if self.running and self.id == old_id and not self._store.down:
                return
        if not (self.running and self.id == old_id):
            self._store.remove(f'servers/{old_id}')

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        born = self._born
        try:
            while born == self._born and self.running:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                method, target, _ = line.split(' ')
                if method == 'GET' and target in ('/report', '/health'):
                    writer.write(self._answer_state(target))
                    continue
                await self._answer(headers, reader, writer)
        except ENDED:
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def _answer_state(self, target):
        if target == '/health':
            return encode(200, [('Served-By', self.id)])
        report = {
            'stage': 'unified', 'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False, 'seq': 0, 'waiting': 0, 'running': self._running,
            'kvUsed': 0, 'kvTotal': 300000, 'handles': 0, 'born': self._born,
        }
        return encode(200, [('Content-Type', 'application/json')], json.dumps(report).encode())

    async def _answer(self, headers, reader, writer):
        request = headers.get('attempt-id', '')
        base = [('Attempt-Id', request), ('Worker-Load', f'{self._running},0,{self.slots}')]
        if headers.get('expect-instance', self.id) != self.id:
            writer.write(encode(421, [*base, ('Not-Executed', '1')]))
            return
        if self._running >= self.slots:
            writer.write(encode(503, [*base, ('Not-Executed', '1')]))
            return
        parts = [entry.partition(':')[0] for entry in headers.get('prompt-prefix', '').split(',')]
        after = int(headers.get('last-event-id', 0))
        self.arrivals.append((self._record.now(), request, parts, after))
        self._record.write(self.name, 'runs', id=self.id, version=self.version, request=request, after=after)
        self._running += 1
        try:
            await self._run(base, request, parts, after, reader, writer)
        finally:
            self._running -= 1

    async def _run(self, base, request, parts, after, reader, writer):
        born = self._born
        seal = f'{self.name}.{random.getrandbits(32):x}'
        if self.work is not None:
            await asyncio.sleep(self.work)
            if born != self._born or not self.running or writer.is_closing():
                raise EOFError
            body = f'{self.name} {request}'.encode()
            writer.write(encode(200, [*base, ('Response-Seal', seal)], body))
            return
        await asyncio.sleep(self.gap)
        if self.fatal_part in parts[:-1]:
            self.crash()
            raise EOFError
        fields = [*base, ('Response-Seal', seal), ('Weight-Versions', 1),
                  ('Content-Type', 'text/event-stream')]
        lines = ['HTTP/1.1 200 OK', *(f'{n}: {v}' for n, v in fields)]
        lines += ['Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        for number in range(after + 1, self.events + 1):
            if born != self._born or not self.running or reader.at_eof() or writer.is_closing():
                raise EOFError
            event = f'id: {number}\ndata: {self.name}/{self.version}/{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await asyncio.sleep(self.gap)
        if born != self._born or not self.running:
            raise EOFError
        writer.write(b'0\r\n\r\n')


class Answer:
    """What a client saw of one attempt."""

    def __init__(self, request):
        self.request = request
        self.status = None
        self.events = []
        self.complete = False
        self.retry_after = None
        self.body = b''


class Client:
    """Sends streams on new connections, as a client of the platform does."""

    def __init__(self, fronts, record):
        self._fronts, self._record = fronts, record

    async def fetch(self, path, deadline_ms, front=None):
        """Send a plain GET request; the client doesn't repeat it."""
        request = f'{random.getrandbits(64):016x}'
        answer = Answer(request)
        address = front or random.choice(self._fronts)
        head = [
            f'GET {path} HTTP/1.1', f'Host: {HOST}', f'Attempt-Id: {request}',
            f'Deadline-Ms: {deadline_ms}', f'Authorization: Bearer {KEY}', '', '',
        ]
        self._record.write('client', 'sends', request=request, router=address[0], path=path)
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                reader, writer = await asyncio.open_connection(*address)
                writer.write('\r\n'.join(head).encode())
                line, fields = await read_head(reader)
                answer.status = int(line.split(' ')[1])
                answer.retry_after = fields.get('retry-after')
                answer.body = await read_body(reader, fields)
                answer.complete = True
        except (*CONNECTION_ERRORS, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        self._record.write('client', 'got', request=request, status=answer.status,
                           complete=answer.complete, retry_after=answer.retry_after,
                           body=answer.body.decode('latin-1').replace(' ', '_'))
        return answer

    async def send(self, path, parts, tokens, deadline_ms, front=None, last=None, resumes=None):
        request = f'{random.getrandbits(64):016x}'
        answer = Answer(request)
        address = front or random.choice(self._fronts)
        headers = {
            'Host': HOST, 'Attempt-Id': request, 'Deadline-Ms': deadline_ms,
            'Authorization': f'Bearer {KEY}', 'Model': 'm',
            'Token-Usage': '{},{}'.format(*tokens),
            'Prompt-Prefix': ','.join(f'{name}:{count}' for name, count in parts),
            'Content-Length': 2,
        }
        if last is not None:
            headers |= {'Last-Event-Id': last, 'Resumes': resumes}
        head = [f'POST {path} HTTP/1.1', *(f'{n}: {v}' for n, v in headers.items()), '', '']
        self._record.write('client', 'sends', request=request, router=address[0],
                           parts=headers['Prompt-Prefix'], last=last, resumes=resumes)
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                reader, writer = await asyncio.open_connection(*address)
                writer.write('\r\n'.join(head).encode() + b'{}')
                line, fields = await read_head(reader)
                answer.status = int(line.split(' ')[1])
                answer.retry_after = fields.get('retry-after')
                content = b''
                async for part in read_chunks(reader, fields):
                    content += part
                    *events, content = content.split(b'\n\n')
                    answer.events += [event.decode() for event in events if b'data' in event]
                answer.complete = True
        except (*CONNECTION_ERRORS, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        self._record.write('client', 'got', request=request, status=answer.status,
                           events=len(answer.events), complete=answer.complete,
                           sources=','.join(dict.fromkeys(source_of(e) for e in answer.events)),
                           retry_after=answer.retry_after)
        return answer


def source_of(event):
    """Return the worker and the version that wrote an event, from its data."""
    return event.partition('data: ')[2].rpartition('/')[0]


class Program:
    """One of the project's programs on a machine of its own."""

    def __init__(self, role, settings, folder):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles'][role]
        self.name = settings['node']
        self._arguments = shlex.split(deploy['run'])
        self._log = folder / f'{self.name}.log'
        path = folder / f'{self.name}.toml'
        path.write_text(format_toml(settings))
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        self._environment = {
            **kept, **deploy.get('env', {}), 'IBISPORT_NODE_FILE': str(path),
            'PYTHONPATH': str(ROOT / 'target/deps'), 'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.process = None

    async def start(self):
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._arguments, cwd=ROOT, env=self._environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    def kill(self):
        if self.running:
            self.process.send_signal(signal.SIGKILL)


def format_toml(settings):
    """Return a settings file in the form of DEPLOY.md."""
    plain = [f'{n} = {json.dumps(v)}' for n, v in settings.items() if not isinstance(v, dict)]
    for name, table in settings.items():
        if isinstance(table, dict):
            plain.append(f'[{name}]')
            plain += [f'{n} = {json.dumps(v)}' for n, v in table.items()]
    return '\n'.join(plain) + '\n'


BOUNDS = {
    'seedLagS': 3, 'addrReuseS': 2, 'contactMs': 3000, 'ackTimeoutMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'maxStretchMs': 5000,
    'strictRevoke': False, 'revokeMs': 5000, 'retryBudgetRatio': 0.2,
    'retryWindowS': 10, 'retrySlack': 58, 'recoveryS': 12, 'passMs': 120,
    'reuseWindowS': 10, 'settle_ms': 1500,
}


class Site:
    """A small deployment: zones with a router each, and workers with a relay each."""

    def __init__(self, record, zones=('zone-a', 'zone-b')):
        self.record = record
        self.zones = zones
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self._folder.name)
        self._network = f'127.{40 + os.getpid() % 200}'
        self._port = self._find_ports()
        self.store = Store((f'{self._network}.9.1', self._port), record)
        self.workers, self.programs, self.routers, self.fronts = [], [], [], []

    def _find_ports(self):
        for _ in range(100):
            first = random.randrange(20000, 30000)
            try:
                for port in range(first, first + 20):
                    socket.create_server((f'{self._network}.9.1', port)).close()
            except OSError:
                continue
            return first
        raise CannotRun('no free ports')

    def add_worker(self, name, zone, service='llm', version='v1', **options):
        ip = f'{self._network}.2.{len(self.workers) + 1}'
        worker = Worker(name, zone, (ip, self._port), service, self.store, self.record, version, **options)
        self.workers.append(worker)
        settings = self._settings(f'side-{name}', 'relay', 'side', ip, zone)
        settings['app'] = '{}:{}'.format(*worker.address)
        self.programs.append(Program('relay', settings, self.folder))
        return worker

    def add_router(self, zone):
        ip = f'{self._network}.1.{len(self.routers) + 1}'
        settings = self._settings(f'edge-{zone}-1', 'router', 'edge', ip, zone)
        settings['listen'] = {'front': f'{ip}:{self._port}', 'ready': f'{ip}:{self._port + 1}'}
        router = Program('router', settings, self.folder)
        self.routers.append(router)
        self.programs.append(router)
        self.fronts.append((ip, self._port))

    def _settings(self, node, role, kind, ip, zone):
        return {
            'node': node, 'role': role, 'machineClass': kind,
            'serves': ['edge'] if kind == 'edge' else [], 'ip': ip, 'zone': zone,
            'region': 'region', 'portRange': [self._port + 4, self._port + 19],
            'seeds': [], 'bootstrap': True, 'inFaultBudget': False,
            'discovery': 'platform', 'entry': 'vip', 'heartbeatMs': 1200,
            'zones': dict.fromkeys(self.zones, 'region'),
            'limits': {'cpuShare': 0.817, 'cpuCores': 1, 'memoryMb': 300, 'maxFds': 4100,
                       'linkMbps': 1000.0, 'diskMb': 0},
            'bounds': BOUNDS,
            'platform': {'address': '{}:{}'.format(*self.store.address), 'form': 'kv',
                         'writesPerS': 400, 'readsPerS': 2000, 'historyS': 20,
                         'valueBytes': 1048576, 'ttlMinMs': 1000},
        }

    def publish(self, version, routes, services, prepaid=10**9):
        config = {
            'version': version, 'routes': routes, 'services': services,
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
            'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'prepaid': prepaid}],
        }
        self.store.put('op/config', json.dumps(config).encode())
        self.record.write('operator', 'config', version=version)

    async def open(self):
        await self.store.open()
        for worker in self.workers:
            await worker.start()
        for program in self.programs:
            await program.start()
        until = time.monotonic() + READY_TIMEOUT_SECONDS
        for host, port in self.fronts:
            while not await self.is_ready((host, port + 1)):
                if time.monotonic() > until:
                    raise CannotRun(f'{host} is not ready')
                await asyncio.sleep(0.1)
        self.record.write('platform', 'all routers are ready')

    async def is_ready(self, address):
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def close(self):
        for program in self.programs:
            program.kill()
        for program in self.programs:
            if program.process is not None:
                await program.process.wait()
        if keep := os.environ.get('KEEP_LOGS'):
            for path in self.folder.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()


STREAM_ROUTE = {
    'name': 'notes', 'hostname': HOST, 'prefix': '/notes/', 'kind': 'streaming',
    'service': 'llm', 'maxAttempts': 2, 'timeoutMs': 6000, 'targetLatencyMs': 600,
    'priority': 0, 'public': False, 'sticky': True, 'resumable': True, 'targetGapMs': 250,
}
PLAIN_ROUTE = {
    'name': 'status', 'hostname': HOST, 'prefix': '/status/', 'kind': 'idempotent',
    'service': 'portal', 'maxAttempts': 2, 'timeoutMs': 1500, 'targetLatencyMs': 400,
    'priority': 2, 'public': False, 'sticky': False, 'resumable': False, 'targetGapMs': 0,
}
PLAIN_SERVICE = {'name': 'portal', 'healthPath': '/health', 'maxConns': 110}
LLM_SERVICE = {
    'name': 'llm', 'healthPath': '/health', 'maxConns': 310,
    'engine': {'slots': 48, 'kvCapacity': 318631, 'stride': 3, 'kvTokenBytes': 163840.0,
               'linkMbps': 740000.0, 'backups': True, 'handleS': 5},
}


def run_case(folder, play):
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
        folder: The folder of the case, for its record.
        play: Coroutine function of the record and whether there is a disruption; it
            returns whether the rule held.
    """
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write('case', 'begins', trouble=trouble)

    async def limited():
        async with asyncio.timeout(112):
            return await play(record, trouble)

    try:
        held = asyncio.run(limited())
    except (CannotRun, TimeoutError, OSError) as error:
        record.write('case', 'could not run', reason=repr(error))
        print(f'could not run: {error!r}', file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)
