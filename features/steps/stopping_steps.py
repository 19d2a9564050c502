"""Steps for a router that is told to stop, in virtual time."""

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

from ibisport_bench.memory_transport import Link

# Maximum time until a refusal, which waits for no other process.
MAX_REFUSAL_SECONDS = 0.5
# The target received the request, so the answer can't say that it did not run.
UNCERTAIN_STATUSES = frozenset((500, 502, 504))
# Store calls take 2 s each way, longer than any request waits.
STORE_SLOWDOWN = 1_000.0
SLOW_LINK = Link(rate=50_000.0, buffer_bytes=16_384)
LARGE_ANSWER_BYTES = 200_000


@given('a running router')
def start_default_router(context):
    """Do nothing: the next step starts the router."""


@given('a running router whose target takes {first:g} s for a stream')
def set_stream_length(context, first):
    context.lengths = [first]


@given('a running router whose target takes {first:g} or {second:g} s for a stream')
def set_stream_lengths(context, first, second):
    context.lengths = [first, second]


@when(
    'the router is told to stop, and the stream is requested {seconds:g} s later '
    'on a {kind} connection'
)
def send_after_stop(context, seconds, kind):
    async def act(site):
        caller = Caller(site)
        if kind == 'kept':
            await site.wait_until(-1.0)
            earlier = await site.call(
                caller.ask(encode_request('idempotent', 'before'))
            )
            assert earlier.whole and earlier.status == 200, earlier
        await site.wait_until(seconds)
        return await site.call(caller.ask(encode_request('stream', 'late')))

    before = [make_plain()] if kind == 'kept' else []
    context.runs = [
        run_until_stopped([*before, make_stream(length)], act)
        for length in context.lengths
    ]


@then(
    'the caller gets the complete answer, or an immediate 503 with Retry-After '
    'and nothing reaches the target'
)
def check_whole_or_refused(context):
    for site, answer in context.runs:
        assert answer.whole, (answer, site.ended_at)
        if answer.status != 200:
            _check_refusal(site, answer, 'late')


@when(
    'the router is told to stop, and an earlier stream ends {seconds:g} s later '
    'with another one requested right after it'
)
def send_behind_stream(context, seconds):
    begun_at = -1.0

    async def act(site):
        caller = Caller(site)
        await site.wait_until(begun_at)
        earlier = await site.call(caller.ask(encode_request('stream', 'early')))
        return earlier, await site.call(caller.ask(encode_request('stream', 'late')))

    replies = [make_stream(seconds - begun_at), make_stream(context.lengths[0])]
    context.site, context.answers = run_until_stopped(replies, act)


@then('the earlier stream is complete')
def check_first_stream(context):
    earlier = context.answers[0]
    assert earlier.whole and earlier.status == 200, earlier


@then(
    'the later one is complete, or was refused or not accepted and nothing reached '
    'the target'
)
def check_second_stream(context):
    _check_whole_or_not_sent(context.site, context.answers[1], 'late')


@when(
    'the router is told to stop, and a stream and a plain request are sent '
    '{seconds:g} s later'
)
def send_stream_and_plain(context, seconds):
    async def act(site):
        await site.wait_until(seconds)
        stream = send_on_new_connection(site, encode_request('stream', 'stream'))
        plain = send_on_new_connection(site, encode_request('once', 'plain'))
        return await stream, await plain

    replies = [make_stream(context.lengths[0]), make_plain()]
    context.site, context.answers = run_until_stopped(replies, act)


@then('both answers are complete and say that the connection closes')
def check_closing_answers(context):
    for answer in context.answers:
        assert answer.whole and answer.status == 200, answer
        assert answer.headers[b'connection'] == b'close', answer


@given('a running router whose callers prepay')
def set_prepaid_catalogue(context):
    context.catalogue = PREPAID


@when(
    'the router is told to stop, the store becomes slow, and requests for tokens '
    'arrive every {step:g} s from {first:g} s on until the grace time ends'
)
def send_during_slow_store(context, step, first):
    count = round((GRACE_SECONDS - first) / step)
    moments = [round(first + step * number, 3) for number in range(count)]

    async def send(site, moment):
        # The end of the body arrives late, so the connection isn't closed as idle.
        extra = 'Token-Usage: 90000,100\r\n'
        request = encode_request('idempotent', f'at-{moment}', extra)
        return await Caller(site).ask(request[:-1], request[-1:], moment)

    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        # The process stays as long as this stream runs.
        open_stream = send_on_new_connection(site, encode_request('stream', 'holding'))
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        tasks = [site.call(send(site, moment)) for moment in moments]
        await site.wait_until(first - 1.0)
        site.service.faults.slow = STORE_SLOWDOWN
        answers = await asyncio.gather(open_stream, *tasks)
        return answers[1:]

    replies = [make_stream(GRACE_SECONDS - BEFORE_SIGNAL_SECONDS)]
    context.site, answers = run_until_stopped(replies, act, context.catalogue)
    context.answers = dict(zip(moments, answers, strict=True))


@then('each that the router has read is answered with 503, and none reaches the target')
def check_refused_when_read(context):
    refused_count = 0
    late = []
    for moment, answer in context.answers.items():
        assert not context.site.has_got(f'at-{moment}'), answer
        if answer.status is None:
            if answer.ended_at - answer.sent_at > ROUND_TRIP_SECONDS:
                late.append(answer)
            continue
        assert answer.whole and answer.status == 503, answer
        assert float(answer.headers[b'retry-after']) > 0, answer
        refused_count += 1
    assert refused_count and not late, (refused_count, late, context.site.ended_at)


