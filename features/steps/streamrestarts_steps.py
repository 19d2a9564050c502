"""Steps on streams that callers resume after routers were restarted."""

import asyncio
import itertools
import operator
from functools import partial
from types import SimpleNamespace

from behave import given, then, when
from fleet_targets import EVENT_INTERVAL_SECONDS, TARGET_PREFIX
from running_fleet import RESTART_SECONDS
from streamversions_steps import call_all, count_records, play

from ibisport_bench.standins.memory_store import ANSWER_SECONDS
from ibisport_fleet.stream_versions.build_page import PAGE_KEY, decode_page

# From the start of the streams to the signal: some events, and less than a stream.
BEFORE_SIGNAL_SECONDS = 4.0
# Callers come back this often until their deadline, the time limit of the route.
RETURN_INTERVAL_SECONDS = 0.4
# Of those that a router which is cut off begins at the targets that still serve.
MIN_STREAMS = 5
# Other callers give up earlier.
MAX_RETURNS = 2
RELEASE_SECONDS = 5.0
POLL_SECONDS = 0.01
# Leases are renewed within this time.
RENEWED_SECONDS = 3.0


@given('events that are {seconds:g} s apart')
def slow_down(context, seconds):
    context.event_factor = seconds / EVENT_INTERVAL_SECONDS


@given('streams that may last {limit:d} s, with events that are {seconds:g} s apart')
def let_streams_last(context, limit, seconds):
    context.stream_limit = limit
    slow_down(context, seconds)


@given('a site that starts for the first time')
def start_first(context):
    context.first_start = True


@given('all targets have restarted as {version}, and {seconds:d} s have passed')
def release_before(context, version, seconds):
    context.released = version
    context.listed_seconds = seconds


@given('a second route to the service with a time limit of {seconds:d} s')
def add_route(context, seconds):
    context.long_limit = seconds


@when(
    'all routers get {signal} in turn, {gap:g} s apart, '
    'and {count:d} streams run at the last'
)
def roll(context, signal, gap, count):
    async def act(fleet, caller):
        await _prepare(context, fleet)
        before_last = gap * (len(fleet.routers) - 1)
        begins_at = fleet.now + max(0.0, before_last - BEFORE_SIGNAL_SECONDS)
        streams = asyncio.ensure_future(_run_streams(fleet, caller, begins_at, count))
        await asyncio.sleep(max(0.0, BEFORE_SIGNAL_SECONDS - before_last))
        await _restart_in_turn(fleet, signal, gap)
        return await streams

    play(context, act)


async def _restart_in_turn(fleet, signal, gap):
    """Restart all routers, one begun some seconds after the other."""
    restarts = []
    for router in fleet.routers:
        restarts.append(asyncio.ensure_future(router.restart(signal)))
        await asyncio.sleep(gap)
    await asyncio.gather(*restarts)


async def _run_streams(fleet, caller, begins_at, count):
    """Begin streams at the last router, and resume them at any that runs."""
    await asyncio.sleep(begins_at - fleet.now)
    last = fleet.routers[-1]
    return await call_all(
        fleet,
        (move(fleet, caller, last, number, MAX_RETURNS) for number in range(count)),
    )


async def _prepare(context, fleet):
    for target in fleet.targets:
        target.event_factor = context.event_factor if 'event_factor' in context else 1
        if 'released' in context:
            target.software_version = context.released
            target.crash(RESTART_SECONDS)
    if 'store_slowdown' in context:
        fleet.service.faults.slow = context.store_slowdown
    if 'listed_seconds' in context:
        await asyncio.sleep(context.listed_seconds)


def _begin_everywhere(fleet, caller, count, interval=RETURN_INTERVAL_SECONDS):
    """Begin streams at all routers in turn; each is resumed until it is whole."""
    places = itertools.cycle(fleet.routers)
    return call_all(
        fleet,
        (
            move(fleet, caller, router, number, interval=interval)
            for number, router in zip(range(count), places, strict=False)
        ),
    )


async def move(
    fleet, caller, first, number, max_returns=None, interval=RETURN_INTERVAL_SECONDS
):
    """Begin a stream, and resume it at the routers in turn until it is whole.

    Args:
        fleet: The fleet.
        caller: The callers.
        first: Router at which it begins.
        number: Number of the router at which it is resumed first.
        max_returns: How often it is resumed at the most; None: until its deadline.
        interval: Seconds from one try to the next.
    """
    limits = [route.time_limit for route in fleet.catalogue.routes]
    deadline = fleet.now + max(limits)
    stream = await caller.begin(first)
    routers = itertools.cycle(fleet.routers)
    for router in itertools.islice(routers, number, None):
        returns = len(stream.statuses) - 1
        if stream.is_whole or fleet.now > deadline or returns == max_returns:
            return stream
        if router.ready:
            await caller.resume(router, stream)
        await asyncio.sleep(interval)


