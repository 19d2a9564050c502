"""Steps on requests that crash targets."""

import asyncio

from behave import given, then, when
from fleet_targets import FATAL, SLOW
from running_fleet import CONVERGENCE_SECONDS, START_SECONDS, run_fleet

from ibisport_bench.memory_transport import Link
from ibisport_fleet.quarantine.policy import CRASH_THRESHOLD

OTHERS_INTERVAL_SECONDS = 0.08
FATAL_INTERVAL_SECONDS = 0.25
DOWN_SECONDS = 3.0
CUT_AFTER_SECONDS = 0.5
CRASH_INTERVAL_SECONDS = 1.0
CRASHES = 8
# Resets come so often that a slow stream never completes between them.
RESETS = 20
RESET_INTERVAL_SECONDS = 0.4
SETTLING_SECONDS = 8.0
HARMLESS = b'the same each time'
SILENT = Link(delay=1_000_000.0)
STATUS_OK = 200


def _make_other(number):
    return b'other %d' % number


def _run_beside(context, seconds, disturb):
    """Send the fatal request and distinct other requests during a disturbance."""

    async def act(fleet):
        await asyncio.gather(
            fleet.press(FATAL_INTERVAL_SECONDS, seconds, FATAL),
            fleet.press(OTHERS_INTERVAL_SECONDS, seconds, _make_other),
            disturb(fleet),
        )

    context.fleet = run_fleet(act, *context.size)


async def _disturb_nothing(fleet):
    """Cause no disturbance."""


@given('{routers:d} routers and {targets:d} targets')
def keep_size(context, routers, targets):
    context.size = routers, targets


@when('a fatal request comes 4 times per second for {seconds:d} seconds')
def send_fatal(context, seconds):
    _run_beside(context, seconds, _disturb_nothing)


@when(
    'a fatal request comes 4 times per second for {seconds:d} seconds '
    'and all routers are killed after {after:d}'
)
def send_and_kill(context, seconds, after):
    async def restart(fleet):
        await asyncio.sleep(after)
        await fleet.restart_routers(DOWN_SECONDS)

    _run_beside(context, seconds, restart)


@when(
    'a fatal request comes 2 times per second for {seconds:d} seconds '
    'and a router is killed every {interval:g} seconds'
)
def send_and_restart_in_turn(context, seconds, interval):
    async def restart_in_turn(fleet):
        for number in range(int(seconds / interval)):
            await asyncio.sleep(interval)
            router = fleet.routers[number % len(fleet.routers)]
            router.kill()
            router.start()

    async def act(fleet):
        pressing = fleet.press(2 * FATAL_INTERVAL_SECONDS, seconds, FATAL, 'once')
        await asyncio.gather(pressing, restart_in_turn(fleet))

    context.fleet = run_fleet(act, *context.size)


@when(
    'a fatal request comes 4 times per second for {seconds:d} seconds '
    'while the store is down'
)
def send_without_store(context, seconds):
    async def close_store(fleet):
        fleet.service.faults.down = True

    _run_beside(context, seconds, close_store)


@when(
    'a fatal request comes 4 times per second for {seconds:d} seconds '
    'and one router is cut off for {cut:d}'
)
def send_and_cut(context, seconds, cut):
    async def cut_off(fleet):
        await asyncio.sleep(CUT_AFTER_SECONDS)
        isolated = fleet.routers[0].host
        hosts = [process.host for process in (*fleet.routers[1:], *fleet.targets)]
        directions = [(isolated, peer) for peer in hosts]
        directions += [(peer, isolated) for peer in hosts]
        fleet.service.faults.cut.add(isolated)
        fleet.net.links.update(dict.fromkeys(directions, SILENT))
        await asyncio.sleep(cut)
        fleet.service.faults.cut.clear()
        for direction in directions:
            fleet.net.links.pop(direction)

    _run_beside(context, seconds, cut_off)
    context.healed_at = START_SECONDS + CUT_AFTER_SECONDS + cut


