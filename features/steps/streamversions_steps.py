"""Steps on streams that go on beside targets of other software versions."""

import asyncio
import re
from dataclasses import replace
from functools import partial

from behave import given, then, when
from copying_engines import ENGINE, OBJECTIVE_SECONDS
from fleet_targets import EVENT_INTERVAL_SECONDS, register_as, register_restart
from running_fleet import CATALOGUE_KEY, run_fleet
from running_router import make_route
from stream_callers import StreamCaller

from ibisport_bench.memory_transport import Link
from ibisport_fleet.catalogue import RouteKind, Service, ServiceShare
from ibisport_fleet.settings import Feature

SETTLED_SECONDS = 6.0
RESTART_SECONDS = 1.0
CUT_OFF_STREAMS = 20
SILENT = Link(delay=1_000.0)
# The Resumes header that a caller sends, or None, by its name in scenarios.
HEADERS = {
    'its first request': lambda stream: stream.name,
    'no Resumes': lambda stream: None,
    'an empty Resumes': lambda stream: '',
    'a Resumes that nobody knows': lambda stream: 'x' + stream.name,
    'a Resumes of 3,000 bytes': lambda stream: 'x' * 3_000,
}
NAMES_SENT = {
    'streams': lambda stream: stream.name,
    'streams without a name': lambda stream: None,
}


@given(
    '{routers:d} routers, and {targets:d} targets of each of the versions '
    '{first} and {second}'
)
def prepare_fleet(context, routers, targets, first, second):
    context.sizes = routers, 2 * targets
    context.second_service = None
    context.versions = [version for _ in range(targets) for version in (first, second)]


@given('engines that copy runs, of the versions {versions}')
def use_copies(context, versions):
    context.versions = versions.split()
    context.copies = True


def _use_engines(catalogue):
    route = replace(
        make_route('stream', RouteKind.stream, resumable=False),
        objective=OBJECTIVE_SECONDS,
    )
    service = replace(catalogue.services['svc'], engine=ENGINE)
    return replace(catalogue, routes=(route,), services={'svc': service})


def play(context, act):
    """Run a coroutine on the fleet; keep the streams that it returns."""

    def set_versions(fleet):
        fleet.first_start = 'first_start' in context
        if 'copies' in context:
            fleet.features = frozenset((Feature.copies,))
            fleet.catalogue = _use_engines(fleet.catalogue)
        for target, version in zip(fleet.targets, context.versions, strict=True):
            target.software_version = version
            if version == context.second_service:
                target.service = 'svc2'
        if context.second_service:
            fleet.catalogue = _use_services(fleet.catalogue)
        if 'stream_limit' in context:
            fleet.catalogue = _limit_streams(fleet.catalogue, context.stream_limit)
        if 'long_limit' in context:
            fleet.catalogue = _add_route(fleet.catalogue, context.long_limit)

    async def run(fleet):
        context.streams = await act(fleet, StreamCaller(fleet))

    context.fleet = run_fleet(run, *context.sizes, change_fleet=set_versions)


def _limit_streams(catalogue, time_limit):
    routes = [
        replace(route, time_limit=time_limit)
        if route.kind is RouteKind.stream
        else route
        for route in catalogue.routes
    ]
    return replace(catalogue, routes=tuple(routes))


def _add_route(catalogue, time_limit):
    route = make_route('long', RouteKind.stream, resumable=True, time_limit=time_limit)
    return replace(catalogue, routes=(*catalogue.routes, route))


def call_all(fleet, coroutines):
    """Run coroutines on the callers' host; return their results."""
    return asyncio.gather(*(fleet.call(coroutine) for coroutine in coroutines))


async def wait_for_events(count):
    """Wait until shortly after targets have sent some events."""
    await asyncio.sleep(EVENT_INTERVAL_SECONDS * (count + 0.5))


