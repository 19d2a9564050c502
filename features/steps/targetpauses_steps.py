"""Steps on targets that reject requests and ask for a pause."""

import asyncio
import os
import tempfile
from bisect import bisect_right

import msgspec
from behave import then, when
from running_fleet import START_SECONDS, make_body, run_fleet

from ibisport_fleet.event_log import EventLog
from ibisport_fleet.http_messages import AnswerHead
from ibisport_fleet.target_choice import TargetHealth
from ibisport_fleet.target_pauses import apply_pause
from ibisport_platform.headers import PlatformDialect

REQUEST_INTERVAL_SECONDS = 0.02
PAUSED_AFTER_SECONDS = 2.0
AFTERWARDS_SECONDS = 8.0
# Requests within this time after a rejection may have been sent before it arrived.
TOLD_GRACE_SECONDS = 0.5
MAX_SENDS_IN_PAUSE = 2
REJECT_STRIDES = {'every': 1, 'every second': 2}
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
RESTART_SECONDS = 4.0
MANY = 100
DATE = 'Wed, 21 Oct 2026 07:28:00 GMT'


def _run(context, pause, seconds, *, count=1, stride=1, restarts=False):
    async def reject(fleet):
        for target in fleet.targets:
            target.reports_load = True
        targets = fleet.targets[:count]
        await asyncio.sleep(PAUSED_AFTER_SECONDS)
        for target in targets:
            target.retry_after = b'%g' % pause
            target.rejects, target.reject_stride = True, stride
        await asyncio.sleep(seconds)
        for target in targets:
            target.rejects = False
            if restarts:
                target.crash()

    async def act(fleet):
        span = PAUSED_AFTER_SECONDS + seconds + pause + AFTERWARDS_SECONDS
        if restarts:
            span = PAUSED_AFTER_SECONDS + seconds + RESTART_SECONDS + AFTERWARDS_SECONDS
        await asyncio.gather(
            fleet.press(REQUEST_INTERVAL_SECONDS, span, make_body), reject(fleet)
        )

    context.pause = pause
    context.fleet = run_fleet(act, *context.size)
    context.ended_at = START_SECONDS + PAUSED_AFTER_SECONDS + seconds


@when(
    'one target rejects {which} request with a pause of {pause:g} seconds '
    'for {seconds:g} seconds'
)
def reject_at_one(context, which, pause, seconds):
    _run(context, pause, seconds, stride=REJECT_STRIDES[which])


@when(
    'all targets reject every request with a pause of {pause:g} seconds '
    'for {seconds:g} seconds'
)
def reject_at_all(context, pause, seconds):
    _run(context, pause, seconds, count=context.size[1])


@when('one target rejects every request with a pause of {pause:g} seconds and restarts')
def reject_and_restart(context, pause):
    _run(context, pause, 1.0, restarts=True)


@then(
    'no router sends it more than 2 requests from half a second after a rejection '
    'to the end of the pause'
)
def check_pauses(context):
    fleet = context.fleet
    assert fleet.pauses
    sends = {}
    for arrival in fleet.arrivals:
        sends.setdefault((arrival.router, arrival.target), []).append(arrival.at)
    for rejected_at, router, target in fleet.pauses:
        arrivals = sends[router, target]
        since = bisect_right(arrivals, rejected_at + TOLD_GRACE_SECONDS)
        until = bisect_right(arrivals, rejected_at + context.pause)
        assert until - since <= MAX_SENDS_IN_PAUSE, (until - since, router, rejected_at)


def _find_last_end(context):
    """Return when the last pause of any router ends."""
    return max(at for at, _, _ in context.fleet.pauses) + context.pause


@then('{seconds:g} seconds after the pause ends it gets half of an even share again')
def check_return(context, seconds):
    fleet = context.fleet
    since = _find_last_end(context) + seconds
    count, total = fleet.count_arrivals(fleet.targets[0], since)
    assert total
    assert count >= total / len(fleet.targets) / 2, (count, total)


def _find_largest_second(fleet, incarnation, since):
    """Return the maximum number of requests that reach a target within a second."""
    arrivals = [
        arrival.at
        for arrival in fleet.arrivals
        if arrival.target == incarnation and arrival.at >= since
    ]
    return max(
        number + 1 - bisect_right(arrivals, at - 1.0)
        for number, at in enumerate(arrivals)
    )


