"""Steps on a router that is told to stop, in virtual time."""

import asyncio

from behave import given, then, when
from running_router import (
    BEFORE_SIGNAL_SECONDS,
    CALLER,
    GRACE_SECONDS,
    LATE_DEADLINE,
    PREPAID,
    ROUND_TRIP_SECONDS,
    ROUTER,
    Caller,
    encode_request,
    make_burst,
    make_plain,
    make_silence,
    make_stream,
    run_until_stopped,
    send_on_new_connection,
)

from ibisport_bench.memorytransport import Link

# The longest that a refusal may take: it needs no answer from anyone.
AT_ONCE_S = 0.5
# A target saw the request, so the answer can't say that it did not run.
UNCERTAIN = frozenset((500, 502, 504))
# Calls of the store take 2 s each way: no request waits for so long.
STORE_SLOWNESS = 1_000.0
SLOW_LINK = Link(rate=50_000.0, buffer_bytes=16_384)
SLOW_SIZE = 200_000


@given('a running router')
def make_nothing(context):
    """Do nothing: the next step starts it."""


@given('a running router whose target takes {first:g} s for a stream')
def keep_length(context, first):
    context.lengths = [first]


@given('a running router whose target takes {first:g} or {second:g} s for a stream')
def keep_lengths(context, first, second):
    context.lengths = [first, second]


@when(
    'the router is told to stop, and the stream is asked for {seconds:g} s later '
    'on a {age} connection'
)
def ask_after(context, seconds, age):
    async def act(site):
        caller = Caller(site)
        if age == 'kept':
            await site.wait_until(-1.0)
            earlier = await site.call(
                caller.ask(encode_request('idempotent', 'before'))
            )
            assert earlier.whole and earlier.status == 200, earlier
        await site.wait_until(seconds)
        return await site.call(caller.ask(encode_request('stream', 'late')))

    before = [make_plain()] if age == 'kept' else []
    context.plays = [
        run_until_stopped([*before, make_stream(length)], act)
        for length in context.lengths
    ]


@then(
    'the caller gets the whole answer, or 503 at once with a time to come back '
    'and the target saw nothing'
)
def check_whole_or_refused(context):
    for site, answer in context.plays:
        assert answer.whole, (answer, site.ended_at)
        if answer.status != 200:
            _check_refusal(site, answer, 'late')


@when(
    'the router is told to stop, and an earlier stream ends {seconds:g} s later '
    'with another one asked for right after it'
)
def ask_behind(context, seconds):
    begun_at = -1.0

    async def act(site):
        caller = Caller(site)
        await site.wait_until(begun_at)
        earlier = await site.call(caller.ask(encode_request('stream', 'early')))
        return earlier, await site.call(caller.ask(encode_request('stream', 'late')))

    replies = [make_stream(seconds - begun_at), make_stream(context.lengths[0])]
    context.site, context.answers = run_until_stopped(replies, act)


@then('the earlier stream is whole')
def check_earlier(context):
    earlier = context.answers[0]
    assert earlier.whole and earlier.status == 200, earlier


@then('the later one is whole, or was refused or not taken and the target saw nothing')
def check_later(context):
    _check_taken_or_not(context.site, context.answers[1], 'late')


@when(
    'the router is told to stop, and a stream and a plain request are asked for '
    '{seconds:g} s later'
)
def ask_both(context, seconds):
    async def act(site):
        await site.wait_until(seconds)
        stream = send_on_new_connection(site, encode_request('stream', 'stream'))
        plain = send_on_new_connection(site, encode_request('once', 'plain'))
        return await stream, await plain

    replies = [make_stream(context.lengths[0]), make_plain()]
    context.site, context.answers = run_until_stopped(replies, act)


@then('both answers are whole and say that the connection closes')
def check_both(context):
    for answer in context.answers:
        assert answer.whole and answer.status == 200, answer
        assert answer.headers[b'connection'] == b'close', answer


@given('a running router whose callers prepay')
def keep_prepaid(context):
    context.catalogue = PREPAID


@when(
    'the router is told to stop, the store grows slow, and requests for tokens come '
    'each {step:g} s from {first:g} s on until the grace time ends'
)
def ask_for_tokens(context, step, first):
    count = round((GRACE_SECONDS - first) / step)
    moments = [round(first + step * number, 3) for number in range(count)]

    async def ask(site, moment):
        # Its body comes late: the connection isn't idle, and stays.
        extra = 'Token-Usage: 90000,100\r\n'
        request = encode_request('idempotent', f'at-{moment}', extra)
        return await Caller(site).ask(request[:-1], request[-1:], moment)

    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        # The process has a reason to stay as long as a stream runs.
        holding = send_on_new_connection(site, encode_request('stream', 'holding'))
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        asking = [site.call(ask(site, moment)) for moment in moments]
        await site.wait_until(first - 1.0)
        site.service.faults.slow = STORE_SLOWNESS
        answers = await asyncio.gather(holding, *asking)
        return answers[1:]

    replies = [make_stream(GRACE_SECONDS - BEFORE_SIGNAL_SECONDS)]
    context.site, answers = run_until_stopped(replies, act, context.catalogue)
    context.answers = dict(zip(moments, answers, strict=True))


@then('each that the router has read is answered with 503, and the target saw none')
def check_waiting(context):
    taken = 0
    wrong = []
    for moment, answer in context.answers.items():
        assert not context.site.has_got(f'at-{moment}'), answer
        if answer.status is None:
            if answer.ended_at - answer.sent_at > ROUND_TRIP_SECONDS:
                wrong.append(answer)
            continue
        assert answer.whole and answer.status == 503, answer
        assert float(answer.headers[b'retry-after']) > 0, answer
        taken += 1
    assert taken and not wrong, (taken, wrong, context.site.ended_at)


