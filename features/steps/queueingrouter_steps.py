"""Steps on requests that wait at a running router."""

import asyncio
from dataclasses import replace

from behave import then, when
from running_router import (
    CATALOGUE,
    READINESS,
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
OBJECTIVE_SECONDS = 1.5
# Requests that are sent only when the first ones end miss the stop of the process, and
# requests that wait for half of the objective miss it as well.
LONG_RUN_SECONDS = 4.0
LONG_OBJECTIVE_SECONDS = 12.0


def _send(site, route, name):
    return send_on_new_connection(site, encode_request(route, name))


async def _leave(site, name):
    """Send a request and disconnect before its answer."""
    caller = site.call(Caller(site).ask(encode_request('patient', name)))
    await asyncio.sleep(RUN_SECONDS / 4)
    caller.cancel()


def _make_catalogue(objective):
    routes = (
        replace(make_route('urgent', RouteKind.idempotent), rank=0),
        replace(
            make_route('patient', RouteKind.idempotent), rank=2, objective=objective
        ),
    )
    return replace(CATALOGUE, routes=routes)


def _run(act, features, seconds=RUN_SECONDS, objective=OBJECTIVE_SECONDS):
    async def act_in_time(site):
        site.slots = SLOTS
        site.service.put('servers/i-0', b'')
        await site.wait_until(act.begins_at)
        return await act(site)

    reply = replace(make_plain(), pause=seconds)
    catalogue = _make_catalogue(objective)
    return run_until_stopped([reply], act_in_time, catalogue, features=features)


async def _read_metrics():
    reader, writer = await asyncio.open_connection(*READINESS)
    writer.write(b'GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
    head = await reader.readuntil(b'\r\n\r\n')
    size = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
    body = await reader.readexactly(size)
    writer.close()
    return body.decode()


async def _read_metrics_at_end(site):
    await site.wait_until(-1.0)
    site.metrics.append(await _read_metrics())


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
    site.metrics = [await site.call(_read_metrics())]
    return await asyncio.gather(*sent, site.call(_read_metrics_at_end(site)))


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
    statuses = [answer.status for answer in context.answers[:-1]]
    assert set(statuses) == {STATUS_OK}, statuses


@then('the request whose caller left never reaches the target')
def check_left(context):
    assert not context.site.has_got('p-left')


@then('its metrics tell what waits and how long requests of a rank have waited')
def check_metrics(context):
    during, afterwards = context.site.metrics
    assert 'ibisport_state{name="queued"} 2' in during, during
    assert 'ibisport_state{name="queued_bytes"} 4' in during, during
    assert 'ibisport_state{name="queued"} 0' in afterwards, afterwards
    assert 'ibisport_queue_seconds_count{rank="5"} 2' in afterwards, afterwards


@when('a router without the feature gets the same requests')
def press_without_queue(context):
    context.site, context.answers = _run(_press, ())


@then('all of them reach the target at once')
def check_no_queue(context):
    assert len(context.site.names_before_an_end) == 6, context.site.names_before_an_end


@when('a router stops while requests wait')
def stop_while_waiting(context):
    features = (Feature.queueing,)
    context.site, context.answers = _run(
        _stop_while_waiting, features, LONG_RUN_SECONDS, LONG_OBJECTIVE_SECONDS
    )


@then('they are answered before the process ends')
def check_answered(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {STATUS_OK}, statuses
    assert not context.site.killed
