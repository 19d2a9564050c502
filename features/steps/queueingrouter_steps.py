"""Steps on requests that wait at a running router."""

import asyncio
from dataclasses import replace

from behave import then, when
from running_router import (
    CATALOGUE,
    Caller,
    encode_request,
    make_plain,
    make_route,
    run_until_stopped,
    send_on_new_connection,
)

from ibisport_fleet.catalogue import RouteKind
from ibisport_fleet.settings import Feature

SLOTS = 2
RUN_SECONDS = 0.3
STATUS_OK = 200
RANKED = replace(
    CATALOGUE,
    routes=tuple(
        replace(make_route(name, RouteKind.idempotent), rank=rank, objective=objective)
        for name, rank, objective in (('urgent', 0, 0.5), ('patient', 2, 1.5))
    ),
)


def _send(site, route, name):
    return send_on_new_connection(site, encode_request(route, name))


async def _leave(site, name):
    """Send a request and disconnect before its answer."""
    caller = site.call(Caller(site).ask(encode_request('patient', name)))
    await asyncio.sleep(RUN_SECONDS / 4)
    caller.cancel()


def _run(act, features):
    async def act_in_time(site):
        site.slots = SLOTS
        site.service.put('servers/i-0', b'')
        await site.wait_until(act.begins_at)
        return await act(site)

    reply = replace(make_plain(), pause=RUN_SECONDS)
    return run_until_stopped([reply], act_in_time, RANKED, features=features)


async def _press(site):
    """Send requests of both ranks; the third and later ones find the target full."""
    sent = [_send(site, 'urgent', 'u-0'), _send(site, 'patient', 'p-0')]
    await asyncio.sleep(RUN_SECONDS / 10)
    sent += [_send(site, 'patient', 'p-1'), _send(site, 'patient', 'p-2')]
    site.call(_leave(site, 'p-left'))
    await asyncio.sleep(RUN_SECONDS / 10)
    sent.append(_send(site, 'urgent', 'u-1'))
    await asyncio.sleep(RUN_SECONDS / 2)
    site.names_before_an_end = _list_names(site)
    return await asyncio.gather(*sent)


async def _stop_while_waiting(site):
    sent = [_send(site, 'urgent', 'u-0')]
    sent += [_send(site, 'patient', f'p-{number}') for number in range(6)]
    return await asyncio.gather(*sent)


_press.begins_at = -5.0
_stop_while_waiting.begins_at = -0.1


def _list_names(site):
    return [request.find(b'attempt-id').decode() for request in site.target.requests]


@when('a router whose target is full gets less urgent and urgent requests')
def press_with_queue(context):
    features = (Feature.queueing,)
    context.site, context.answers = _run(_press, features)


@then('the urgent request reaches the target first and the others follow in turn')
def check_order(context):
    names = _list_names(context.site)
    assert context.site.names_before_an_end == ['u-0', 'p-0', 'u-1'], names
    assert names == ['u-0', 'p-0', 'u-1', 'p-1', 'p-2'], names
    assert {answer.status for answer in context.answers} == {STATUS_OK}


@then('the request whose caller left never reaches the target')
def check_left(context):
    assert not context.site.has_got('p-left')


@when('a router without the feature gets the same requests')
def press_without_queue(context):
    context.site, context.answers = _run(_press, ())


@then('all of them reach the target at once')
def check_no_queue(context):
    assert len(context.site.names_before_an_end) == 6, context.site.names_before_an_end


@when('a router stops while requests wait')
def stop_while_waiting(context):
    features = (Feature.queueing,)
    context.site, context.answers = _run(_stop_while_waiting, features)


@then('they are answered before the process ends')
def check_answered(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {STATUS_OK}, statuses
    assert not context.site.killed