@given('a running router whose target never gives a byte')
def keep_silence(context):
    context.replies = [make_silence()]


@when('requests of each kind are sent on, and the router is told to stop')
def ask_silent(context):
    kinds = ('stream', 'idempotent', 'once')

    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        asking = [send_on_new_connection(site, encode_request(k, k)) for k in kinds]
        answers = await asyncio.gather(*asking)
        assert all(site.has_got(kind) for kind in kinds), site.target.requests
        return answers

    context.site, context.answers = run_until_stopped(context.replies, act)


@then('each gets a final status that does not say that it did not run')
def check_final(context):
    wrong = [one for one in context.answers if not one.whole]
    assert not wrong, (wrong, context.site.ended_at)
    for answer in context.answers:
        assert answer.status in UNCERTAIN, answer


@given('a running router, a slow link to its callers, and large answers')
def keep_large(context):
    context.replies = [make_plain(SLOW_SIZE), make_burst(SLOW_SIZE)]


@when('the router is told to stop, and the answers are written {seconds:g} s later')
def ask_large(context, seconds):
    async def act(site):
        site.net.links[ROUTER, CALLER] = SLOW_LINK
        await site.wait_until(seconds)
        asking = []
        for kind in ('idempotent', 'stream'):
            asking.append(send_on_new_connection(site, encode_request(kind, kind)))
            await asyncio.sleep(ROUND_TRIP_SECONDS)
        return await asyncio.gather(*asking)

    context.site, context.answers = run_until_stopped(context.replies, act)


@then('the callers get every byte')
def check_large(context):
    wrong = [one for one in context.answers if not one.whole]
    assert not wrong, (wrong, context.site.ended_at)
    for answer in context.answers:
        assert answer.status == 200 and answer.size >= SLOW_SIZE, answer


@when(
    'the router is told to stop, and a stream begun before it ends {seconds:g} s later'
)
def ask_before(context, seconds):
    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        return [await send_on_new_connection(site, encode_request('stream', 'early'))]

    replies = [make_stream(seconds - BEFORE_SIGNAL_SECONDS)]
    context.site, context.answers = run_until_stopped(replies, act)


@when(
    'the router is told to stop, a stream begun before it ends {seconds:g} s later, '
    'and plain requests come {first:g} and {second:g} s later on new connections'
)
def ask_beside(context, seconds, first, second):
    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        asking = [send_on_new_connection(site, encode_request('stream', 'early'))]
        for moment in (first, second):
            await site.wait_until(moment)
            request = encode_request('once', f'at-{moment}', LATE_DEADLINE)
            asking.append(send_on_new_connection(site, request))
        return await asyncio.gather(*asking)

    replies = [make_stream(seconds - BEFORE_SIGNAL_SECONDS), make_plain()]
    context.site, context.answers = run_until_stopped(replies, act)


@when(
    'the router is told to stop, a stream begun before it ends {seconds:g} s later, '
    'and a caller connects {first:g} s later and asks {pause:g} s after that'
)
def ask_on_fresh(context, seconds, first, pause):
    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        early = send_on_new_connection(site, encode_request('stream', 'early'))
        await site.wait_until(first)
        request = encode_request('once', 'fresh', LATE_DEADLINE)
        fresh = send_on_new_connection(site, b'', request, first + pause)
        return await asyncio.gather(early, fresh)

    replies = [make_stream(seconds - BEFORE_SIGNAL_SECONDS), make_plain()]
    context.site, context.answers = run_until_stopped(replies, act)


@when(
    'the router is told to stop, a stream begun before it ends {seconds:g} s later, '
    'and streams come {first:g} s later on a kept and {second:g} s later on a new '
    'connection'
)
def ask_late(context, seconds, first, second):
    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        early = send_on_new_connection(site, encode_request('stream', 'early'))
        kept = send_on_new_connection(
            site, b'', encode_request('stream', 'kept'), first
        )
        await site.wait_until(second)
        new = await send_on_new_connection(site, encode_request('stream', 'new'))
        return await early, await kept, new

    context.site, context.answers = run_until_stopped(
        [make_stream(seconds - BEFORE_SIGNAL_SECONDS)], act
    )


@then(
    'the first may come back within {pause:g} s, and the second when {least:g} to '
    '{most:g} s have passed since the signal'
)
def check_return(context, pause, least, most):
    _, kept, new = context.answers
    for name, answer in (('kept', kept), ('new', new)):
        _check_refusal(context.site, answer, name)
    assert float(kept.headers[b'retry-after']) <= pause, kept
    back_at = new.sent_at + float(new.headers[b'retry-after'])
    assert least <= back_at + ROUND_TRIP_SECONDS < most + ROUND_TRIP_SECONDS * 2, new


@then('all answers are whole')
def check_all(context):
    for answer in context.answers:
        assert answer.whole and answer.status == 200, (answer, context.site.ended_at)


@then('the process has ended by itself within the grace time')
def check_ended(context):
    assert not context.site.killed, context.site.ended_at


def _check_refusal(site, answer, name):
    assert answer.whole and answer.status == 503, (answer, site.ended_at)
    assert float(answer.headers[b'retry-after']) > 0, answer
    assert answer.ended_at - answer.sent_at < AT_ONCE_S, answer
    assert not site.has_got(name), answer


def _check_taken_or_not(site, answer, name):
    if answer.whole and answer.status == 200:
        return
    if answer.status is not None:
        _check_refusal(site, answer, name)
        return
    assert not site.has_got(name), (answer, site.ended_at)
    late = not answer.refused and answer.ended_at - answer.sent_at > ROUND_TRIP_SECONDS
    assert not late, (answer, site.ended_at)
