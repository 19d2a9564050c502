"""Steps for edge cases of a stop: exact times, grace times, process failures."""

import asyncio
import math
import os
from functools import partial
from unittest import mock

from behave import given, then, when
from running_router import (
    BEFORE_SIGNAL_SECONDS,
    LATE_DEADLINE,
    PREPAID,
    ROUND_TRIP_SECONDS,
    encode_request,
    make_plain,
    make_silence,
    make_stream,
    run_until_stopped,
    send_on_new_connection,
)

from ibisport_bench.memory_transport import Link
from ibisport_bench.standins.memory_store import ANSWER_SECONDS, MemoryService
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.membership import MEMBER_PREFIX, Membership
from ibisport_fleet.shutdown import plan_shutdown

UNLIST_SECONDS = 0.5
# Resolution of the virtual clock, seconds.
CLOCK_STEP = math.ulp(20.0)


@when('one of its background tasks fails while a stream of {seconds:g} s runs')
def fail_task_during_stream(context, seconds):
    async def act(site):
        await site.wait_until(-seconds)
        task = send_on_new_connection(site, encode_request('stream', 'early'))
        site.fail_task()
        return [await task]

    context.site, context.answers = run_until_stopped([make_stream(seconds)], act)


@then('the process has ended by itself and reports that it failed')
def check_failed(context):
    assert context.site.failed and not context.site.killed, context.site.ended_at


def _list_times(step, first, last):
    count = round((last - first) / step)
    return [first + step * number for number in range(count + 1)]


@when(
    'the router is told to stop, writes take {write:g} s, and the last byte of a '
    'request arrives at each {step:g} s from {first:g} to {last:g} s'
)
def complete_request_during_write(context, write, step, first, last):
    async def act(site, moment):
        await _open_account_and_slow_store(site, write)
        await site.wait_until(1.0)
        request = encode_request('once', 'late', 'Deadline-Ms: 250\r\n')
        return await send_on_new_connection(site, request[:-1], request[-1:], moment)

    context.runs = [
        run_until_stopped(
            [make_plain(), make_silence()], partial(act, moment=moment), PREPAID
        )
        for moment in _list_times(step, first, last)
    ]


@when(
    "the router is told to stop, writes take {write:g} s, and a caller's connection "
    'arrives in the event loop iteration {seconds:g} s after the signal'
)
def connect_during_last_check(context, write, seconds):
    async def act(site, moment):
        await _open_account_and_slow_store(site, write)
        await site.wait_until(moment)
        return await send_on_new_connection(
            site, encode_request('once', 'late', LATE_DEADLINE)
        )

    context.runs = [
        run_until_stopped(
            [make_plain(), make_silence()], partial(act, moment=moment), PREPAID
        )
        for moment in _list_adjacent_times(seconds - Link().delay)
    ]


def _list_adjacent_times(moment):
    """Return times adjacent to a time: sums are rounded, so one of them is exact."""
    return [moment + number * CLOCK_STEP for number in range(-8, 9)]


async def _open_account_and_slow_store(site, write):
    """Make the router open an account by using tokens, then slow the store down."""
    await site.wait_until(-1.0)
    await send_on_new_connection(
        site, encode_request('once', 'early', 'Token-Usage: 90,10\r\n')
    )
    await site.wait_until(0.0)
    site.service.faults.slow = write / ANSWER_SECONDS


@then('each that the router has read is answered, and none is run and cut off')
def check_read_requests_answered(context):
    unanswered = [
        (answer, site.ended_at)
        for site, answer in context.runs
        if not (answer.refused or answer.whole or _crossed_close(site, answer))
    ]
    assert not unanswered, unanswered


@when(
    'the signal arrives while the process is paused for {paused:g} s, and another '
    'stream is requested {seconds:g} s after that'
)
def stop_while_paused(context, paused, seconds):
    async def act(site):
        await site.wait_until(BEFORE_SIGNAL_SECONDS)
        early = send_on_new_connection(site, encode_request('stream', 'early'))
        await site.wait_until(paused + seconds)
        return await early, await send_on_new_connection(
            site, encode_request('stream', 'late')
        )

    replies = [make_stream(context.lengths[0])]
    context.site, context.answers = run_until_stopped(replies, act, stands_still=paused)


