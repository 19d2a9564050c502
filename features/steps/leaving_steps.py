"""Steps for draining, graceful shutdown and rolling replacement."""

import time

from behave import given, then, when
from load import Load
from sites import read_account, start_site, wait_until

from ibisport_core.entries import TargetState

CALLERS = 8
STEADY_SECONDS = 1.0


@given('a site under load')
def start_loaded(context):
    start_site(context, engines=3)
    context.load = Load(context.site)
    context.load.start(CALLERS)
    context.add_cleanup(context.load.stop)
    wait_until(lambda: context.load.served > CALLERS, what='the load')


@given('the store does not answer the first router')
def cut_store(context):
    context.site.set_faults(context.site.store, only_sources=['entry-0'])
    time.sleep(STEADY_SECONDS)


@when('the operators drain {name}')
def drain(context, name):
    context.site.operator.set_target_state(name, TargetState.draining)
    context.changed_at = time.monotonic()


@when('the operators enable {name}')
def enable(context, name):
    time.sleep(STEADY_SECONDS)
    context.site.operator.set_target_state(name, TargetState.live)


@then('within {seconds:d} seconds {name} gets no new work for good')
def check_no_work(context, seconds, name):
    time.sleep(max(0, context.changed_at + seconds - time.monotonic()))
    before = _count_runs(context, name)
    time.sleep(2 * STEADY_SECONDS)
    assert _count_runs(context, name) == before
    assert before > 0, 'the target never ran a request'


@then('within {seconds:d} seconds {name} gets new work')
def check_work(context, seconds, name):
    before = _count_runs(context, name)
    wait_until(lambda: _count_runs(context, name) > before, seconds, 'new work')


@then('no request has failed')
def check_no_failure(context):
    context.load.stop()
    assert not context.load.failures, context.load.failures[:3]
    assert context.load.served > CALLERS


@when('every router is stopped gracefully and replaced, one after the other')
def replace_routers(context):
    site = context.site
    context.stopped = list(site.routers)
    for router in context.stopped:
        site.add_router()
        site.wait_ready()
        assert router.stop(30) == 0
        time.sleep(STEADY_SECONDS)


@when("every engine's agent is stopped gracefully and replaced, one after the other")
def replace_agents(context):
    for name, target in context.site.targets.items():
        if not isinstance(target.serves, str):
            assert target.agent.stop(30) == 0
            context.site.restart_agent(name)
            context.site.wait_ready()
            time.sleep(STEADY_SECONDS)


@then('every router that was stopped left no session and no grant')
def check_left(context):
    sessions = context.site.client.read_prefix('/ibisport/session/').records
    assert len(sessions) == len(context.stopped), sessions
    live = {record.key.rpartition('/')[2] for record in sessions}
    assert set(read_account(context.site).grants) <= live


def _count_runs(context, name):
    url = context.site.targets[name].program.url
    return len(context.site.http.request('GET', f'{url}/runs').json())
