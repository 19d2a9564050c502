"""Steps on the load that targets report in answers."""

from behave import then, when

from ibisport_fleet.http_messages import AnswerHead
from ibisport_fleet.metadata import TargetLoad
from ibisport_fleet.target_choice import TargetHealth
from ibisport_platform.headers import PlatformDialect


def _decode(report):
    headers = ((b'attempt-id', b'a'), (b'worker-load', report))
    return PlatformDialect().decode_answer(AnswerHead(200, headers, True, True))


@when('a target reports its load as "{report}"')
def decode_report(context, report):
    context.answer = _decode(report.encode())


@when('a target reports its load as ""')
def decode_empty_report(context):
    context.answer = _decode(b'')


@when('a target reports a figure of {digits:d} digits')
def decode_long_figure(context, digits):
    context.answer = _decode(b'3,1,' + b'9' * digits)


@then(
    'it runs {running:d}, has {waiting:d} waiting, {slots:d} slots'
    ' and a slowdown of {slowdown:g}'
)
def check_load(context, running, waiting, slots, slowdown):
    # A report with a fourth figure used to be dropped, so the load was unknown.
    assert context.answer.load == TargetLoad(running, waiting, slots, slowdown)


@then('its load is unknown')
def check_unknown(context):
    assert context.answer.load is None
    assert context.answer.request_id == 'a'


@then(
    'its slowdown counts {fresh:g} seconds later but not {stale:g} seconds later',
)
def check_age(context, fresh, stale):
    health = TargetHealth()
    before = health.find_slowdown(0.0)
    health.record_load(context.answer.load, 0.0)
    found = [before, health.find_slowdown(fresh), health.find_slowdown(stale)]
    # Hundreds of placements would follow a figure that has long changed.
    assert found == [1.0, context.answer.load.slowdown, 1.0], found
