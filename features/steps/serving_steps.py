"""Steps for serving requests: a router between scripted callers and targets."""

import asyncio
import os
from dataclasses import replace

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as forall
from running_router import KEY, make_route

from ibisport_bench.standins.memory_store import MemoryService
from ibisport_bench.standins.scripted import Reply, ScriptedTarget
from ibisport_fleet.adapters import Adapters
from ibisport_fleet.catalogue import (
    Catalogue,
    RouteKind,
    Service,
    Workspace,
)
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.router import Router
from ibisport_fleet.settings import Bounds, HostSettings
from ibisport_fleet.shutdown import LISTENING_SECONDS
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.headers import PlatformDialect

SEAL = b'Response-Seal: s\r\n'
OK = b'HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n'
WHOLE = OK + SEAL + b'Content-Length: 5\r\n\r\nhello'
STREAM = (
    OK + SEAL + b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
REJECTED = (
    b'HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


UNFRAMED = OK + SEAL + b'\r\n'
UNFRAMED_STREAM = OK + SEAL + b'Content-Type: text/event-stream\r\n\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'


def _encode_text(number):
    return b'id: %d\ndata: d%d\n\n' % (number, number)


def _encode_event(number):
    text = _encode_text(number)
    return b'%x\r\n%b\r\n' % (len(text), text)


END = b'0\r\n\r\n'
# Enough for longer than the guard below: the stream doesn't end during the test.
SLOW_PIECE_COUNT = 2_000
# Of equal engines, a router on this host prefers i-0 to i-1, and i-1 to i-2.
HOST = 'router-3'
GUARD_SECONDS = 20.0
# Pieces, 20 ms apart, that the target may write before its run is cancelled.
MAX_PIECES = 22
REPLIES = {
    'whole stream': Reply(
        [STREAM, _encode_event(1), _encode_event(2), _encode_event(3), END]
    ),
    'broken stream': Reply([STREAM, _encode_event(1), b'8\r\nid: 2\nda'], resets=True),
    'rest of the stream': Reply([STREAM, _encode_event(2), _encode_event(3), END]),
    'slow stream': Reply(
        [
            STREAM,
            _encode_event(1),
            *(b'' for _ in range(SLOW_PIECE_COUNT)),
            _encode_event(2),
            END,
        ],
        pause=0.02,
    ),
    'truncated': Reply([OK + SEAL + b'Content-Length: 50\r\n\r\nhel'], ends=True),
    'whole answer': Reply([WHOLE]),
    'rejected': Reply([REJECTED]),
    'late answer before whole answer': Reply(
        [WHOLE.replace(b'{id}', b'another').replace(b'hello', b'wrong') + WHOLE]
    ),
    'unframed': Reply([UNFRAMED + b'hello'], ends=True),
    'unframed that is reset': Reply([UNFRAMED + b'hello'], resets=True),
    'interim before unframed': Reply([INTERIM + UNFRAMED + b'hello'], ends=True),
    'unframed stream': Reply(
        [UNFRAMED_STREAM, *(_encode_text(number) for number in range(1, 4))], ends=True
    ),
    'unframed stream within an event': Reply(
        [UNFRAMED_STREAM, _encode_text(1), b'id: 2\nda'], ends=True
    ),
    'unframed stream that is reset': Reply(
        [UNFRAMED_STREAM, _encode_text(1)], resets=True
    ),
    'unframed before the upload is read': Reply([UNFRAMED + b'hel'], early=True),
    'unframed stream before the upload is read': Reply(
        [UNFRAMED_STREAM, _encode_text(1)], early=True
    ),
    'status 000': Reply([WHOLE.replace(b'200', b'000')]),
    'status 099': Reply([WHOLE.replace(b'200', b'099')]),
    'status 600': Reply([WHOLE.replace(b'200', b'600')]),
    'status 999': Reply([WHOLE.replace(b'200', b'999')]),
    'status 1000': Reply([WHOLE.replace(b'200', b'1000')]),
    'unsigned': Reply([OK + b'Content-Length: 5\r\n\r\nwrong']),
    'silent': Reply([b''], pause=5.0),
}


def _make_route(name, kind, max_targets, resumable=False, time_limit=6.0):
    return make_route(
        name, kind, max_targets, resumable=resumable, time_limit=time_limit
    )


CATALOGUE = Catalogue(
    version=1,
    revision=2,
    routes=(
        _make_route('stream', RouteKind.stream, 2, resumable=True),
        _make_route('once', RouteKind.stream, 1),
        _make_route('idempotent', RouteKind.idempotent, 2),
        _make_route('plain-once', RouteKind.once, 1),
        _make_route('hasty', RouteKind.idempotent, 1, time_limit=0.2),
    ),
    services={'svc': Service('svc', 10, None)},
    workspaces={'acme': Workspace('acme', 1, None)},
    keys={KEY: 'acme'},
    needs_keys=True,
)


PREPAID = replace(CATALOGUE, workspaces={'acme': Workspace('acme', 1, 1_000_000)})


class Site:
    """A router between a caller and scripted targets."""

    def __init__(self, names, catalogue=CATALOGUE):
        self.targets = [ScriptedTarget([REPLIES[name]]) for name in names]
        self.catalogue = catalogue
        self.order = {}

    async def start(self):
        """Start the targets and the router, and wait until it is ready."""
        self.service = service = MemoryService()
        for number, target in enumerate(self.targets):
            await target.start()
            service.put(f'servers/i-{number}', b'')
        service.put('op/config', b'')
        if self.catalogue is None:
            service.faults.cut = {'router'}
        adapters = Adapters(
            dialect=PlatformDialect(),
            open_store=lambda paths, log: service.open_store('router'),
            catalogue_key='op/config',
            catalogue_prefix='op/',
            evacuation_prefix='op/evacuate/',
            target_prefix='servers/',
            decode_catalogue=lambda item: self.catalogue,
            decode_target=self._build_entry,
            parse_incarnation=lambda key: key.removeprefix('servers/'),
            load_settings=build_settings,
        )
        log = EventLog(os.open(os.devnull, os.O_WRONLY))
        self.router = Router(build_settings(), adapters, log)
        self.task = asyncio.get_running_loop().create_task(self.router.run())
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.router.accept_caller, '127.0.0.1', 0
        )
        self.address = self.server.sockets[0].getsockname()
        if self.catalogue is not None:
            while not self.router.is_ready():
                await asyncio.sleep(0.01)

    def _build_entry(self, item):
        number = int(item.key.rpartition('-')[2])
        # Earlier targets are preferred, since they report more slots.
        slots = 1_000 // (number + 1)
        address = self.targets[number].address
        return TargetEntry(
            f'i-{number}', 'svc', address, f'd-{number}', slots, False, item.revision
        )


def build_settings():
    return HostSettings(
        host=HOST,
        domain='d-0',
        peer_address=('127.0.0.1', 0),
        metrics_address=('127.0.0.1', 0),
        callers_address=('127.0.0.1', 0),
        readiness_address=('127.0.0.1', 0),
        store_address=('127.0.0.1', 1),
        bounds=Bounds(1.0, 100.0, 0.0, 8.0),
    )


async def send_and_read(site, request, disconnect_after=None):
    """Send bytes and return all bytes of the answer."""
    reader, writer = await asyncio.open_connection(*site.address)
    writer.write(request)
    answer = b''
    try:
        async with asyncio.timeout(3):
            while data := await reader.read(65_536):
                answer += data
                if disconnect_after is not None and disconnect_after in answer:
                    break
    except (ConnectionError, TimeoutError):
        # The checks also see the bytes that arrived before a reset.
        answer += b'|reset'
    writer.close()
    return answer


def encode_request(route, key=KEY, method='POST', extra='', body='ab'):
    return (
        f'{method} /{route}/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n'
        f'Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\n'
        f'Tenant: forged\r\nHold: h\r\n{extra}Connection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


def _run(site, *requests, disconnect_after=None, until=None):
    async def run():
        await site.start()
        answers = [
            await send_and_read(site, request, disconnect_after) for request in requests
        ]
        if until is not None:
            await _wait_until(until)
        site.task.cancel()
        return answers

    return asyncio.run(run())


async def _wait_until(check):
    """Wait for a condition; the guard only keeps a failing test from hanging."""
    async with asyncio.timeout(GUARD_SECONDS):
        while not check():
            await asyncio.sleep(0.01)


@given('a router and targets "{names}"')
def make_site(context, names):
    context.site = Site([name.strip() for name in names.split(',')])


@given('a router whose callers prepay, and targets "{names}"')
def make_prepaid_site(context, names):
    context.site = Site([name.strip() for name in names.split(',')], PREPAID)


@given('a router without a catalogue')
def make_site_without_catalogue(context):
    context.site = Site(['whole answer'], catalogue=None)


@when('a caller sends a streaming request')
def send_stream(context):
    context.answers = _run(context.site, encode_request('stream'))


@when('a caller sends a streaming request to the route "{route}"')
@when('a caller sends a plain request to the route "{route}"')
def send_to(context, route):
    context.answers = _run(context.site, encode_request(route))


@when('a caller sends an upload of 4 MB to the route "{route}"')
def send_upload(context, route):
    upload = encode_request(route, body='x' * 4_000_000)
    context.answers = _run(context.site, upload)


@when('a caller sends the head of an upload of {size:d} bytes {detail}')
def send_head(context, size, detail):
    details = {
        'to the route "once"': {},
        'with an unknown key': {'key': 'unknown'},
        'to no route': {'route': 'nowhere'},
        'that waits for a go-ahead': {'extra': 'Expect: 100-continue\r\n'},
    }
    head = encode_request(**{'route': 'once', 'body': '', **details[detail]})
    announced = b'Content-Length: %d' % size
    head = head.replace(b'Content-Length: 0', announced)
    context.answers = _run(context.site, head)


@then('it is refused with {status:d} and the reason {reason}')
def check_early_refusal(context, status, reason):
    answer = context.answers[0]
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer
    assert b'"error":"%b"' % reason.encode() in answer, answer


@when('a caller sends a streaming request and disconnects after the first event')
def send_and_disconnect(context):
    target = context.site.targets[0]
    request = encode_request('stream')
    _run(
        context.site,
        request,
        disconnect_after=b'id: 1',
        until=lambda: target.cancelled > 0,
    )


@when('a caller sends requests with an unknown key and to an unknown route')
def send_unknown_key_and_route(context):
    refused = encode_request('idempotent', key='nobody'), encode_request('nowhere')
    context.answers = _run(context.site, *refused)


@when('callers send {count:d} generated requests with ambiguous framing')
def send_ambiguous_framing(context, count):
    ambiguous = strategies.sampled_from(
        (
            'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n',
            'Transfer-Encoding: chunked\r\nContent-Length: 60\r\n',
            'Content-Length: +2\r\n',
            'Content-Length: 2, 2\r\n',
            'Content-Length: 2\r\nContent-Length: 4\r\n',
            'Transfer-Encoding : chunked\r\n',
            'Transfer-Encoding: xchunked\r\n',
            'Transfer-Encoding: chunked, identity\r\n',
            'X: a\nTransfer-Encoding: chunked\r\n',
            'Content-Length: 0x2\r\n',
        )
    )
    inner = (
        b'POST /idempotent/smuggled HTTP/1.1\r\nHost: h.example\r\n'
        b'Attempt-Id: evil\r\n\r\n'
    )
    bodies = strategies.sampled_from(
        (b'ab', b'0\r\n\r\n' + inner, inner, b'2\r\nab\r\n0\r\n\r\n' + inner)
    )

    async def run():
        await context.site.start()
        sent = []

        @settings(
            max_examples=count,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        @forall(ambiguous, bodies)
        def collect(header, body):
            head = (
                'POST /idempotent/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n'
                f'Deadline-Ms: 500\r\nAuthorization: Bearer {KEY}\r\n{header}\r\n'
            )
            sent.append(head.encode() + body)

        collect()
        await asyncio.gather(
            *(send_and_read(context.site, content, b'hello') for content in sent)
        )
        context.site.task.cancel()

    asyncio.run(run())


@then('the caller gets {status:d} and the events 1 to 3, and the answer ends')
def check_events(context, status):
    answer = context.answers[0]
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer
    assert [answer.count(b'id: %d\n' % number) for number in (1, 2, 3)] == [1, 1, 1]
    assert answer.endswith(b'0\r\n\r\n'), answer


@then("the target got the request without the key, and with the workspace's name")
def check_forwarded_request(context):
    request = context.site.targets[0].requests[0]
    names = [name for name, _ in request.headers]
    assert request.find(b'tenant') == b'acme', request
    assert request.find(b'expect-instance') == b'i-0', request
    assert b'authorization' not in names and b'hold' not in names, names
    assert request.body == b'ab' and request.target == b'/stream/x'


@then('the second target got the last event id {number:d}')
def check_last_event_id(context, number):
    request = context.site.targets[1].requests[0]
    assert request.find(b'last-event-id') == b'%d' % number, request


@then("the caller's answer isn't terminated as complete")
def check_cut(context):
    assert not context.answers[0].endswith(b'0\r\n\r\n'), context.answers


@then('the caller gets {status:d} and the body "{body}"')
def check_body(context, status, body):
    answer = context.answers[0]
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer
    assert answer.endswith(body.encode()), answer


@then("the caller gets {status:d} without the target's signature")
def check_unsigned(context, status):
    answer = context.answers[0]
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer
    assert b'esponse-' not in answer, answer


@then('the targets got {count:d} requests')
def check_count(context, count):
    got = sum(len(target.requests) for target in context.site.targets)
    assert got == count, got


@then('the caller gets {status:d} with a retry delay')
def check_retry_after(context, status):
    answer = context.answers[0]
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer
    assert b'retry-after: ' in answer, answer


@then("the target's run is cancelled")
def check_cancelled(context):
    target = context.site.targets[0]
    # Counted in pieces and not in seconds: both ends share one event loop, so a slow
    # machine delays both.
    assert (target.cancelled, target.sent <= MAX_PIECES) == (1, True), target.sent


@then('the caller gets {first:d} and {second:d}')
def check_statuses(context, first, second):
    got = [int(answer[9:12]) for answer in context.answers]
    assert got == [first, second], got


@then('each target got only requests that the router had parsed')
def check_not_smuggled(context):
    for request in context.site.targets[0].requests:
        assert request.target == b'/idempotent/x', request
        assert request.find(b'attempt-id') == b'a1', request


@when('a caller sends part of a request, the router stops, and the rest follows')
def send_in_parts(context):
    async def run():
        site = context.site
        await site.start()
        request = encode_request('idempotent')
        reader, writer = await asyncio.open_connection(*site.address)
        writer.write(request[:-1])
        await asyncio.sleep(0.1)
        site.router.stop()
        # Longer than the listener stays open: idle connections are closed after that.
        await asyncio.sleep(LISTENING_SECONDS + 0.5)
        writer.write(request[-1:])
        answer = await reader.read()
        site.task.cancel()
        return [answer]

    context.answers = asyncio.run(run())


@when('a request waits for its tokens')
def wait_for_tokens(context):
    async def run():
        site = context.site
        await site.start()
        # A write of the store takes longer than the request may wait for it.
        site.service.faults.slow = 1_000.0
        request = encode_request('idempotent', extra='Token-Usage: 90000,100\r\n')
        _, writer = await asyncio.open_connection(*site.address)
        writer.write(request)
        await _wait_until(lambda: site.router.in_flight)
        context.in_flight = site.router.in_flight
        writer.close()
        site.task.cancel()

    asyncio.run(run())


@then('the router counts it as in flight')
def check_in_flight(context):
    assert context.in_flight == 1, context.in_flight
