"""Steps on crowds of clients at real processes with the limits of a small machine."""

import asyncio
import contextlib
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from behave import then, when
from crowds import (
    BODY_BYTES,
    CALLERS,
    CROWDS,
    MAX_DESCRIPTORS,
    PEERS,
    READINESS,
    RELAY,
    RunningCrowd,
    begin_request,
    make_request,
)

from ibisport_bench.soak.evidence import NOT_EXECUTED_STATUSES, Journal
from ibisport_bench.soak.http_messages import read_head, skip_body
from ibisport_bench.soak.run import open_site
from ibisport_bench.soak.site import Site

# A third of the memory of a router's machine.
MEMORY_MB = 100
# Descriptors that the machine reserves for files.
FILE_DESCRIPTORS = 200
BYTES_PER_MB = 1_000_000
LIMITS = '[limits]\nmemoryMb = {memory}\nmaxFds = {descriptors}\n'
SEED = 1
CROWD_SECONDS = 6.0
# Time for the process to work on what a crowd has sent.
STAY_SECONDS = 2.0
# Ends a test that would hang; nothing is expected to take so long.
PATIENCE_SECONDS = 60.0
TRY_SECONDS = 20.0
SAMPLE_SECONDS = 0.05
HTTP_OK = 200
CALL = b'GET /kv-key?key=op/config HTTP/1.1\r\nHost: store\r\n\r\n'


@dataclass
class Evidence:
    """What was seen of one process.

    Attributes:
        memory: Largest memory in use, with the bytes received and not read.
        sockets: Most open sockets.
        max_sockets: Sockets that it may open.
        lives: Whether the process has run all the while.
        answered: Whether the ordinary requests beside and after the crowd were.
        ran_refused: Requests that ran although an answer said that they didn't.
        ended_itself: Whether the process ended in its grace time after SIGTERM.
    """

    memory: int = 0
    sockets: int = 0
    max_sockets: int = 0
    lives: bool = False
    answered: list[bool] = field(default_factory=list)
    ran_refused: set[str] = field(default_factory=set)
    ended_itself: bool = False


@contextlib.asynccontextmanager
async def run_site(max_descriptors=MAX_DESCRIPTORS):
    """Run a site with one router whose machines have little memory."""
    limits = LIMITS.format(memory=MEMORY_MB, descriptors=max_descriptors)
    journal = Journal(budgets={'ample': 100_000_000})
    with tempfile.TemporaryDirectory() as folder:
        site = Site(1, SEED, Path(folder), journal, warm_up=None)
        for host in site.hosts:
            host.more_settings = limits
        site.service.put('bulk', b'x' * 700_000)
        try:
            await open_site(site)
            # The site waits for its router only.
            assert await ask(site.relays[0].settings.peer_address, CALL)
            yield site, journal
        finally:
            for host in site.hosts:
                host.kill()
                await host.wait(PATIENCE_SECONDS)


async def watch(host, evidence):
    """Record the largest memory and the most sockets of a process."""
    folder = Path(f'/proc/{host.process_id}')
    with contextlib.suppress(OSError):
        while True:
            peak, resident = read_memory(folder)
            unread = count_unread(folder, host.settings.peer_address[0])
            evidence.memory = max(evidence.memory, peak, resident + unread)
            evidence.sockets = max(evidence.sockets, count_sockets(folder))
            await asyncio.sleep(SAMPLE_SECONDS)


def read_memory(folder):
    """Return the peak and the present resident memory of a process, bytes."""
    fields = {}
    for line in (folder / 'status').read_text().splitlines():
        name, _, content = line.partition(':')
        fields[name] = content.split()
    return tuple(int(fields[name][0]) * 1_024 for name in ('VmHWM', 'VmRSS'))


def count_unread(folder, ip):
    """Return the bytes that connections to an address have received unread."""
    encoded = bytes(map(int, reversed(ip.split('.')))).hex().upper()
    lines = (folder / 'net/tcp').read_text().splitlines()
    rows = [line.split() for line in lines]
    queues = [row[4] for row in rows if row[1].startswith(encoded)]
    return sum(int(queue.split(':')[1], 16) for queue in queues)


def count_sockets(folder):
    """Return the number of open sockets of a process."""
    count = 0
    for path in (folder / 'fd').iterdir():
        with contextlib.suppress(OSError):
            count += path.readlink().name.startswith('socket:')
    return count