@when('a stop is planned with a grace time of {grace:g} s')
def plan_stop(context, grace):
    context.grace = grace
    context.shutdown = plan_shutdown(100.0, grace)


@then('its times are in order, and final answers are sent within its last sixth')
def check_planned_times(context):
    planned = context.shutdown
    killed_at = planned.begun_at + context.grace
    times = [
        planned.begun_at,
        planned.accepts_until,
        planned.listening_until,
        planned.settlement_at,
        planned.answers_until,
        planned.ends_at,
        killed_at,
    ]
    assert times == sorted(times), times
    assert killed_at - planned.answers_until <= context.grace / 6, planned


@when(
    'the router is told to stop with a grace time of {grace:g} s as the timeout of a '
    'request expires'
)
def stop_at_request_timeout(context, grace):
    request = encode_request('once', 'short', 'Deadline-Ms: 999\r\n')

    async def act(site, moment):
        # Arrives one millisecond later, so it times out in the loop iteration of the
        # signal.
        await site.wait_until(moment)
        return await send_on_new_connection(site, request)

    with mock.patch('running_router.GRACE_SECONDS', grace):
        context.runs = [
            run_until_stopped(context.replies, partial(act, moment=moment))
            for moment in _list_adjacent_times(-1.0)
        ]


@then('each process has ended by itself')
def check_all_ended(context):
    killed = [answer for site, answer in context.runs if site.killed]
    assert not killed, killed


@given('a router in the list of routers')
def create_store(context):
    context.service = MemoryService()


@when('it leaves in the middle of a renewal that takes {seconds:g} s')
def leave_during_renewal(context, seconds):
    async def run():
        loop = asyncio.get_running_loop()
        log = EventLog(os.open(os.devnull, os.O_WRONLY))
        store = context.service.open_store('a')
        member = Membership('a', ('a', 0), store, log, loop.time)
        member.may_lend = True
        task = loop.create_task(member.run())
        await asyncio.sleep(1.0)
        assert _list_members(context.service)
        context.service.faults.slow = seconds / ANSWER_SECONDS
        # The next renewal starts 1.5 s after the first one has ended.
        await asyncio.sleep(0.6)
        member.leave()
        await asyncio.sleep(UNLIST_SECONDS + seconds)
        context.members = _list_members(context.service)
        task.cancel()

    run_virtually(run())


@then('it is off the list {seconds:g} s later')
def check_off_list(context, seconds):
    assert seconds == UNLIST_SECONDS
    assert not context.members, context.members


@when('it leaves while the store is down for {seconds:g} s')
def leave_during_outage(context, seconds):
    async def run():
        loop = asyncio.get_running_loop()
        log = EventLog(os.open(os.devnull, os.O_WRONLY))
        service = context.service
        member = Membership('a', ('a', 0), service.open_store('a'), log, loop.time)
        member.may_lend = True
        task = loop.create_task(member.run())
        await asyncio.sleep(1.0)
        assert _list_members(service)
        service.faults.down = True
        calls_before = service.calls
        member.leave()
        await asyncio.sleep(seconds)
        context.calls = service.calls - calls_before
        service.faults.down = False
        await asyncio.sleep(UNLIST_SECONDS)
        context.members = _list_members(service)
        task.cancel()

    run_virtually(run())


@then(
    'it has called the store at most {maximum:d} times, and is off the list when the '
    'store is back'
)
def check_store_calls(context, maximum):
    assert context.calls <= maximum, context.calls
    assert not context.members, context.members


def _list_members(service):
    return [key for key in service.items if key.startswith(MEMBER_PREFIX)]


def _crossed_close(site, answer):
    """Return whether the close crossed the request, so that it was never read."""
    duration = answer.ended_at - answer.sent_at
    return duration <= ROUND_TRIP_SECONDS and not site.has_got('late')
