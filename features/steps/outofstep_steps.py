"""Steps on a router that is out of step with the others for a while."""

import asyncio

from behave import then, when
from streamrestarts_steps import RETURN_INTERVAL_SECONDS
from streamversions_steps import SILENT, call_all, play

STORE, OTHERS, BOTH = 'the store', 'the others', 'both'
# From the cut to the restart of targets, and until these are back.
BEFORE_RESTART_SECONDS = 0.2
RESTART_SECONDS = 0.5
STREAM_INTERVAL_SECONDS = 0.1
EVENTS_BEFORE_MOVE = 2
MAX_RETURNS = 25
NEW_VERSION = 'v2'


def set_cut(fleet, router, others, *, is_cut):
    """Cut a router off, or connect it again."""
    if others in {STORE, BOTH}:
        cut = fleet.service.faults.cut
        (cut.add if is_cut else cut.discard)(router.host)
    if others in {OTHERS, BOTH}:
        for other in fleet.routers[:-1]:
            for link in ((router.host, other.host), (other.host, router.host)):
                if is_cut:
                    fleet.net.links[link] = SILENT
                else:
                    fleet.net.links.pop(link, None)


async def stay_out_of_step(fleet, others, seconds):
    """Cut the last router off while half of the targets restart with a new version."""
    last = fleet.routers[-1]
    set_cut(fleet, last, others, is_cut=True)
    await asyncio.sleep(BEFORE_RESTART_SECONDS)
    for target in fleet.targets[: len(fleet.targets) // 2]:
        target.software_version = NEW_VERSION
        target.crash(RESTART_SECONDS)
    await asyncio.sleep(seconds - BEFORE_RESTART_SECONDS)
    set_cut(fleet, last, others, is_cut=False)


async def move(fleet, caller, number):
    """Begin a stream at another router, and resume it at the last until it is whole."""
    await asyncio.sleep(number * STREAM_INTERVAL_SECONDS)
    first = fleet.routers[number % (len(fleet.routers) - 1)]
    stream = await caller.begin(first, EVENTS_BEFORE_MOVE)
    for _ in range(MAX_RETURNS):
        if stream.is_whole or not stream.events:
            break
        await caller.resume(fleet.routers[-1], stream)
        await asyncio.sleep(RETURN_INTERVAL_SECONDS)
    return stream


@when(
    'the last router is cut off from {others} for {seconds:d} s while half of the '
    'targets restart as v2, and callers move {count:d} streams of the others to it'
)
def move_streams(context, others, seconds, count):
    async def act(fleet, caller):
        for target in fleet.targets:
            target.event_factor = context.event_factor
        if 'listed_seconds' in context:
            await asyncio.sleep(context.listed_seconds)
        cutting = asyncio.ensure_future(stay_out_of_step(fleet, others, seconds))
        streams = await call_all(
            fleet, (move(fleet, caller, number) for number in range(count))
        )
        await cutting
        return streams

    play(context, act)


@then('streams of both versions were moved, and some are whole')
def check_moved(context):
    moved = [stream for stream in context.streams if len(stream.statuses) > 1]
    versions = set().union(*(stream.versions for stream in moved))
    assert versions == {'v1', NEW_VERSION}, versions
    whole = {
        version for stream in moved for version in stream.versions if stream.is_whole
    }
    print(len(moved), sum(stream.is_whole for stream in moved), whole)
    assert NEW_VERSION in whole, whole
