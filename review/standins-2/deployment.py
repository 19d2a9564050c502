"""A small deployment on loopback addresses: store, workers, routers and relays.

Routers and relays are the project's own programs, started as processes with the
commands of ``deploy/system.toml``. All else are stand-ins in this process.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from store import Store

# The stand-ins lie in target/standins-2, and the programs run in the repository.
ROOT = Path(__file__).resolve().parents[2]
# Offsets from the first port; the same on all machines.
FRONT, READY, CONTROL, PEER, METRICS, APP, STORE = 0, 1, 2, 3, 9, 10, 11
PORTS = 12
HEARTBEAT_MS = 1200
CONTACT_MS = 3000
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'contactMs': CONTACT_MS,
    'ackTimeoutMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 5000,
    'strictRevoke': False,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'retryWindowS': 10,
    'retrySlack': 58,
    'recoveryS': 12,
    'passMs': 120,
    'reuseWindowS': 10,
    'settle_ms': 1500,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')
        self._begun_at = time.monotonic()

    def write(self, text):
        """Write a line with the time since the start in seconds."""
        moment = time.monotonic() - self._begun_at
        self._file.write(f'{moment:8.3f} {text}\n')
        self._file.flush()

    def say(self, text):
        """Write a line here and to standard output."""
        self.write(text)
        print(text, flush=True)


class Process:
    """One of the project's programs on one machine.

    Attributes:
        name: Name of the machine.
        ip: Its address.
        starts: Number of starts.
    """

    def __init__(self, site, role, name, ip, zone, app=None):
        self.name, self.ip, self.zone, self.starts = name, ip, zone, 0
        self._site, self._role, self._app = site, role, app
        self._popen = None
        self._log = site.folder / f'{name}.log'

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def start(self):
        """Start the process."""
        self.starts += 1
        settings = self._site.folder / f'{self.name}.toml'
        settings.write_text(self._site.format_settings(self, self._role, self._app))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles'][self._role]
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= role.get('env', {})
        environment |= {
            'IBISPORT_NODE_FILE': str(settings),
            'PYTHONPATH': str(ROOT / 'target/deps'),
        }
        with self._log.open('ab') as log:
            self._popen = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Send a signal if the process runs."""
        if self.is_running:
            self._popen.send_signal(number)

    def end(self):
        """End the process at once."""
        if self.is_running:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        if self._popen is not None:
            self._popen.wait()

    def count_events(self, name, **fields):
        """Return how many lines of the program's log have these values."""
        count = 0
        for line in self._log.read_text(errors='replace').splitlines():
            if f'"{name}"' not in line:
                continue
            try:
                event = json.loads(line)
            except ValueError:
                continue
            count += all(event.get(key) == value for key, value in fields.items())
        return count


class Site:
    """Addresses, store and processes of one run."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='ibisport-review-'))
        self.net = f'127.{random.randint(64, 250)}'
        self.port = find_free_ports(f'{self.net}.4.1')
        self.store = Store()
        self.routers = []
        self.relays = []
        self.zones = ['zone-a', 'zone-b', 'zone-c']
        self._version = 0

    async def start_store(self):
        """Start the store."""
        await self.store.start(f'{self.net}.4.1', self.port + STORE)

    def add_routers(self, count):
        """Add machines that run a router."""
        for index in range(count):
            ip = f'{self.net}.1.{index + 1}'
            zone = self.zones[index % len(self.zones)]
            self.routers.append(Process(self, 'router', f'edge-{index + 1}', ip, zone))

    def add_relay(self, index):
        """Add the relay on the machine of a worker."""
        ip = self.worker_ip(index)
        zone = self.zones[index % len(self.zones)]
        app = f'{ip}:{self.port + APP}'
        self.relays.append(
            Process(self, 'relay', f'side-{index + 1}', ip, zone, app)
        )

    def worker_ip(self, index):
        """Return the address of a worker's machine."""
        return f'{self.net}.2.{index + 1}'

    def configure(self, config):
        """Write the next version of the configuration, as the operator does."""
        self._version += 3
        self.store.put('op/config', {'version': self._version, **config})
        self.record.write(f'operator writes configuration {self._version}')

    def format_settings(self, process, role, app):
        """Return the settings file of a process."""
        ip, port = process.ip, self.port
        serves = '"edge"' if role == 'router' else ''
        lines = [
            f'node = "{process.name}"',
            f'role = "{role}"',
            f'machineClass = "{"edge" if role == "router" else "side"}"',
            f'serves = [{serves}]',
            f'ip = "{ip}"',
            f'zone = "{process.zone}"',
            'region = "region-1"',
            f'portRange = [{port + PEER},{port + METRICS}]',
            'seeds = []',
            f'bootstrap = {"true" if process.starts <= 1 else "false"}',
            'discovery = "platform"',
            'entry = "vip"',
            f'heartbeatMs = {HEARTBEAT_MS}',
            'contracts = ["base","drain","config","cost","retry","recover","engine",'
            '"stream","tenants","platform"]',
        ]
        if app:
            lines.append(f'app = "{app}"')
        lines += ['[zones]', *(f'{zone} = "region-1"' for zone in self.zones)]
        lines.append('[listen]')
        if role == 'router':
            lines += [f'front = "{ip}:{port + FRONT}"', f'ready = "{ip}:{port + READY}"']
        lines += [
            '[limits]',
            'cpuShare = 0.817',
            'cpuCores = 1',
            'memoryMb = 300',
            'maxFds = 4100',
            '[faultTolerance]',
            'machines = 1',
            '[bounds]',
        ]
        for name, value in BOUNDS.items():
            lines.append(f'{name} = {json.dumps(value)}')
        lines += [
            '[platform]',
            f'address = "{self.net}.4.1:{port + STORE}"',
            'form = "kv"',
            'writesPerS = 400',
            'readsPerS = 2000',
            'historyS = 20',
            'valueBytes = 1048576',
            'ttlMinMs = 1000',
        ]
        return '\n'.join(lines) + '\n'

    async def is_ready(self, router):
        """Ask a router for readiness, as the platform does."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(router.ip, self.port + READY), 1
            )
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b'GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self, seconds=20):
        """Wait until all routers are ready; return False if one isn't in time."""
        deadline = time.monotonic() + seconds
        for router in self.routers:
            while not await self.is_ready(router):
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True

    def end(self):
        """End all processes; their logs stay if KEEP_LOGS is set."""
        for process in (*self.routers, *self.relays):
            process.end()
        self.store.close()
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def find_free_ports(ip):
    """Return the first of some consecutive ports that are free."""
    while True:
        first = random.randrange(20_000, 30_000)
        try:
            for port in range(first, first + PORTS):
                socket.create_server((ip, port)).close()
        except OSError:
            continue
        return first


def run_case(folder, play):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    Args:
        folder: Folder of the case.
        play: Coroutine function; gets the record and whether there is trouble, and
            returns True if the rule was broken, False if it held, None if the case
            couldn't run.
    """
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.say(f'trouble: {trouble}')
    try:
        broken = asyncio.run(play(record, trouble))
    except Exception as error:
        record.say(f'could not run: {error!r}')
        raise SystemExit(2) from error
    if broken is None:
        record.say('could not run')
        raise SystemExit(2)
    record.say('BROKEN' if broken else 'held')
    sys.exit(1 if broken else 0)
