"""Steps on callers that leave real routers before they are answered."""

import asyncio
import contextlib
import json
import signal
import socket
import struct
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from behave import given, then, when
from crowds import make_request

from ibisport_bench.soak.evidence import Journal, read_clock
from ibisport_bench.soak.http_messages import read_head
from ibisport_bench.soak.links import TO_SINK
from ibisport_bench.soak.run import open_site
from ibisport_bench.soak.site import Site

SEED = 1
# How long after its caller has left no request may reach a target.
LATE_SECONDS = 0.5
PAUSE_SECONDS = 1.5
AFTER_SECONDS = 5.0
EXIT_SECONDS = 20.0
# Of four callers that meet a router that stands still, one stays.
STAY_INTERVAL = 4
WARM_UP_CALLERS = 40
# More than a router reads ahead.
BYTES_BEHIND = 40_000
# By then the first requests have been read.
BEHIND_SECONDS = 0.3
SENT = '"request_sent"'
# Of the log of a router that didn't answer.
LOG_LINES = 20
RESET = struct.pack('ii', 1, 0)


@dataclass
class Evidence:
    """What became of the requests.

    Attributes:
        journal: What targets saw.
        left: Clock at which the caller of each request left.
        stayed: Whether each caller that stayed was answered.
        failures: Lines of the router's log on tasks that failed.
        sent: Requests of callers that left for which the router chose a target.
    """

    journal: Journal
    left: dict[str, float] = field(default_factory=dict)
    stayed: list[bool] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    sent: set[str] = field(default_factory=set)


@contextlib.asynccontextmanager
async def run_site():
    """Run a site with one router; yield the site and the evidence."""
    evidence = Evidence(Journal(budgets={'ample': 100_000_000}))
    with tempfile.TemporaryDirectory() as folder:
        site = Site(1, SEED, Path(folder), evidence.journal, warm_up=None)
        try:
            await open_site(site)
            # The router keeps connections to targets for reuse.
            answered = await asyncio.gather(
                *(Caller(site, f'first-{n}').ask() for n in range(WARM_UP_CALLERS))
            )
            assert all(answered), read_log(folder)[-LOG_LINES:]
            yield site, evidence
        finally:
            for host in site.hosts:
                host.kill()
                await host.wait(EXIT_SECONDS)
            read_evidence(folder, evidence)


def read_evidence(folder, evidence):
    """Add what the router's log tells."""
    lines = read_log(folder)
    evidence.failures = [line for line in lines if 'task_failed' in line]
    sent = {json.loads(line)['request'] for line in lines if SENT in line}
    evidence.sent = sent & set(evidence.left)


def read_log(folder):
    """Return the lines of the router's log."""
    return (Path(folder) / 'router-1.log').read_text().splitlines()


class Caller:
    """A caller with a connection of its own."""

    def __init__(self, site, request_id):
        self.request_id = request_id
        self._address = site.routers[0].settings.callers_address

    async def send(self, message):
        """Connect and send bytes."""
        self._reader, self._writer = await asyncio.open_connection(*self._address)
        self._writer.write(message)

    def write(self, message):
        """Send more bytes."""
        self._writer.write(message)

    async def ask(self):
        """Send a request; return whether an answer came."""
        try:
            await self.send(make_request(self.request_id))
            await read_head(self._reader)
        except (OSError, EOFError):
            return False
        self._writer.close()
        return True

    def leave(self, evidence, request_ids, *, resets):
        """Close or reset the connection, and record when for its requests."""
        transport = self._writer.transport
        if resets:
            raw = transport.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()
        evidence.left |= dict.fromkeys(request_ids, read_clock())


def leave_all(callers, evidence, list_requests):
    """Let callers leave, every second one with a reset."""
    for number, caller in enumerate(callers):
        caller.leave(evidence, list_requests(caller), resets=bool(number % 2))


async def meet_paused_router(count):
    """Let callers come, and most of them leave, while the router stands still."""
    async with run_site() as (site, evidence):
        router = site.routers[0]
        router.send_signal(signal.SIGSTOP)
        callers = [Caller(site, f'paused-{number}') for number in range(count)]
        staying = [
            asyncio.ensure_future(caller.ask()) for caller in callers[::STAY_INTERVAL]
        ]
        del callers[::STAY_INTERVAL]
        for caller in callers:
            await caller.send(make_request(caller.request_id))
        leave_all(callers, evidence, lambda caller: [caller.request_id])
        await asyncio.sleep(PAUSE_SECONDS)
        router.send_signal(signal.SIGCONT)
        await asyncio.sleep(AFTER_SECONDS)
        evidence.stayed = [task.done() and task.result() for task in staying]
        for task in staying:
            task.cancel()
        return evidence


