"""Steps on targets that say in their answers that they leave."""

import asyncio
import os

from behave import then, when
from fleet_targets import RESTART_SECONDS
from running_fleet import START_SECONDS, make_body, run_fleet

from ibisport_fleet.event_log import EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.http_messages import AnswerHead
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.headers import PlatformDialect

REQUEST_INTERVAL_SECONDS = 0.02
BEFORE_SECONDS = 2.0
AFTERWARDS_SECONDS = 2.0
REWRITE_INTERVAL_SECONDS = 0.6
AWAY_SECONDS = 1.0


def _run(context, seconds, disturb, afterwards=AFTERWARDS_SECONDS):
    async def leave(fleet):
        await asyncio.sleep(BEFORE_SECONDS)
        target = fleet.targets[0]
        target.leaves = True
        await disturb(target, fleet.now + seconds)

    async def act(fleet):
        span = BEFORE_SECONDS + seconds + afterwards
        await asyncio.gather(
            fleet.press(REQUEST_INTERVAL_SECONDS, span, make_body), leave(fleet)
        )

    context.fleet = run_fleet(act, *context.size)


@when(
    'one target says so for {seconds:d} seconds '
    'while its entry is written again as ready'
)
def leave_beside_ready_entry(context, seconds):
    async def rewrite(target, until):
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(REWRITE_INTERVAL_SECONDS)
            target.write_entry()

    _run(context, seconds, rewrite)


@when('one target says so for {seconds:d} seconds while its entry is removed and back')
def leave_beside_missing_entry(context, seconds):
    async def remove(target, until):
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(AWAY_SECONDS)
            target.remove_entry()
            await asyncio.sleep(AWAY_SECONDS)
            target.write_entry()

    _run(context, seconds, remove)


@when('one target says so for {seconds:d} seconds and starts again')
def leave_and_restart(context, seconds):
    async def restart(target, until):
        await asyncio.sleep(seconds)
        target.leaves = False
        target.crash()

    _run(context, seconds, restart, RESTART_SECONDS + 8.0)


@then('no router sends it a request later than {seconds:g} seconds after it was told')
def check_no_sends(context, seconds):
    fleet = context.fleet
    assert fleet.left
    late = [
        arrival
        for arrival in fleet.arrivals
        if (told_at := fleet.left.get((arrival.target, arrival.router))) is not None
        and arrival.at > told_at + seconds
    ]
    assert not late, (len(late), late[:3])


@then('its new incarnation gets half of an even share within {seconds:d} seconds')
def check_new_incarnation(context, seconds):
    fleet = context.fleet
    since = fleet.now - seconds
    assert since > START_SECONDS
    count, total = fleet.count_arrivals(fleet.targets[0], since)
    assert fleet.targets[0].incarnation.endswith('-2')
    assert count >= total / len(fleet.targets) / 2, (count, total)


@when('a misdirected answer says that its target leaves')
def decode_misdirected(context):
    headers = ((b'server-leaving', b'1'),)
    dialect = PlatformDialect()
    context.misdirected = dialect.decode_answer(AnswerHead(421, headers, True, True))
    context.addressed = dialect.decode_answer(AnswerHead(200, headers, True, True))


@then("the addressed target isn't taken for leaving")
def check_misdirected(context):
    assert context.addressed.leaving
    assert not context.misdirected.leaving


@when('the head of an answer says that its target leaves and its request is cancelled')
def cancel_after_head(context):
    log = EventLog(os.open(os.devnull, os.O_WRONLY))
    context.view = TargetView(lambda item: None, str, log)
    entry = TargetEntry('i-1', 'svc', ('10.1.0.1', 80), 'd', 100, False, 0)
    context.view.targets.put(entry)
    context.view.find_health(entry.start_id).leaving = True


@then("the target isn't a candidate for the next request")
def check_candidates(context):
    async def list_candidates():
        return context.view.list_candidates('svc')

    assert not asyncio.run(list_candidates())
