"""Steps on the end of processes: what is on its way when they are told to stop."""

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
from ibisport_bench.budgetworld import LINK_SECONDS, BudgetWorld
from ibisport_bench.virtualtime import run_virtually
from ibisport_core.link import Link
from ibisport_core.messages import Accepted, Chunk, Finished
from ibisport_fleet.budget_synchronizer import PAGE_KEY
from ibisport_fleet.eventlog import Event

# Nothing is expected to take so long; it ends a test that would hang.
PATIENCE_S = 20.0
SMALL_BUFFER = 4_096
READ_LATE_S = 1.0
CALL = b'GET /kv-key?key=k HTTP/1.1\r\nhost: store\r\n\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
BUDGET = 3_000_000
REQUEST_TOKENS = 2_000
REQUESTS_PER_SECOND = 60
SETTLING_S = 10.0
UNLISTED_S = 3
SETTINGS = """
node = "host-0"
ip = "127.0.0.1"
zone = "d-0"
portRange = [{peer}, {last}]
platform = {{ address = "127.0.0.1:{store}" }}
listen = {{ front = "127.0.0.1:{front}", ready = "127.0.0.1:{ready}" }}
"""


class WaitingStore:
    """A store that answers when it is told to.

    Attributes:
        calls: What it has got.
        got: Set at each call.
        answering: Set when answers may go.
        body: What it answers with.
    """

    def __init__(self):
        self.calls = []
        self.got = threading.Event()
        self.answering = threading.Event()
        self.body = b'kept'
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Listen no more."""
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
            self.got.set()
            self.answering.wait(PATIENCE_S)
            sock.sendall(ANSWER % len(self.body) + self.body)


def pick_port():
    """Return a port that was free a moment ago."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return listener.getsockname()[1]


def make_settings(peer, store):
    """Return the text of a settings file."""
    ports = {name: pick_port() for name in ('last', 'front', 'ready')}
    return SETTINGS.format(peer=peer, store=store, **ports)


