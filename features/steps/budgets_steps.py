"""Steps on budgets: the real ledger, budget page and synchronizer in virtual time."""

import asyncio
import random
from statistics import mean

from behave import given, then, when
from budget_faults import (
    BUDGET,
    LENDING,
    LOAN_STEPS,
    RECOVERY_SECONDS,
    REQUEST_TOKENS,
    STEPS,
    STORE_SLOWDOWN,
    WORKSPACES,
    measure_stranded,
    run_faults,
    run_until_third_spent,
    send_mixed_requests,
    send_usual_requests,
)
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as forall

from ibisport_bench.budget_world import BudgetWorld
from ibisport_bench.experiments.budgetrolls import simulate_rolling_restarts
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.budget_page import decode_page
from ibisport_fleet.budget_writes import PAGE_KEY
from ibisport_fleet.lenders import rank_lenders


@given('routers that share one budget in virtual time')
def start_counting(context):
    context.served = 0
    context.sequences = 0


@when('{count:d} generated sequences of faults are run')
def play_mixtures(context, count):
    _play_sequences(context, count, STEPS, ())


@when(
    '{count:d} generated sequences of faults and late loans are run, '
    'with the lending feature'
)
def play_loan_mixtures(context, count):
    _play_sequences(context, count, LOAN_STEPS, LENDING)


def _play_sequences(context, count, sequences, features):
    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @forall(sequences, strategies.integers(0, 10_000))
    def play(steps, seed):
        world = run_virtually(run_faults(steps, seed, features))
        context.served += world.outcomes['served']
        context.sequences += 1

    play()


@then('no budget was ever overspent')
def check_never(context):
    assert context.sequences >= 40, context.sequences


@then('most requests were served while the budget lasted')
def check_served(context):
    assert context.served > 20 * context.sequences, context.served


@given('5 routers that are all killed under load')
def kill_under_load(context):
    async def run():
        random.seed(7)
        world = BudgetWorld(hosts=5, budget=BUDGET, seed=7)
        rng = random.Random(7)
        world.start_all()
        await asyncio.sleep(0.5)
        await send_mixed_requests(world, 3.0, 30, rng)
        for host in range(5):
            world.kill(host)
        await send_mixed_requests(world, 4.0, 100, rng)
        return world

    context.run_world = run


@when('they have started again')
def start_again(context):
    context.world = run_virtually(context.run_world())


@then('what was spent and what is held fits the budget')
def check_fits(context):
    page = decode_page(context.world.service.items[PAGE_KEY].content)
    assert page.find('acme').held <= BUDGET
    assert context.world.delivered <= BUDGET


@then('each ended process is settled')
def check_closed(context):
    page = decode_page(context.world.service.items[PAGE_KEY].content)
    assert page.find('acme').closed > 0
    assert page.find('acme').held >= context.world.delivered


@given('5 routers that have spent a third of a budget')
def spend_third(context):
    context.prepare = run_until_third_spent


@when('all of them are killed at once and start again')
def kill_all(context):
    async def run():
        world = await context.prepare()
        for host in range(5):
            world.kill(host)
        await asyncio.sleep(RECOVERY_SECONDS)
        return world

    context.world = run_virtually(run())


async def _kill_in_outage(context, reboot):
    world = await context.prepare()
    lender = rank_lenders(world.names, 'acme')[0]
    world.service.faults.down = True
    await asyncio.sleep(0.2)
    page = decode_page(world.service.items[PAGE_KEY].content)
    context.cap = page.find('acme').shares[lender].cap
    if reboot:
        world.find_host(lender).boots += 1
    world.kill(world.names.index(lender))
    await asyncio.sleep(6.0)
    world.service.faults.down = False
    await asyncio.sleep(RECOVERY_SECONDS)
    return world


@when(
    'the store goes down, the lender is killed 0.2 s later '
    'and the store is back after 6 s'
)
def kill_lender(context):
    context.world = run_virtually(_kill_in_outage(context, reboot=False))


