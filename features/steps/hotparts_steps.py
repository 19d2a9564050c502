"""Steps on the engines that routers prefer for shared parts."""

import itertools
import random
from collections import Counter
from operator import ne
from statistics import fmean

from behave import then, when
from engines import build_engine
from pacedchoice_steps import build_pace

from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.placing.pace import ServicePace
from ibisport_fleet.placing.shared_parts import find_preferred_engines
from ibisport_fleet.target_choice import Origin

HOT = 'hot'
COLD_PARTS = 200
SHARED_TOKENS = 6_300
MEAN_OWN_TOKENS = 2_890
STABLE_AFTER_SECONDS = 20
# A prompt counts as running for this long.
RUNNING_SECONDS = 0.3


def _list_preferred(context, pace, count):
    listed = []
    weigh = pace.find_weight
    for number in range(count):
        found = find_preferred_engines(context.engines, f'p-{number}', 1, weigh)
        listed.append(found[0].entry.incarnation)
    return listed


@when('the preferred engine of each of {count:d} parts is determined')
def determine(context, count):
    context.homes = Counter(_list_preferred(context, context.pace, count))


@then(
    'a slow engine is preferred for {least:g} to {most:g} times as many parts'
    ' as a fast one'
)
def check_fewer(context, least, most):
    # Prompts that wait at a slow engine for its cache start late.
    usual = min(context.paces)
    fast, slow = [], []
    for engine, pace in zip(context.engines, context.paces, strict=True):
        counts = slow if pace > usual else fast
        counts.append(context.homes[engine.entry.incarnation])
    ratio = fmean(slow) / fmean(fast)
    assert least < ratio < most, ratio


@when(
    '{routers:d} routers measure these paces with errors of up to {percent:d} %'
    ' and choose for {count:d} parts'
)
def measure_with_errors(context, routers, percent, count):
    rng = random.Random(8)
    context.listed = []
    for _ in range(routers):
        measured = [
            pace * (1 + rng.uniform(-percent, percent) / 100) for pace in context.paces
        ]
        pace = build_pace(context.engines, measured)
        context.listed.append(_list_preferred(context, pace, count))


@then('they agree on the preferred engine of each part')
def check_agreement(context):
    # Each router that prefers another engine lets one more engine read the part.
    assert len({tuple(listed) for listed in context.listed}) == 1


@when(
    'the preferred engine of each of {count:d} parts is determined before and after'
    ' engine {number:d} has become slow'
)
def slow_down(context, count, number):
    paces = list(context.paces)
    paces[number] *= 4
    after = build_pace(context.engines, paces)
    context.moves = list(
        zip(
            _list_preferred(context, context.pace, count),
            _list_preferred(context, after, count),
            strict=True,
        )
    )


@then('only parts of engine {number:d} have moved')
def check_moves(context, number):
    moved = [before for before, after in context.moves if before != after]
    assert moved
    assert set(moved) == {context.engines[number].entry.incarnation}


class _Site:
    """A router with its own view of the engines."""

    def __init__(self, number, engines):
        self.origin = Origin(f'router-{number}', 'd')
        self.view = [build_engine(engine) for engine in range(engines)]
        self.pace = ServicePace()
        self.counts = []
        self.ended = []

    def place(self, parts, now):
        while self.ended and self.ended[0][0] <= now:
            _, health = self.ended.pop(0)
            health.end_request()
        chosen = choose_engine(self.view, parts, now, None, self.origin, self.pace)
        tokens = sum(part.tokens for part in parts)
        self.pace.shared_parts.record_prompt(parts[0].part_id, tokens, now)
        chosen.health.record_parts(parts, now)
        chosen.health.begin_request(now)
        self.ended.append((now + RUNNING_SECONDS, chosen.health))
        self.counts.append((now, self.count_hot(now)))
        return chosen

    def count_hot(self, now):
        return self.pace.shared_parts.count_engines(HOT, len(self.view), now)


def _play(context, seconds, share):
    """Let every router place prompts; note where those of the hot part go."""
    steps = int(seconds * context.rate)
    for _ in range(steps):
        context.now += 1 / context.rate
        for site in context.sites:
            is_hot = context.rng.random() < share
            number = context.rng.randrange(COLD_PARTS)
            name = HOT if is_hot else f'part-{number}'
            own = int(context.rng.expovariate(1 / MEAN_OWN_TOKENS)) + 1
            parts = (PromptPart(name, SHARED_TOKENS), PromptPart('own', own))
            chosen = site.place(parts, context.now)
            if is_hot and context.now > STABLE_AFTER_SECONDS:
                context.hot_engines[chosen.entry.incarnation] += 1


@when(
    '{routers:d} routers see {rate:d} prompts a second each for {seconds:d} seconds,'
    ' {share:g} of them with one hot part'
)
def see_prompts(context, routers, rate, seconds, share):
    context.sites = [_Site(number, len(context.engines)) for number in range(routers)]
    context.rate, context.now = rate, 0.0
    context.hot_engines = Counter()
    _play(context, seconds, share)


@when('for {seconds:d} more seconds {share:g} of them')
def see_more(context, seconds, share):
    _play(context, seconds, share)


@when('the first {count:d} prompts of a router have the same part')
def see_first(context, count):
    context.sites = [_Site(0, len(context.engines))]
    context.rate, context.now, context.hot_engines = 1, 0.0, Counter()
    _play(context, count, 1.0)


@then('it is preferred at {least:d} to {most:d} engines at each router')
def check_count(context, least, most):
    counts = [site.count_hot(context.now) for site in context.sites]
    assert least <= min(counts) and max(counts) <= most, counts


@then('the engines of a router that prefers fewer are among those of the others')
def check_nested(context):
    listed = []
    for site in context.sites:
        count = site.count_hot(context.now)
        preferred = find_preferred_engines(site.view, HOT, count, site.pace.find_weight)
        listed.append({engine.entry.incarnation for engine in preferred})
    listed.sort(key=len)
    # Routers that prefer different engines let more engines read the part.
    for few, many in itertools.pairwise(listed):
        assert few <= many, listed
    assert len(listed[-1]) - len(listed[0]) <= 2, listed


@then(
    'the prompts with the hot part are spread over {least:d} engines or more,'
    ' the busiest with at most {share:g} of them'
)
def check_spread(context, least, share):
    # One engine for 18 % of the prompts would have to read five times its share.
    total = sum(context.hot_engines.values())
    assert len(context.hot_engines) >= least, context.hot_engines
    assert max(context.hot_engines.values()) <= share * total, context.hot_engines


@then(
    'the number changes at most {count:d} times at each router'
    ' in the last {seconds:d} seconds'
)
def check_stable(context, count, seconds):
    # Each change lets another engine read the part.
    for site in context.sites:
        late = [found for at, found in site.counts if at > context.now - seconds]
        changes = sum(map(ne, late, late[1:]))
        assert changes <= count, changes
