"""Steps on placing prompts on engines."""

import random
from collections import Counter

from behave import then, when

from ibisport_bench.experiments.placing import (
    FAST_READERS,
    ROUTERS,
    choose_least_running,
    choose_mixed,
    play,
)
from ibisport_fleet.engine_choice import choose_engine, select_long_prompt_engines
from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.targets import TargetEntry

SEEDS = (1, 2, 3)
MOST_SHORT_PAUSED = 0.01
EVEN_SHARE = 0.75
SHARES = (0.02, 0.4, EVEN_SHARE, 0.99)


@when('a minute of long and short prompts is placed on eight engines')
def place_prompts(context):
    context.shipped = [play(choose_engine, seed) for seed in SEEDS]
    context.baseline = [play(choose_least_running, seed) for seed in SEEDS]


@then('less than 1 % of the short answers pause too long')
def check_short(context):
    paused = [seen.short_paused for seen in context.shipped]
    assert max(paused) < MOST_SHORT_PAUSED, paused
    # The load is one under which a plain choice does let them pause.
    assert min(seen.short_paused for seen in context.baseline) > MOST_SHORT_PAUSED


@then('less than 1 % of the short answers pause too long on them')
def check_short_on_fast(context):
    assert max(seen.short_paused for seen in context.shipped) < MOST_SHORT_PAUSED


@then('no more long answers pause than with the least-running choice')
def check_long(context):
    shipped = sum(seen.long_paused for seen in context.shipped)
    baseline = sum(seen.long_paused for seen in context.baseline)
    assert shipped <= baseline, (shipped, baseline)


@then('all routers came to keep long prompts apart')
def check_apart(context):
    assert {seen.apart for seen in context.shipped} == {ROUTERS}


@when('the same prompts are placed on engines that read fast enough')
def place_on_fast(context):
    context.shipped = [play(choose_engine, seed, FAST_READERS) for seed in SEEDS]
    context.baseline = [play(choose_mixed, seed, FAST_READERS) for seed in SEEDS]


@then('no router keeps long prompts apart')
def check_mixed(context):
    assert {seen.apart for seen in context.shipped} == {0}
    assert context.shipped == context.baseline


@when('any engines are listed in any order')
def list_engines(context):
    rng = random.Random(5)
    context.listed = []
    for _ in range(100):
        domains = [f'd-{number}' for number in range(rng.randint(1, 4)) for _ in 'ab']
        engines = []
        for number, domain in enumerate(domains):
            name = f'i-{rng.getrandbits(40):x}'
            entry = TargetEntry(name, 'svc', ('10.0.0.1', number), domain, 8, False, 1)
            engines.append(Candidate(entry, TargetHealth()))
        shuffled = rng.sample(engines, len(engines))
        for share in SHARES:
            listed = (
                select_long_prompt_engines(engines, share),
                select_long_prompt_engines(shuffled, share),
            )
            context.listed.append((engines, share, *listed))


@then('the engines for long prompts are the same, as many as their share')
def check_same(context):
    for engines, share, listed, shuffled in context.listed:
        assert listed == shuffled
        # One of each kind stays, however small its share.
        wished = round(share * len(engines))
        assert len(listed) == min(max(1, wished), len(engines) - 1)


@then('each domain with two engines keeps one of each kind while it can')
def check_even(context):
    even = [
        (engines, listed)
        for engines, share, listed, _ in context.listed
        if share == EVEN_SHARE
    ]
    for engines, listed in even:
        readers = Counter(
            one.entry.domain for one in engines if one.entry.incarnation in listed
        )
        assert set(readers) == {one.entry.domain for one in engines}
        assert max(readers.values()) <= 2
