"""Steps on targets that warm up after a start."""

import asyncio
import math
from bisect import bisect_right
from math import isfinite
from types import SimpleNamespace

from behave import given, then, when
from engines import build_engine
from fleet_targets import COLD_FACTOR, COLD_SLACK, RESTART_SECONDS
from followers import open_null_log
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as forall
from running_fleet import START_SECONDS, make_body, run_fleet

from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.catalogue import Service, WarmUp
from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.store import Item, Listing
from ibisport_fleet.target_warm_ups import TargetWarmUps
from ibisport_fleet.targets import TargetEntry
from ibisport_fleet.warm_up import compute_send_interval

BEFORE_SECONDS = 2.0
AFTERWARDS_SECONDS = 10.0
ROUTERS_AWAY_SECONDS = 1.0
WARM_UP = WarmUp(3.0, 11.0)
RATE = 100.0
PARTS = (PromptPart('shared', 6_000), PromptPart('own', 10))
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
# Routers know of an entry within this time after its write.
NOTICE_SECONDS = 0.5
QUIET = settings(
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def _run(context, disturb, warm_up=WARM_UP, rate=RATE):
    async def act(fleet):
        for target in fleet.targets:
            target.reports_load = True
        span = BEFORE_SECONDS + RESTART_SECONDS + warm_up.seconds + AFTERWARDS_SECONDS
        await asyncio.gather(
            fleet.press(1 / rate, span, make_body), _disturb_later(fleet)
        )

    async def _disturb_later(fleet):
        await asyncio.sleep(BEFORE_SECONDS)
        await disturb(fleet)

    context.warm_up = warm_up
    context.warm_at = START_SECONDS + BEFORE_SECONDS + RESTART_SECONDS + warm_up.seconds
    context.fleet = run_fleet(act, *context.size, warm_up)


def _crash(count):
    async def crash(fleet):
        for target in fleet.targets[:count]:
            target.crash()

    return crash


@when(
    '{count:d} target that bears {bears:g} requests per second for {seconds:g} seconds '
    'starts again beside {rate:g} requests per second'
)
@when(
    '{count:d} targets that bear {bears:g} requests per second for {seconds:g} seconds '
    'start again beside {rate:g} requests per second'
)
def restart_targets(context, count, bears, seconds, rate):
    context.count = count
    _run(context, _crash(count), WarmUp(seconds, bears), rate)


@when('{count:d} target starts again while all routers are killed and restart')
def restart_routers(context, count):
    async def restart(fleet):
        await _crash(count)(fleet)
        await asyncio.sleep(RESTART_SECONDS - ROUTERS_AWAY_SECONDS)
        for router in fleet.routers:
            router.kill()
        await asyncio.sleep(ROUTERS_AWAY_SECONDS)
        for router in fleet.routers:
            router.start()

    _run(context, restart)


@when('{count:d} target starts again and the store goes away at once')
def restart_before_outage(context, count):
    async def restart(fleet):
        await _crash(count)(fleet)
        await asyncio.sleep(RESTART_SECONDS + 0.1)
        fleet.service.faults.down = True

    _run(context, restart)


@when(
    '{count:d} target turns cold beside {rate:g} requests per second '
    'and its entry tells so {seconds:g} seconds later'
)
def turn_cold(context, count, rate, seconds):
    async def chill(fleet):
        for target in fleet.targets[:count]:
            target.become_cold()
        await asyncio.sleep(seconds)
        for target in fleet.targets[:count]:
            target.write_entry()

    _run(context, chill, rate=rate)


@then(
    'no second brings a cold target more requests than {factor:g} times its rate '
    'and {more:d} more'
)
def check_overruns(context, factor, more):
    assert (factor, more) == (COLD_FACTOR, COLD_SLACK)
    fleet = context.fleet
    assert fleet.cold_counts
    assert not fleet.overruns, (fleet.overruns, max(fleet.cold_counts))


def _find_largest_second(arrivals):
    """Return the maximum number of loop times that lie within a second."""
    return max(
        number + 1 - bisect_right(arrivals, at - 1.0)
        for number, at in enumerate(arrivals)
    )


@then(
    'in no second of its return it gets over {factor:g} times '
    'what any other target gets in one'
)
def check_jump(context, factor):
    fleet = context.fleet
    returned, *others = fleet.targets
    since = context.warm_at - context.warm_up.seconds
    arrivals = {}
    for arrival in fleet.arrivals:
        if arrival.at >= since:
            arrivals.setdefault(arrival.target, []).append(arrival.at)
    largest = _find_largest_second(arrivals[returned.incarnation])
    usual = max(
        _find_largest_second(arrivals[other.incarnation])
        for other in others
        if other.incarnation in arrivals
    )
    assert largest <= factor * usual, (largest, usual)


@then('{seconds:g} seconds after it is warm it gets half of an even share')
def check_share(context, seconds):
    fleet = context.fleet
    since = context.warm_at + seconds
    count, total = fleet.count_arrivals(fleet.targets[0], since)
    assert total
    assert count >= total / len(fleet.targets) / 2, (count, total)


@then('the cold targets get at least {share:g} of the requests that they bear')
def check_use(context, share):
    fleet = context.fleet
    until = context.warm_at
    since = until - context.warm_up.seconds
    reached = [arrival for arrival in fleet.arrivals if since <= arrival.at < until]
    borne = context.count * context.warm_up.rate * context.warm_up.seconds
    assert len(reached) >= share * borne, (len(reached), borne)


@then(
    'all others sent to them are refused within {seconds:g} seconds '
    'with a Retry-After time'
)
def check_refused(context, seconds):
    since = context.warm_at - context.warm_up.seconds + NOTICE_SECONDS
    refused = [
        answer
        for _, answer in context.fleet.answers
        if since <= answer.sent_at < context.warm_at and answer.status != STATUS_OK
    ]
    assert refused
    for answer in refused:
        assert answer.status == STATUS_UNAVAILABLE, answer
        assert float(answer.headers[b'retry-after']) > 0, answer
        assert answer.ended_at - answer.sent_at <= seconds, answer


@when('{count:d} generated rates of cold targets are divided among up to 200 routers')
def divide(context, count):
    context.divided = 0

    @settings(QUIET, max_examples=count)
    @forall(strategies.floats(0, 500), strategies.integers(1, 200))
    def divide_one(rate, routers):
        hosts = frozenset(f'router-{number}' for number in range(routers))
        intervals = [compute_send_interval(rate, 'i-1', host, hosts) for host in hosts]
        sending = [interval for interval in intervals if isfinite(interval)]
        # An interval of 1 / n seconds allows n sends in any second.
        sends = sum(max(1, round(1 / interval)) for interval in sending)
        assert sends <= max(1, rate), (rate, routers, sends)
        assert sends >= int(rate), (rate, routers, sends)
        context.divided += 1

    divide_one()


@then(
    'the shares in any second add up to the rate at most, '
    'and to at least what is whole of it'
)
def check_divided(context):
    assert context.divided >= 100, context.divided


@when(
    '{count:d} generated rates are divided while some lists lack '
    'up to {most:d} of {routers:d} routers'
)
def divide_by_differing_lists(context, count, most, routers):
    context.excesses = []

    @settings(QUIET, max_examples=count)
    @forall(
        strategies.integers(1, 60),
        strategies.integers(most + 1, routers),
        strategies.integers(0, most),
        strategies.randoms(use_true_random=False),
    )
    def divide_one(rate, size, lacking, rng):
        names = [f'router-{number}' for number in range(size)]
        whole = frozenset(names)
        part = frozenset(names[lacking:])
        sends = 0
        for host in names:
            hosts = rng.choice((whole, part)) if host in part else whole
            interval = compute_send_interval(rate, 'i-1', host, hosts)
            sends += round(1 / interval)
        context.excesses.append((sends - rate, lacking * math.ceil(rate / size)))

    divide_one()


@then(
    'in no second they send more than the rate and the shares of the routers that lack'
)
def check_excesses(context):
    assert any(excess > 0 for excess, _ in context.excesses)
    assert all(excess <= allowed for excess, allowed in context.excesses)


def _make_entry(name, revision, cold_seconds):
    address = ('10.0.0.1', revision)
    return TargetEntry(name, 'svc', address, 'd', 9, False, revision, 0, cold_seconds)


@when('a router lists entries of which one is cold for {seconds:g} seconds')
def list_entries(context, seconds):
    entries = {
        'i-1': _make_entry('i-1', 1, seconds),
        'i-2': _make_entry('i-2', 2, 0.0),
        'i-3': _make_entry('i-3', 3, 0.0),
    }
    items = {name: Item(name, b'', entry.revision) for name, entry in entries.items()}

    async def follow():
        view = TargetView(
            lambda item: entries[item.key], lambda key: key, open_null_log()
        )
        warm_ups = TargetWarmUps(
            SimpleNamespace(
                settled=True, own=SimpleNamespace(host='r'), hosts=frozenset('r')
            ),
            SimpleNamespace(
                current=SimpleNamespace(
                    services={'svc': Service('svc', 9, None, WARM_UP)}
                )
            ),
            SimpleNamespace(find_end=lambda domain: float('-inf')),
        )
        view.apply_listing(Listing((items['i-1'], items['i-2']), 2), 0.0)
        view.apply_change(items['i-3'], 0.0)
        context.rates = {}
        for moment in (0.1, seconds - 0.1, seconds + 0.1):
            loop = asyncio.get_running_loop()
            await asyncio.sleep(moment - loop.time())
            for candidate in view.list_candidates('svc'):
                warm_ups.find_next_send(candidate, loop.time())
                rates = context.rates.setdefault(candidate.entry.incarnation, [])
                rates.append(candidate.health.warm_up.rate)

    run_virtually(follow())


@then('it takes that one for cold for 2 seconds and the others for warm')
def check_listed(context):
    cold, ramp = WARM_UP.rate, 2 * WARM_UP.rate
    assert context.rates['i-1'] == [cold, cold, ramp], context.rates
    assert set(context.rates['i-2']) == {None}, context.rates


@then('it takes a target that appears later for cold, whatever its entry says')
def check_appeared(context):
    assert set(context.rates['i-3']) == {WARM_UP.rate}, context.rates


@given('four engines of which the preferred one of a prompt warms up')
def warm_up_preferred(context):
    context.engines = [build_engine(number) for number in range(4)]
    context.preferred = choose_engine(context.engines, PARTS, 0.0)
    context.preferred.health.warm_up.rate = WARM_UP.rate


@then('both choose the same engine, and not the warming one')
def check_choice(context):
    first, second = context.chosen
    assert first is second
    assert first is not context.preferred
