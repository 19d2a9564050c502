"""Steps for the causes of failed requests in routers' log lines."""

import json

from behave import given, then, when

from ibisport_fleet.event_log import Event
from ibisport_fleet.explain import Cause, explain

ROUTE = 'r-1'
LOGGED_AT = 1_790_000_000.25


def _format_line(event, **fields):
    line = {'timestamp': LOGGED_AT, 'clock': 1.5, 'event': int(event), 'route': ROUTE}
    return json.dumps({**line, **fields})


@given('a log line of event {event:d} with {fields}')
def write_line(context, event, fields):
    pairs = [pair.split('=') for pair in fields.split()]
    constants = {'true': True}
    details = {
        name: constants.get(text, int(text) if text.isdigit() else text)
        for name, text in pairs
    }
    context.lines = [f'  0.25 host-1 {_format_line(event, **details)}\n']


@given(
    'the lines of a router that served {served:d} requests, dropped {dropped:d} lines '
    'and wrote {others:d} lines that are no events'
)
def write_lines(context, served, dropped, others):
    context.lines = [
        _format_line(Event.request_served, status=200) for _ in range(served)
    ]
    context.lines.append(_format_line(Event.lines_dropped, lines=dropped))
    context.lines.append(_format_line(Event.request_sent, status=0))
    context.lines += ['Traceback (most recent call last):' for _ in range(others)]


@when('the log is explained')
def explain_lines(context):
    context.explanation = explain(context.lines)


@then('its cause is {name}')
def check_cause(context, name):
    cause = Cause[name]
    assert dict(context.explanation.by_route) == {(ROUTE, cause): 1}
    assert dict(context.explanation.by_second) == {(int(LOGGED_AT), cause): 1}
    assert cause.value in context.explanation.format()


@then(
    '{served:d} are served, {dropped:d} are dropped, {others:d} are no events '
    'and no cause is found'
)
def check_counts(context, served, dropped, others):
    counts = context.explanation
    assert (counts.served, counts.dropped, counts.unreadable) == (
        served,
        dropped,
        others,
    )
    assert not counts.by_route
    assert not counts.by_second