@given('a store that takes {milliseconds:d} ms for an answer')
def slow_store(context, milliseconds):
    context.store_slowdown = milliseconds / 1_000 / ANSWER_SECONDS


@given('callers that name no stream')
def name_no_stream(context):
    context.names_streams = False


@when('all routers are killed at once under {count:d} streams')
def kill_all(context, count):
    _kill_all(context, count, None)


@when(
    'all routers are killed at once under {count:d} streams, '
    'and callers return when ready'
)
def kill_all_and_poll(context, count):
    _kill_all(context, count, None, POLL_SECONDS)


@when('all routers are killed at once under {count:d} streams, after {event}')
def kill_all_after(context, count, event):
    _kill_all(context, count, None, event=event)


@then('each caller came back once')
def check_returns(context):
    for stream in context.streams:
        assert stream.is_whole and stream.statuses == [200, 200], stream


@when(
    'all routers are killed at once under {count:d} streams, '
    'and {version} takes over meanwhile'
)
def kill_all_in_release(context, count, version):
    _kill_all(context, count, version)


def _kill_all(
    context, count, version, interval=RETURN_INTERVAL_SECONDS, event='nothing'
):
    async def act(fleet, caller):
        await _prepare(context, fleet)
        if 'names_streams' in context:
            caller.resume = partial(caller.resume, resumes=None)
        streams = _begin_everywhere(fleet, caller, count, interval)
        await asyncio.sleep(BEFORE_SIGNAL_SECONDS)
        await _pass_event(fleet, event)
        down_seconds = RESTART_SECONDS
        if version is not None:
            down_seconds = RELEASE_SECONDS
            for target in fleet.targets:
                target.software_version = version
                target.crash(RESTART_SECONDS)
        await fleet.restart_routers(down_seconds)
        moved = await streams
        context.records = [count_records(router) for router in fleet.routers]
        return moved

    play(context, act)


async def _pass_event(fleet, event):
    if event == 'the end of leases':
        fleet.service.end_leases()
        await asyncio.sleep(RENEWED_SECONDS)
    elif event.endswith('quiet seconds'):
        await asyncio.sleep(float(event.split()[0]))


@when(
    'the store drops its history under {count:d} streams at a router, '
    'which is killed later'
)
def drop_history(context, count):
    async def act(fleet, caller):
        await _prepare(context, fleet)
        first = fleet.routers[0]
        streams = call_all(
            fleet, (move(fleet, caller, first, number + 1) for number in range(count))
        )
        await asyncio.sleep(BEFORE_SIGNAL_SECONDS / 2)
        await _lose_history(fleet)
        first.kill()
        return await streams

    play(context, act)


async def _lose_history(fleet):
    """Let each watch find its history gone once, so that all routers list anew."""

    def count_listings():
        return [router.router._targets.listings for router in fleet.routers]

    known = count_listings()
    fleet.service.compacted_revision = fleet.service.revision + 1
    async with asyncio.timeout(RENEWED_SECONDS):
        while any(map(operator.eq, known, count_listings())):
            await asyncio.sleep(POLL_SECONDS)
    fleet.service.revision += 1


@then('each router has at most {count:d} records of streams')
def check_records(context, count):
    assert 0 < max(context.records) <= count, context.records


@when('routers get {signal} in turn, {gap:g} s apart, under {count:d} streams')
def restart_under_streams(context, signal, gap, count):
    async def act(fleet, caller):
        await _prepare(context, fleet)
        streams = _begin_everywhere(fleet, caller, count)
        await asyncio.sleep(gap)
        await _restart_in_turn(fleet, signal, gap)
        return await streams

    play(context, act)


