"""Steps for answers that break off within their heads."""

import asyncio

from behave import given, then, when
from running_router import STREAM_HEAD
from serving_steps import (
    INTERIM,
    REPLIES,
    UNFRAMED,
    UNFRAMED_STREAM,
    WHOLE,
    Site,
    encode_request,
    send_and_read,
)

from ibisport_bench.standins.scripted import Reply

ANOTHER = WHOLE.replace(b'{id}', b'another')
HEADS = {
    'a length': WHOLE.removesuffix(b'hello'),
    'chunks': STREAM_HEAD,
    'no framing': UNFRAMED,
    'no framing, a stream': UNFRAMED_STREAM,
}
PLAIN_ROUTES = ('idempotent', 'plain-once')
WHOLE_ENDS = (b'\r\n\r\nhello', b'0\r\n\r\n')
SEPARATORS = b' :\r\n'
BEFORE = {'nothing': b'', 'an interim answer': INTERIM, 'a late answer': ANOTHER}


def _list_cuts(head):
    """Return the head, cut around each separator, and before its last byte."""
    separators = (at for at, byte in enumerate(head) if byte in SEPARATORS)
    ends = {end for at in separators for end in (at, at + 1)}
    return [head[:end] for end in sorted(ends - {len(head)})]


@given('a router and a target that {ending} within heads with {framing}')
def make_site(context, ending, framing):
    context.site = Site(['whole answer'])
    ends = {'ends': ending == 'closes', 'resets': ending == 'resets'}
    context.cuts = [
        Reply([before + cut], **ends)
        for before in BEFORE.values()
        for cut in _list_cuts(HEADS[framing])
    ]


@when('callers send requests to the route "{route}", each after one that is answered')
def send_requests(context, route):
    whole = REPLIES['whole answer' if route in PLAIN_ROUTES else 'whole stream']
    # The first of two that break off comes on a connection that is used again, and
    # the second on a new one.
    context.site.targets[0].replies = [
        reply for cut in context.cuts for reply in (whole, cut, cut)
    ]

    async def run():
        await context.site.start()
        answers = [
            await send_and_read(context.site, encode_request(route))
            for _ in context.site.targets[0].replies
        ]
        context.site.task.cancel()
        return answers

    context.answers = asyncio.run(run())


@then('each request whose answer breaks off gets {status:d}')
def check_statuses(context, status):
    expected = [code for _ in context.cuts for code in (200, status, status)]
    got = [int(answer[9:12] or b'0') for answer in context.answers]
    assert all(answer.endswith(WHOLE_ENDS) for answer in context.answers[::3])
    wrong = [pair for pair in zip(got, expected, strict=True) if pair[0] != pair[1]]
    assert not wrong, wrong
