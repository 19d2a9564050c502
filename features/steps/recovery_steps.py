"""Steps on sessions whose router or agents die, pause or lose their lease."""

import os
import subprocess
import sys
import time
from pathlib import Path

import orjson
from behave import given, then, when
from money_evidence import Callers, check_promises, read_session, wait_recovered
from sites import read_account, start_site, wait_until

from ibisport_core.store import Put, Unchanged

STREAMS = 6
WORDS = 200
CUT_OFF = 'entry-0'
CUT_SECONDS = 2.0
DRAWS = 40
MORE_THAN_HELD = 4000
SESSION_KEY = '/ibisport/session/'
# A lease's key says nothing of money; it lapses by itself.
ALIVE_KEY = '/ibisport/alive/'


@given('a site of two routers with streams open at the first')
def start(context):
    start_site(context)
    context.callers = Callers(context.site)
    for number in range(4):
        assert context.callers.ask(number % 2, 5).result().looks_whole
    context.session = read_session(context, 0)
    context.prompts = [context.callers.make_prompt(WORDS) for _ in range(STREAMS)]
    context.streams = [
        context.callers.ask(0, WORDS, prompt, key=f'key-{number}' if number % 2 else '')
        for number, prompt in enumerate(context.prompts)
    ]
    wait_until(lambda: len(_list_running(context)) == STREAMS, 10, 'the streams')


@when('the first router is killed')
def kill_router(context):
    context.site.routers[0].kill()


@when('the callers with keys retry at the second router')
def retry_keyed(context):
    asked = [
        context.callers.ask(1, WORDS, prompt, key=f'key-{number}')
        for number, prompt in enumerate(context.prompts)
        if number % 2
    ]
    answers = [one.result() for one in asked]
    assert all(one.looks_whole for one in answers), answers


@when('the first router is paused until its session is recovered')
def pause_router(context):
    context.site.routers[0].pause()
    wait_recovered(context, context.session)
    context.paid_old = read_account(context.site).closed_spent


@when('the first router is resumed, cut off from the store, and asked')
def resume_router(context):
    """Let it believe in its old session: only the agents can refuse it."""
    site = context.site
    site.set_faults(site.store, only_sources=[CUT_OFF])
    site.routers[0].resume()
    deadline = time.monotonic() + CUT_SECONDS
    while time.monotonic() < deadline:
        asked = [context.callers.ask(0, 10) for _ in range(STREAMS)]
        for one in asked:
            one.result()


@when('the cut ends while it is asked for more than it holds')
def heal(context):
    asked = []
    for number in range(DRAWS):
        asked.append(context.callers.ask(0, 10, max_tokens=MORE_THAN_HELD))
        time.sleep(0.02)
        if number == DRAWS // 4:
            context.site.set_faults(context.site.store, only_sources=None)
    context.answers = [one.result() for one in asked]


@when('the first router and one agent are killed together')
def kill_both(context):
    site = context.site
    site.routers[0].kill()
    site.targets['engine-0'].agent.kill()


@when('one agent is killed and restarted')
def restart_agent(context):
    context.site.targets['engine-0'].agent.kill()
    context.site.restart_agent('engine-0')
    context.answers = [one.result() for one in context.streams]


@when('every lease of the store lapses')
def lapse(context):
    context.site.set_faults(context.site.store, expire_lease='all')
    context.answers = [one.result() for one in context.streams]
    time.sleep(3)


@when('the first router is killed and its recoverer too after the fence')
def kill_recoverer(context):
    """Stand for a recoverer that dies: its fence stays in the record."""
    client = context.site.client
    key = f'{SESSION_KEY}{context.session}'
    context.site.routers[0].kill()
    record = client.read(key)
    document = orjson.loads(record.content)
    document |= {
        'state': 'fenced',
        'recoverer': 'a-router-that-died',
        'recover_by': time.time() + 2,
    }
    commit = client.commit(
        [Unchanged(key, record.mod_revision)], [Put(key, orjson.dumps(document))]
    )
    assert commit.succeeded


@then('its session is recovered and the account holds no grant of it')
def check_recovered(context):
    wait_recovered(context, context.session)
    assert context.session not in read_account(context.site).grants


@then('it takes a new session and serves again')
def check_renewed(context):
    def is_renewed():
        state = context.site.read_state(context.site.routers[0])
        return state['session'] != context.session and state['session_open']

    wait_until(is_renewed, 10, 'the new session')
    wait_until(lambda: context.callers.ask(0, 5).result().looks_whole, 10, 'service')


@then('nothing was drawn or spent under the old session')
def check_old(context):
    history = context.callers.read_evidence().history
    assert context.session not in read_account(context.site).grants
    gone = [
        one
        for one in history
        if one['type'] == 'DELETE' and one['key'] == f'{SESSION_KEY}{context.session}'
    ]
    later = [
        one
        for one in history
        if one['revision'] > gone[0]['revision']
        and context.session in one['value']
        and not one['key'].startswith(ALIVE_KEY)
    ]
    assert not later, later


@then('the rest stays stranded and is shown as a metric')
def check_stranded(context):
    wait_until(lambda: _read_stranded(context) > 0, 15, 'the stranded tokens')
    account = read_account(context.site)
    grant = account.grants[context.session]
    assert _read_stranded(context) == grant.granted - grant.spent
    address = context.site.routers[1].wait_address('ready-status')
    metrics = context.site.http.request('GET', f'http://{address}/metrics', timeout=5)
    name = f'ibisport_stranded_tokens{{session="{context.session}"}}'
    assert name in metrics.data.decode(), metrics.data.decode()[:2000]


@then('a restarted agent does not free it')
def check_still_stranded(context):
    before = read_account(context.site).grants[context.session]
    context.site.restart_agent('engine-0')
    time.sleep(4)
    assert read_account(context.site).grants.get(context.session) == before


@then('both routers serve again at all targets')
def check_served(context):
    context.site.wait_ready()
    for number in range(8):
        answer = context.callers.ask(number % 2, 5).result()
        assert answer.looks_whole, answer


@then('no session is fenced and every stream is whole')
def check_unfenced(context):
    history = context.callers.read_evidence().history
    fenced = [
        one
        for one in history
        if one['key'].startswith(SESSION_KEY) and '"fenced"' in one['value']
    ]
    assert not fenced, fenced
    assert all(one.looks_whole for one in context.answers), context.answers


@then('every promise holds after the recovery')
def check(context):
    for one in context.streams:
        one.result()
    check_promises(context)


@then('every promise holds but for the stranded rest')
def check_but_stranded(context):
    for one in context.streams:
        one.result()
    check_promises(context, stranded=True)


@then('the operators can write it off, after which it counts as spent')
def check_written_off(context):
    before = read_account(context.site)
    assert before.stranded > 0, before
    program = Path(sys.executable).parent / 'ibisport'
    done = subprocess.run(
        [str(program), 'session', 'write-off', context.session],
        env={**os.environ, 'IBISPORT_STORE': context.site.store.address},
        capture_output=True,
        timeout=30,
    )
    assert done.returncode == 0, done
    after = read_account(context.site)
    assert context.session not in after.grants, after
    granted = before.grants[context.session].granted
    assert after.closed_spent == before.closed_spent + granted, (before, after)


def _list_running(context):
    runs = context.site.read_runs()
    return [one for one in runs if not one['finished'] and one['completion_tokens'] > 2]


def _read_stranded(context):
    state = context.site.read_state(context.site.routers[1])
    return state['stranded'].get(context.session, 0)