def list_requests(caller, length):
    """Return the ids of a caller's requests; behind the first, if short, lie others."""
    size = len(make_request(caller.request_id, length=length))
    behind = 1 + BYTES_BEHIND // size if length == 1 else 0
    return [f'{caller.request_id}-{number}' for number in range(behind + 1)]


async def leave_early(harm, count, length):
    """Let callers leave after a second, while their requests are in progress."""
    async with run_site() as (site, evidence):
        healing = asyncio.ensure_future(harm(site))
        callers = [Caller(site, f'early-{number}') for number in range(count)]
        behind = []
        for caller in callers:
            request_ids = list_requests(caller, length)
            messages = [make_request(each, length=length) for each in request_ids]
            await caller.send(messages[0])
            behind.append(b''.join(messages[1:]))
        await asyncio.sleep(BEHIND_SECONDS)
        for caller, rest in zip(callers, behind, strict=True):
            caller.write(rest)
        await asyncio.sleep(1.0 - BEHIND_SECONDS)
        leave_all(callers, evidence, lambda caller: list_requests(caller, length))
        await asyncio.sleep(AFTER_SECONDS)
        await healing
        return evidence


@given('targets that take {seconds:d} s to answer')
def plan_slow_targets(context, seconds):
    async def harm(site):
        for target in site.targets:
            target.faults.delay_seconds = seconds

    context.harm = harm


@given('targets that read nothing for {seconds:d} s')
def plan_silent_targets(context, seconds):
    async def harm(site):
        for target in site.targets:
            target.link.silence([TO_SINK])
        await asyncio.sleep(seconds)
        for target in site.targets:
            target.link.heal()

    context.harm = harm


@when(
    'a router stands still while {count:d} callers send requests '
    'and three of four leave'
)
def pause_router(context, count):
    context.evidence = asyncio.run(meet_paused_router(count))


@when('{count:d} callers leave after 1 s, with more requests sent behind their first')
def leave_with_bytes_behind(context, count):
    context.evidence = asyncio.run(leave_early(context.harm, count, 1))


@when('{count:d} callers with bodies of {size:d} MiB leave after 1 s')
def leave_with_bodies(context, count, size):
    length = size * 1_048_576
    context.evidence = asyncio.run(leave_early(context.harm, count, length))


async def close_halves():
    """Send requests, each on a connection whose sending half is closed after it."""
    async with run_site() as (site, evidence):
        settings = site.routers[0].settings
        for address, path in (
            (settings.readiness_address, 'ready'),
            (settings.metrics_address, 'metrics'),
            (settings.callers_address, 'none'),
        ):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f'GET /{path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
            writer.write_eof()
            evidence.stayed.append(bool(await reader.read()))
            writer.close()
        return evidence


@when(
    'clients send checks, scrapes and a request without a route, '
    'and close their sending half'
)
def send_and_close_halves(context):
    context.evidence = asyncio.run(close_halves())


@then('no request reaches a target half a second after its caller has left')
def check_arrivals(context):
    evidence = context.evidence
    late = [
        arrival.at - evidence.left[arrival.request_id]
        for arrival in evidence.journal.arrivals
        if arrival.request_id in evidence.left
        and arrival.at > evidence.left[arrival.request_id] + LATE_SECONDS
    ]
    assert evidence.left
    assert not late, f'{len(late)} of {len(evidence.left)}: {sorted(late)}'


@then('no target works half a second later on a request whose caller has left')
def check_runs(context):
    evidence = context.evidence
    ran = [run for run in evidence.journal.runs if run.request_id in evidence.left]
    late = [
        run for run in ran if run.ended > evidence.left[run.request_id] + LATE_SECONDS
    ]
    assert ran
    assert not late, f'{len(late)} of {len(ran)}'


@then('all callers that stayed are answered')
@then('all of them are answered')
def check_stayed(context):
    stayed = context.evidence.stayed
    assert stayed and all(stayed), f'{sum(stayed)} of {len(stayed)}'


@then('no task of the router has failed')
def check_tasks(context):
    assert not context.evidence.failures, context.evidence.failures[:3]


@then('the router had begun to send them')
def check_sent(context):
    evidence = context.evidence
    assert evidence.sent == set(evidence.left), (evidence.sent, evidence.left)
