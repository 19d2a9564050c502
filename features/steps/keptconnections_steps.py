"""Steps on kept connections beside changed limits, in virtual time."""

import asyncio
import contextlib
from dataclasses import replace

from behave import then, when
from running_router import (
    CALLER,
    CALLERS,
    CATALOGUE,
    FIRST_BYTE_SECONDS,
    KEY,
    ROUTER,
    Caller,
    encode_request,
    make_plain,
    run_until_stopped,
)

from ibisport_bench.memory_transport import Link
from ibisport_fleet.catalogue import Limits

# Seconds after the signal: the first request, long before the router stops.
BEGIN_SECONDS = -18.0
CHANGE_INTERVAL_SECONDS = 0.5
CHANGED_LIMITS = {
    'bodies': 'max_body_bytes',
    'chunks': 'max_body_bytes',
    'heads': 'max_header_bytes',
    'framing': 'max_header_bytes',
}
NAME = 'judged'


def _encode_sized(part, size):
    """Return a request, in two parts, of which one is large."""
    path = 'x' * size if part == 'framing' else 'x'
    header = f'X-Large: {"x" * size}\r\n' if part == 'heads' else ''
    body = b'x' * size if part in {'bodies', 'chunks'} else b'ab'
    framing = f'Content-Length: {len(body)}'
    if part == 'chunks':
        framing = 'Transfer-Encoding: chunked'
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (size, body)
    head = (
        f'POST /once/{path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {NAME}\r\n'
        f'Authorization: Bearer {KEY}\r\n{header}{framing}\r\n\r\n'
    )
    return head.encode(), body


def _run(context, limits, act, limit_beside_first=None):
    async def act_on_connection(site):
        caller = Caller(site, heeds_keep_alive=False)
        await site.wait_until(BEGIN_SECONDS)
        asked = site.call(caller.ask(encode_request('once', 'first')))
        if limit_beside_first is not None:
            await site.wait_until(site.now + FIRST_BYTE_SECONDS / 2)
            site.change_limits(idle_seconds=limit_beside_first)
        first = await asked
        assert first.status == 200, first
        return await act(site, caller)

    catalogue = replace(CATALOGUE, limits=limits)
    context.answers = run_until_stopped([make_plain()], act_on_connection, catalogue)[1]


@when(
    'the limit of {part} changes from {old:d} to {new:d} bytes {moment} a request '
    'with {size:d} bytes of it'
)
def change_beside_request(context, part, old, new, moment, size):
    name = CHANGED_LIMITS[part]

    async def act(site, caller):
        head, body = _encode_sized(part, size)
        if moment == 'inside':
            rest_at = site.now + 2 * CHANGE_INTERVAL_SECONDS
            asked = site.call(caller.ask(head, body, rest_at))
            await site.wait_until(site.now + CHANGE_INTERVAL_SECONDS)
            site.change_limits(**{name: new})
            return [(await asked, caller.connections)]
        site.change_limits(**{name: new})
        await site.wait_until(site.now + CHANGE_INTERVAL_SECONDS)
        return [(await site.call(caller.ask(head + body)), caller.connections)]

    _run(context, replace(Limits(), **{name: old}), act)


@then('its answer on the kept connection has status {status:d}')
def check_status_on_kept(context, status):
    answer, connections = context.answers[0]
    assert (answer.status, connections) == (status, 1), (answer, connections)


@when(
    'the idle limit becomes {limits} seconds while a connection that was used under '
    'the first one is idle'
)
def change_idle_limit(context, limits):
    context.idle_limits = [float(limit) for limit in limits.split(', ')]
    context.limit_beside_first = None
    context.rests = []


@when('the idle limit changes from {first:g} to {second:g} s beside a first request')
def change_idle_limit_beside_request(context, first, second):
    context.idle_limits = [first]
    context.limit_beside_first = second
    context.rests = []


@then('a request on it after {idle:g} s finds it {state}')
@then('another one {idle:g} s after that finds it {state}')
def check_idle_connection(context, idle, state):
    context.rests.append(idle)
    first, *later = context.idle_limits

    async def act(site, caller):
        idle_since = [site.now]
        for limit in later:
            await site.wait_until(site.now + CHANGE_INTERVAL_SECONDS)
            site.change_limits(idle_seconds=limit)
        answers = []
        for rest in context.rests:
            await site.wait_until(idle_since[-1] + rest)
            answer = await site.call(caller.ask(encode_request('once', 'next')))
            idle_since.append(site.now)
            answers.append((answer, caller.connections))
        return answers

    _run(context, Limits(idle_seconds=first), act, context.limit_beside_first)
    answer, connections = context.answers[-1]
    assert answer.status == 200, answer
    seen = 'open' if connections == 1 else 'closed'
    assert seen == state, (seen, answer)


@when(
    'the idle limit is {limit:g} s, and a connection idle for {idle:g} s brings a '
    'request whose rest takes {seconds:g} s'
)
def send_slowly_after_idle(context, limit, idle, seconds):
    async def act(site, caller):
        await site.wait_until(site.now + idle)
        request = encode_request('once', NAME)
        beginning, rest = request[:-1], request[-1:]
        answer = await site.call(caller.ask(beginning, rest, site.now + seconds))
        return [(answer, caller.connections)]

    _run(context, Limits(idle_seconds=limit), act)


@when(
    'the idle limit is {limit:g} s, and a caller {reads} of an answer of {size:d} bytes'
)
def answer_slow_caller(context, limit, reads, size):
    context.size = size

    async def read():
        reader, writer = await asyncio.open_connection(*CALLERS)
        writer.write(encode_request('once', NAME))
        if reads == 'reads nothing for 10 s':
            await asyncio.sleep(10.0)
        received = b''
        with contextlib.suppress(ConnectionError):
            while received.count(b'x') < size and (data := await reader.read(size)):
                received += data
        return received.count(b'x')

    async def act(site):
        if reads == 'reads 100000 bytes a second':
            site.net.links[ROUTER, CALLER] = Link(rate=100_000)
        await site.wait_until(BEGIN_SECONDS)
        return await site.call(read())

    catalogue = replace(CATALOGUE, limits=Limits(idle_seconds=limit))
    context.received = run_until_stopped([make_plain(size)], act, catalogue)[1]


@then('its answer arrives {state}')
def check_completeness(context, state):
    seen = 'complete' if context.received == context.size else 'cut'
    assert seen == state, context.received
