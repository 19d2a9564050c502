"""Steps on what crashes of targets show about requests."""

import asyncio
from types import SimpleNamespace
from unittest import mock

import msgspec
from behave import then, when
from followers import open_null_log
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st

from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.errors import NobodyListens
from ibisport_fleet.peers import LIMITS
from ibisport_fleet.quarantine.crash_detection import CrashDetector
from ibisport_fleet.quarantine.crashes import TargetCrash
from ibisport_fleet.quarantine.policy import (
    FIRST_PROBE_SECONDS,
    Findings,
    Quarantine,
)
from ibisport_fleet.targets import TargetEntry

FATAL = 'part-fatal'
SOUND = 'part-sound'
REPEATED = 'repeated'
CRASH_INTERVAL_SECONDS = 1.0
HOUR_SECONDS = 3_600


class _World:
    """A quarantine with a clock, and crashes of new targets under new requests."""

    def __init__(self):
        self.now = 1_000.0
        self.count = 0
        self.quarantine = Quarantine(lambda: self.now, lambda: self.now)

    @property
    def quarantined(self):
        """All quarantined keys."""
        return set(self.quarantine.entries)

    def crash(self, *prompts, repeated=None, interval=CRASH_INTERVAL_SECONDS):
        """Crash a target under requests with these parts, and one that is repeated."""
        self.count += 1
        self.now += interval
        parts = {
            f'request-{self.count}-{number}': tuple(prompt)
            for number, prompt in enumerate(prompts)
        }
        if repeated is not None:
            parts[REPEATED] = tuple(repeated)
        crash = TargetCrash(f'i-{self.count}', tuple(parts), parts)
        return self.quarantine.record_crash(crash)

    def answer(self, *parts):
        """Let an answer to a request with these parts get past its beginning."""
        self.now += CRASH_INTERVAL_SECONDS
        return self.quarantine.record_survival(parts)


def _start(context):
    context.world = _World()
    return context.world


@when(
    '{fatal:d} targets crash under a fatal part, '
    'and a sound one runs at {sound:d} of them'
)
def crash_beside_sound(context, fatal, sound):
    world = _start(context)
    for number in range(fatal):
        beside = [SOUND] if number >= fatal - sound else []
        world.crash([FATAL], beside)


@when('3 targets crash under 2 parts, and a fourth one under only one of them')
def crash_under_two(context):
    world = _start(context)
    for _ in range(3):
        world.crash([FATAL, SOUND])
    assert world.quarantined == {FATAL, SOUND}
    world.crash([FATAL])


@when('3 targets crash under requests with 2 parts, of which sound ones have one')
def crash_under_shared(context):
    world = _start(context)
    for _ in range(3):
        world.crash([SOUND, FATAL], [SOUND])


@when('3 targets crash under requests that all have the same 2 parts')
def crash_under_both(context):
    world = _start(context)
    for _ in range(3):
        world.crash([SOUND, FATAL])
    world.now += FIRST_PROBE_SECONDS


@then('a request with one of them may be sent once, and one with both may not')
def check_single_probe(context):
    quarantine = context.world.quarantine
    assert context.world.quarantined == {FATAL, SOUND}
    assert quarantine.may_probe([SOUND])
    assert not quarantine.may_probe([SOUND, FATAL])


@when('4 targets crash under one repeated request')
def crash_under_repeated(context):
    world = _start(context)
    for _ in range(4):
        world.crash(repeated=[SOUND])


@when('3 targets crash under one repeated request beside different ones with a part')
def crash_beside_repeated(context):
    world = _start(context)
    for _ in range(3):
        world.crash([FATAL], repeated=[SOUND])


@when('20 targets crash at once under different requests with a part')
def crash_at_once(context):
    world = _start(context)
    for _ in range(20):
        world.crash([SOUND], interval=0.01)


@when('a part is answered, and {crashes:d} targets crash under it afterwards')
def crash_after_answer(context, crashes):
    world = _start(context)
    world.answer(FATAL)
    for _ in range(crashes):
        world.crash([FATAL])


@when('2 targets crash under a part, it is answered, and 3 more targets crash')
def answer_between(context):
    world = _start(context)
    for _ in range(2):
        world.crash([SOUND])
    world.answer(SOUND)
    for _ in range(3):
        world.crash([SOUND])


