"""Steps on the choice of engines by the estimated time to the first event."""

import heapq
import itertools
import math
import random
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from engines import build_engine
from running_fleet import START_SECONDS as FLEET_START_SECONDS
from running_fleet import make_body, run_fleet

from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.event_log import Event
from ibisport_fleet.metadata import PromptPart, TargetLoad
from ibisport_fleet.placing.change_log import ChangeLog
from ibisport_fleet.placing.pace import ServicePace
from ibisport_fleet.settings import Feature
from ibisport_fleet.target_choice import Origin

GAP_SECONDS = 0.02
SECONDS_PER_TOKEN = 25e-6
START_SECONDS = 0.1
MEAN_TOKENS = 2_000
ORIGIN = Origin('router-1', 'd')
# Arrivals take this share of the time in which the engines could read them.
OVERLOAD = 0.8
HOT_PART = 'hot-part'
STREAM_INTERVAL_SECONDS = 0.02
STREAM_SECONDS = 15
LEARNED_AT_SECONDS = FLEET_START_SECONDS + 5


@given('{count:d} engines of the paces {paces}')
def make_paced_engines(context, count, paces):
    context.rng = random.Random(4)
    context.now = 10.0
    cycle = itertools.cycle(float(pace) for pace in paces.split(', '))
    context.engines = [build_engine(number) for number in range(count)]
    context.paces = list(itertools.islice(cycle, count))
    context.pace = build_pace(context.engines, context.paces)


def build_pace(engines, paces):
    """Return what a router has learned of engines of certain paces."""
    learned = ServicePace()
    for number in range(100):
        for engine, pace in zip(engines, paces, strict=True):
            now = number / 10
            start_id = engine.entry.start_id
            learned.record_gap(start_id, GAP_SECONDS * pace, now)
            if number > 50:
                tokens = (number % 2) * MEAN_TOKENS
                seconds = START_SECONDS + tokens * SECONDS_PER_TOKEN
                known = learned.find_relative_pace(start_id)
                learned.record_first_event(start_id, tokens, seconds * known, now)
    return learned


def _choose(context, parts, pace):
    return choose_engine(context.engines, parts, context.now, None, ORIGIN, pace)


@when('{count:d} prompts are placed under random loads, with and without the paces')
def place_both(context, count):
    context.choices = []
    for _ in range(count):
        for engine in context.engines:
            load = TargetLoad(context.rng.randrange(64), context.rng.randrange(5), 64)
            engine.health.record_load(load, context.now)
            engine.health.pending_prompt_tokens = context.rng.choice((0, 0, 5_000))
        shared = PromptPart(f'p-{context.rng.randrange(9)}', 4_000)
        parts = (shared, PromptPart('own', context.rng.randrange(1, 9_000)))
        chosen = [_choose(context, parts, pace) for pace in (None, context.pace)]
        chosen[0].health.record_parts(parts, context.now)
        context.choices.append(chosen)


@then('both choices are the same')
def check_same(context):
    # Engines without differences must not lose what the choice without paces does well.
    assert all(plain is paced for plain, paced in context.choices)
    assert len({plain.entry.incarnation for plain, _ in context.choices}) > 3


def _place_one(context, tokens):
    chosen = _choose(context, (PromptPart('own', tokens),), context.pace)
    number = context.engines.index(chosen)
    chosen.health.pending_prompt_tokens += tokens
    context.placed[number] += 1
    context.placed_tokens[number] += tokens


@when('more prompts than they can read arrive for {seconds:d} seconds')
def place_overload(context, seconds):
    context.placed, context.placed_tokens = Counter(), Counter()
    rates = [1 / pace / SECONDS_PER_TOKEN for pace in context.paces]
    interval = MEAN_TOKENS / sum(rates) * OVERLOAD
    for _ in range(int(seconds / interval)):
        context.now += interval
        for engine, rate in zip(context.engines, rates, strict=True):
            pending = engine.health.pending_prompt_tokens - rate * interval
            engine.health.pending_prompt_tokens = max(0, pending)
        _place_one(context, context.rng.randrange(1, 2 * MEAN_TOKENS))


@then('each gets a share of the tokens by its pace, within a fifth')
def check_shares(context):
    # Without paces a slow engine gets as much as a fast one until its queue shows.
    # Long prompts rather go to fast engines, so the tokens count.
    placed = context.placed_tokens
    tokens_per_weight = sum(placed.values()) / sum(1 / pace for pace in context.paces)
    for number, pace in enumerate(context.paces):
        expected = tokens_per_weight / pace
        assert math.isclose(placed[number], expected, rel_tol=0.2), placed


@when('{count:d} prompts arrive at once')
def place_burst(context, count):
    context.placed, context.placed_tokens = Counter(), Counter()
    for _ in range(count):
        _place_one(context, MEAN_TOKENS)


def _split_placed(context):
    usual = min(context.paces)
    fast, slow = [], []
    for number, pace in enumerate(context.paces):
        (slow if pace > usual else fast).append(context.placed[number])
    return fast, slow


@then('each slow engine gets at least {count:d} of them and fewer than each fast one')
def check_burst(context, count):
    fast, slow = _split_placed(context)
    # An engine that is never used would leave its capacity idle in a burst.
    assert count <= min(slow), slow
    assert max(slow) < min(fast), (fast, slow)


@then('each slow engine gets none')
def check_idle(context):
    assert not any(_split_placed(context)[1])