@then(
    'in no second after the pause it gets over {factor:g} times '
    'what any other target gets in one'
)
def check_burst(context, factor):
    fleet = context.fleet
    paused, *others = [target.incarnation for target in fleet.targets]
    largest = _find_largest_second(fleet, paused, context.ended_at)
    usual = max(
        _find_largest_second(fleet, other, START_SECONDS)
        for other in others
        if any(arrival.target == other for arrival in fleet.arrivals)
    )
    assert largest <= factor * usual, (largest, usual)


@then('no Retry-After time ends before the first pause, or a second after it')
def check_retry_after(context):
    fleet = context.fleet
    checked = 0
    for _, answer in fleet.answers:
        if answer.status != STATUS_UNAVAILABLE:
            continue
        ends = _list_known_ends(context, answer.ended_at)
        if ends is None:
            continue
        back_at = answer.ended_at + float(answer.headers[b'retry-after'])
        assert min(ends) - 0.02 <= back_at <= min(ends) + 1.0, (back_at, min(ends))
        checked += 1
    assert checked


def _list_known_ends(context, now):
    """Return the ends of pauses at all targets, or None if not all routers know them.

    Only answers are compared whose targets are paused at every router.
    """
    fleet = context.fleet
    ends = {}
    for at, router, target in fleet.pauses:
        if at <= now - TOLD_GRACE_SECONDS:
            ends[router, target] = at + context.pause
    if len(ends) < len(fleet.routers) * len(fleet.targets):
        return None
    if min(ends.values()) <= now:
        return None
    by_router = {}
    for (router, _), end in ends.items():
        by_router.setdefault(router, []).append(end)
    first = [min(router_ends) for router_ends in by_router.values()]
    return first if max(first) - min(first) < TOLD_GRACE_SECONDS else None


@then('its new incarnation gets half of an even share')
def check_new_incarnation(context):
    fleet = context.fleet
    target = fleet.targets[0]
    since = context.ended_at + RESTART_SECONDS + 2.0
    count, total = fleet.count_arrivals(target, since)
    assert target.incarnation.endswith('-2')
    assert count >= total / len(fleet.targets) / 2, (count, total)


@when(
    'answers ask for pauses of {first:g} and {second:g} seconds, '
    'and requests from before succeed'
)
def apply_two(context, first, second):
    context.health = TargetHealth()
    context.health.pause_until(first)
    context.health.record_success()
    context.health.pause_until(1.0 + second)
    context.health.record_success()


@then('the target is paused for {seconds:g} seconds after the first answer')
def check_longest(context, seconds):
    assert context.health.is_paused(seconds - 0.01)
    assert not context.health.is_paused(seconds + 0.01)


@when('a target that was paused is sent requests as long as it is available')
def prepare_paused(context):
    context.health = TargetHealth()
    context.health.pause_until(3.0)


def _send_while_available(health):
    while health.is_available(4.0) and health.awaiting < MANY:
        health.awaiting += 1
    return health.awaiting


def _answer(health, count):
    for _ in range(count):
        health.record_accepted(4.0)


@then('1 request waits at first, 2 after an answer and 4 after three answers')
def check_ramp(context):
    health = context.health
    assert _send_while_available(health) == 1
    _answer(health, 1)
    assert _send_while_available(health) == 2
    _answer(health, 2)
    assert _send_while_available(health) == 4


@then('after {count:d} answers their number is not limited')
def check_ramp_end(context, count):
    _answer(context.health, count)
    assert _send_while_available(context.health) == MANY


@when('answers ask for pauses of "-1", "soon", "nan", "inf", "1e12" and a date')
def apply_invalid(context):
    context.lines = []
    context.ends = []
    for value in ('-1', 'soon', 'nan', 'inf', '1e12', DATE):
        head = AnswerHead(503, ((b'retry-after', value.encode()),), True, True)
        metadata = PlatformDialect().decode_answer(head)
        with tempfile.TemporaryFile() as file:
            health = TargetHealth()
            log = EventLog(os.dup(file.fileno()))
            apply_pause(metadata.pause, 'i-1', health, 10.0, log)
            apply_pause(metadata.pause, 'i-1', health, 10.1, log)
            file.seek(0)
            context.lines.append(file.read().splitlines())
        context.ends.append(health.paused_until)


@then('each pause lasts {seconds:g} seconds and is logged once as unreadable')
def check_invalid(context, seconds):
    assert all(10.0 + seconds <= end <= 10.1 + seconds for end in context.ends)
    for lines in context.lines:
        assert len(lines) == 1, lines
        event = msgspec.json.decode(lines[0])
        assert event['message_type'] == 'target_paused', event
        assert event['readable'] is False, event
