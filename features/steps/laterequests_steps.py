"""Steps on requests that reach a router in its grace time."""

import asyncio
import contextlib
import itertools
import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from behave import then, when
from crowds import make_request

from ibisport_bench.soak.evidence import NOT_EXECUTED_STATUSES, Journal, read_clock
from ibisport_bench.soak.http_messages import MessageInvalid, read_head, skip_body
from ibisport_bench.soak.run import MAX_EXIT_SECONDS, open_site
from ibisport_bench.soak.site import GRACE_SECONDS, Site

SEED = 1
KEPT_CONNECTIONS = 60
INTERVAL_SECONDS = 0.03
MAX_ANSWER_SECONDS = 7.0
DEADLINES_SECONDS = (0.5, 6.0)
# A stream ends at its deadline, wherever it is; the event loop runs timers early.
MARGIN_SECONDS = 0.05
# Requests that are sent later than this after the signal are never cut.
EARLY_SECONDS = 3.0
STREAM = 'talk'
KINDS = ('once', 'read', STREAM)
STREAM_EVENTS = 10
CONNECTION_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError, MessageInvalid)


@dataclass
class Request:
    """A request and what its caller got.

    Attributes:
        request_id: Its id.
        kind: Its kind.
        at: Seconds from the signal to its last byte.
        deadline: Seconds from the signal to the time by which it is to be answered.
        ended: Seconds from the signal to its end.
        status: Status of its answer, or 0.
        complete: Whether the whole answer came.
    """

    request_id: str
    kind: str
    at: float
    deadline: float
    ended: float = 0.0
    status: int = 0
    complete: bool = False


@dataclass
class Evidence:
    """What was seen of a stop.

    Attributes:
        journal: What targets saw.
        requests: All requests after the signal.
        killed: Whether the process ran on for twice its grace time.
    """

    journal: Journal
    requests: list[Request] = field(default_factory=list)
    killed: bool = False

    @property
    def passed_on(self):
        """The requests that a target ran."""
        ran = {run.request_id for run in self.journal.runs}
        return [request for request in self.requests if request.request_id in ran]


class Callers:
    """Callers that keep connections and send until the process is gone."""

    def __init__(self, address, evidence):
        self._address = address
        self._evidence = evidence
        self._random = random.Random(SEED)
        self._ids = itertools.count(1)
        self._kept = []
        self._tasks = []

    async def connect(self):
        """Open the connections that are kept."""
        for _ in range(KEPT_CONNECTIONS):
            self._kept.append(await asyncio.open_connection(*self._address))

    async def press(self, stopped_at, process):
        """Send requests on kept and on new connections until the process is gone."""
        while process.is_running:
            self._tasks.append(asyncio.ensure_future(self._send(stopped_at)))
            await asyncio.sleep(INTERVAL_SECONDS)
        await asyncio.wait(self._tasks)

    async def _send(self, stopped_at):
        kind = self._random.choice(KINDS)
        seconds = self._random.uniform(0.0, MAX_ANSWER_SECONDS)
        path = f'/{kind}/x?pause={seconds:.2f}'
        if kind == STREAM:
            pause = seconds / STREAM_EVENTS
            path = f'/{kind}/x?events={STREAM_EVENTS}&pause={pause:.3f}'
        is_new = not self._kept or self._random.choice((True, False))
        request_id = f'late-{next(self._ids)}'
        with contextlib.suppress(*CONNECTION_ERRORS):
            connection = (
                await asyncio.open_connection(*self._address)
                if is_new
                else self._kept.pop()
            )
            await self._ask(connection, kind, request_id, path, stopped_at)

    async def _ask(self, connection, kind, request_id, path, stopped_at):
        reader, writer = connection
        seconds = self._random.uniform(*DEADLINES_SECONDS)
        writer.write(make_request(request_id, path, seconds=seconds))
        await writer.drain()
        at = read_clock() - stopped_at
        request = Request(request_id, kind, at, at + seconds)
        self._evidence.requests.append(request)
        try:
            head = await self._read(reader, request)
        finally:
            request.ended = read_clock() - stopped_at
        if head.keeps_open:
            self._kept.append(connection)

    async def _read(self, reader, request):
        head = await read_head(reader)
        request.status = head.status
        await skip_body(reader, head)
        request.complete = True
        return head


async def press_and_stop(site, evidence):
    """Stop the router of a site while callers press."""
    await open_site(site)
    router = site.routers[0]
    callers = Callers(router.settings.callers_address, evidence)
    await callers.connect()
    stopping = asyncio.ensure_future(router.stop(MAX_EXIT_SECONDS))
    await callers.press(read_clock(), router)
    await stopping
    evidence.killed = router.start.killed


async def stop_under_load():
    """Stop a router under load; return what was seen."""
    evidence = Evidence(Journal(budgets={'ample': 100_000_000}))
    with tempfile.TemporaryDirectory() as folder:
        site = Site(1, SEED, Path(folder), evidence.journal, warm_up=None)
        try:
            await press_and_stop(site, evidence)
        finally:
            for host in site.hosts:
                host.kill()
                await host.wait(GRACE_SECONDS)
    return evidence


@when('a router is told to stop while callers go on to send requests of all lengths')
def stop_router(context):
    context.evidence = asyncio.run(stop_under_load())


@then(
    'each request that was passed on {seconds:d} s or more after it is answered, '
    'or ends at its deadline'
)
def check_late(context, seconds):
    lost = [
        request
        for request in context.evidence.passed_on
        if request.at >= seconds
        and not request.complete
        and request.ended < request.deadline - MARGIN_SECONDS
    ]
    assert not lost, lost


@then('each whole answer that a target was asked for before that has a status')
def check_early(context):
    lost = [
        request
        for request in context.evidence.passed_on
        if request.kind != STREAM and not request.complete
    ]
    assert not lost, lost


@then(
    'later than that, requests were passed on and refused, '
    'and the router has ended by itself'
)
def check_load(context):
    evidence = context.evidence
    late = [each for each in evidence.passed_on if each.at > EARLY_SECONDS]
    refused = [
        each
        for each in evidence.requests
        if each.at > EARLY_SECONDS and each.status in NOT_EXECUTED_STATUSES
    ]
    print(len(late), len(evidence.passed_on), len(refused), len(evidence.requests))
    assert late and refused
    assert not evidence.killed
