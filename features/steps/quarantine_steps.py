"""Steps on requests under which targets end."""

import asyncio

from behave import given, then, when
from running_fleet import CONVERGENCE_SECONDS, FATAL, SLOW, START_SECONDS, run_fleet

from ibisport_bench.memorytransport import Link
from ibisport_fleet.quarantine import CRASH_THRESHOLD

OTHERS_PAUSE_S = 0.08
FATAL_PAUSE_S = 0.25
DOWN_FOR_S = 3.0
CUT_AFTER_S = 0.5
CRASH_PAUSE_S = 1.0
CRASHES = 8
# A slow stream never comes to its end between resets.
RESETS = 20
RESET_PAUSE_S = 0.4
SETTLING_S = 8.0
HARMLESS = b'the same each time'
SILENT = Link(delay=1_000_000.0)
STATUS_OK = 200


def _make_other(number):
    return b'other %d' % number


def _play_beside(context, seconds, disturb):
    """Send the fatal request, and others that come once, beside a disturbance."""

    async def act(fleet):
        await asyncio.gather(
            fleet.press(FATAL_PAUSE_S, seconds, FATAL),
            fleet.press(OTHERS_PAUSE_S, seconds, _make_other),
            disturb(fleet),
        )

    context.fleet = run_fleet(act, *context.size)


async def _leave_alone(fleet):
    """Disturb nothing."""


@given('{routers:d} routers and {targets:d} targets')
def keep_size(context, routers, targets):
    context.size = routers, targets


@when('a request that ends its target comes 4 times a second for {seconds:d} seconds')
def press_fatal(context, seconds):
    _play_beside(context, seconds, _leave_alone)


@when(
    'it comes 4 times a second for {seconds:d} seconds and all routers are killed '
    'after {after:d}'
)
def press_and_kill(context, seconds, after):
    async def restart(fleet):
        await asyncio.sleep(after)
        for router in fleet.routers:
            router.kill()
        await asyncio.sleep(DOWN_FOR_S)
        for router in fleet.routers:
            router.start()

    _play_beside(context, seconds, restart)


@when(
    'it comes 2 times a second for {seconds:d} seconds and a router is killed '
    'every {pause:g} s'
)
def press_and_roll(context, seconds, pause):
    async def roll(fleet):
        for number in range(int(seconds / pause)):
            await asyncio.sleep(pause)
            router = fleet.routers[number % len(fleet.routers)]
            router.kill()
            router.start()

    async def act(fleet):
        pressing = fleet.press(2 * FATAL_PAUSE_S, seconds, FATAL, 'once')
        await asyncio.gather(pressing, roll(fleet))

    context.fleet = run_fleet(act, *context.size)


@when('it comes 4 times a second for {seconds:d} seconds while the store is down')
def press_without_store(context, seconds):
    async def close_store(fleet):
        fleet.service.faults.down = True

    _play_beside(context, seconds, close_store)


@when(
    'it comes 4 times a second for {seconds:d} seconds and one router is cut off '
    'for {cut:d}'
)
def press_and_cut(context, seconds, cut):
    async def cut_off(fleet):
        await asyncio.sleep(CUT_AFTER_S)
        lost = fleet.routers[0].host
        others = [one.host for one in (*fleet.routers[1:], *fleet.targets)]
        ways = [(lost, other) for other in others]
        ways += [(other, lost) for other in others]
        fleet.service.faults.cut.add(lost)
        fleet.net.links.update(dict.fromkeys(ways, SILENT))
        await asyncio.sleep(cut)
        fleet.service.faults.cut.clear()
        for way in ways:
            fleet.net.links.pop(way)

    _play_beside(context, seconds, cut_off)
    context.healed_at = START_SECONDS + CUT_AFTER_S + cut


@when(
    'the same harmless requests come 10 times a second while targets crash each second'
)
def crash_beside(context):
    async def crash(fleet):
        for number in range(CRASHES):
            await asyncio.sleep(CRASH_PAUSE_S)
            fleet.targets[number % len(fleet.targets)].crash()

    context.fleet = run_fleet(
        lambda fleet: _press_harmless(fleet, crash(fleet)), *context.size
    )


@when('the same requests are broken off again and again by resets')
def reset_beside(context):
    async def disturb(fleet):
        for _ in range(RESETS):
            await asyncio.sleep(RESET_PAUSE_S)
            for target in fleet.targets:
                target.reset()

    context.fleet = run_fleet(
        lambda fleet: _press_harmless(fleet, disturb(fleet), SLOW), *context.size
    )


@when('all targets leave while each runs the same long request')
def leave_under_request(context):
    async def act(fleet):
        asks = [
            fleet.ask(fleet.routers[number % len(fleet.routers)], 'once', SLOW)
            for number in range(len(fleet.targets))
        ]
        leaving = [_leave_soon(target) for target in fleet.targets]
        await asyncio.gather(*(fleet.call(one) for one in asks), *leaving)
        broken = {one.target for one in fleet.arrivals}
        assert len(broken) >= CRASH_THRESHOLD, broken
        await _ask_each(fleet, 'once', SLOW)

    context.fleet = run_fleet(act, *context.size)


async def _leave_soon(target):
    await asyncio.sleep(CUT_AFTER_S)
    await target.leave()


async def _press_harmless(fleet, disturbance, body=HARMLESS):
    """Send one harmless request again and again, and once at each router later."""
    seconds = CRASHES * CRASH_PAUSE_S
    await asyncio.gather(
        fleet.press(0.1, seconds, body),
        fleet.press(0.1, seconds, body, 'once'),
        disturbance,
    )
    await _ask_each(fleet, 'stream', body)


async def _ask_each(fleet, kind, body):
    """Ask each router once after a while, and keep these answers alone."""
    await asyncio.sleep(SETTLING_S)
    fleet.answers.clear()
    for router in fleet.routers:
        await fleet.call(fleet.ask(router, kind, body))


@then('at most {most:d} targets get it later than 3 seconds after the third has ended')
def check_sent(context, most):
    fleet = context.fleet
    assert len(fleet.ends) >= 3, fleet.ends
    third = fleet.ends[2][0]
    late = _list_fatal(fleet, third + CONVERGENCE_SECONDS)
    assert len(late) <= most, (fleet.ends, late)


@then('at least {share:g} of the other requests are served')
def check_served(context, share):
    others = [answer for body, answer in context.fleet.answers if body != FATAL]
    served = sum(_is_served(one) for one in others)
    assert served >= share * len(others), (served, len(others))


@then(
    'the router that was cut off sends it at most {most:d} times from 3 seconds '
    'after the cut'
)
def check_after_cut(context, most):
    fleet = context.fleet
    since = context.healed_at + CONVERGENCE_SECONDS
    lost = fleet.routers[0].host
    late = [one for one in _list_fatal(fleet, since) if one.router == lost]
    assert len(late) <= most, (len(late), late[:4])


@then('each router serves the harmless requests again afterwards')
def check_harmless(context):
    assert len(context.fleet.answers) == len(context.fleet.routers)
    for _, answer in context.fleet.answers:
        assert _is_served(answer), answer


def _is_served(answer):
    return answer.whole and answer.status == STATUS_OK


def _list_fatal(fleet, since):
    """Return the fatal requests that reached targets later than a loop time."""
    return [one for one in fleet.arrivals if one.body == FATAL and one.at > since]
