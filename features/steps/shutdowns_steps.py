"""Steps for work in progress when a process is told to stop."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from unittest import mock

from behave import fixture, given, then, use_fixture, when

from ibisport_agent.internal.feed import Feed
from ibisport_bench.budget_world import LINK_SECONDS, BudgetWorld
from ibisport_bench.virtual_time import run_virtually
from ibisport_core.link import Link
from ibisport_core.messages import Accepted, Chunk, Finished
from ibisport_fleet.budget_writes import PAGE_KEY
from ibisport_fleet.event_log import Event

# Ends a test that would hang; nothing is expected to take so long.
TIMEOUT_SECONDS = 20.0
SMALL_BUFFER_BYTES = 4_096
READ_DELAY_SECONDS = 1.0
STORE_CALL = b'GET /kv-key?key=k HTTP/1.1\r\nhost: store\r\n\r\n'
STORE_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
BUDGET_TOKENS = 3_000_000
REQUEST_TOKENS = 2_000
REQUESTS_PER_SECOND = 60
SETTLING_SECONDS = 10.0
UNLIST_SECONDS = 3
SETTINGS = """
node = "host-0"
ip = "127.0.0.1"
zone = "d-0"
portRange = [{peer}, {last}]
platform = {{ address = "127.0.0.1:{store}" }}
listen = {{ front = "127.0.0.1:{front}", ready = "127.0.0.1:{ready}" }}
"""


class BlockingStore:
    """A store that holds back its answers until they are released.

    Attributes:
        calls: Data received so far.
        received: Set at each call.
        release: Set when answers may be sent.
        body: Body of the answers.
    """

    def __init__(self):
        self.calls = []
        self.received = threading.Event()
        self.release = threading.Event()
        self.body = b'kept'
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        while call := sock.recv(65_536):
            self.calls.append(call)
            self.received.set()
            self.release.wait(TIMEOUT_SECONDS)
            sock.sendall(STORE_ANSWER % len(self.body) + self.body)


def find_free_port():
    """Return a port that was free when it was checked."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return listener.getsockname()[1]


def format_settings(peer, store):
    """Return the text of a settings file."""
    ports = {name: find_free_port() for name in ('last', 'front', 'ready')}
    return SETTINGS.format(peer=peer, store=store, **ports)


