"""Steps on the policy that decides when a router stands by."""

from dataclasses import dataclass

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as forall

from ibisport_fleet.admission import Refused
from ibisport_fleet.budgets import TokensUnavailable
from ibisport_fleet.standby.policy import (
    ATTEMPT_INTERVAL_SECONDS,
    Begun,
    Cause,
    Ended,
    StandbyPolicy,
    find_local_cause,
)
from ibisport_fleet.target_selection import RequestFailed

STEP_SECONDS = 0.02
# A request that loses contact while it waits for tokens is refused this much later.
REFUSAL_DELAY_SECONDS = 0.6
REFUSALS = {
    '402 budget': TokensUnavailable(None),
    '503 budget by a lender': TokensUnavailable(0.2, used=5),
    '503 no_catalogue': Refused(503, 'no_catalogue', 0.4),
    '503 leaving': Refused(503, 'leaving', 0.1),
    '503 full': RequestFailed(503, 'full', 0.3),
    '502 broken': RequestFailed(502, 'broken'),
}


@given('a standby policy')
def make_policy(context):
    context.policy = StandbyPolicy()
    context.transitions = []


def _refuse(context, now):
    context.policy.record_request(now)
    _record(context, now, context.policy.record_refusal(Cause.no_contact, now))


def _record(context, now, transition):
    if transition is not None:
        context.transitions.append((now, transition))


@when(
    '{requests:d} requests arrive within {seconds:g} s and '
    '{refused:d} are refused for lack of contact'
)
def refuse_some(context, requests, seconds, refused):
    for number in range(requests):
        now = 50 + number * seconds / requests
        if number < requests - refused:
            context.policy.record_request(now)
        else:
            _refuse(context, now)


@when('each sixth of {count:d} refused requests is followed by an answer of a lender')
def refuse_with_answers(context, count):
    for number in range(count):
        now = 50 + number * STEP_SECONDS
        _refuse(context, now)
        if number % 6 == 5:
            context.policy.record_contact(Cause.no_contact, now)


@then('the policy has its router {state}')
def check_state(context, state):
    is_active = context.policy.cause is not None
    assert is_active == (state == 'on standby'), context.policy.cause


@then('no standby begins')
def check_none_began(context):
    assert not context.transitions, context.transitions


@when('all of {rate:d} requests a second are refused for {seconds:d} s')
def refuse_all(context, rate, seconds):
    for number in range(rate * seconds):
        now = 50 + number / rate
        _refuse(context, now)
        _record(context, now, context.policy.end_if_due(now))


def _list_durations(context):
    ended = [change for _, change in context.transitions if isinstance(change, Ended)]
    return [round(standby.seconds, 1) for standby in ended]


@then('its standbys take 3, 6, 12 and 12 s')
def check_durations(context):
    assert _list_durations(context)[:4] == [3, 6, 12, 12], context.transitions


@then('a standby {pause:d} s after the last one takes {seconds:d} s again')
def check_duration_restarts(context, pause, seconds):
    start = context.transitions[-1][0] + 20 + pause
    context.policy.end_if_due(start)
    context.transitions.clear()
    for number in range(400):
        now = start + pause + number * STEP_SECONDS
        _refuse(context, now)
        _record(context, now, context.policy.end_if_due(now))
    assert round(_list_durations(context)[0]) == seconds, context.transitions


@dataclass(slots=True)
class _Simulation:
    """A policy whose router gains and loses contact."""

    policy: StandbyPolicy
    now: float = 100.0
    contact: float = 0.0
    out_in_contact: float = 0.0
    standbys: int = 0
    attempt_at: float = 0.0

    def run(self, seconds, has_contact):
        """Send 50 requests a second for some time."""
        lost_at = self.now
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            is_out = self.policy.cause is not None
            if has_contact:
                self.contact += STEP_SECONDS
                self.out_in_contact += STEP_SECONDS * is_out
            self.policy.end_if_due(self.now)
            self._handle_request(has_contact, lost_at)
            self._try_contact(has_contact)

    def _handle_request(self, has_contact, lost_at):
        if self.policy.cause is not None:
            return
        self.policy.record_request(self.now)
        if has_contact:
            self.policy.record_contact(Cause.no_contact, self.now)
        elif self.now - lost_at > REFUSAL_DELAY_SECONDS:
            begun = self.policy.record_refusal(Cause.no_contact, self.now)
            self.standbys += isinstance(begun, Begun)

    def _try_contact(self, has_contact):
        if self.policy.cause is None or self.now < self.attempt_at:
            return
        self.attempt_at = self.now + ATTEMPT_INTERVAL_SECONDS
        if has_contact:
            self.policy.record_contact(Cause.no_contact, self.now)


def _simulate(phases):
    simulation = _Simulation(StandbyPolicy())
    for lost_seconds, contact_seconds in phases:
        simulation.run(lost_seconds, has_contact=False)
        simulation.run(contact_seconds, has_contact=True)
    return simulation


@when(
    'its contact comes and goes in {count:d} generated ways '
    'and at {regular:d} regular rates'
)
def flap(context, count, regular):
    context.simulations = []
    # Shorter contact may pass unnoticed between two attempts.
    contact = strategies.floats(0.3, 8.0)
    lost = strategies.floats(0.05, 15.0)

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @forall(strategies.lists(strategies.tuples(lost, contact), min_size=3, max_size=12))
    def play(phases):
        context.simulations.append(_simulate(phases))

    play()
    # Contact that is lost again just after a standby has ended.
    for number in range(regular):
        phase = 1.0 + STEP_SECONDS * (number // 3), 0.3 + 0.1 * (number % 3)
        context.simulations.append(_simulate((phase,) * 10))


@then('it was out of rotation while in contact for less than an eighth of the time')
def check_flapping(context):
    assert any(simulation.standbys > 3 for simulation in context.simulations)
    for simulation in context.simulations:
        seconds = simulation.now - 100.0
        assert simulation.out_in_contact < seconds / 8, simulation


@when('a router refuses a request with {refusal}')
def refuse(context, refusal):
    if refusal == '503 budget without contact':
        error = TokensUnavailable(0.2)
        error.out_of_contact = True
    else:
        error = REFUSALS[refusal]
    context.cause = find_local_cause(error)


@then('the local cause is {cause}')
def check_cause(context, cause):
    found = 'none' if context.cause is None else context.cause.value
    assert found == cause, context.cause
