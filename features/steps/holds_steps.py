"""Steps on the reasons for which targets may not get requests."""

from behave import then, use_step_matcher, when

from ibisport_fleet.target_holds import (
    Evacuated,
    Paused,
    RateLimited,
    WarmingUp,
    describe_unavailable,
)

NOW = 100.0
DRAWS = 50
TRIED = 'tried '


def _parse_hold(text):
    match text.split():
        case ['free']:
            return None
        case ['evacuated']:
            return Evacuated()
        case ['paused', seconds]:
            return Paused(NOW + float(seconds))
        case ['limited', seconds, rate]:
            return RateLimited(NOW + float(seconds), float(rate))
        case ['warming_up', seconds, rate]:
            return WarmingUp(NOW + float(seconds), float(rate))
    raise ValueError(text)


use_step_matcher('re')


@when('the targets of a service are held as "(?P<holds>.*)"')
def hold_targets(context, holds):
    texts = [text for text in holds.split(', ') if text]
    parsed = [_parse_hold(text.removeprefix(TRIED)) for text in texts]
    tried = [text.startswith(TRIED) for text in texts]
    context.described = [describe_unavailable(parsed, tried, NOW) for _ in range(DRAWS)]


use_step_matcher('parse')


@then('a request is refused as "{reason}"')
def check_reason(context, reason):
    assert {described.reason for described in context.described} == {reason}


@then('its caller may retry after {least:g} to {most:g} seconds')
def check_retry_after(context, least, most):
    delays = [described.retry_after for described in context.described]
    assert least - 1e-9 <= min(delays), min(delays)
    assert max(delays) <= most + 1e-9, max(delays)