@when('targets break off {count:d} streams after {events:d} events')
def break_off(context, count, events):
    async def act(fleet, caller):
        streams = []
        for _ in range(count // len(fleet.routers)):
            begun = call_all(fleet, map(caller.begin, fleet.routers))
            await wait_for_events(events)
            for target in fleet.targets:
                target.reset()
            streams += await begun
            # Targets are avoided for a while after a break.
            await asyncio.sleep(SETTLED_SECONDS)
        return streams

    play(context, act)


@when(
    'callers drop {count:d} streams after {events:d} events '
    'and resume them at other routers'
)
def drop_and_resume(context, count, events):
    async def act(fleet, caller):
        async def move(number):
            first = fleet.routers[number % len(fleet.routers)]
            second = fleet.routers[(number + 1) % len(fleet.routers)]
            stream = await caller.begin(first, events)
            await caller.resume(second, stream)
            return stream

        return await call_all(fleet, map(move, range(count)))

    play(context, act)


@when('routers are killed under {count:d} streams after {events:d} events')
def kill_routers(context, count, events):
    async def act(fleet, caller):
        async def move(killed, number):
            stream = await caller.begin(killed)
            others = [router for router in fleet.routers if router is not killed]
            await caller.resume(others[number % len(others)], stream)
            return stream

        streams = []
        for router in fleet.routers:
            numbers = range(count // len(fleet.routers))
            begun = call_all(fleet, (move(router, number) for number in numbers))
            await wait_for_events(events)
            router.kill()
            streams += await begun
            router.start()
            await asyncio.sleep(SETTLED_SECONDS)
        return streams

    play(context, act)


@when(
    'a router is cut off from the store, the targets restart as {version}, '
    'and {streams} are resumed there'
)
def cut_off_router(context, version, streams):
    async def act(fleet, caller):
        if 'listed_seconds' in context:
            await asyncio.sleep(context.listed_seconds)
        fleet.service.faults.cut.add(fleet.routers[0].host)
        for target in fleet.targets[: len(fleet.targets) // 2]:
            target.software_version = version
            target.crash(RESTART_SECONDS)
        await asyncio.sleep(SETTLED_SECONDS)
        return await call_all(
            fleet, (move(fleet, caller, 2) for _ in range(CUT_OFF_STREAMS))
        )

    async def move(fleet, caller, events):
        stream = await caller.begin(fleet.routers[1], events)
        await caller.resume(fleet.routers[0], stream, NAMES_SENT[streams](stream))
        return stream

    play(context, act)


@when('targets crash under {count:d} streams after {events:d} events')
def crash_targets(context, count, events):
    async def act(fleet, caller):
        streams = []
        for number in range(count):
            router = fleet.routers[number % len(fleet.routers)]
            begun = fleet.call(caller.begin(router))
            await wait_for_events(events)
            for target in find_running(fleet):
                target.crash(RESTART_SECONDS)
            streams.append(await begun)
            await asyncio.sleep(SETTLED_SECONDS)
        return streams

    play(context, act)


def find_running(fleet):
    """Return the target that the last request reached, in a list."""
    last = fleet.arrivals[-1].target
    return [target for target in fleet.targets if target.incarnation == last]


@when('the targets restart under their ids as {version} within a stream')
def restart_under_ids(context, version):
    async def act(fleet, caller):
        begun = fleet.call(caller.begin(fleet.routers[0]))
        await wait_for_events(2)
        for target in fleet.targets:
            register_restart(target, version)
        return [await begun]

    play(context, act)


@when('all targets of the version of a stream end within it')
def end_version(context):
    async def act(fleet, caller):
        begun = fleet.call(caller.begin(fleet.routers[0]))
        await wait_for_events(2)
        ended = find_running(fleet)[0].software_version
        for target in fleet.targets:
            if target.software_version == ended:
                target.crash(2 * SETTLED_SECONDS)
        ended_at = fleet.now
        stream = await begun
        context.seconds = fleet.now - ended_at
        return [stream]

    play(context, act)


@then('the caller gets no event after the restart was known')
def check_no_event(context):
    stream = context.streams[0]
    assert 2 <= len(stream.events) <= 3 and len(stream.versions) == 1, stream


@then('the stream breaks off within {seconds:g} s')
def check_break(context, seconds):
    stream = context.streams[0]
    assert not stream.is_whole and len(stream.versions) == 1, stream
    assert context.seconds <= seconds, context.seconds


@then('at least one of the streams went on at a copy')
def check_copies(context):
    assert any(stream.is_whole for stream in context.streams), context.streams[:3]
    assert context.fleet.continuations


@then('none of the streams went on at a copy')
def check_no_copy(context):
    assert not context.fleet.continuations, context.fleet.continuations


@given('the versions have been listed for {seconds:d} s')
def wait_before(context, seconds):
    context.listed_seconds = seconds


@given('the store has been down for {seconds:d} s')
def stop_store(context, seconds):
    context.store_down_seconds = seconds


@given('a router that has restarted {seconds:d} s ago')
def restart_router(context, seconds):
    context.restarted_seconds = seconds


@given('the targets of {version} belong to a second service of the route')
def split_route(context, version):
    context.second_service = version


@given('the route is moved away from the first service while streams are away')
def move_route(context):
    context.moves_route = True


@given('callers that use one id for all streams')
def use_one_id(context):
    context.name = 'same'


@given('a router that is cut off from the other routers')
def cut_links(context):
    context.cut_links = True


@when('streams are resumed at {place} router with {header}')
def resume_with(context, place, header):
    name = context.name if 'name' in context else None

    async def act(fleet, caller):
        first = fleet.routers[0 if place == 'the same' else 1]
        await _disturb(context, fleet)
        begins = (caller.begin(first, 2, name) for _ in range(CUT_OFF_STREAMS))
        streams = await call_all(fleet, begins)
        context.runs = len(fleet.arrivals)
        if 'moves_route' in context:
            await _move_route(fleet)
        named = map(HEADERS[header], streams)
        await call_all(
            fleet, map(partial(caller.resume, fleet.routers[0]), streams, named)
        )
        return streams

    play(context, act)


async def _disturb(context, fleet):
    if 'listed_seconds' in context:
        await asyncio.sleep(context.listed_seconds)
    if 'store_down_seconds' in context:
        fleet.service.faults.down = True
        await asyncio.sleep(context.store_down_seconds)
    if 'restarted_seconds' in context:
        fleet.routers[0].kill()
        fleet.routers[0].start()
        await asyncio.sleep(context.restarted_seconds)
    if 'cut_links' in context:
        _cut_links(fleet, fleet.routers[0])


async def _move_route(fleet):
    """Publish a catalogue whose routes lead only to the second service."""
    routes = [
        replace(route, shares=(ServiceShare('svc2', 1.0),))
        for route in fleet.catalogue.routes
    ]
    fleet.catalogue = replace(fleet.catalogue, version=2, routes=tuple(routes))
    fleet.service.put(CATALOGUE_KEY, b'')
    await asyncio.sleep(1.0)


def _use_services(catalogue):
    shares = (ServiceShare('svc', 1.0), ServiceShare('svc2', 1.0))
    services = {name: Service(name, 100, None) for name in ('svc', 'svc2')}
    routes = [replace(route, shares=shares) for route in catalogue.routes]
    return replace(catalogue, routes=tuple(routes), services=services)


def _cut_links(fleet, router):
    for other in fleet.routers:
        if other is not router:
            fleet.net.links[router.host, other.host] = SILENT
            fleet.net.links[other.host, router.host] = SILENT


@then('each is refused with 503 within {seconds:g} s, {told}, and no target gets it')
def check_not_run(context, seconds, told):
    assert len(context.fleet.arrivals) == context.runs
    check_refused(context, seconds, told)


@then('each is refused with 503 within {seconds:g} s, {told} a Retry-After')
def check_refused(context, seconds, told):
    for stream in context.streams:
        assert stream.statuses[-1] == 503, stream
        assert stream.refused_after <= seconds, stream
        assert (stream.retry_after is not None) == (told.split()[0] == 'with')


@then('all streams are whole')
def check_all_whole(context):
    broken = [stream for stream in context.streams if not stream.is_whole]
    assert not broken, (len(broken), broken[:2])


@when('targets of {version} appear under streams, and their router is killed later')
def mix_under_streams(context, version):
    async def act(fleet, caller):
        await asyncio.sleep(context.listed_seconds)
        await _end_streams(fleet, caller)
        begun = call_all(
            fleet, (_move_on(fleet, caller) for _ in range(CUT_OFF_STREAMS))
        )
        await wait_for_events(2)
        register_as(fleet.targets[-1], version)
        await _begin_another(fleet, caller)
        context.records = [count_records(router) for router in fleet.routers]
        fleet.routers[0].kill()
        return await begun

    play(context, act)


@when(
    'targets of {version} appear under the last streams, '
    'and their router is killed later'
)
def mix_under_last_streams(context, version):
    async def act(fleet, caller):
        await asyncio.sleep(context.listed_seconds)
        begun = call_all(
            fleet, (_move_on(fleet, caller) for _ in range(CUT_OFF_STREAMS))
        )
        await wait_for_events(2)
        register_as(fleet.targets[-1], version)
        await wait_for_events(2)
        fleet.routers[0].kill()
        return await begun

    play(context, act)


async def _end_streams(fleet, caller):
    ended = [caller.begin(fleet.routers[0]) for _ in range(CUT_OFF_STREAMS)]
    await call_all(fleet, ended)


async def _move_on(fleet, caller):
    stream = await caller.begin(fleet.routers[0])
    await caller.resume(fleet.routers[1], stream)
    return stream


async def _begin_another(fleet, caller):
    """Begin a stream once both versions are listed, which tells of the others."""
    await wait_for_events(2)
    await fleet.call(caller.begin(fleet.routers[0], 1))


@then('others were told only of the streams that had not ended')
def check_told(context):
    in_progress = len(context.streams) + 1
    assert sum(context.records[1:]) == 2 * in_progress, context.records


@when('{count:d} streams begin')
def begin_streams(context, count):
    async def act(fleet, caller):
        await asyncio.sleep(context.listed_seconds)
        streams = await call_all(
            fleet, (caller.begin(fleet.routers[0]) for _ in range(count))
        )
        context.records = [count_records(router) for router in fleet.routers]
        return streams

    play(context, act)


def count_records(router):
    """Return the number of records of streams that a router has."""
    found = re.search(rb'{name="stream_records"} (\d+)', router.router._dump_metrics())
    return int(found.group(1))


@then('only the router that began them has records')
def check_no_records(context):
    assert context.records == [len(context.streams), 0, 0, 0], context.records


@then('each stream has a record at two other routers')
def check_records(context):
    own, *others = context.records
    assert (own, sum(others)) == (len(context.streams), 2 * own), context.records


@then('no caller holds events of two versions')
def check_versions(context):
    mixed = [stream for stream in context.streams if len(stream.versions) > 1]
    assert not mixed, (len(mixed), len(context.streams), mixed[:2])


@then('at least half of the streams are whole')
def check_whole(context):
    whole = sum(stream.is_whole for stream in context.streams)
    assert 2 * whole >= len(context.streams), (whole, context.streams[:5])


@then('only streams of the second service are whole')
def check_second_service(context):
    for stream in context.streams:
        expected = stream.versions == {context.second_service}
        assert stream.is_whole == expected, stream
        assert expected or stream.statuses[-1] == 503, stream
