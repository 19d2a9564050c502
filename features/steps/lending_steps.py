"""Steps on loans: delays, second lenders and tokens lent ahead, in virtual time."""

import asyncio
import random
from statistics import median

from behave import then, when
from budget_faults import (
    BUDGET,
    LENDING,
    RECOVERY_SECONDS,
    REQUEST_TOKENS,
    measure_stranded,
)

from ibisport_bench.budget_world import BudgetWorld
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.budget_page import decode_page
from ibisport_fleet.budget_writes import PAGE_KEY
from ibisport_fleet.loan_planning import AHEAD_SECONDS, compute_second_lender_delay
from ibisport_fleet.loans import LoanRequest


@when('the objective of a request is {objective:g} s')
def set_objective(context, objective):
    context.delay = compute_second_lender_delay(objective)


@then('a second lender is asked after {delay:g} s')
def check_delay(context, delay):
    assert round(context.delay, 4) == delay, context.delay


async def _start_borrowers(features, seed=3, budget=BUDGET):
    """Return a world, its lenders and the numbers of the routers that don't lend."""
    random.seed(seed)
    world = BudgetWorld(hosts=5, budget=budget, seed=seed, features=features)
    world.start_all()
    await asyncio.sleep(3.0)
    lenders = world.list_lenders(0)
    borrowers = [
        number for number, name in enumerate(world.names) if name not in lenders
    ]
    return world, lenders, borrowers


async def _send_to(world, numbers, seconds, per_second=60):
    for _ in range(int(seconds * per_second)):
        world.ask(random.choice(numbers), REQUEST_TOKENS, 0.9, 0.2)
        await asyncio.sleep(1 / per_second)


@when(
    "the first lender's answers take {delay:g} s longer for {seconds:g} s, "
    '{word} the lending feature'
)
def delay_loans(context, delay, seconds, word):
    async def run():
        features = LENDING if word == 'with' else ()
        world, lenders, borrowers = await _start_borrowers(features)
        world.answer_delays = {lenders[0]: delay}
        await _send_to(world, borrowers, seconds)
        world.answer_delays = {}
        await asyncio.sleep(RECOVERY_SECONDS)
        return world

    context.world = run_virtually(run())


@then('requests wait at most {longest:g} s and most of them at most {usual:g} s')
def check_waits(context, longest, usual):
    waits = context.world.waits
    assert len(waits) > 100
    assert max(waits) <= longest, max(waits)
    assert median(waits) <= usual, median(waits)


@then('most requests wait longer than {seconds:g} s')
def check_long_waits(context, seconds):
    assert median(context.world.waits) > seconds, median(context.world.waits)


@then('exactly the delivered tokens count as spent')
def check_exact(context):
    assert measure_stranded(context.world) == 0, measure_stranded(context.world)


@then('at least the delivered tokens count as spent')
def check_at_least(context):
    assert measure_stranded(context.world) >= 0
    assert context.world.delivered <= BUDGET


@when('requests come for {seconds:g} s, {word} the lending feature')
def send_steadily(context, seconds, word):
    async def run():
        features = LENDING if word == 'with' else ()
        world, _, borrowers = await _start_borrowers(features, budget=10 * BUDGET)
        context.held = []
        context.uncounted = []
        sending = asyncio.create_task(_send_to(world, borrowers, seconds))
        while not sending.done():
            await asyncio.sleep(0.01)
            held = [world.count_borrowed(number) for number in borrowers]
            context.held.append(held)
            context.uncounted.append(sum(held) - measure_stranded(world))
        await asyncio.sleep(RECOVERY_SECONDS)
        context.held_after = [world.count_borrowed(number) for number in borrowers]
        return world

    context.world = run_virtually(run())


@then('at least {percent:d} % of the requests wait for no lender')
def check_no_wait(context, percent):
    context.served_locally = _measure_local(context.world)
    assert context.served_locally * 100 >= percent, context.served_locally


@then('at most {percent:d} % of the requests wait for no lender')
def check_wait(context, percent):
    assert _measure_local(context.world) * 100 <= percent, _measure_local(context.world)


def _measure_local(world):
    """Return the share of requests without a wait, once the reserves have grown."""
    waits = world.waits[len(world.waits) // 2 :]
    return sum(not wait for wait in waits) / len(waits)


@then('no router holds more than its demand of a second')
def check_held(context):
    # The unused parts of running requests add to the demand of half a second.
    rate = 60 / 3 * REQUEST_TOKENS
    assert AHEAD_SECONDS < 1
    held = max(max(borrowed) for borrowed in context.held)
    assert 0 < held <= rate, held


@then('what routers hold counts as spent at the lender at every moment')
def check_counted_at_lender(context):
    assert max(context.uncounted) <= 0, max(context.uncounted)


@then('no router holds tokens afterwards')
def check_nothing_held(context):
    assert not any(context.held_after), context.held_after


@when('all but {percent:d} % of a budget is spent, with the lending feature')
def spend_most(context, percent):
    async def run():
        world, _, borrowers = await _start_borrowers(LENDING)
        while world.delivered < BUDGET * (100 - percent) / 100:
            await _send_to(world, borrowers, 0.1)
        await _send_to(world, borrowers, 0.8, per_second=5)
        return [world.count_borrowed(number) for number in borrowers]

    context.held_after = run_virtually(run())


@then('no router holds more than the unused rest of a request')
def check_scarce(context):
    assert max(context.held_after) < REQUEST_TOKENS, context.held_after


@when('a lender is asked for {tokens:d} tokens')
def ask_lender(context, tokens):
    async def run():
        world, lenders, _ = await _start_borrowers(LENDING)
        lender = world.find_host(lenders[0]).budgets
        incarnation = (
            decode_page(world.service.items[PAGE_KEY].content)
            .sessions[lenders[0]]
            .incarnation
        )
        return await lender.lend(LoanRequest(incarnation, 'acme', tokens))

    context.loan = run_virtually(run())


@then('it lends {tokens:d} tokens and says that the budget is {state}')
def check_loan(context, tokens, state):
    assert context.loan.lends
    assert context.loan.tokens == tokens, context.loan
    assert context.loan.scarce == (state == 'scarce'), context.loan
