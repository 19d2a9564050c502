"""Steps on targets that have ended and are still listed."""

import asyncio

from behave import then, when
from followers import open_null_log
from running_fleet import START_SECONDS, make_body, run_fleet

from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.store import Item, Listing
from ibisport_fleet.targets import TargetEntry

REQUEST_INTERVAL_SECONDS = 0.02
BEFORE_SECONDS = 2.0
QUICK_RESTART_SECONDS = 1.0
# The old entries lapse 3.6 seconds after the crash.
OBSERVED_SECONDS = 2.4
STATUS_OK = 200


def _run(context, restart_seconds, disturb):
    async def disturb_later(fleet):
        await asyncio.sleep(BEFORE_SECONDS)
        disturb(fleet)

    async def act(fleet):
        span = BEFORE_SECONDS + restart_seconds + OBSERVED_SECONDS
        await asyncio.gather(
            fleet.press(REQUEST_INTERVAL_SECONDS, span, make_body),
            disturb_later(fleet),
        )

    context.since = START_SECONDS + BEFORE_SECONDS + restart_seconds
    context.fleet = run_fleet(act, *context.size)


@when('all targets crash and start again at their addresses beside their old entries')
def restart_all(context):
    def crash(fleet):
        for target in fleet.targets:
            target.crash(QUICK_RESTART_SECONDS)

    _run(context, QUICK_RESTART_SECONDS, crash)


@when('{count:d} targets end while their entries remain')
def end_some(context, count):
    def end(fleet):
        for target in fleet.targets[:count]:
            target.close()

    _run(context, 0.0, end)


@then(
    'at least {share:g} of the requests sent from {seconds:g} seconds after {event} '
    'are served'
)
def check_served(context, share, seconds, event):
    since = context.since + seconds
    answers = [answer for _, answer in context.fleet.answers if answer.sent_at >= since]
    served = sum(answer.whole and answer.status == STATUS_OK for answer in answers)
    assert answers
    assert served >= share * len(answers), (served, len(answers))


@when('a first listing and then a change bring entries with the same address')
def list_same_address(context):
    address = ('10.1.0.1', 80)
    entries = {
        name: TargetEntry(name, 'svc', address, 'd', 1, False, revision)
        for name, revision in (('i-old', 5), ('i-new', 9), ('i-newest', 11))
    }
    items = {name: Item(name, b'', entry.revision) for name, entry in entries.items()}
    context.names = []

    async def follow():
        view = TargetView(
            lambda item: entries[item.key], lambda key: key, open_null_log()
        )

        def record():
            candidates = view.list_candidates('svc')
            context.names.append([one.entry.incarnation for one in candidates])

        view.apply_listing(Listing((items['i-new'], items['i-old']), 9), 0.0)
        record()
        await asyncio.sleep(1.0)
        view.apply_change(items['i-newest'], 0.0)
        record()
        view.find_health(entries['i-newest'].start_id).mark_replaced()
        record()

    run_virtually(follow())


@then('the newest of the listing is the candidate, and then the one of the change')
def check_candidates(context):
    assert context.names[:2] == [['i-new'], ['i-newest']], context.names


@then('the one before is a candidate again once the address answered for it')
def check_fallback(context):
    assert context.names[2] == ['i-new'], context.names
