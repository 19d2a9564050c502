"""Steps on compressed answers of relays."""

import asyncio
import base64
import zlib

import msgspec
from applying_steps import make_catalogue
from behave import given, then, when
from domains import PEER_PORT, TEST_TIMEOUT_SECONDS, FailureDomain

from ibisport_bench.virtual_network import run_on_net
from ibisport_fleet.content_coding import ACCEPT_HEADERS, decode_body
from ibisport_fleet.errors import AnswerInvalid
from ibisport_fleet.http_connection import open_http_connection
from ibisport_fleet.http_messages import Answer, AnswerHead
from ibisport_platform.records import CATALOGUE_KEY, CATALOGUE_PREFIX

MAX_BODY_BYTES = 2_000_000
REQUEST_LINES = {
    'watch': b'GET /kv-watch?prefix=op/&after=0&waitMs=500 HTTP/1.1',
    'list': b'GET /kv-range?prefix=op/ HTTP/1.1',
}
LIST_FIELDS = {'watch': 'events', 'list': 'items'}


def build_answer(body):
    """Return an answer with a compressed body."""
    headers = ((b'content-encoding', b'deflate'),)
    return Answer(AnswerHead(200, headers, keeps_open=True, framed=True), body)


@given('a relay in front of a catalogue of {routes:d} routes')
def plan(context, routes):
    context.content = make_catalogue(1, routes)


@when('a router that accepts {accepted} sends a {call} call')
def ask(context, accepted, call):
    async def run(net):
        domain = FailureDomain(net, 0, 1, CATALOGUE_PREFIX)
        domain.service.put(CATALOGUE_KEY, context.content)
        await domain.open()
        return await net.start_on('router', send(domain))

    async def send(domain):
        address = next(iter(domain.relays.values())), PEER_PORT
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            connection = await open_http_connection(
                address, domain.now + TEST_TIMEOUT_SECONDS
            )
            headers = ACCEPT_HEADERS if accepted == 'deflate' else ()
            return await connection.request(REQUEST_LINES[call], headers, b'')

    context.call = call
    context.answer = run_on_net(run)


@then('the body as sent has its full length')
def check_plain(context):
    assert context.answer.head.find(b'content-encoding') is None
    assert len(context.answer.body) > len(context.content)


@then('the body as sent has at most a third of its length')
def check_short(context):
    assert 3 * len(context.answer.body) <= len(context.content)


@then('it decodes the complete catalogue')
def check_content(context):
    found = msgspec.json.decode(decode_body(context.answer, MAX_BODY_BYTES))
    values = [entry['value'] for entry in found[LIST_FIELDS[context.call]]]
    assert [base64.b64decode(value) for value in values] == [context.content]


@when('a compressed body of {size:d} bytes {fault}')
def receive_body(context, size, fault):
    body = zlib.compress(make_catalogue(1, size // 190))
    middle = len(body) // 2
    match fault:
        case 'is truncated':
            body = body[:-1]
        case 'is corrupted':
            body = body[:middle] + bytes(100) + body[middle + 100 :]
        case 'exceeds the maximum size':
            body = zlib.compress(bytes(MAX_BODY_BYTES + 1))
    context.answer = build_answer(body)


@then('decoding it fails')
def check_failure(context):
    try:
        decode_body(context.answer, MAX_BODY_BYTES)
    except AnswerInvalid:
        return
    raise AssertionError('the body was decoded')
