"""Steps on prompt parts that crash targets."""

import asyncio

from behave import then, when
from fleet_targets import FATAL_PART
from running_fleet import CONVERGENCE_SECONDS, run_fleet

FATAL_INTERVAL_SECONDS = 0.25
SOUND_INTERVAL_SECONDS = 0.025
OTHER_CRASH_INTERVAL_SECONDS = 2.0
RESTART_AFTER_SECONDS = 14.0
DOWN_SECONDS = 3.0
# Answers that are this slow have not begun when their targets crash.
SLOW_FACTOR = 20
CRASH_INTERVAL_SECONDS = 0.4
ANSWERED_CRASHES = 3
NOTICE_SECONDS = 0.3
# Bounds of the rule: the crashes after which, and how many requests may follow.
ALLOWED_CRASHES = 5
STATUS_OK = 200
FATAL_MARK = b'with the fatal part'
SAME_FIRST = b'with the same first part'
# The first two parts are common to a workspace's requests, the third to one subject.
COMMON = ('a0', 'b0')
OTHERS = ('c0', 'd0')
SUBJECTS = 12


def _encode_prompt(number, *parts):
    """Return the header line of a prompt, whose last part no other request has."""
    listed = ','.join(f'{part}:100' for part in (*parts, f'{number:x}ff'))
    return f'Prompt-Prefix: {listed}\r\n'


def _make_fatal(number):
    parts = (*COMMON, FATAL_PART.decode())
    return FATAL_MARK + b' %d' % number, _encode_prompt(number, *parts)


def _make_fatal_first(number):
    parts = (FATAL_PART.decode(), *COMMON)
    return FATAL_MARK + b' %d' % number, _encode_prompt(number, *parts)


def _make_sound(number):
    subject = f'5{number % SUBJECTS:x}'
    if number % 2:
        return b'other %d' % number, _encode_prompt(number, *OTHERS, subject)
    return SAME_FIRST + b' %d' % number, _encode_prompt(number, *COMMON, subject)


def _make_sound_alike(number):
    """Return a sound request whose first part all requests have."""
    return _make_sound(2 * number)


async def _disturb_nothing(fleet):
    """Cause no disturbance."""


async def _crash_others(fleet):
    for number in range(10):
        await asyncio.sleep(OTHER_CRASH_INTERVAL_SECONDS)
        target = fleet.targets[number % len(fleet.targets)]
        if target.incarnation not in {crashed for _, crashed in fleet.ends}:
            target.crash()


async def _close_store(fleet):
    fleet.service.faults.down = True


async def _restart_all(fleet):
    await asyncio.sleep(RESTART_AFTER_SECONDS)
    await fleet.restart_routers(DOWN_SECONDS)


DISTURBANCES = {
    'while other targets crash': _crash_others,
    'while the store is down': _close_store,
    'while all routers are killed once': _restart_all,
}


@when(
    'requests with a fatal part come 4 times per second for {seconds:d} seconds '
    '{disturbance}'
)
def send_fatal_parts(context, seconds, disturbance):
    disturb = DISTURBANCES.get(disturbance, _disturb_nothing)
    is_first = disturbance == 'as the first part of their prompts'
    is_alike = disturbance == 'with a first part that all requests have'

    async def act(fleet):
        await asyncio.gather(
            fleet.press(
                FATAL_INTERVAL_SECONDS,
                seconds,
                _make_fatal_first if is_first else _make_fatal,
            ),
            fleet.press(
                SOUND_INTERVAL_SECONDS,
                seconds,
                _make_sound_alike if is_alike else _make_sound,
            ),
            disturb(fleet),
        )

    context.fleet = run_fleet(act, *context.size)


@when('one router sees a part answered, and targets crash under it at two others')
def crash_under_answered(context):
    line = _encode_prompt(1, 'e0')

    async def act(fleet):
        first, *others = fleet.routers
        await fleet.call(fleet.ask(first, 'stream', b'early', line))
        for target in fleet.targets:
            target.event_factor = SLOW_FACTOR
        pending = []
        for number in range(ANSWERED_CRASHES):
            body = b'request %d' % number
            pending += [
                fleet.call(fleet.ask(router, 'stream', body, line))
                for router in others[:2]
            ]
            await asyncio.sleep(CRASH_INTERVAL_SECONDS)
            _crash_running(fleet)
        for target in fleet.targets:
            target.event_factor = 1
        await asyncio.wait(pending)
        await asyncio.sleep(NOTICE_SECONDS)
        fleet.answers.clear()
        for number, router in enumerate(fleet.routers):
            await fleet.call(fleet.ask(router, 'stream', b'late %d' % number, line))

    context.fleet = run_fleet(act, *context.size)


def _crash_running(fleet):
    """Crash the targets that got requests since the last crash."""
    since = fleet.now - CRASH_INTERVAL_SECONDS
    running = {arrival.target for arrival in fleet.arrivals if arrival.at >= since}
    for target in fleet.targets:
        if target.incarnation in running:
            target.crash()


@then('each router serves it 0.3 seconds after the last crash')
def check_served_everywhere(context):
    answers = [answer for _, answer in context.fleet.answers]
    assert len(answers) == len(context.fleet.routers)
    assert all(answer.status == STATUS_OK and answer.whole for answer in answers)


@then(
    'at most {max_sends:d} of them reach targets later than 3 seconds '
    'after the fifth crash'
)
def check_sent(context, max_sends):
    since = _find_fatal_crash(context.fleet) + CONVERGENCE_SECONDS
    late = [
        arrival
        for arrival in context.fleet.arrivals
        if arrival.body.startswith(FATAL_MARK) and arrival.at > since
    ]
    assert len(late) <= max_sends, (len(late), since, context.fleet.ends)


@then(
    'at least {share:g} of the sound requests with the same first part begin '
    'from then on'
)
def check_sound(context, share):
    since = _find_fatal_crash(context.fleet) + 2 * CONVERGENCE_SECONDS
    answers = [
        answer
        for body, answer in context.fleet.answers
        if body.startswith(SAME_FIRST) and answer.sent_at > since and not answer.refused
    ]
    assert answers
    begun = sum(answer.status == STATUS_OK for answer in answers)
    assert begun >= share * len(answers), (begun, len(answers))


def _find_fatal_crash(fleet):
    """Return when the fifth target crashed under a fatal part, or the last one."""
    crashes = sorted(fleet.fatal_ends)
    assert crashes
    return crashes[:ALLOWED_CRASHES][-1]
