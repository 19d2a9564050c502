"""Steps on requests that arrive as their connection is closed, on real sockets."""

import asyncio
import re
import socket
import time
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import uvloop
from behave import then, when
from followers import open_null_log
from running_router import CATALOGUE

from ibisport_fleet.caller_server import CallerServer
from ibisport_fleet.catalogue import Limits
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.http_messages import AnswerHead
from ibisport_fleet.overload.resources import Resources
from ibisport_fleet.overload.waiting import CloseReason
from ibisport_fleet.settings import ResourceLimits
from ibisport_fleet.store import Item
from ibisport_platform.headers import PlatformDialect

IDLE_SECONDS = 0.2
MARGIN_SECONDS = 0.2
# The event loop is held up from shortly before the end of the idle time.
HOLD_AFTER_SECONDS = 0.35
HOLD_SECONDS = 0.1
# From the middle of requests that were sent ahead, for as long as an idle time.
LONG_HOLD_SECONDS = 0.45
AHEAD = 6
PATIENCE_SECONDS = 3.0
LOOPS = {'uvloop': uvloop.new_event_loop, 'asyncio': asyncio.new_event_loop}
REQUEST = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab'
IN_PARTS = (
    b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    + b'1\r\nx\r\n' * 1_000
    + b'0\r\n\r\n'
)
REFUSED = {
    'bytes that are no request': b'no request\r\n\r\n',
    'a request for a new protocol': REQUEST.replace(
        b'Host', b'Connection: upgrade\r\nUpgrade: websocket\r\nHost'
    ),
    'a head with a body too long': REQUEST.replace(b': 2', b': 99999999'),
}
STATUS = re.compile(rb'HTTP/1\.1 (\d+) ')


class _Handler:
    """Answers requests at once; the second of those sent ahead holds the loop up."""

    def __init__(self):
        self.standby = SimpleNamespace(is_active=False)
        self.hold_at = 0
        self.hold = None
        self._count = 0

    def identify(self, head):
        """Accept any request."""

    def record_refusal(self, request_id, status, reason):
        """Record nothing."""

    async def handle(self, request, response):
        """Answer a request."""
        self._count += 1
        if self._count == self.hold_at:
            asyncio.get_running_loop().call_soon(self.hold)
        response.write_whole(AnswerHead(200, (), True, True), b'ok')


class _Meeting:
    """A server of callers and one client in the same thread."""

    def __init__(self, moment):
        self._loop = asyncio.get_running_loop()
        self._moment = moment
        self.handler = _Handler()
        self.resources = Resources(ResourceLimits())
        catalogue = replace(CATALOGUE, limits=Limits(idle_seconds=IDLE_SECONDS))
        view = CatalogueView('key', lambda item: catalogue, open_null_log())
        view.apply_change(Item('key', b'', 1), 0.0)
        self.server = CallerServer(
            self.handler, view, PlatformDialect(), self.resources, open_null_log()
        )
        self.client = None

    async def open(self):
        """Connect the client."""
        accept = self.server.connections.accept
        listener = await self._loop.create_server(accept, '127.0.0.1', 0)
        self.client = socket.create_connection(listener.sockets[0].getsockname())
        self.client.setblocking(False)
        while not len(self.server.connections):
            await asyncio.sleep(0)

    async def receive(self, count):
        """Return what the client gets until its answers are complete or it ends."""
        received = b''
        async with asyncio.timeout(PATIENCE_SECONDS):
            while received.count(b'\r\n\r\n') < count:
                data = await self._loop.sock_recv(self.client, 65_536)
                if not data:
                    break
                received += data
        return received

    def hold_up(self, message, seconds):
        """Let a message arrive while the event loop stands still."""
        if message:
            self.client.sendall(message)
        time.sleep(seconds)
        match self._moment:
            case 'the process closes idle connections':
                self.server.close_idle()
            case 'the process runs out of descriptors':
                self.server.connections.waiting.close_longest()

    async def hold_turn(self, seconds):
        """Let the connection wait for its turn to be parsed."""
        async with self.resources.turns.take():
            await asyncio.sleep(seconds)


async def _send_ahead(meeting):
    """Let the event loop be held up in the middle of requests sent ahead."""
    meeting.handler.hold_at = 3
    meeting.handler.hold = lambda: meeting.hold_up(b'', LONG_HOLD_SECONDS)
    meeting.client.sendall(REQUEST * AHEAD)
    return await _receive_all(meeting, AHEAD)


async def _wait_for_turn(meeting):
    """Let the idle time end while a request waits for its turn to be parsed."""
    await asyncio.sleep(HOLD_AFTER_SECONDS - HOLD_SECONDS)
    turn = asyncio.ensure_future(meeting.hold_turn(LONG_HOLD_SECONDS))
    await asyncio.sleep(0)
    meeting.client.sendall(REQUEST)
    received = await _receive_all(meeting, 1)
    await turn
    return received


async def _meet(sent, moment):
    """Return what the client got, and how many answers it should get."""
    meeting = _Meeting(moment)
    await meeting.open()
    message = REQUEST
    if sent != 'a first request':
        meeting.client.sendall(IN_PARTS if 'in many parts' in sent else REQUEST)
        assert STATUS.findall(await meeting.receive(1)) == [b'200']
    match sent:
        case 'requests sent ahead':
            return await _send_ahead(meeting)
        case 'a request behind one in many parts':
            return await _wait_for_turn(meeting)
        case 'nothing':
            message = b''
        case 'the rest of a request':
            meeting.client.sendall(REQUEST[:-1])
            message = REQUEST[-1:]
    loop = asyncio.get_running_loop()
    loop.call_later(HOLD_AFTER_SECONDS, meeting.hold_up, message, HOLD_SECONDS)
    return await _receive_all(meeting, 1)


async def _receive_all(meeting, count):
    try:
        received = await meeting.receive(count)
    except ConnectionError as error:
        received = repr(error).encode()
    meeting.client.close()
    return received, count, dict(meeting.server.connections.waiting.closed)


@when('{sent} arrives while the event loop is held up, and then {moment}')
@when('{sent} arrive while the event loop is held up, and then {moment}')
def hold_up_loop(context, sent, moment):
    context.received = {}
    margin = 'ibisport_fleet.caller_server.IDLE_MARGIN_SECONDS'
    for name, factory in LOOPS.items():
        with (
            asyncio.Runner(loop_factory=factory) as runner,
            mock.patch(margin, MARGIN_SECONDS),
        ):
            context.received[name] = runner.run(_meet(sent, moment))


@then('all that has arrived is answered, on both kinds of event loop')
def check_answered_on_loops(context):
    missing = {
        name: (len(STATUS.findall(received)), count, received[-80:])
        for name, (received, count, _) in context.received.items()
        if len(STATUS.findall(received)) < count
    }
    assert not missing, missing


@then('the connection is closed, and counted once as {reason}')
def check_counts(context, reason):
    counted = [(received, closed) for received, _, closed in context.received.values()]
    expected = (b'', {CloseReason(reason): 1})
    assert counted == [expected for _ in LOOPS], counted


async def _send_at_once(message, count):
    meeting = _Meeting(None)
    await meeting.open()
    meeting.client.sendall(message)
    return (await _receive_all(meeting, count))[0]


@when('{count:d} requests and {last} arrive at once')
def send_at_once(context, count, last):
    message = REQUEST * count + REFUSED[last]
    context.received = asyncio.run(_send_at_once(message, count + 1))


@then('the client gets 200, 200 and {status:d}')
def check_statuses(context, status):
    statuses = [int(each) for each in STATUS.findall(context.received)]
    assert statuses == [200, 200, status], context.received
