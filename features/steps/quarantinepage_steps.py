"""Steps on the quarantine and its page in the store."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from followers import open_null_log

from ibisport_bench.standins.memory_store import MemoryService
from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.membership import SHARED_PREFIX
from ibisport_fleet.quarantine.crashes import TargetCrash
from ibisport_fleet.quarantine.page import PAGE_KEY, QuarantineStore, decode_page
from ibisport_fleet.quarantine.policy import Quarantine

LISTING_INTERVAL_SECONDS = 1.5
SETTLING_SECONDS = 10.0
UNTIL = 1e10
FIRST = 'request-0'


def _read_stopped_clock():
    return 0.0


@given('an empty quarantine')
def make_quarantine(context):
    context.quarantine = Quarantine(_read_stopped_clock, _read_stopped_clock)


@when('{crashes:d} targets each crash under {count:d} different requests')
def crash_under_many(context, crashes, count):
    for number in range(count):
        for target in range(crashes):
            crash = TargetCrash(f'i-{number}-{target}', (f'd-{number}',))
            context.quarantine.record_crash(crash)
    for number in range(count):
        context.quarantine.record_crash(TargetCrash('i-last', (f'other-{number}',)))


@then(
    'at most {suspects:d} requests are suspected '
    'and at most {quarantined:d} are quarantined'
)
def check_bounds(context, suspects, quarantined):
    quarantine = context.quarantine
    assert 0 < quarantine.suspects <= suspects, quarantine.suspects
    assert 0 < len(quarantine.entries) <= quarantined, len(quarantine.entries)


@when('2 targets crash under a request, it gets an answer, and 2 more crash')
def answer_between(context):
    quarantine = context.quarantine
    for target in ('i-1', 'i-2'):
        quarantine.record_crash(TargetCrash(target, (FIRST,)))
    assert quarantine.record_answer(FIRST, ()).lifted
    for target in ('i-3', 'i-4'):
        quarantine.record_crash(TargetCrash(target, (FIRST,)))


@then('the request may be sent')
def check_sendable(context):
    assert context.quarantine.find_remaining_seconds(FIRST) is None


@given("{count:d} routers' copies of the quarantine over one store")
def keep_count(context, count):
    context.count = count


class _Copy:
    """One router's quarantine, synchronized with the store and listed periodically."""

    def __init__(self, service, number):
        self.store = service.open_store(f'router-{number}')
        self.quarantine = Quarantine(_read_stopped_clock, _read_stopped_clock)
        self.page_store = QuarantineStore(self.quarantine, self.store, open_null_log())
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.page_store.run())]
        self.tasks.append(loop.create_task(self._list()))

    def put(self, digest, *, own=True):
        """Quarantine a request at this router and schedule the write."""
        self.quarantine.put(digest, UNTIL)
        self.page_store.save(digest, UNTIL, own=own)

    async def _list(self):
        while True:
            listing = await self.store.scan(SHARED_PREFIX, stale=True)
            self.page_store.apply_listing(listing)
            await asyncio.sleep(LISTING_INTERVAL_SECONDS)


def _run(context, act):
    """Run an action on the copies; keep the final copies and the final page."""

    async def run():
        service = MemoryService()
        copies = [_Copy(service, number) for number in range(context.count)]
        await act(SimpleNamespace(service=service, copies=copies))
        await asyncio.sleep(SETTLING_SECONDS)
        for copy in copies:
            for task in copy.tasks:
                task.cancel()
        context.copies = [set(copy.quarantine.entries) for copy in copies]
        context.page = service.items.get(PAGE_KEY)

    run_virtually(run())


async def _put_all(world):
    for number, copy in enumerate(world.copies):
        copy.put(f'request-{number}')


@when('each quarantines a request of its own at the same time')
def put_concurrently(context):
    _run(context, _put_all)


@when("one that can't reach the store quarantines a request and notifies the others")
def put_without_store(context):
    async def act(world):
        world.service.faults.cut.add('router-0')
        world.copies[0].tasks[0].cancel()
        for copy in world.copies:
            copy.put(FIRST, own=copy is world.copies[0])

    _run(context, act)


@when('each quarantines a request of its own, and the page is removed later')
def remove_page(context):
    async def act(world):
        await _put_all(world)
        await asyncio.sleep(SETTLING_SECONDS)
        assert PAGE_KEY in world.service.items
        world.service.remove(PAGE_KEY)

    _run(context, act)


@when('the page is invalid and each quarantines a request of its own')
def invalidate_page(context):
    async def act(world):
        world.service.put(PAGE_KEY, b'{"until": 3')
        await _put_all(world)

    _run(context, act)


@then("the store's page and all copies contain all {count:d}")
def check_all_contained(context, count):
    expected = {f'request-{number}' for number in range(count)}
    assert set(decode_page(context.page).until) == expected, context.page
    assert all(entries == expected for entries in context.copies), context.copies


@then("the store's page contains it within 10 seconds")
def check_saved(context):
    assert FIRST in decode_page(context.page).until


@then('no copy contains any, and the store has no page')
def check_lifted(context):
    assert not any(context.copies), context.copies
    assert context.page is None