@when(
    "the store goes down, the lender's machine reboots and the store is back after 6 s"
)
def restart_machine(context):
    context.world = run_virtually(_kill_in_outage(context, reboot=True))


@then('what the lender held counts as spent')
def check_counted(context):
    page = decode_page(context.world.service.items[PAGE_KEY].content)
    assert context.cap > 0
    assert page.find('acme').closed >= context.cap


@when('one of them is stopped while the store is slow')
def stop_slowly(context):
    async def run():
        world = await context.prepare()
        world.service.faults.slow = 60.0
        await world.stop(0)
        world.service.faults.slow = 1.0
        await asyncio.sleep(RECOVERY_SECONDS)
        return world

    context.world = run_virtually(run())


@then('less than {percent:d} % of the budget is stranded')
def check_stranded(context, percent):
    stranded = measure_stranded(context.world)
    assert 0 <= stranded < BUDGET * percent / 100, stranded


@when('the store takes 60 times as long for 5 seconds')
def slow_down(context):
    async def run():
        world = await context.prepare()
        world.outcomes.clear()
        world.service.faults.slow = 60.0
        rng = random.Random(5)
        await send_usual_requests(world, 150, rng)
        await asyncio.sleep(1.0)
        return world

    context.world = run_virtually(run())


@then('fewer than 1 in 20 requests of these seconds are refused')
def check_refused(context):
    outcomes = context.world.outcomes
    refused = outcomes['short'] + outcomes['spent']
    assert refused * 20 < outcomes.total(), outcomes


@when('{count:d} requests come at once and {victim} dies {delay:d} ms later')
def burst_and_kill(context, count, victim, delay):
    async def run():
        world = await context.prepare()
        ranked = rank_lenders(world.names, 'acme')
        borrower = next(name for name in world.names if name not in ranked)
        killed = {'the lender': ranked[0], 'a borrower': borrower}[victim]
        for _ in range(count):
            world.ask(world.names.index(borrower), REQUEST_TOKENS, 1.0, 5.0)
        await asyncio.sleep(delay / 1_000)
        world.kill(world.names.index(killed))
        await asyncio.sleep(RECOVERY_SECONDS)
        return world

    context.world = run_virtually(run())


@then('at least the tokens that callers may have received count as spent')
def check_charged(context):
    assert measure_stranded(context.world) >= 0


@given('5 routers that reach each other but not the store')
def cut_store(context):
    async def run():
        world = await run_until_third_spent()
        world.service.faults.down = True
        # The lender's contact proof has expired by then.
        await asyncio.sleep(3.0)
        world.outcomes.clear()
        return world

    context.prepare = run


@when('requests continue for {seconds:d} seconds')
def go_on(context, seconds):
    async def run():
        world = await context.prepare()
        rng = random.Random(5)
        await send_usual_requests(world, seconds * 30, rng)
        await asyncio.sleep(1.0)
        return world

    context.world = run_virtually(run())


@then('all requests are served though only one router holds tokens')
def check_all_served(context):
    assert context.world.outcomes == {'served': context.world.outcomes.total()}


@given('5 routers that lose half of the answers to loans')
def lose_loans(context):
    async def run():
        world = await run_until_third_spent()
        world.lose_loans = 0.5
        return world

    context.prepare = run


@then('at least the delivered tokens count as spent, and the budget is not overspent')
def check_lost(context):
    page = decode_page(context.world.service.items[PAGE_KEY].content)
    assert page.find('acme').held <= BUDGET
    assert measure_stranded(context.world) >= 0


@given('5 routers that share a budget without faults')
def start_calm(context):
    context.prepare = run_until_third_spent


@then('the store is called less than {max_rate:g} times a second in all')
def check_calls(context, max_rate):
    async def run():
        world = await context.prepare()
        rng = random.Random(5)
        before = world.service.calls
        await send_usual_requests(world, 300, rng)
        return world.service.calls - before

    # The simulated store counts a request and its answer separately.
    calls = run_virtually(run()) / 2
    assert calls / 10 < max_rate, calls


