"""Steps on bursts at routers that let less urgent requests wait."""

from statistics import mean

import queueing_load
from behave import given, then, when
from queueing_load import GREEDY, OBJECTIVES, PATIENT, RATES, URGENT, WORKSPACES

# Requests that began before a change of the load have ended by then.
SETTLE_SECONDS = 1.0


@given('{routers:d} routers and 9 targets of three paces')
def set_routers(context, routers):
    context.routers = routers


def _scale(ranks, workspaces, factor):
    return {(rank, name): factor for rank in ranks for name in workspaces}


LOADS = {
    'less urgent requests grow by 2.5 times': _scale([PATIENT], WORKSPACES, 2.5),
    'urgent requests grow by 1.7 times': _scale([URGENT], WORKSPACES, 1.7),
    'one workspace grows by 7 times': _scale([PATIENT], [GREEDY], 7.0),
    'it is half of the usual one': _scale(RATES, WORKSPACES, 0.5),
}


@when('the load changes for {seconds:g} seconds: {load}')
def play_load(context, load, seconds):
    context.seconds = seconds
    context.queued, context.unqueued = (
        queueing_load.play(context.routers, LOADS[load], seconds, gated=gated, fed=True)
        for gated in (True, False)
    )


def _measure_punctual_share(outcomes, rank):
    selected = [outcome for outcome in outcomes if outcome.rank == rank]
    on_time = [
        outcome
        for outcome in selected
        if outcome.started is not None and outcome.started <= OBJECTIVES[rank]
    ]
    return len(on_time) / len(selected)


def _compute_gain(context, rank):
    queued = _measure_punctual_share(context.queued, rank)
    return queued - _measure_punctual_share(context.unqueued, rank)


@then('the share of urgent requests that start in time grows by at least {gain:g}')
def check_urgent(context, gain):
    measured = _compute_gain(context, URGENT)
    assert measured >= gain, measured


@then('the share of others that start in time falls by at most {loss:g}')
def check_patient(context, loss):
    measured = _compute_gain(context, PATIENT)
    assert measured >= -loss, measured


@then('each request is served')
def check_all_served(context):
    unserved = [outcome for outcome in context.queued if outcome.started is None]
    assert not unserved, (len(unserved), unserved[:3])


@then('no request waits longer than its objective')
def check_longest_wait(context):
    waited = [outcome.waited / OBJECTIVES[outcome.rank] for outcome in context.queued]
    assert max(waited) <= 1, max(waited)


@then('no request has waited')
def check_no_wait(context):
    # The usual load before may have crowded a target for a moment.
    since = queueing_load.WARM_UP_SECONDS + SETTLE_SECONDS
    until = queueing_load.WARM_UP_SECONDS + context.seconds
    selected = [
        outcome for outcome in context.queued if since <= outcome.arrived_at < until
    ]
    assert selected
    assert not any(outcome.waited for outcome in selected)


def _measure_wait(context, is_selected):
    return mean(
        outcome.waited
        for outcome in context.queued
        if outcome.rank == PATIENT and is_selected(outcome)
    )


@then('the less urgent requests of other workspaces wait shorter than its own')
def check_workspaces(context):
    own = _measure_wait(context, lambda outcome: outcome.workspace == GREEDY)
    others = _measure_wait(context, lambda outcome: outcome.workspace != GREEDY)
    assert others < own / 2, (others, own)


@then('large and small requests of a workspace wait about as long')
def check_sizes(context):
    tokens = queueing_load.LARGE_TOKENS
    large = _measure_wait(
        context,
        lambda outcome: outcome.workspace == GREEDY and outcome.tokens == tokens,
    )
    small = _measure_wait(
        context,
        lambda outcome: outcome.workspace == GREEDY and outcome.tokens != tokens,
    )
    assert abs(large - small) < 0.2 * max(large, small), (large, small)
