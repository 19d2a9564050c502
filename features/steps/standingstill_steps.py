"""Steps on a real router that stands still while targets of a new version join."""

import asyncio
import contextlib
import re
import signal
import tempfile
from dataclasses import dataclass
from pathlib import Path

from behave import then, when
from crowds import KEY

from ibisport_bench.soak.callers import SITE_HOST
from ibisport_bench.soak.evidence import Journal
from ibisport_bench.soak.http_messages import (
    MessageInvalid,
    encode_message,
    read_body,
    read_head,
)
from ibisport_bench.soak.run import open_site
from ibisport_bench.soak.site import ENGINE, Site
from ibisport_platform.headers import HOST, LAST_EVENT_ID, RESUMES
from ibisport_platform.stand_in_records import encode_request_headers

SEED = 1
ROUTERS = 3
OLD, NEW = 'v1', 'v2'
# From the start of the site to the fault.
SETTLED_SECONDS = 2.0
# Targets are listed anew well within this time.
LISTED_SECONDS = 1.0
STREAM_INTERVAL_SECONDS = 0.05
EVENTS, EVENTS_BEFORE_MOVE = 10, 2
PAUSE_SECONDS = 0.1
REQUEST_SECONDS = 15.0
RETRY_SECONDS = 0.4
MAX_RETURNS = 10
EXIT_SECONDS = 20.0
EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)
CONNECTION_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError, MessageInvalid)


@dataclass
class Stream:
    """A stream that its caller moves.

    Attributes:
        name: Id of the request that began it.
        last_event: Id of the last event that the caller has.
        served_by: Ids of the requests that brought events.
    """

    name: str
    last_event: int = 0
    served_by: tuple = ()


async def receive(address, stream, request_id, limit):
    """Begin or resume a stream, and read up to some events."""
    headers = encode_request_headers(request_id, KEY, (1, EVENTS), REQUEST_SECONDS)
    headers.append((HOST, SITE_HOST.encode()))
    if stream.last_event:
        headers.append((RESUMES, stream.name.encode()))
        headers.append((LAST_EVENT_ID, b'%d' % stream.last_event))
    path = f'/resume/{stream.name}?events={EVENTS}&pause={PAUSE_SECONDS}'
    reader, writer = await asyncio.open_connection(*address)
    writer.write(encode_message(f'POST {path} HTTP/1.1', headers, b''))
    try:
        head = await read_head(reader)
        async for chunk in read_body(reader, head):
            ids = EVENT_ID.findall(chunk)
            if ids:
                stream.last_event = int(ids[-1])
                stream.served_by = (*stream.served_by, request_id)
            if stream.last_event >= limit:
                break
    finally:
        writer.transport.abort()


async def move(site, number):
    """Begin a stream at a router, and resume it at the last one until it is whole."""
    await asyncio.sleep(number * STREAM_INTERVAL_SECONDS)
    stream = Stream(f'moved-{number}')
    first = site.routers[number % (ROUTERS - 1)].settings.callers_address
    with contextlib.suppress(*CONNECTION_ERRORS):
        await receive(first, stream, stream.name, EVENTS_BEFORE_MOVE)
    last = site.routers[-1].settings.callers_address
    for attempt in range(MAX_RETURNS):
        if stream.last_event in {0, EVENTS}:
            break
        with contextlib.suppress(*CONNECTION_ERRORS):
            await receive(last, stream, f'{stream.name}-{attempt}', EVENTS)
        await asyncio.sleep(RETRY_SECONDS)
    return stream


async def restart_engines(site):
    """Let half of the engines end and start again with a new version."""
    engines = [each for each in site.targets if each.entry.service == ENGINE]
    for engine in engines[: len(engines) // 2]:
        engine.end()
        await engine.remove_entry()
        engine.versions = (NEW,)
        await engine.start()


async def pause_last(site, seconds, count):
    """Let the last router stand still while streams are moved to it; return them."""
    await open_site(site)
    await asyncio.sleep(SETTLED_SECONDS)
    last = site.routers[-1]
    last.send_signal(signal.SIGSTOP)
    asyncio.get_running_loop().call_later(seconds, last.send_signal, signal.SIGCONT)
    await restart_engines(site)
    await asyncio.sleep(LISTED_SECONDS)
    return await asyncio.gather(*(move(site, number) for number in range(count)))


async def play_pause(seconds, count):
    """Play on a site of its own; return the journal and the streams."""
    journal = Journal(budgets={'ample': 100_000_000})
    with tempfile.TemporaryDirectory() as folder:
        site = Site(ROUTERS, SEED, Path(folder), journal, None, (OLD,))
        try:
            return journal, await pause_last(site, seconds, count)
        finally:
            for host in site.hosts:
                host.kill()
                await host.wait(EXIT_SECONDS)


@when(
    'a router stands still for {seconds:d} s while half of the engines start again '
    'as v2, and callers move {count:d} streams of the others to it'
)
def pause_router(context, seconds, count):
    context.journal, context.streams = asyncio.run(play_pause(seconds, count))


def list_versions(journal, stream):
    """Return the versions whose runs brought the events of a stream."""
    return {
        journal.lives[run.target].version
        for run in journal.runs
        if run.request_id in stream.served_by
    }


@then('no stream ran at two versions')
def check_versions(context):
    mixed = [
        stream
        for stream in context.streams
        if len(list_versions(context.journal, stream)) > 1
    ]
    assert not mixed, mixed


@then('streams of both versions went on there')
def check_moved(context):
    moved = [stream for stream in context.streams if len(set(stream.served_by)) > 1]
    versions = [list_versions(context.journal, stream) for stream in moved]
    print(len(context.streams), versions.count({OLD}), versions.count({NEW}))
    assert {OLD} in versions and {NEW} in versions, versions