def connect_with_small_buffer(port):
    """Return a connection with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.settimeout(TIMEOUT_SECONDS)
    sock.connect(('127.0.0.1', port))
    return sock


def read_all(sock):
    """Return all bytes until the connection ends, and how it ended."""
    parts = []
    try:
        while data := sock.recv(SMALL_BUFFER_BYTES):
            parts.append(data)
    except OSError as error:
        return b''.join(parts), repr(error)
    return b''.join(parts), 'closed'


def read_event(process, event):
    """Return the next log line of an event; None if the process ends before."""
    for line in process.stdout:
        record = json.loads(line)
        if record['event'] == event:
            return record
    return None


@fixture
def run_store(context):
    """Run a store that holds back its answers."""
    context.store = BlockingStore()
    yield context.store
    context.store.release.set()
    context.store.close()


@fixture
def run_program(context, program, store_port, prepare=None):
    """Run one of the platform's programs until the scenario ends.

    Its settings are written to a file, unless ``prepare`` creates the path itself.
    """
    context.port = find_free_port()
    context.settings = format_settings(context.port, store_port)
    with tempfile.TemporaryDirectory() as folder:
        context.path = path = Path(folder) / 'settings.toml'
        if prepare is None:
            path.write_text(context.settings)
        else:
            prepare(path)
        context.process = subprocess.Popen(
            [sys.executable, '-m', 'ibisport_platform', program],
            env={**os.environ, 'IBISPORT_NODE_FILE': str(path)},
            stdout=subprocess.PIPE,
            text=True,
        )
        yield context.process
        context.process.kill()
        context.process.wait()
        context.process.stdout.close()


@given('a store that holds back its answers, and a relay in front of it')
def start_relay(context):
    use_fixture(run_store, context)
    use_fixture(run_program, context, 'relay', context.store.port)
    assert read_event(context.process, Event.process_started)


@when("another router's connection is idle")
def open_idle_connection(context):
    context.other = connect_with_small_buffer(context.port)
    context.add_cleanup(context.other.close)


@when('another router has sent half of a call')
def send_half_call(context):
    open_idle_connection(context)
    context.other.sendall(STORE_CALL[:10])


@when('the relay has forwarded a call and is told to stop')
def stop_relay_during_call(context):
    context.sock = connect_with_small_buffer(context.port)
    context.add_cleanup(context.sock.close)
    context.sock.sendall(STORE_CALL)
    assert context.store.received.wait(TIMEOUT_SECONDS)
    context.process.send_signal(signal.SIGTERM)
    context.stopping = read_event(context.process, Event.process_stopping)


@when('the store answers with {size:d} bytes, which the router reads late')
def release_large_answer(context, size):
    context.store.body = b'x' * size
    context.store.release.set()
    # A process that doesn't wait for its reader ends now and loses buffered data.
    with contextlib.suppress(subprocess.TimeoutExpired):
        context.process.wait(READ_DELAY_SECONDS)
    context.answer = read_all(context.sock)


@when('the other router sends the other half')
def send_other_half(context):
    context.other.sendall(STORE_CALL[10:])


@then('the router gets all of it, and then the end of the connection')
def check_whole_answer(context):
    content, ending = context.answer
    head, _, body = content.partition(b'\r\n\r\n')
    assert body == context.store.body, (head, len(body), ending)
    assert b'connection: close' in head and ending == 'closed', (head, ending)


@then('the relay has reported {count:d} call in flight and ends with code {code:d}')
def check_relay_stopped(context, count, code):
    assert context.stopping, 'no process_stopping event was logged'
    assert context.stopping['in_flight'] == count, context.stopping
    assert context.process.wait(TIMEOUT_SECONDS) == code


@then("the other router's connection ends while the call is in progress")
def check_idle_closed(context):
    assert read_all(context.other) == (b'', 'closed')
    assert context.process.poll() is None
    context.store.release.set()
    content, _ = read_all(context.sock)
    assert content.endswith(context.store.body), content


@then('the other router gets {status:d} and the end of the connection')
def check_call_refused(context, status):
    content, ending = read_all(context.other)
    assert content.startswith(b'HTTP/1.1 %d ' % status), (content, ending)
    assert ending == 'closed', ending


@then('the store has received {count:d} call')
def check_store_calls(context, count):
    assert len(context.store.calls) == count, context.store.calls


async def send_load(world, seconds, hosts):
    """Send a steady load of requests to some hosts."""
    for _ in range(int(seconds * REQUESTS_PER_SECOND)):
        world.ask(random.choice(hosts), REQUEST_TOKENS, 0.9, 0.3)
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


@given('{count:d} routers whose requests borrow from one lender')
def set_router_count(context, count):
    context.count = count


@when('the lender is told to stop and ends {seconds:d} seconds later')
def stop_lender(context, seconds):
    async def run():
        world = BudgetWorld(hosts=context.count, budget=BUDGET_TOKENS, seed=1)
        hosts = list(range(context.count))
        world.start_all()
        await send_load(world, SETTLING_SECONDS, hosts)
        context.lender = world.list_lenders(0)[0]
        lender_index = world.names.index(context.lender)
        others = [host for host in hosts if host != lender_index]
        leaving = asyncio.create_task(world.leave(lender_index, seconds))
        revision = world.service.revision
        await send_load(world, UNLIST_SECONDS, others)
        context.listed = [world.list_lenders(host) for host in others]
        await send_load(world, 8 - UNLIST_SECONDS, others)
        await leaving
        context.page_writes = sum(
            change.key == PAGE_KEY and change.revision > revision
            for change in world.service.history
        )
        context.outcomes = world.outcomes

    run_virtually(run())


@then('none of the requests of these 8 seconds is refused')
def check_none_refused(context):
    assert not context.outcomes['short'] + context.outcomes['spent'], context.outcomes
    assert context.outcomes['served'], context.outcomes


@then('3 seconds after the signal no other router lists it as a lender')
def check_lender_unlisted(context):
    still_listed = [lenders for lenders in context.listed if context.lender in lenders]
    assert not still_listed, (context.lender, context.listed)


@then('within 8 seconds the shared page is written at most {maximum:d} times')
def check_page_writes(context, maximum):
    assert context.page_writes <= maximum, (context.page_writes, context.outcomes)


async def start_budget_world(context):
    """Return a world whose routers have found their lender, and another router."""
    world = BudgetWorld(hosts=context.count, budget=BUDGET_TOKENS, seed=1)
    world.start_all()
    await asyncio.sleep(SETTLING_SECONDS)
    lender = world.list_lenders(0)[0]
    other = next(index for index, name in enumerate(world.names) if name != lender)
    return world, other


async def stop_router(context, world, other):
    """Stop a router and record what counts as spent once nothing runs any more."""
    await world.stop(other)
    await asyncio.sleep(1.0)
    context.used, context.delivered = world.count_used(), world.delivered
    context.outcomes = world.outcomes


@when(
    'another one ends just after {count:d} requests that used a tenth of their tokens'
)
def stop_after_requests(context, count):
    async def run():
        world, other = await start_budget_world(context)
        for _ in range(count):
            world.ask(other, REQUEST_TOKENS, 0.1, 0.3)
        while world.outcomes['served'] < count:
            await asyncio.sleep(0.001)
        await stop_router(context, world, other)

    run_virtually(run())


@when('another one ends during a loan for a caller that left')
def stop_during_loan(context):
    async def run():
        world, other = await start_budget_world(context)
        caller = asyncio.create_task(world.reserve(other, REQUEST_TOKENS))
        await asyncio.sleep(LINK_SECONDS * 1.5)
        caller.cancel()
        await stop_router(context, world, other)

    run_virtually(run())


@then('the lender counts no more as spent than callers got')
def check_tokens_returned(context):
    assert context.used == context.delivered, (context.used, context.outcomes)


@given('a {program} that is reading its settings at startup')
def start_with_settings_pipe(context, program):
    use_fixture(run_store, context)
    use_fixture(run_program, context, program, context.store.port, prepare=os.mkfifo)
    # Blocks until the process opens the other end and waits for data.
    context.pipe = context.path.open('w')
    # A later read finds a regular file.
    changed = context.path.with_suffix('.new')
    changed.write_text(context.settings)
    changed.replace(context.path)


@when('it is told that its settings have changed')
def send_hangup(context):
    context.process.send_signal(signal.SIGHUP)
    with contextlib.suppress(BrokenPipeError), context.pipe:
        context.pipe.write(context.settings)


@then('the {program} starts, and reads them again if it uses them later')
def check_started(context, program):
    if program == 'relay':
        assert read_event(context.process, Event.process_started)
        return
    assert read_event(context.process, Event.settings_reloaded)


def make_chunk(number, size):
    """Return a chunk of an answer as an agent sends it."""
    return Chunk(bytes(16), 1, number * size, bytes(size))


@given('a link whose peer reads late')
def open_link(context):
    with socket.create_server(('127.0.0.1', 0)) as listener:
        context.peer = connect_with_small_buffer(listener.getsockname()[1])
        context.link = Link(listener.accept()[0], TIMEOUT_SECONDS)
    context.add_cleanup(context.peer.close)
    context.add_cleanup(context.link.close)


@when(
    '{count:d} messages of {size:d} bytes are sent, and the link is drained and closed'
)
def drain_link(context, count, size):
    for number in range(count):
        context.link.send(make_chunk(number, size))

    def drain():
        context.link.drain(time.monotonic() + TIMEOUT_SECONDS)
        context.link.close()

    thread = threading.Thread(target=drain)
    thread.start()
    thread.join(READ_DELAY_SECONDS)
    context.size = count * size
    context.answer = read_all(context.peer)
    thread.join()


@then('the peer has got all {count:d} messages')
def check_messages(context, count):
    content, ending = context.answer
    assert len(content) > context.size and ending == 'closed', (len(content), ending)


class ObservingLink:
    """A link that checks the state of a run while the run sends its last message."""

    def __init__(self):
        self.feed = None
        self.ended_early = None

    def send(self, message):
        """Record whether the run counts as ended while its end is being sent."""
        if isinstance(message, Finished):
            self.ended_early = bool(self.feed.ended_at)


@given('a link that observes a run while its last message is sent')
def make_feed(context):
    context.link = ObservingLink()
    context.feed = context.link.feed = Feed(bytes(16))
    submit = mock.Mock(attempt=1, offset=0)
    context.feed.subscribe(context.link, submit, Accepted(bytes(16), 1, 's', 1))


@when('the run ends')
def end_run(context):
    context.feed.finish(Finished(bytes(16), 1, 0, 0, 0, True, 0))


@then("the run doesn't count as ended before that message is sent")
def check_not_ended_early(context):
    assert context.link.ended_early is False, context.link.ended_early
    assert context.feed.ended_at