def connect(port):
    """Return a connection that takes little before it is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.settimeout(PATIENCE_S)
    sock.connect(('127.0.0.1', port))
    return sock


def read_all(sock):
    """Return all bytes until the connection ends, and how it ended."""
    parts = []
    try:
        while data := sock.recv(SMALL_BUFFER):
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
    """Run a store that keeps its answers back."""
    context.store = WaitingStore()
    yield context.store
    context.store.answering.set()
    context.store.close()


@fixture
def run_program(context, program, store_port, prepare=None):
    """Run one of the platform's programs until the scenario's end.

    Its settings lie in a file, or in whatever ``prepare`` makes of the path.
    """
    context.port = pick_port()
    context.settings = make_settings(context.port, store_port)
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


@given('a store that keeps its answers back, and a relay in front of it')
def start_relay(context):
    use_fixture(run_store, context)
    use_fixture(run_program, context, 'relay', context.store.port)
    assert read_event(context.process, Event.process_started)


@when("another router's connection waits for nothing")
def connect_idly(context):
    context.other = connect(context.port)
    context.add_cleanup(context.other.close)


@when('another router has sent half of a call')
def send_half(context):
    connect_idly(context)
    context.other.sendall(CALL[:10])


@when('the relay has passed a call on and is told to stop')
def stop_relay(context):
    context.sock = connect(context.port)
    context.add_cleanup(context.sock.close)
    context.sock.sendall(CALL)
    assert context.store.got.wait(PATIENCE_S)
    context.process.send_signal(signal.SIGTERM)
    context.stopping = read_event(context.process, Event.process_stopping)


@when('the store answers with {size:d} bytes, which the router reads late')
def answer_at_length(context, size):
    context.store.body = b'x' * size
    context.store.answering.set()
    # A process that doesn't wait for its reader ends now, and loses what it buffers.
    with contextlib.suppress(subprocess.TimeoutExpired):
        context.process.wait(READ_LATE_S)
    context.answer = read_all(context.sock)


@when('the other router sends the other half')
def send_rest(context):
    context.other.sendall(CALL[10:])


@then('the router gets all of it, and then the end of the connection')
def check_whole(context):
    content, ending = context.answer
    head, _, body = content.partition(b'\r\n\r\n')
    assert body == context.store.body, (head, len(body), ending)
    assert b'connection: close' in head and ending == 'closed', (head, ending)


@then('the relay has told of {count:d} call in flight and ends with code {code:d}')
def check_told(context, count, code):
    assert context.stopping, 'it said nothing before its end'
    assert context.stopping['in_flight'] == count, context.stopping
    assert context.process.wait(PATIENCE_S) == code


@then("the other router's connection ends while the call is on its way")
def check_idle_closed(context):
    assert read_all(context.other) == (b'', 'closed')
    assert context.process.poll() is None
    context.store.answering.set()
    content, _ = read_all(context.sock)
    assert content.endswith(context.store.body), content


@then('the other router gets {status:d} and the end of the connection')
def check_refused(context, status):
    content, ending = read_all(context.other)
    assert content.startswith(b'HTTP/1.1 %d ' % status), (content, ending)
    assert ending == 'closed', ending


@then('the store has got {count:d} call')
def check_calls(context, count):
    assert len(context.store.calls) == count, context.store.calls


async def press(world, seconds, hosts):
    """Send usual requests to some hosts."""
    for _ in range(int(seconds * REQUESTS_PER_SECOND)):
        world.ask(random.choice(hosts), REQUEST_TOKENS, 0.9, 0.3)
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


@given('{count:d} routers whose requests borrow from one lender')
def plan_world(context, count):
    context.count = count


@when('the lender is told to stop and ends {seconds:d} seconds later')
def play_leaving(context, seconds):
    async def play():
        world = BudgetWorld(hosts=context.count, budget=BUDGET, seed=1)
        hosts = list(range(context.count))
        world.start_all()
        await press(world, SETTLING_S, hosts)
        context.lender = world.list_lenders(0)[0]
        number = world.names.index(context.lender)
        others = [one for one in hosts if one != number]
        leaving = asyncio.create_task(world.leave(number, seconds))
        revision = world.service.revision
        await press(world, UNLISTED_S, others)
        context.listed = [world.list_lenders(one) for one in others]
        await press(world, 8 - UNLISTED_S, others)
        await leaving
        context.page_writes = sum(
            change.key == PAGE_KEY and change.revision > revision
            for change in world.service.history
        )
        context.outcomes = world.outcomes

    run_virtually(play())


@then('none of the requests of these 8 seconds is refused')
def check_none_refused(context):
    assert not context.outcomes['short'] + context.outcomes['spent'], context.outcomes
    assert context.outcomes['served'], context.outcomes


@then('3 seconds after it was told no other router takes it for a lender')
def check_unlisted(context):
    listing = [one for one in context.listed if context.lender in one]
    assert not listing, (context.lender, context.listed)


@then('within 8 seconds the shared page is written at most {most:d} times')
def check_page_writes(context, most):
    assert context.page_writes <= most, (context.page_writes, context.outcomes)


async def start_world(context):
    """Return a world whose routers have found their lender, and another router."""
    world = BudgetWorld(hosts=context.count, budget=BUDGET, seed=1)
    world.start_all()
    await asyncio.sleep(SETTLING_S)
    lender = world.list_lenders(0)[0]
    other = next(one for one, name in enumerate(world.names) if name != lender)
    return world, other


async def end_process(context, world, other):
    """End a process, and note what counts as spent when all is quiet."""
    await world.stop(other)
    await asyncio.sleep(1.0)
    context.used, context.delivered = world.count_used(), world.delivered
    context.outcomes = world.outcomes


@when(
    'another one ends just after {count:d} requests that needed a tenth of their tokens'
)
def end_after_requests(context, count):
    async def play():
        world, other = await start_world(context)
        for _ in range(count):
            world.ask(other, REQUEST_TOKENS, 0.1, 0.3)
        while world.outcomes['served'] < count:
            await asyncio.sleep(0.001)
        await end_process(context, world, other)

    run_virtually(play())


@when('another one ends while a loan is on its way for a caller that left')
def end_under_loan(context):
    async def play():
        world, other = await start_world(context)
        caller = asyncio.create_task(world.reserve(other, REQUEST_TOKENS))
        await asyncio.sleep(LINK_SECONDS * 1.5)
        caller.cancel()
        await end_process(context, world, other)

    run_virtually(play())


@then('the lender counts no more as spent than callers got')
def check_given_back(context):
    assert context.used == context.delivered, (context.used, context.outcomes)


@given('a {program} that is reading its settings at its start')
def start_reading(context, program):
    use_fixture(run_store, context)
    use_fixture(run_program, context, program, context.store.port, prepare=os.mkfifo)
    # Opens when the process opens the other end, which then waits for what comes.
    context.pipe = context.path.open('w')
    # What it reads later lies in a file.
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


def make_answer_piece(number, size):
    """Return a piece of an answer as an agent sends it."""
    return Chunk(bytes(16), 1, number * size, bytes(size))


@given('a link whose peer reads late')
def open_link(context):
    with socket.create_server(('127.0.0.1', 0)) as listener:
        context.peer = connect(listener.getsockname()[1])
        context.link = Link(listener.accept()[0], PATIENCE_S)
    context.add_cleanup(context.peer.close)
    context.add_cleanup(context.link.close)


@when(
    '{count:d} messages of {size:d} bytes are sent, and the link is drained and closed'
)
def drain_link(context, count, size):
    for number in range(count):
        context.link.send(make_answer_piece(number, size))

    def end():
        context.link.drain(time.monotonic() + PATIENCE_S)
        context.link.close()

    ending = threading.Thread(target=end)
    ending.start()
    ending.join(READ_LATE_S)
    context.size = count * size
    context.answer = read_all(context.peer)
    ending.join()


@then('the peer has got all {count:d} messages')
def check_messages(context, count):
    content, ending = context.answer
    assert len(content) > context.size and ending == 'closed', (len(content), ending)


class HeldLink:
    """A link whose sender looks at the run in the middle of its last message."""

    def __init__(self):
        self.feed = None
        self.ended_before = None

    def send(self, message):
        """Note whether the run counts as ended while its end is not sent yet."""
        if isinstance(message, Finished):
            self.ended_before = bool(self.feed.ended_at)


@given("a link that keeps a run's last message waiting")
def make_feed(context):
    context.link = HeldLink()
    context.feed = context.link.feed = Feed(bytes(16))
    submit = mock.Mock(attempt=1, offset=0)
    context.feed.subscribe(context.link, submit, Accepted(bytes(16), 1, 's', 1))


@when('the run ends')
def end_run(context):
    context.feed.finish(Finished(bytes(16), 1, 0, 0, 0, True, 0))


@then("the run doesn't count as ended before that message is on its way")
def check_run_end(context):
    assert context.link.ended_before is False, context.link.ended_before
    assert context.feed.ended_at
