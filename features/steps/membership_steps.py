"""Steps on routers and agents that come, die and go silent."""

import threading
import time

import orjson
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
# A guard against a hang, far above what the move takes; the order decides.
GUARD_SECONDS = 60.0


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
    context.relays = []
    context.logged = {one.url: len(_read_log(one)) for one in context.site.routers}
    for target in context.site.targets.values():
        relay = Relay(target.agent.address)
        context.add_cleanup(relay.close)
        context.relays.append(relay.address)
        context.site.put_target(target, agent_address=relay.address)


@then('each router links to all agents there, and its former links end')
def check_moved(context):
    def has_moved():
        return all(_has_moved(context, router) for router in context.site.routers)

    wait_until(has_moved, GUARD_SECONDS, 'the move')


@then('for {seconds:d} seconds no agent is unlisted while a link to it stands')
def check_listed(context, seconds):
    # Several looks of each keeper; the order of the log's lines decides, not how
    # long a link was kept from work: that depends on the machine.
    time.sleep(seconds)
    for router in context.site.routers:
        breaches = _find_unlisted(_read_log(router), context.logged[router.url])
        assert not breaches, (router.url, breaches)


@then('every agent can get paid work')
def check_usable(context):
    context.site.wait_ready()


def _has_moved(context, router):
    """Whether the router's links to the former addresses have given way."""
    events = _read_log(router)
    opened = [one['address'] for one in events if one['message_type'] == 'link_opened']
    gone = [one['agent'] for one in events if one['message_type'] == 'agent_gone']
    return set(context.relays) <= set(opened) and len(gone) >= len(context.relays)


def _find_unlisted(events, before):
    """Return the later lines that show a standing link whose agent is not listed.

    A link is logged as open after its agent's listing, and as lost before its agent
    may be taken off. So each line must find the record as the links need it, but for
    the first ones: before the session was open, nothing could be listed.
    """
    listed = set()
    standing = set()
    breaches = []
    for number, event in enumerate(events):
        _follow_listing(event, listed, standing)
        unlisted = not {agent for agent, _ in standing} <= listed
        if number >= before and (unlisted or event['message_type'] == 'session_lost'):
            breaches.append(event)
    return breaches


def _follow_listing(event, listed, standing):
    """Change who is listed and which links stand by one line of the log."""
    match event['message_type']:
        case 'agent_listed':
            listed.add(event['agent'])
        case 'agent_unlisted':
            listed.discard(event['agent'])
        case 'link_opened':
            standing.add((event['agent'], event['address']))
        case 'link_lost':
            standing.discard((event['agent'], event['address']))


def _read_log(router):
    """Return the events that a router has logged, in order."""
    lines = router.log_path.read_text().splitlines(keepends=True)
    whole = [line for line in lines if line.startswith('{') and line.endswith('\n')]
    return [orjson.loads(line) for line in whole]


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
