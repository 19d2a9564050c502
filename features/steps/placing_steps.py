"""Steps on the placement of prompts on model engines."""

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
MAX_SHORT_PAUSED_SHARE = 0.01
SPREAD_SHARE = 0.75
SHARES = (0.02, 0.4, SPREAD_SHARE, 0.99)


@when('a minute of long and short prompts is placed on eight engines')
def place_prompts(context):
    context.shipped = [play(choose_engine, seed) for seed in SEEDS]
    context.baseline = [play(choose_least_running, seed) for seed in SEEDS]


@then('less than 1 % of the short answers pause too long')
def check_short(context):
    paused = [result.short_paused for result in context.shipped]
    assert max(paused) < MAX_SHORT_PAUSED_SHARE, paused
    # The load is high enough that the least-running choice does pause them.
    assert (
        min(result.short_paused for result in context.baseline) > MAX_SHORT_PAUSED_SHARE
    )


@then('less than 1 % of the short answers pause too long on them')
def check_short_on_fast_engines(context):
    assert (
        max(result.short_paused for result in context.shipped) < MAX_SHORT_PAUSED_SHARE
    )


@then('no more long answers pause than with the least-running choice')
def check_long(context):
    shipped = sum(result.long_paused for result in context.shipped)
    baseline = sum(result.long_paused for result in context.baseline)
    assert shipped <= baseline, (shipped, baseline)


@then('all routers keep long prompts apart in the end')
def check_apart(context):
    assert {result.apart for result in context.shipped} == {ROUTERS}


@when('the same prompts are placed on engines that read fast')
def place_on_fast_engines(context):
    context.shipped = [play(choose_engine, seed, FAST_READERS) for seed in SEEDS]
    context.baseline = [play(choose_mixed, seed, FAST_READERS) for seed in SEEDS]


@then('no router keeps long prompts apart in the end')
def check_mixed(context):
    assert {result.apart for result in context.shipped} == {0}
    assert context.shipped == context.baseline


@when('generated lists of engines are split in two orders')
def split_engines(context):
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


@then('both orders give the same engines for long prompts, as many as their share')
def check_same_engines(context):
    for engines, share, listed, shuffled in context.listed:
        assert listed == shuffled
        # Each pool has at least one engine, however small its share.
        wanted = round(share * len(engines))
        assert len(listed) == min(max(1, wanted), len(engines) - 1)


@then('each domain has one or two engines for long prompts at a share of 0.75')
def check_spread(context):
    at_share = [
        (engines, listed)
        for engines, share, listed, _ in context.listed
        if share == SPREAD_SHARE
    ]
    for engines, listed in at_share:
        counts = Counter(
            engine.entry.domain
            for engine in engines
            if engine.entry.incarnation in listed
        )
        assert set(counts) == {engine.entry.domain for engine in engines}
        assert max(counts.values()) <= 2