@when('3 targets crash under a part that one of two routers has seen answered')
def crash_at_two_routers(context):
    context.routers = one, other = _World(), _World()
    one.answer(SOUND)
    other.now = one.now
    for _ in range(3):
        found, missed = one.crash([SOUND]), other.crash([SOUND])
    context.findings = found
    assert missed.quarantined == [SOUND]


@when('a part is quarantined, and each probe of it crashes a target for an hour')
def probe_for_an_hour(context):
    world = _start(context)
    for _ in range(3):
        world.crash([FATAL])
    context.probes = 0
    for _ in range(HOUR_SECONDS):
        world.now += 1.0
        if world.quarantine.may_probe([FATAL]):
            context.probes += 1
            world.quarantine.begin_probe(FATAL)
            world.crash([FATAL], interval=0.1)


@when('any crashes of other causes and any sound requests come between its crashes')
def crash_in_any_company(context):
    parts = st.lists(st.sampled_from([f'part-{number}' for number in range(6)]))
    prompts = st.lists(parts, max_size=4)
    context.histories, context.hidden = 0, []
    others = st.lists(prompts, max_size=2)

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @generate(st.lists(st.tuples(others, parts, prompts), min_size=5, max_size=5))
    def play(steps):
        context.histories += 1
        world = _World()
        for other_crashes, fatal, company in steps:
            for crash in other_crashes:
                world.crash(*_list_sent(world, crash))
            sent = set(fatal) - world.quarantined
            world.crash([FATAL, *sent], *_list_sent(world, company))
        if FATAL not in world.quarantined:
            context.hidden.append(world.quarantined)

    play()


def _list_sent(world, prompts):
    """Return the prompts without any quarantined part; others aren't sent."""
    return [prompt for prompt in prompts if not world.quarantined & set(prompt)]


@when('3,000 targets each crash under 20 requests with 10 parts')
def crash_under_many(context):
    world = _start(context)
    for number in range(3_000):
        parts = [f'part-{number}-{part}' for part in range(10)]
        world.crash(*(parts for _ in range(20)))


@then('only the fatal part is quarantined')
@then('only the part is quarantined')
@then('only the part of all 4 crashes is quarantined')
def check_part(context):
    assert context.world.quarantined == {FATAL}, context.world.quarantined


@then('only the request is quarantined')
def check_request(context):
    assert context.world.quarantined == {REPEATED}, context.world.quarantined


@then('nothing is quarantined')
def check_nothing(context):
    assert not context.world.quarantined, context.world.quarantined


@then('the other router quarantines it only until it is told')
def check_told(context):
    one, other = context.routers
    assert context.findings.answered.keys() == {SOUND}
    assert not one.quarantined and other.quarantined == {SOUND}
    other.quarantine.apply_answers(context.findings.answered, Findings())
    assert not other.quarantined


@then('it was sent {count:d} times')
def check_probes(context, count):
    assert context.probes == count


@then('a fatal part is quarantined by its fifth crash')
def check_any_company(context):
    assert context.histories >= 100, context.histories
    assert not context.hidden, context.hidden[:3]


@then('at most {count} keys are suspected')
def check_bounded(context, count):
    suspects = context.world.quarantine.suspects
    assert 0 < suspects <= int(count.replace(',', '')), suspects


@when('a target crashes under 1,200 requests with a part each')
def crash_under_crowd(context):
    entry = TargetEntry('i-1', 'svc', ('10.0.0.1', 80), 'd', 10, False, 1)
    context.crashes = []
    pool = SimpleNamespace(open=mock.AsyncMock(side_effect=NobodyListens))
    listed = SimpleNamespace(is_serving=lambda known: True)

    async def crash():
        detector = CrashDetector(
            pool,
            SimpleNamespace(targets=listed),
            open_null_log(),
            context.crashes.append,
        )
        for number in range(1_200):
            part = f'part-{number:016x}'
            detector.record_break(entry, f'{number:024x}', (part,))
        await asyncio.sleep(1.0)

    run_virtually(crash())


@then('its notice has {count} requests and is not longer than routers read')
def check_notice(context, count):
    crash = context.crashes[0]
    assert len(crash.digests) == int(count.replace(',', ''))
    assert crash.parts
    size = len(msgspec.json.encode(crash))
    assert size <= LIMITS.max_body_bytes, size