async def ask(address, message):
    """Send an ordinary request until it is served; return whether it was."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE_SECONDS):
            while True:
                delay = await try_once(address, message)
                if delay is None:
                    return True
                await asyncio.sleep(delay)
    return False


async def try_once(address, message):
    """Send a request; return None if it was served, or when to come back."""
    try:
        async with asyncio.timeout(TRY_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(message)
                head = await read_head(reader)
                await skip_body(reader, head)
            finally:
                writer.transport.abort()
    except (OSError, EOFError, TimeoutError):
        return 0.1
    if head.status == HTTP_OK:
        return None
    assert head.status in NOT_EXECUTED_STATUSES, head
    return float(head.headers.get(b'retry-after', b'0.1'))


def find_ordinary(site, listener, length):
    """Return the host that a crowd meets, and an ordinary request to it."""
    if listener == RELAY:
        host = site.relays[0]
        return host, (host.settings.peer_address, CALL)
    host = site.routers[0]
    message = make_request('ordinary', length=length)
    return host, (host.settings.callers_address, message)


def find_listener(settings, listener):
    """Return the address that a crowd connects to."""
    addresses = {
        CALLERS: settings.callers_address,
        READINESS: settings.readiness_address,
        PEERS: settings.peer_address,
        RELAY: settings.peer_address,
    }
    return addresses[listener]


@contextlib.asynccontextmanager
async def meet(name, length=1):
    """Let a crowd come to a site; yield the host it meets and what is seen of it."""
    crowd = CROWDS[name]
    evidence = Evidence(max_sockets=crowd.max_descriptors - FILE_DESCRIPTORS)
    async with run_site(crowd.max_descriptors) as (site, journal):
        host, ordinary = find_ordinary(site, crowd.listener, length)
        process = host.process_id
        watching = asyncio.ensure_future(watch(host, evidence))
        running = RunningCrowd(crowd, find_listener(host.settings, crowd.listener))
        await running.wait_until_sent(CROWD_SECONDS)
        await asyncio.sleep(STAY_SECONDS)
        assert running.connected >= crowd.clients, running.connected
        evidence.answered.append(await ask(*ordinary))
        yield host, evidence
        await running.leave()
        if host.is_running:
            evidence.answered.append(await ask(*ordinary))
            evidence.lives = host.process_id == process
        watching.cancel()
        evidence.ran_refused = list_ran_refused(journal, running.statuses)


def list_ran_refused(journal, statuses):
    """Return the ids of requests that ran although they were said not to run."""
    refused = {
        request_id
        for request_id, status in statuses.items()
        if status in NOT_EXECUTED_STATUSES
    }
    return refused & {run.request_id for run in journal.runs}


async def play(name, length=1):
    """Let a crowd come and leave; return what was seen of the process it met."""
    async with meet(name, length) as (host, evidence):
        assert host.is_running, evidence
    print(evidence)
    return evidence


async def play_stop(name):
    """Stop the process beside a crowd; return what was seen of it."""
    async with meet(name) as (host, evidence):
        await host.stop(PATIENCE_SECONDS)
        evidence.ended_itself = not host.start.killed
    return evidence


@when('a crowd sends {kind}')
def send_crowd(context, kind):
    context.evidence = asyncio.run(play(kind))


@when('beside ordinary bodies of {size:d} KiB a crowd sends {kind}')
def send_crowd_beside_bodies(context, size, kind):
    context.evidence = asyncio.run(play(kind, size * 1_024))


@when('a crowd stays with {kind} and the router is told to stop')
def stop_beside_crowd(context, kind):
    context.evidence = asyncio.run(play_stop(kind))


@then('the process lives and stays within its memory and descriptors')
def check_bounds(context):
    evidence = context.evidence
    assert evidence.lives, evidence
    assert evidence.memory <= MEMORY_MB * BYTES_PER_MB, evidence
    assert evidence.sockets <= evidence.max_sockets, evidence


@then('an ordinary request is answered beside the crowd and after it')
def check_answered(context):
    assert all(context.evidence.answered), context.evidence
    assert not context.evidence.ran_refused, context.evidence


@then('the router ends by itself')
def check_end(context):
    assert context.evidence.ended_itself, context.evidence


async def send_slowly(framing, piece, count, rest):
    """Send one request with pauses; return the status that is read after that."""
    async with run_site() as (site, _):
        address = site.routers[0].settings.callers_address
        reader, writer = await asyncio.open_connection(*address)
        writer.write(begin_request('calm', framing))
        for _ in range(count):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(rest)
        head = await read_head(reader)
        writer.transport.abort()
        return head.status


@when('one client sends a body of legal size in pieces')
def send_pieces(context):
    framing = b'Content-Length: %d' % BODY_BYTES
    piece = b'x' * (BODY_BYTES // 64)
    context.status = asyncio.run(send_slowly(framing, piece, 64, b''))


@when('one client sends a body in chunks of one byte')
def send_chunks(context):
    framing = b'Transfer-Encoding: chunked'
    piece = b'1\r\nx\r\n' * 4_096
    context.status = asyncio.run(send_slowly(framing, piece, 64, b'0\r\n\r\n'))


@when('one client sends a body of half again the limit before it reads')
def send_too_much(context):
    piece = b'x' * (BODY_BYTES // 64)
    framing = b'Content-Length: %d' % (96 * len(piece))
    context.status = asyncio.run(send_slowly(framing, piece, 96, b''))


@then('it gets {status:d}')
def check_status(context, status):
    assert context.status == status, context.status


@then('it is served')
def check_served(context):
    assert context.status == HTTP_OK, context.status
