"""Steps on copies of cached parts that are compared with reading."""

from behave import given, then, when
from engines import build_engine

from ibisport_fleet.cache_sources import find_cache_source
from ibisport_fleet.metadata import PromptPart, TargetLoad
from ibisport_fleet.placing.copies import CopyTimes
from ibisport_fleet.placing.pace import ServicePace

GAP_SECONDS = 0.02
START_SECONDS = 0.1
OBSERVATIONS = 60
OBSERVED_TOKENS = 5_000
NOW = 10.0


@given('engines that read a token in {micros:g} microseconds, and the paces {paces}')
def observe_engines(context, micros, paces):
    context.engines = [build_engine(0), build_engine(1)]
    context.pace = ServicePace()
    # Engines of the usual pace, so that the pace of the two is measured against them.
    others = [build_engine(number) for number in range(2, 5)]
    known = [float(pace) for pace in paces.split(', ')] + [1.0, 1.0, 1.0]
    for number in range(OBSERVATIONS):
        now = number / 10
        for engine, pace in zip(context.engines + others, known, strict=True):
            context.pace.record_gap(engine.entry.start_id, GAP_SECONDS * pace, now)
        tokens = (number % 2) * OBSERVED_TOKENS
        seconds = START_SECONDS + tokens * micros * 1e-6
        usual = others[0].entry.start_id
        context.pace.record_first_event(usual, tokens, seconds, now)


@given('engines whose reading was not observed')
def make_unknown_engines(context):
    context.engines = [build_engine(0), build_engine(1)]
    context.pace = ServicePace()


@when('the first one sends {tokens:d} tokens to another engine')
def begin_copy(context, tokens):
    context.copy = context.engines[0].entry.start_id, tokens
    context.pace.begin_copy(*context.copy)


@when('that copy has ended')
def end_copy(context):
    context.pace.end_copy(*context.copy)


@when('the first one reports {running:d} running requests of {slots:d}')
def report_load(context, running, slots):
    context.engines[0].health.record_load(TargetLoad(running, 0, slots), NOW)


@when(
    'the second one is chosen for {tokens:d} tokens that the first one has cached,'
    ' at {micros:g} microseconds a copied token'
)
def find_source(context, tokens, micros):
    parts = (PromptPart('A', tokens), PromptPart('own', 1_000))
    source, chosen = context.engines
    source.health.record_parts(parts, NOW)
    times = CopyTimes(context.pace, micros * 1e-6)
    context.source = find_cache_source(chosen, context.engines, parts, NOW, times)


@then('it fetches them')
def check_fetched(context):
    # A fixed limit of speed kept engines from copies that take half the time.
    assert context.source is context.engines[0]


@then('it reads them')
def check_read(context):
    # Copies that take longer than reading delay the prompt and the source.
    assert context.source is None
