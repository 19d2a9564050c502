"""Steps on budgets: near zero, through outages of the store, topped up."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from money_evidence import Callers, check_promises
from sites import FAST, read_account, start_site, wait_until

from ibisport_bench.site import WorkspacePlan
from ibisport_core.store import StoreClient

PROMPT_BOUND = 70
LOSS = 0.33
DOWN_SECONDS = 3.0
REST_WORDS = 30
REFUSED_IN_TURN = 6
MOST_TURNS = 120
# The sessions are looked at four times in this time, first after a quarter of it.
SELDOM_SECONDS = 400


@given('a site whose workspace has {tokens:d} tokens')
def start(context, tokens):
    start_site(context, workspaces=(WorkspacePlan('small', tokens),))
    context.callers = Callers(context.site)


@given('a site of routers that hardly ever look at sessions, with {tokens:d} tokens')
def start_unlooked(context, tokens):
    start_site(
        context,
        workspaces=(WorkspacePlan('small', tokens),),
        router_flags={**FAST, 'recover-after': SELDOM_SECONDS},
    )
    context.callers = Callers(context.site)


@given('the store loses the answers of a third of the writes')
def lose_answers(context):
    context.site.set_faults(context.site.store, lose_answer_rate=LOSS, seed=1)


@when('the store loses no more answers')
def lose_none(context):
    context.site.set_faults(context.site.store, lose_answer_rate=0)


@given('both routers have served {count:d} requests of {words:d} words')
def warm_up(context, count, words):
    for number in range(count * 2):
        answer = context.callers.ask(number % 2, words).result()
        assert answer.looks_whole, answer


@when('{count:d} callers ask both routers at once for {words:d} words each')
def ask_at_once(context, count, words):
    asked = [context.callers.ask(number % 2, words) for number in range(count)]
    context.answers = [one.result() for one in asked]


@when('callers ask in turn for {words:d} words each until they are refused')
def ask_in_turn(context, words):
    context.answers = []
    for number in range(40):
        answer = context.callers.ask(number % 2, words).result()
        context.answers.append(answer)
        if not answer.looks_whole:
            return


@when('the store goes down for callers, and the routers serve what they hold')
def go_down(context):
    site = context.site
    site.set_faults(site.store, down=True)
    asked = [context.callers.ask(number % 2, 10) for number in range(6)]
    time.sleep(DOWN_SECONDS)
    context.answers = [one.result() for one in asked]
    served = [one for one in context.answers if one.looks_whole]
    refused = {one.error.get('code') for one in context.answers} - {None}
    assert served, context.answers
    assert refused <= {'budget_busy'}, refused


@when('the budget is topped up by {tokens:d} tokens and the store serves again')
def top_up_after(context, tokens):
    site = context.site
    site.set_faults(site.store, down=False)
    site.operator.top_up('small', 'main', tokens, 'during-the-cut')


@when('an operator pays {tokens:d} tokens')
def top_up(context, tokens):
    context.site.operator.top_up('small', 'main', tokens, 'second')


@when('two operators each pay 500 tokens ten times at once, each payment twice')
def top_up_twice(context):
    site = context.site

    def pay(operator):
        client = StoreClient((site.store.address,), f'operator-{operator}')
        for number in range(20):
            name = f'{operator}-{number % 10}'
            type(site.operator)(client).top_up('small', 'main', 500, name)
        client.close()

    with ThreadPoolExecutor(2) as pool:
        list(pool.map(pay, ('first', 'second')))


@then('the account was topped up with {tokens:d} tokens')
def check_topped_up(context, tokens):
    assert read_account(context.site).topped_up == tokens


@then('every caller has a whole answer')
def check_whole(context):
    missed = [one for one in context.answers if not one.looks_whole]
    assert not missed, missed


@then('no request was refused for good while the budget covered it')
def check_false_refusals(context):
    refused = [one.error for one in context.answers if not one.looks_whole]
    final = [one for one in refused if one.get('code') == 'budget_exhausted']
    paid = sum(one.looks_whole for one in context.answers) * (PROMPT_BOUND + 40)
    left = read_account(context.site).topped_up - paid
    assert not final or left < PROMPT_BOUND + 40, (len(final), left)


@then('the rest of the budget can still be spent through either router')
def check_rest(context):
    turns = 0
    refused = 0
    while refused < REFUSED_IN_TURN and turns < MOST_TURNS:
        answer = context.callers.ask(turns % 2, REST_WORDS).result()
        turns += 1
        refused = 0 if answer.looks_whole else refused + 1
        if refused:
            time.sleep(0.4)
    account = read_account(context.site)
    left = account.topped_up - account.spent
    assert left <= PROMPT_BOUND + REST_WORDS, (left, turns, answer, account)


@then('a request of {tokens:d} tokens is served')
def check_served(context, tokens):
    served = []

    def ask():
        size = tokens - PROMPT_BOUND
        answer = context.callers.ask(0, 10, max_tokens=size).result()
        served.append(answer)
        return answer.looks_whole

    wait_until(ask, 10, f'an answer beside {served}')


@then('the refusal is {status:d} {code}')
def check_refusal(context, status, code):
    last = context.answers[-1]
    assert (last.status, last.error.get('code')) == (status, code), last


@when('a caller leaves a stream of {words:d} words after its first pieces')
def leave(context, words):
    context.answers = [context.callers.ask(0, words, leave_after=5).result()]
    assert context.answers[0].left


@then('the bill stays at what was generated')
def check_left(context):
    def is_settled():
        return read_account(context.site).spent > 0

    wait_until(is_settled, 10, 'the settlement')
    ran = context.site.read_runs()
    assert len(ran) == 1, ran
    most = ran[0]['prompt_tokens'] + ran[0]['completion_tokens']
    spent = read_account(context.site).spent
    assert spent <= most, f'{spent} billed, {most} ran'


@then('every promise holds')
def check(context):
    check_promises(context)
