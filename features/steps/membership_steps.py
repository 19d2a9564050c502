"""Steps on routers and agents that come, die and go silent."""

import threading
import time

from behave import given, then, when
from sites import (
    ask,
    expect_words,
    make_body,
    read_account,
    read_words,
    start_site,
    wait_until,
)

from ibisport_bench.relay import Relay
from ibisport_core.entries import EntryKind

SLOW = {'token_ms': 40}
WORDS = 50
BUSY_SECONDS = 0.8
LISTING_SECONDS = 0.25


@given('a running site')
def start(context):
    start_site(context, **SLOW)


@given('a site with a router cut off from the store')
def start_cut(context):
    start_site(context, **SLOW)
    context.site.set_faults(context.site.store, only_sources=['entry-0'])
    time.sleep(BUSY_SECONDS)


@given('the store is down')
def stop_store(context):
    context.site.set_faults(context.site.store, down=True)


@given('a site whose first agent is reached through a relay')
def start_relayed(context):
    site = start_site(context, engines=1, **SLOW)
    target = site.targets['engine-0']
    context.relay = Relay(target.agent.address)
    context.add_cleanup(context.relay.close)
    site.put_target(target, agent_address=context.relay.address)
    site.wait_ready()
    time.sleep(BUSY_SECONDS)


@when('the operators change the limits of a workspace')
def change_limits(context):
    document = {
        'name': 'small',
        'owner': 'operators',
        'keys': _read_keys(context.site),
        'limits': {'max_tokens_per_request': 5},
    }
    context.site.put_entry(EntryKind.workspace, document)


@then('within {seconds:d} seconds both routers refuse by the new limit')
def check_limit(context, seconds):
    def refuses():
        answers = [ask(one, 'small', make_body('hi')) for one in context.site.routers]
        # A refusal for want of money would also be a 429.
        return all(_read_code(one) == 'limit_reached' for one in answers)

    wait_until(refuses, seconds, 'the new limit')


@then("the first router knows the store's newest revision")
def check_revision(context):
    site = context.site
    newest = max(
        record.mod_revision
        for record in site.client.read_prefix('/ibisport/catalogue/').records
    )
    known = site.read_state(site.routers[0])['catalogue_revision']
    assert known >= newest, (known, newest)


@when('a fresh router is started')
def start_router(context):
    context.fresh = context.site.add_router()


@then('the fresh router refuses with a time to come back, and says it did not run')
def check_refuses(context):
    answer = ask(context.fresh, 'small', make_body('too early'))
    assert answer.status in {401, 503}, answer
    assert answer.document['error']['statement'] == 'did_not_run', answer
    assert 'Retry-After' in answer.headers, answer.headers


@then('it serves within {seconds:d} seconds after the store is back')
def check_serves(context, seconds):
    context.site.set_faults(context.site.store, down=False)
    body = make_body('now answer_tokens=5')
    wait_until(lambda: ask(context.fresh, 'small', body).status == 200, seconds)


@when('its connections go silent for good while {count:d} answers are on their way')
def silence(context, count):
    _ask_many(context, count, stream=True)
    time.sleep(BUSY_SECONDS)
    context.relay.silence_existing()


@when("an engine's agent is killed while {count:d} whole answers are on their way")
def kill_agent(context, count):
    _ask_many(context, count, stream=False)
    time.sleep(BUSY_SECONDS)
    context.site.targets['engine-0'].agent.kill()


@when('every router is killed while {count:d} streams are open')
def kill_routers(context, count):
    _ask_many(context, count, stream=True)
    time.sleep(BUSY_SECONDS)
    context.dead = list(context.site.routers)
    for router in context.dead:
        router.kill()
    context.site.routers.clear()


@when('as many fresh routers are started')
def start_routers(context):
    for _ in context.dead:
        context.site.add_router()
    context.site.wait_ready()


@then('all answers arrive whole within {seconds:d} seconds')
def check_whole(context, seconds):
    deadline = time.monotonic() + seconds
    for caller in context.callers:
        caller.join(max(0, deadline - time.monotonic()))
    assert len(context.answers) == len(context.callers), context.answers
    for prompt, answer in context.answers.items():
        assert answer.status == 200, answer
        assert read_words(answer) == expect_words(prompt, WORDS), answer.body


@then('each of them ran once')
def check_once(context):
    prompts = [run['prompt_head'] for run in context.site.read_runs()]
    for prompt in context.answers:
        assert prompts.count(prompt) == 1, prompts


@then('within {seconds:d} seconds no session of a dead router is left')
def check_sessions(context, seconds):
    def all_live():
        prefix = '/ibisport/session/'
        sessions = context.site.client.read_prefix(prefix).records
        return len(sessions) == len(context.site.routers)

    wait_until(all_live, seconds, 'the recovery')


@then('the account has paid what the engines finished and holds nothing else')
def check_account(context):
    runs = context.site.read_runs()
    finished = sum(
        run['prompt_tokens'] + run['completion_tokens']
        for run in runs
        if run['finished'] and not run['cancelled']
    )
    account = read_account(context.site)
    assert account.held == 0, account
    assert account.closed_spent == finished, (account, runs)


@when('every agent is reached at another address')
def move_agents(context):
    for target in context.site.targets.values():
        relay = Relay(target.agent.address)
        context.add_cleanup(relay.close)
        context.site.put_target(target, agent_address=relay.address)


@then('for {seconds:d} seconds no connected agent is kept from paid work')
def check_usable(context, seconds):
    deadline = time.monotonic() + seconds
    kept_since = {}
    while time.monotonic() < deadline:
        now = time.monotonic()
        kept = _list_kept(context.site)
        kept_since = {one: kept_since.get(one, now) for one in kept}
        # A new link is listed within one write to the store.
        assert all(now - since < LISTING_SECONDS for since in kept_since.values()), kept
        time.sleep(0.02)


def _list_kept(site):
    """Return router and target of each link that stands and may not be used."""
    states = [(router.url, site.read_state(router)) for router in site.routers]
    return {
        (url, name)
        for url, state in states
        for name, target in state['targets'].items()
        if target['connected'] and not target['usable']
    }


def _ask_many(context, count, stream):
    context.answers = {}
    context.callers = []
    for number in range(count):
        prompt = f'member {number} answer_tokens={WORDS}'
        arguments = (context, number, prompt, stream)
        caller = threading.Thread(target=_ask_one, args=arguments, daemon=True)
        caller.start()
        context.callers.append(caller)


def _ask_one(context, number, prompt, stream):
    routers = context.site.routers
    router = routers[number % len(routers)]
    context.answers[prompt] = ask(router, 'small', make_body(prompt, stream))


def _read_code(answer):
    return '' if answer.status == 200 else answer.document['error']['code']


def _read_keys(site):
    entry = site.operator.get_entry(EntryKind.workspace, 'small').entry
    return [{'hash': key.hash, 'budget': key.budget} for key in entry.keys]