@when(
    'a router is cut off for {seconds:d} s while {version} takes over, '
    'and all are killed at once'
)
def kill_after_cut(context, seconds, version):
    async def act(fleet, caller):
        await _prepare(context, fleet)
        cut_off = fleet.routers[0]
        fleet.service.faults.cut.add(cut_off.host)
        for target in fleet.targets[::2]:
            target.software_version = version
            target.crash(RESTART_SECONDS)
        for target in fleet.targets[1::2]:
            target.remove_entry()
        await asyncio.sleep(seconds)
        streams = call_all(
            fleet, (move(fleet, caller, cut_off, number) for number in range(20))
        )
        await asyncio.sleep(BEFORE_SIGNAL_SECONDS)
        fleet.service.faults.cut.clear()
        await fleet.restart_routers(RESTART_SECONDS)
        return [stream for stream in await streams if 'v1' in stream.versions]

    play(context, act)
    assert len(context.streams) >= MIN_STREAMS, context.streams


@when('the targets of {version} {change}, and {seconds:d} s pass')
def pass_time(context, version, change, seconds):
    words = change.split()
    away_seconds = int(words[2]) if len(words) > 1 else seconds

    async def act(fleet, caller):
        leaving = [
            target for target in fleet.targets if target.software_version == version
        ]
        if words[0] == 'leave':
            for target in leaving:
                fleet.service.remove(TARGET_PREFIX + target.incarnation)
        await asyncio.sleep(away_seconds)
        if away_seconds < seconds:
            for target in leaving:
                target.write_entry()
        await asyncio.sleep(seconds - away_seconds)
        context.versions_on_page = _read_versions(fleet)
        return []

    play(context, act)


@then('the page has {versions}')
def check_page(context, versions):
    assert context.versions_on_page == set(versions.split()), context.versions_on_page


def _read_versions(fleet):
    item = fleet.service.items.get(PAGE_KEY)
    builds = () if item is None else decode_page(item).builds
    return {build.version for build in builds}


@when(
    'targets of {version} start while the store answers no write for {seconds:g} s, '
    'and streams begin'
)
def start_behind_slow_writes(context, version, seconds):
    async def act(fleet, caller):
        context.page = SimpleNamespace(recorded_at=None)
        watching = asyncio.ensure_future(_watch_page(fleet, version, context.page))
        fleet.service.faults.refuse_writes = True
        for target in fleet.targets[::2]:
            target.software_version = version
            target.crash(RESTART_SECONDS)
        fleet.net.call_later(
            seconds, setattr, fleet.service.faults, 'refuse_writes', False
        )
        until = fleet.now + 2 * seconds
        streams = []
        while fleet.now < until:
            router = fleet.routers[len(streams) % len(fleet.routers)]
            streams.append(fleet.call(caller.begin(router)))
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        watching.cancel()
        return await asyncio.gather(*streams)

    play(context, act)
    new = {target.incarnation for target in context.fleet.targets[::2]}
    context.begins = [
        arrival.at for arrival in context.fleet.arrivals if arrival.target in new
    ]


async def _watch_page(fleet, version, page):
    """Record the moment of the write that puts a version on the page."""
    while version not in _read_versions(fleet):
        await fleet.service.wait_for_change(fleet.service.revision, POLL_SECONDS)
    page.recorded_at = fleet.now


@then('no stream began at {version} before it was on the page')
def check_begins(context, version):
    early = [at for at in context.begins if at < context.page.recorded_at]
    assert not early, (len(early), context.page)


@then('streams began at {version} later')
def check_later(context, version):
    assert any(version in stream.versions for stream in context.streams)


@when('streams begin and end at all routers for {seconds:g} s')
def begin_and_end(context, seconds):
    async def act(fleet, caller):
        await _prepare(context, fleet)
        until = fleet.now + seconds
        streams = []
        while fleet.now < until:
            router = fleet.routers[len(streams) % len(fleet.routers)]
            streams.append(fleet.call(caller.begin(router)))
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        return await asyncio.gather(*streams)

    play(context, act)


@then('all routers run on, and all streams are whole')
def check_running(context):
    assert all(router.ready for router in context.fleet.routers)
    broken = [stream for stream in context.streams if not stream.is_whole]
    assert not broken, (len(broken), broken[:2])


@when('all routers restart in turn, and targets of {version} start')
def restart_and_release(context, version):
    async def act(fleet, caller):
        for router in fleet.routers:
            await router.restart('SIGKILL')
            await asyncio.sleep(RELEASE_SECONDS)
        for target in fleet.targets[::2]:
            target.software_version = version
            target.crash(RESTART_SECONDS)
        await asyncio.sleep(RELEASE_SECONDS)
        context.writes = sum(change.key == PAGE_KEY for change in fleet.service.history)
        assert version in _read_versions(fleet)
        return []

    play(context, act)


@then('the page was written at most {count:d} times')
def check_writes(context, count):
    assert 2 <= context.writes <= count, context.writes
