"""Steps on start-up, settings and what comes in on links."""

import asyncio
import random
import select
import socket
import struct
import subprocess
import sys
from pathlib import Path
from unittest import mock

from behave import given, then, when
from running_router import make_plain, run_until_stopped

from ibisport_agent.agent import Agent
from ibisport_bench.virtual_network import VirtualNetwork
from ibisport_core import announce
from ibisport_core.codec import encode_message
from ibisport_core.errors import LinkClosed
from ibisport_core.link import connect_link
from ibisport_core.messages import SCHEMA_VERSION, Hello, Welcome
from ibisport_core.settings import AgentSettings

SEED = 20261202
HOSTILE_FRAMES = 60
START_TIMEOUT = 30
RESET_MILLISECONDS = 10_000
# SO_LINGER on, for 0 s: closing resets the connection (socket(7)).
CLOSE_BY_RESET = struct.pack('ii', 1, 0)
VERBS = {'ibisport': 'route', 'ibisport-agent': 'serve'}


@when('a process announces where it serves')
def announce_address(context):
    with mock.patch.object(announce.sys, 'stdout') as stdout:
        announce.announce('ready', '127.0.0.1:1')
    context.written = [call.args[0] for call in stdout.write.call_args_list]


@then('exactly one whole line was written')
def check_line(context):
    assert context.written == ['ready 127.0.0.1:1\n'], context.written


@when('{program} is started with {flag}')
def start_program(context, program, flag):
    path = Path(sys.executable).parent / program
    context.ended = subprocess.run(
        [str(path), VERBS[program], flag],
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT,
    )


@then('it ends with exit code {code:d} and names {variable}')
def check_exit(context, code, variable):
    assert context.ended.returncode == code, context.ended
    assert variable in context.ended.stderr, context.ended.stderr


@given('a listening agent')
def listen(context):
    context.agent = Agent(AgentSettings(silence=1.0, grace=0.1))
    context.agent.start()
    context.add_cleanup(context.agent.stop)


@when('random frames, cut frames and a wrong secret are sent to it')
def send_hostile(context):
    rng = random.Random(SEED)
    whole = _frame(encode_message(_make_hello('development')))
    _send(context.agent.address, _frame(encode_message(_make_hello('wrong'))))
    _send(context.agent.address, struct.pack('>I', 2**32 - 1))
    for _ in range(HOSTILE_FRAMES):
        flipped = bytearray(whole)
        flipped[rng.randrange(len(flipped))] ^= 1 << rng.randrange(8)
        _send(context.agent.address, bytes(flipped))
        _send(context.agent.address, whole + rng.randbytes(rng.randrange(200)))
        _send(context.agent.address, whole[: rng.randrange(len(whole))])


@then('the agent still greets a peer that shows the right secret')
def check_greeting(context):
    link = connect_link(context.agent.address, 1.0, 5.0)
    link.send(_make_hello('development'))
    assert isinstance(link.receive(), Welcome)
    link.close()


@when('a connection is reset between its opening and the making of its link')
def connect_reset(context):
    with mock.patch.object(socket, 'create_connection', return_value=_reset_socket()):
        try:
            connect_link('127.0.0.1:1', 1.0, 1.0)
        except (LinkClosed, OSError) as error:
            context.told = error


@then('whoever connects is told that the link is closed')
def check_told(context):
    # The tasks of links, peers and recovery go on after this error only.
    assert isinstance(context.told, LinkClosed), repr(context.told)


def _reset_socket():
    """Return a connected socket whose other side has reset it."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_BY_RESET)
    accepted.close()
    poll = select.poll()
    poll.register(client, select.POLLHUP)
    assert poll.poll(RESET_MILLISECONDS), 'the reset did not come'
    return client


def _make_hello(secret):
    return Hello(SCHEMA_VERSION, 'router', 'a', 'local', '127.0.0.1:1', secret)


def _frame(wire):
    return struct.pack('>I', len(wire)) + wire


def _send(address, sent):
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=1) as sock:
        sock.sendall(sent)


@when('each listener of a router takes {seconds:g} s to open')
def open_listeners_late(context, seconds):
    create_server = VirtualNetwork.create_server

    async def create_late(net, *arguments, **options):
        await asyncio.sleep(seconds)
        return await create_server(net, *arguments, **options)

    async def act(site):
        return len(site.net.listeners)

    with mock.patch.object(VirtualNetwork, 'create_server', create_late):
        context.listeners = run_until_stopped([make_plain()], act)[1]


@then('all of them are open once the router is ready')
def check_accepts(context):
    # Callers, routers, metrics, readiness and the target.
    assert context.listeners == 5, context.listeners
