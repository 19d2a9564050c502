"""Steps on failure domains that operators evacuate."""

import asyncio

from behave import then, when
from followers import open_null_log
from running_fleet import START_SECONDS, make_body, run_fleet

from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.catalogue import WarmUp
from ibisport_fleet.evacuations import Evacuations
from ibisport_fleet.store import Item, Listing, Removal

REQUEST_INTERVAL_SECONDS = 0.02
BEFORE_SECONDS = 2.0
AFTERWARDS_SECONDS = 8.0
BREAK_INTERVAL_SECONDS = 0.3
ROUTERS_AWAY_SECONDS = 1.0
ROUTER_START_SECONDS = 2.0
WARM_UP = WarmUp(3.0, 11.0)
DOMAIN = 'd-1'
ALL_DOMAINS = ('d-0', 'd-1')
PREFIX = 'op/evacuate/'
STATUS_UNAVAILABLE = 503


def _run(context, seconds, domains=(DOMAIN,), disturb=None, chill=False):
    async def evacuate(fleet):
        for target in fleet.targets:
            target.reports_load = True
        await asyncio.sleep(BEFORE_SECONDS)
        for domain in domains:
            fleet.evacuate(domain)
        until = fleet.now + seconds
        if disturb is not None:
            await disturb(fleet, until)
        await asyncio.sleep(until - fleet.now)
        for target in _list_targets(fleet, domains):
            if chill:
                target.become_cold()
        for domain in domains:
            fleet.end_evacuation(domain)

    async def act(fleet):
        span = BEFORE_SECONDS + seconds + AFTERWARDS_SECONDS
        await asyncio.gather(
            fleet.press(REQUEST_INTERVAL_SECONDS, span, make_body), evacuate(fleet)
        )

    context.domains = domains
    context.ordered_at = START_SECONDS + BEFORE_SECONDS
    context.ended_at = context.ordered_at + seconds
    context.fleet = run_fleet(act, *context.size, WARM_UP)


def _list_targets(fleet, domains):
    return [target for target in fleet.targets if target.domain in domains]


@when('one domain is evacuated for {seconds:d} seconds')
def evacuate_one(context, seconds):
    _run(context, seconds)


@when('all domains are evacuated for {seconds:d} seconds')
def evacuate_all(context, seconds):
    _run(context, seconds, ALL_DOMAINS)


@when(
    'one domain is evacuated for {seconds:d} seconds '
    'and its targets are cold at the end'
)
def evacuate_and_chill(context, seconds):
    _run(context, seconds, chill=True)


@when(
    'one domain is evacuated for {seconds:d} seconds '
    'while the other targets break off streams'
)
def evacuate_beside_breaks(context, seconds):
    async def reset(fleet, until):
        while fleet.now < until:
            for target in fleet.targets:
                if target.domain != DOMAIN:
                    target.reset()
            await asyncio.sleep(BREAK_INTERVAL_SECONDS)

    _run(context, seconds, disturb=reset)


@when(
    'one domain is evacuated for {seconds:d} seconds '
    'while all routers are killed and restart'
)
def evacuate_beside_restarts(context, seconds):
    async def restart(fleet, until):
        for router in fleet.routers:
            router.kill()
        await asyncio.sleep(ROUTERS_AWAY_SECONDS)
        for router in fleet.routers:
            router.start()

    _run(context, seconds, disturb=restart)


@when(
    'one domain is evacuated for {seconds:d} seconds '
    'and one router is cut off from the store for {cut:d} of them'
)
def evacuate_beside_cut(context, seconds, cut):
    async def cut_off(fleet, until):
        fleet.service.faults.cut.add(fleet.routers[0].host)
        await asyncio.sleep(cut)
        fleet.service.faults.cut.clear()

    _run(context, seconds, disturb=cut_off)


def _list_late(context, seconds):
    """Return the arrivals at evacuated targets from some time after the order."""
    fleet = context.fleet
    names = {target.incarnation for target in _list_targets(fleet, context.domains)}
    since = context.ordered_at + seconds
    return [
        arrival
        for arrival in fleet.arrivals
        if arrival.target in names and since <= arrival.at < context.ended_at
    ]


@then(
    'no request reaches its targets from {seconds:g} seconds after the order to its end'
)
def check_late(context, seconds):
    fleet = context.fleet
    names = {target.incarnation for target in _list_targets(fleet, context.domains)}
    assert any(
        arrival.target in names and arrival.at < context.ordered_at
        for arrival in fleet.arrivals
    )
    late = _list_late(context, seconds)
    assert not late, (len(late), late[0])


@then('no request of the other routers reaches them from {seconds:g} seconds after it')
def check_others(context, seconds):
    cut_off = context.fleet.routers[0].host
    late = [
        arrival for arrival in _list_late(context, seconds) if arrival.router != cut_off
    ]
    assert not late, (len(late), late[0])


@then('requests are refused within {seconds:g} seconds with a Retry-After time')
def check_refused(context, seconds):
    since = context.ordered_at + 0.5
    answers = [
        answer
        for _, answer in context.fleet.answers
        if since <= answer.sent_at < context.ended_at
    ]
    assert answers
    for answer in answers:
        assert answer.status == STATUS_UNAVAILABLE, answer
        assert float(answer.headers[b'retry-after']) > 0, answer
        assert answer.ended_at - answer.sent_at <= seconds, answer


@when('a listing and changes bring orders, their ends and other keys')
def apply_orders(context):
    context.known = []

    async def follow():
        evacuations = Evacuations(PREFIX, open_null_log())
        items = (Item('op/config', b'', 1), Item(f'{PREFIX}a', b'{}', 2))

        def record():
            context.known.append({name for name in 'abc' if evacuations.covers(name)})

        evacuations.apply_listing(Listing(items, 2), 0.0)
        record()
        await asyncio.sleep(1.0)
        evacuations.apply_change(Item(f'{PREFIX}b', b'{}', 3), 0.0)
        evacuations.apply_change(Item('op/config', b'', 4), 0.0)
        evacuations.apply_change(Removal(f'{PREFIX}a', 5), 0.0)
        record()
        await asyncio.sleep(1.0)
        evacuations.apply_listing(Listing((Item(f'{PREFIX}c', b'', 7),), 7), 0.0)
        record()
        context.ends = [evacuations.find_end(name) for name in 'abc']

    run_virtually(follow())


@then('the evacuated domains follow the orders, and an end is told by its time')
def check_orders(context):
    assert context.known == [{'a'}, {'b'}, {'c'}], context.known
    assert context.ends == [1.0, 2.0, float('-inf')], context.ends