@when(
    'the same harmless requests come 10 times per second '
    'while targets crash every second'
)
def crash_beside(context):
    async def crash(fleet):
        for number in range(CRASHES):
            await asyncio.sleep(CRASH_INTERVAL_SECONDS)
            fleet.targets[number % len(fleet.targets)].crash()

    context.fleet = run_fleet(
        lambda fleet: _send_harmless(fleet, crash(fleet)), *context.size
    )


@when('the connections of the same requests are reset repeatedly')
def reset_beside(context):
    async def disturb(fleet):
        for _ in range(RESETS):
            await asyncio.sleep(RESET_INTERVAL_SECONDS)
            for target in fleet.targets:
                target.reset()

    context.fleet = run_fleet(
        lambda fleet: _send_harmless(fleet, disturb(fleet), SLOW), *context.size
    )


@when('all targets drain and stop while each runs the same long request')
def leave_under_request(context):
    async def act(fleet):
        requests = [
            fleet.ask(fleet.routers[number % len(fleet.routers)], 'once', SLOW)
            for number in range(len(fleet.targets))
        ]
        leaving = [_leave_soon(target) for target in fleet.targets]
        await asyncio.gather(*(fleet.call(request) for request in requests), *leaving)
        broken = {arrival.target for arrival in fleet.arrivals}
        assert len(broken) >= CRASH_THRESHOLD, broken
        await _send_to_each(fleet, 'once', SLOW)

    context.fleet = run_fleet(act, *context.size)


async def _leave_soon(target):
    await asyncio.sleep(CUT_AFTER_SECONDS)
    await target.leave()


async def _send_harmless(fleet, disturbance, body=HARMLESS):
    """Send a harmless request repeatedly, and once to each router afterwards."""
    seconds = CRASHES * CRASH_INTERVAL_SECONDS
    await asyncio.gather(
        fleet.press(0.1, seconds, body),
        fleet.press(0.1, seconds, body, 'once'),
        disturbance,
    )
    await _send_to_each(fleet, 'stream', body)


async def _send_to_each(fleet, kind, body):
    """Send a request to each router later, and keep only these answers."""
    await asyncio.sleep(SETTLING_SECONDS)
    fleet.answers.clear()
    for router in fleet.routers:
        await fleet.call(fleet.ask(router, kind, body))


@then('at most {max_sends:d} targets get it later than 3 seconds after the third crash')
def check_sent(context, max_sends):
    fleet = context.fleet
    assert len(fleet.ends) >= 3, fleet.ends
    third = fleet.ends[2][0]
    late = _list_fatal(fleet, third + CONVERGENCE_SECONDS)
    assert len(late) <= max_sends, (fleet.ends, late)


@then('at least {share:g} of the other requests are served')
def check_served(context, share):
    others = [answer for body, answer in context.fleet.answers if body != FATAL]
    served = sum(_is_served(response) for response in others)
    assert served >= share * len(others), (served, len(others))


@then(
    'the router that was cut off sends it at most {max_sends:d} times from 3 seconds '
    'after the cut'
)
def check_after_cut(context, max_sends):
    fleet = context.fleet
    since = context.healed_at + CONVERGENCE_SECONDS
    isolated = fleet.routers[0].host
    late = [
        arrival for arrival in _list_fatal(fleet, since) if arrival.router == isolated
    ]
    assert len(late) <= max_sends, (len(late), late[:4])


@then('each router serves the harmless requests again afterwards')
def check_harmless(context):
    assert len(context.fleet.answers) == len(context.fleet.routers)
    for _, answer in context.fleet.answers:
        assert _is_served(answer), answer


def _is_served(answer):
    return answer.whole and answer.status == STATUS_OK


def _list_fatal(fleet, since):
    """Return the arrivals of the fatal request at targets after a loop time."""
    return [
        arrival
        for arrival in fleet.arrivals
        if arrival.body == FATAL and arrival.at > since
    ]
