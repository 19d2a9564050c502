"""Steps for what an error of an unexpected type leaves behind."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from behave import then, when
from followers import ReadableLog
from running_router import (
    PREPAID,
    Caller,
    encode_request,
    make_plain,
    run_until_stopped,
)
from unforeseenerrors_steps import (
    STEP_SECONDS,
    TOKENS,
    InjectedError,
    decode_target,
    parse_name,
    watch_prefix,
)

from ibisport_bench.standins.memory_store import MemoryService
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.borrowing import Borrower
from ibisport_fleet.call_handler import CallHandler
from ibisport_fleet.continuation.waiting import SilenceLimit, wait_for_outcome
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.ledger import Ledger
from ibisport_fleet.placing.prefill import Prefill
from ibisport_fleet.queueing import service_gate
from ibisport_fleet.queueing.policy import PendingRequest, Send, Wait, WaitReason

ERROR = InjectedError('injected')
BORROWED_TOKENS = 7
ODD_SIZE = 666
WAIT_SECONDS = 15.0


def _count_running():
    async def act(site):
        await site.wait_until(-10.0)
        with mock.patch.object(Prefill, 'begin', side_effect=ERROR):
            request = encode_request('once', 'odd', TOKENS)
            await site.call(Caller(site).ask(request))
        return site.list_running()

    return run_until_stopped([make_plain()], act, PREPAID)[1]


async def _give_up():
    cancelled = []

    async def send():
        try:
            await asyncio.sleep(WAIT_SECONDS)
        except asyncio.CancelledError:
            cancelled.append(True)
            raise

    limit = SilenceLimit(asyncio.get_running_loop().time() + STEP_SECONDS, STEP_SECONDS)
    try:
        await wait_for_outcome(send(), limit, mock.Mock(side_effect=ERROR))
    except InjectedError:
        return list(cancelled)


async def _borrow():
    ledger = Ledger()
    ledger.find('w').borrowed = BORROWED_TOKENS
    members = SimpleNamespace(current={}, own=SimpleNamespace(host='a'))
    borrower = Borrower(members, ledger, None, None, None)
    with mock.patch.object(Borrower, '_collect_loan', side_effect=ERROR):
        await asyncio.gather(
            borrower.borrow('w', BORROWED_TOKENS + 1), return_exceptions=True
        )
    return ledger.find('w').borrowed


async def _follow_entries():
    record = TargetView._record_entry

    def record_or_fail(view, entry, *, first_listing):
        if entry.incarnation == 'odd' and not first_listing:
            raise ERROR
        record(view, entry, first_listing=first_listing)

    service, log = MemoryService(), ReadableLog()
    view = TargetView(decode_target, parse_name, log)
    for name in ('i-1', 'odd'):
        service.put(f'servers/{name}', b'')
    task = watch_prefix(service, 'servers/', view, log)
    with mock.patch.object(TargetView, '_record_entry', record_or_fail):
        await asyncio.sleep(STEP_SECONDS)
        service.put('servers/odd', b'')
        service.remove('servers/i-1')
        service.put('servers/i-2', b'')
        await asyncio.sleep(2 * STEP_SECONDS)
    task.cancel()
    return [entry.incarnation for entry in view.targets.entries]


async def _queue():
    now = asyncio.get_running_loop().time()
    sources = service_gate.ServiceSources(lambda _: [object()], lambda: None, lambda: 1)
    gate = service_gate.ServiceGate(sources, service_gate.QueueBounds())

    def decide(request, *_):
        if asyncio.get_running_loop().time() < now + STEP_SECONDS:
            return Wait(now + STEP_SECONDS, WaitReason.behind)
        if request.size == ODD_SIZE:
            raise ERROR
        return Send()

    async def wait(size):
        request = PendingRequest(
            1, None, 1, size, now, now + STEP_SECONDS, now + WAIT_SECONDS, None
        )
        async with asyncio.timeout(WAIT_SECONDS):
            return (await gate.wait_for_turn(request)).decision

    def refuse(request, *_):
        if request.size == ODD_SIZE:
            raise ERROR

    with mock.patch.multiple(service_gate, decide=decide, refuse_if_too_late=refuse):
        waits = (wait(size) for size in (ODD_SIZE, 1, 2))
        return await asyncio.gather(*waits, return_exceptions=True)


def _stop():
    async def act(site):
        await site.wait_until(-1.0)
        with mock.patch.object(CallHandler, 'begin_shutdown', side_effect=ERROR):
            site.stop_at_once()

    site, _ = run_until_stopped([], act)
    return site.killed


PLACES = {
    'the count of a prompt': (_count_running, [0]),
    'the wait for a target': (lambda: run_virtually(_give_up()), [True]),
    'a loan': (lambda: run_virtually(_borrow()), BORROWED_TOKENS),
    'the entry of a target': (lambda: run_virtually(_follow_entries()), ['i-2']),
    'a decision of the queue': (
        lambda: run_virtually(_queue()),
        [ERROR, Send(), Send()],
    ),
    'the plans of a stop': (_stop, False),
}


@when('an unforeseen error is raised beside {place}')
def raise_beside(context, place):
    play, context.expected = PLACES[place]
    context.seen = play()


@then('the target counts no request as running')
@then('the send to it is cancelled')
@then('the tokens held before are still there')
@then('changes of other entries are followed')
@then('the other waiting requests are sent')
@then('the stop is planned all the same')
def check_rest(context):
    assert context.seen == context.expected, (context.seen, context.expected)