@when(
    'the engine that would be chosen reports a slowdown of {slowdown:g}'
    ' and a prompt arrives {age:g} s later'
)
def report_slowdown(context, slowdown, age):
    parts = (PromptPart('own', MEAN_TOKENS),)
    context.expected = _choose(context, parts, context.pace)
    load = TargetLoad(0, 0, 64, slowdown)
    context.expected.health.record_load(load, 0.0)
    context.now = age
    context.chosen = _choose(context, parts, context.pace)


@then('it goes to the {which} engine')
def check_slowdown(context, which):
    # A stale slowdown would keep prompts away from an engine that is fast again.
    assert (context.chosen is context.expected) is (which == 'same')


@when(
    "{routers:d} routers place prompts at {share:g} of the engines' capacity"
    ' for {seconds:d} seconds'
)
def place_by_routers(context, routers, share, seconds):
    rate = share * sum(1 / pace for pace in context.paces)
    interval = MEAN_TOKENS * SECONDS_PER_TOKEN / rate
    context.starts = []
    for pace in (None, context.pace):
        play = _Play(context.paces, routers, pace)
        for step in range(int(seconds / interval)):
            play.place(step * interval)
        context.starts.append(play.starts)


class _Play:
    """Routers that count only their own prompts place them on the same engines."""

    def __init__(self, paces, routers, pace):
        self.starts = []
        self._paces, self._pace = paces, pace
        self._rng = random.Random(7)
        self._views = [
            [build_engine(number) for number in range(len(paces))]
            for _ in range(routers)
        ]
        self._idle_at = [0.0 for _ in paces]
        self._unread = []

    def place(self, now):
        while self._unread and self._unread[0][0] <= now:
            _, _, health, tokens = heapq.heappop(self._unread)
            health.pending_prompt_tokens -= tokens
            health.end_request()
        view = self._rng.choice(self._views)
        tokens = self._rng.randrange(1, 2 * MEAN_TOKENS)
        parts = (PromptPart('own', tokens),)
        chosen = choose_engine(view, parts, now, None, ORIGIN, self._pace)
        chosen.health.begin_request(now)
        chosen.health.pending_prompt_tokens += tokens
        read_at = self._read(view.index(chosen), tokens, now)
        entry = read_at, len(self.starts), chosen.health, tokens
        heapq.heappush(self._unread, entry)

    def _read(self, number, tokens, now):
        factor = self._paces[number]
        begun_at = max(now, self._idle_at[number])
        self._idle_at[number] = begun_at + tokens * SECONDS_PER_TOKEN * factor
        self.starts.append(self._idle_at[number] + START_SECONDS * factor - now)
        return self._idle_at[number]


@then('the slowest of a hundred prompts start in half the time, others no later')
def check_starts(context):
    # Routers that take all engines for equal fill the queues of the slow ones.
    plain, paced = (sorted(times) for times in context.starts)
    for share in (0.5, 0.9):
        rank = int(share * len(plain))
        assert paced[rank] < plain[rank], share
    slowest = int(0.99 * len(plain))
    assert paced[slowest] < plain[slowest] / 2, paced[-1]


@when(
    '{routers:d} routers send streams to {targets:d} targets,'
    ' of which the second one takes {factor:d} times as long'
)
def send_streams(context, routers, targets, factor):
    def act_on(known):
        async def act(fleet):
            fleet.request_headers = 'Prompt-Prefix: own:400\r\n'
            for target in fleet.targets:
                target.reports_load = True
            fleet.targets[1].event_factor = factor
            await fleet.press(STREAM_INTERVAL_SECONDS, STREAM_SECONDS, make_body)
            for router in fleet.routers:
                state = router.router._call_handler
                known.append(state.paced_engines)

        return act

    context.known, context.counts = [], []
    for features in (frozenset(), frozenset((Feature.pace,))):
        context.known.clear()
        fleet = run_fleet(act_on(context.known), routers, targets, features=features)
        count, _ = fleet.count_arrivals(fleet.targets[1], LEARNED_AT_SECONDS)
        context.counts.append(count)


@then('with the feature pace it gets less than half as many streams as without')
def check_stream_share(context):
    plain, paced = context.counts
    # A pace that is learned but not passed to the choice changes nothing.
    assert paced < plain / 2, context.counts


@then('each router knows the paces of {count:d} targets or more')
def check_known(context, count):
    assert min(context.known) >= count, context.known


@when(
    'the changes of the paces and of a part that becomes hot are logged twice'
    ' in {seconds:d} seconds'
)
def log_changes(context, seconds):
    context.lines = []
    log = SimpleNamespace(
        write=lambda event, **details: context.lines.append((event, details))
    )
    change_log = ChangeLog(log)
    parts = context.pace.shared_parts
    for _ in range(50):
        parts.record_prompt(HOT_PART, MEAN_TOKENS, context.now)
    for later in (0, seconds - 1):
        parts.changes[HOT_PART] = parts.count_engines(
            HOT_PART, len(context.engines), context.now
        )
        change_log.write('svc', context.pace, context.now + later)


@then('there is one line for each slow engine and one for the part, without its id')
def check_lines(context):
    # A pace near a limit would fill the log, and a part's id is the callers' own.
    slow = sum(pace > 1 for pace in context.paces)
    counts = Counter(event for event, _ in context.lines)
    assert counts == {Event.engine_paced: slow, Event.part_spread: 1}, counts
    assert HOT_PART not in str(context.lines)