@when('one of them draws from the store and the page then changes constantly')
def draw_in_conflict(context):
    async def run():
        world = await context.prepare()
        ranked = rank_lenders(world.names, 'acme')
        drawer = next(name for name in world.names if name not in ranked)
        world.apart = {drawer}
        world.ask(world.names.index(drawer), 40_000, 0.1, 0.1)
        await asyncio.sleep(0.08)
        for _ in range(1_000):
            # Another writer changes the page, so that every write conflicts.
            world.service.put(PAGE_KEY, world.service.items[PAGE_KEY].content)
            await asyncio.sleep(0.002)
        await asyncio.sleep(2.0)
        page = decode_page(world.service.items[PAGE_KEY].content)
        return page.find('acme').shares[drawer]

    context.share = run_virtually(run())


@then('it holds no more than it has spent 4 seconds later')
def check_given_back(context):
    assert context.share.cap == context.share.used, context.share
    # The request was paid from the share, so the check above is not trivial.
    assert context.share.used > 0, context.share


@when('one of them is killed and the page changes every 8 ms')
def open_in_conflict(context):
    async def run():
        world = await context.prepare()
        lender = rank_lenders(world.names, 'acme')[0]
        before = decode_page(world.service.items[PAGE_KEY].content).sessions[lender]
        world.kill(world.names.index(lender))
        for _ in range(500):
            world.service.put(PAGE_KEY, world.service.items[PAGE_KEY].content)
            await asyncio.sleep(0.008)
        page = decode_page(world.service.items[PAGE_KEY].content)
        return before, page.sessions.get(lender)

    context.sessions = run_virtually(run())


@then('its next process has settled it within 4 seconds')
def check_opened(context):
    before, after = context.sessions
    assert after is not None
    assert after.incarnation != before.incarnation


@given('nearly unspent budgets, and 30 routers on low-bandwidth links')
def prepare_rolling_restarts(context):
    context.play = simulate_rolling_restarts


@when('all of them are stopped and started in turn, twice, with {count:d} seeds')
def play_seeds(context, count):
    context.reports = [context.play(seed) for seed in range(1, count + 1)]


@then('at most {percent:d} % of the requests are refused')
def check_rolled(context, percent):
    refused = mean(report.refused for report in context.reports)
    assert refused * 100 <= percent, context.reports


@then('no budget is overspent and less than {percent:g} % of the tokens are stranded')
def check_rolled_budgets(context, percent):
    for report in context.reports:
        assert report.overspent == 0, report
        assert 0 <= report.stranded * 100 < percent, report


@given('5 routers that have run for {seconds:d} seconds with {count:d} budgets')
def run_calmly(context, seconds, count):
    async def run():
        random.seed(3)
        world = BudgetWorld(hosts=5, budget=BUDGET, seed=3, workspaces=count)
        world.start_all()
        await asyncio.sleep(seconds)
        return world

    context.world = run_virtually(run())


@then('the page contains no share without tokens')
def check_page(context):
    page = decode_page(context.world.service.items[PAGE_KEY].content)
    shares = [
        share for account in page.accounts.values() for share in account.shares.values()
    ]
    assert shares
    assert all(share.cap for share in shares), page


@when('{few:d} routers start at once, and {many:d} elsewhere')
def start_at_once(context, few, many):
    async def run(hosts):
        world = BudgetWorld(hosts, BUDGET, 1, WORKSPACES)
        world.service.faults.slow = STORE_SLOWDOWN
        world.start_all()
        await asyncio.sleep(5.0)
        return world.service.calls / hosts

    context.calls = [run_virtually(run(hosts)) for hosts in (few, many)]


@then('the number of store calls per router is no higher where 60 start')
def check_start(context):
    few, many = context.calls
    assert many <= few, context.calls


@then('the store is called at most {calls:d} times for {requests:d} requests')
def check_calls_a_request(context, calls, requests):
    found = [report.calls for report in context.reports]
    assert max(found) <= calls / requests, found