@given('a running router whose target never sends a byte')
def set_silent_target(context):
    context.replies = [make_silence()]


@when('requests of each kind are sent to the target, and the router is told to stop')
def send_to_silent_target(context):
    kinds = ('stream', 'idempotent', 'once')

    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        tasks = [
            send_on_new_connection(site, encode_request(route_kind, route_kind))
            for route_kind in kinds
        ]
        answers = await asyncio.gather(*tasks)
        assert all(site.has_got(kind) for kind in kinds), site.target.requests
        return answers

    context.site, context.answers = run_until_stopped(context.replies, act)


@then('each gets a final status that does not say that it did not run')
def check_uncertain_statuses(context):
    incomplete = [result for result in context.answers if not result.whole]
    assert not incomplete, (incomplete, context.site.ended_at)
    for answer in context.answers:
        assert answer.status in UNCERTAIN_STATUSES, answer


@given('a running router, a slow link to its callers, and large answers')
def set_large_answers(context):
    context.replies = [make_plain(LARGE_ANSWER_BYTES), make_burst(LARGE_ANSWER_BYTES)]


@when('the router is told to stop, and the answers are written {seconds:g} s later')
def receive_large_answers(context, seconds):
    async def act(site):
        site.net.links[ROUTER, CALLER] = SLOW_LINK
        await site.wait_until(seconds)
        tasks = []
        for kind in ('idempotent', 'stream'):
            tasks.append(send_on_new_connection(site, encode_request(kind, kind)))
            await asyncio.sleep(ROUND_TRIP_SECONDS)
        return await asyncio.gather(*tasks)

    context.site, context.answers = run_until_stopped(context.replies, act)


@then('the callers get every byte')
def check_large_answers(context):
    incomplete = [result for result in context.answers if not result.whole]
    assert not incomplete, (incomplete, context.site.ended_at)
    for answer in context.answers:
        assert answer.status == 200 and answer.size >= LARGE_ANSWER_BYTES, answer


@when(
    'the router is told to stop, and a stream started before it ends {seconds:g} s '
    'later'
)
def stop_during_stream(context, seconds):
    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        return [await send_on_new_connection(site, encode_request('stream', 'early'))]

    replies = [make_stream(seconds - BEFORE_SIGNAL_SECONDS)]
    context.site, context.answers = run_until_stopped(replies, act)


@when(
    'the router is told to stop, a stream started before it ends {seconds:g} s later, '
    'and plain requests arrive {first:g} and {second:g} s later on new connections'
)
def send_plain_during_stream(context, seconds, first, second):
    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        tasks = [send_on_new_connection(site, encode_request('stream', 'early'))]
        for moment in (first, second):
            await site.wait_until(moment)
            request = encode_request('once', f'at-{moment}', LATE_DEADLINE)
            tasks.append(send_on_new_connection(site, request))
        return await asyncio.gather(*tasks)

    replies = [make_stream(seconds - BEFORE_SIGNAL_SECONDS), make_plain()]
    context.site, context.answers = run_until_stopped(replies, act)


@when(
    'the router is told to stop, a stream started before it ends {seconds:g} s later, '
    'and a caller connects {first:g} s later and sends a request {pause:g} s after '
    'that'
)
def send_on_idle_connection(context, seconds, first, pause):
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
    'the router is told to stop, a stream started before it ends {seconds:g} s later, '
    'and streams are requested {first:g} s later on a kept and {second:g} s later on '
    'a new connection'
)
def send_late_streams(context, seconds, first, second):
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
    'the first may retry within {pause:g} s, and the second when {earliest:g} to '
    '{latest:g} s have passed since the signal'
)
def check_retry_after(context, pause, earliest, latest):
    _, kept, new = context.answers
    for name, answer in (('kept', kept), ('new', new)):
        _check_refusal(context.site, answer, name)
    assert float(kept.headers[b'retry-after']) <= pause, kept
    retry_at = new.sent_at + float(new.headers[b'retry-after'])
    assert (
        earliest <= retry_at + ROUND_TRIP_SECONDS < latest + ROUND_TRIP_SECONDS * 2
    ), new


@then('all answers are complete')
def check_all_answers(context):
    for answer in context.answers:
        assert answer.whole and answer.status == 200, (answer, context.site.ended_at)


@then('the process has ended by itself within the grace time')
def check_ended(context):
    assert not context.site.killed, context.site.ended_at


def _check_refusal(site, answer, name):
    assert answer.whole and answer.status == 503, (answer, site.ended_at)
    assert float(answer.headers[b'retry-after']) > 0, answer
    assert answer.ended_at - answer.sent_at < MAX_REFUSAL_SECONDS, answer
    assert not site.has_got(name), answer


def _check_whole_or_not_sent(site, answer, name):
    if answer.whole and answer.status == 200:
        return
    if answer.status is not None:
        _check_refusal(site, answer, name)
        return
    assert not site.has_got(name), (answer, site.ended_at)
    late = not answer.refused and answer.ended_at - answer.sent_at > ROUND_TRIP_SECONDS
    assert not late, (answer, site.ended_at)
