"""Steps on requests that are retried, joined, cut off or not repeatable."""

import sys
import threading
import time

import orjson
from behave import given, then, when
from money_evidence import Callers, check_promises, read_session, wait_recovered
from sites import FAST_AGENT, read_account, start_site, wait_until

from ibisport_bench.invariants import bound_request
from ibisport_bench.launcher import start_program
from ibisport_bench.relay import Relay

WORDS = 200
SHORT = 20
CALLS = 4
WORK_MS = 1500
SERVICE_MODULE = 'ibisport_bench.standins.service'


@given('a site of two routers')
def start(context):
    start_site(context)
    context.callers = Callers(context.site)
    context.answers = []


@given('a site of two routers with relays before the agents')
def start_relayed(context):
    start_site(context, agent_flags={**FAST_AGENT, 'resume-within': 6})
    context.callers = Callers(context.site)
    context.relays = {}
    for target in context.site.targets.values():
        relay = Relay(target.agent.address)
        context.add_cleanup(relay.close)
        context.relays[target.name] = relay
        context.site.put_target(target, agent_address=relay.address)
    wait_until(lambda: all(map(_is_relayed, context.relays.values())), 15, 'the relays')
    context.site.wait_ready()


@when("a caller's router is killed in its stream and it retries elsewhere")
def retry_elsewhere(context):
    callers = context.callers
    session = read_session(context, 0)
    prompt = callers.make_prompt(WORDS)
    begun = threading.Event()
    first = callers.ask(0, WORDS, prompt, key='retried', first_bytes=begun)
    assert begun.wait(10)
    context.site.routers[0].kill()
    assert first.result().broken
    context.answers = [callers.ask(1, WORDS, prompt, key='retried').result()]
    wait_recovered(context, session)


@when('{count:d} callers ask with one key at both routers at once')
def ask_many(context, count):
    prompt = context.callers.make_prompt(WORDS)
    asked = [
        context.callers.ask(number % 2, WORDS, prompt, key='shared')
        for number in range(count)
    ]
    context.answers = [one.result() for one in asked]


@when('a key is used again with another body at either router')
def reuse_key(context):
    callers = context.callers
    assert callers.ask(0, SHORT, key='reused').result().looks_whole
    context.answers = [
        callers.ask(router, SHORT, key='reused').result() for router in (0, 1)
    ]


@when('the links are cut and later go silent while streams are open')
def disturb(context):
    begun = [threading.Event() for _ in range(CALLS)]
    asked = [
        context.callers.ask(number % 2, WORDS, first_bytes=event)
        for number, event in enumerate(begun)
    ]
    assert all(event.wait(10) for event in begun)
    for relay in context.relays.values():
        relay.cut()
    time.sleep(0.3)
    for relay in context.relays.values():
        relay.silence_existing()
    context.answers = [one.result() for one in asked]


@when('a keyed request is answered while its first home is cut off, and asked again')
def move_home(context):
    callers = context.callers
    prompt = callers.make_prompt(SHORT)
    names = ('engine-0', 'engine-1')
    context.answers = []
    for cut in names:
        relay = context.relays[cut]
        relay.refuse()
        relay.cut()
        _wait_linked(context, cut, linked=False)
        context.answers.append(callers.ask(0, SHORT, prompt, key='moved').result())
        relay.heal()
        _wait_linked(context, cut, linked=True)
    context.answers.append(callers.ask(1, SHORT, prompt, key='moved').result())


@when('a keyed request is answered, all agents restart, and it is asked again')
def restart_between(context):
    callers = context.callers
    prompt = callers.make_prompt(SHORT)
    context.answers = [callers.ask(0, SHORT, prompt, key='kept').result()]
    for name in ('engine-0', 'engine-1'):
        context.site.targets[name].agent.kill()
        context.site.restart_agent(name)
    context.site.wait_ready()
    context.answers.append(callers.ask(1, SHORT, prompt, key='kept').result())


@when("all engines' agents are killed with a whole answer in flight")
def kill_agents(context):
    asked = [
        context.callers.ask(number % 2, WORDS, stream=False) for number in range(CALLS)
    ]
    wait_until(lambda: len(context.site.read_runs()) == CALLS, 10, 'the runs')
    for name in ('engine-0', 'engine-1'):
        context.site.targets[name].agent.kill()
    context.answers = [one.result() for one in asked]
    for name in ('engine-0', 'engine-1'):
        context.site.restart_agent(name)


@when('the engines break off in the middle of streams')
def break_engines(context):
    # An engine breaks its next answer only: asked together, a whole answer could
    # take every break and be retried, and then no stream would break off.
    context.answers = []
    for stream in (True, False):
        for name in ('engine-0', 'engine-1'):
            program = context.site.targets[name].program
            context.site.set_faults(program, break_after_tokens=5)
        asked = [
            context.callers.ask(number % 2, SHORT, stream=stream)
            for number in range(CALLS)
        ]
        context.answers += [one.result() for one in asked]


@when('the service breaks off non-idempotent calls, keyed and not')
def break_service(context):
    program = context.site.targets['service-0'].program
    context.site.set_faults(program, break_before_answer=2)
    for number, key in enumerate(('', 'broken')):
        context.answers.append(_post(context, number, f'order-{number}', key))
    context.answers.append(_post(context, 0, 'order-1', 'broken'))


@when(
    "the service's agent is killed and restarted with non-idempotent calls running",
)
def kill_service_agent(context):
    asked = _start_slow_calls(context)
    context.site.targets['service-0'].agent.kill()
    context.site.restart_agent('service-0')
    context.answers = [one.result() for one in asked]
    for number in range(CALLS):
        answer = _post(context, 1, f'order-{number}', f'order-{number}')
        context.answers.append(answer)


@when('the router of keyed non-idempotent calls is killed and they are retried')
def kill_router(context):
    session = read_session(context, 0)
    asked = _start_slow_calls(context)
    context.site.routers[0].kill()
    context.answers = [one.result() for one in asked]
    for number in range(CALLS):
        answer = _post(context, 1, f'order-{number}', f'order-{number}')
        context.answers.append(answer)
    wait_recovered(context, session)


@then('the answer is whole and was generated once')
@then('every one has the whole answer and it was generated once')
@then('every stream is whole and was generated once')
def check_once(context):
    for answer in context.answers:
        assert answer.looks_whole, answer
    evidence = context.callers.read_evidence()
    for answer in context.answers:
        runs = evidence.find_runs(answer)
        assert len(runs) == 1, runs


@then('every one has the whole answer')
def check_whole(context):
    for answer in context.answers:
        assert answer.looks_whole, answer


@then('the second request is refused with identity_reused')
def check_reused(context):
    codes = [answer.error.get('code') for answer in context.answers]
    assert set(codes) == {'identity_reused'}, context.answers


@then('the key was billed once')
def check_billed_once(context):
    evidence = context.callers.read_evidence()
    calls = context.answers
    due = bound_request(calls, evidence.find_runs(calls[0])).max_tokens
    wait_until(lambda: read_account(context.site).spent >= due, 10, 'the settlement')
    time.sleep(1)
    assert read_account(context.site).spent == due, (due, read_account(context.site))


@then('no truncated answer looks whole')
def check_truncated(context):
    cut = [answer for answer in context.answers if not answer.looks_whole]
    assert cut, 'no answer broke off'
    for answer in context.answers:
        assert len(answer.text) == SHORT or not answer.looks_whole, answer


@then('no caller is told that it did not run')
def check_not_denied(context):
    said = [answer.error.get('statement') for answer in context.answers]
    assert 'did_not_run' not in said, context.answers


@then('every outcome is typed and no call ran twice')
def check_typed(context):
    for answer in context.answers:
        typed = answer.error.get('statement') is not None
        assert answer.looks_whole or answer.broken or typed, answer
    evidence = context.callers.read_evidence()
    for answer in context.answers:
        assert len(evidence.find_runs(answer)) <= 1, evidence.find_runs(answer)


@then('every promise holds once')
def check(context):
    check_promises(context)


def _post(context, router, sent, key):
    return context.callers.post(
        router, sent.encode(), key=key, idempotent=False
    ).result()


def _start_slow_calls(context):
    """Start calls that run for a while at a slow service, and wait for the runs."""
    _slow_down_service(context)
    asked = [
        context.callers.post(
            0, f'order-{number}'.encode(), key=f'order-{number}', idempotent=False
        )
        for number in range(CALLS)
    ]

    def has_begun():
        return len(context.callers.read_evidence().service_runs) == CALLS

    wait_until(has_begun, 10, 'the runs')
    return asked


def _slow_down_service(context):
    site = context.site
    target = site.targets['service-0']
    target.agent.kill()
    target.program.kill()
    target.program = start_program(
        [sys.executable, '-m', SERVICE_MODULE, '--port=0', f'--work-ms={WORK_MS}'],
        site.folder / 'slow-service.log',
    )
    target.agent = site.start_agent(target.name, target.domain, target.program.address)
    site.put_target(target)
    wait_until(lambda: _follows(context), 15, 'the slow service')


def _follows(context):
    """Whether every session lists the new agent of the slow service, and no other.

    The former agent of the service may stand in a record for a moment beside the new
    one. A router that dies then strands its grants: nobody can say what ran there.
    The record is compared with the new agent's own word, not counted: one name is
    also what stands there before the new agent was listed.
    """
    site = context.site
    agent = site.targets['service-0'].agent
    incarnation = site.read_state(agent)['session']
    records = site.client.read_prefix('/ibisport/session/').records
    listed = [_list_incarnations(record) for record in records]
    states = [site.read_state(router) for router in site.routers]
    links = [state['targets']['service-0'] for state in states]
    linked = all(link['incarnation'] == incarnation for link in links)
    connected = all(link['connected'] for link in links)
    alone = all(one == [incarnation] for one in listed)
    return linked and connected and alone and len(listed) == len(site.routers)


def _list_incarnations(record):
    """Return the incarnations of the service's agent in a session record."""
    agents = orjson.loads(record.content)['agents']
    return [one['incarnation'] for one in agents if one['target'] == 'service-0']


def _is_relayed(relay):
    return relay.count()[1] >= 2


def _wait_linked(context, name, linked):
    def has_changed():
        states = [context.site.read_state(router) for router in context.site.routers]
        return all(
            state['targets'][name]['connected'] == linked
            and (linked or not state['targets'][name]['calls'])
            for state in states
        )

    wait_until(has_changed, 10, f'the link to {name}')
