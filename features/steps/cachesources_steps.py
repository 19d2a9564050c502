"""Steps on cached parts of prompts that engines fetch from each other."""

import msgspec
from behave import given, then, when
from engines import build_engine

from ibisport_bench.experiments.cache_copies import play_shared
from ibisport_fleet.cache_sources import can_copy, find_cache_source
from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.http_messages import Request
from ibisport_fleet.metadata import PromptPart, SendMetadata
from ibisport_fleet.store import Item
from ibisport_platform.headers import PlatformDialect
from ibisport_platform.records import CATALOGUE_KEY, decode_catalogue

NOW = 1.0
SEEDS = (1, 2, 3)
SOURCE = ('10.0.0.9', 81)
# Bytes of a token's memory and Mbit/s between engines, and whether copies pay.
COPIES = ((163_840, 740_000, True), (163_840, 100_000, False), (0, 0, False))


def _make_parts(text, tokens):
    return tuple(PromptPart(name, tokens) for name in text.split())


@given(
    'engines that cache "{cached}" of the parts A, B and C, with {tokens:d} tokens each'
)
def make_engines(context, cached, tokens):
    context.tokens = tokens
    context.engines = []
    for number, names in enumerate(cached.split(', ')):
        engine = build_engine(number)
        if names != 'none':
            engine.health.record_parts(_make_parts(f'{names} own', tokens), NOW)
        context.engines.append(engine)


@given('engine {number:d} has failed')
def fail_engine(context, number):
    context.engines[number].health.record_failure(NOW)


@when('engine 0 is chosen for the prompt "{prompt}"')
def find_source(context, prompt):
    parts = _make_parts(prompt, context.tokens)
    chosen = context.engines[0]
    context.source = find_cache_source(chosen, context.engines, parts, NOW)


@then('it fetches parts from engine {source}')
def check_source(context, source):
    expected = None if source == 'none' else context.engines[int(source)]
    assert context.source is expected


@when('each engine is chosen for {count:d} prompts')
def find_sources(context, count):
    context.found = []
    for number in range(count):
        parts = _make_parts(f'A B{number} x', context.tokens)
        preferred = choose_engine(context.engines, parts, NOW)
        for chosen in context.engines:
            source = find_cache_source(chosen, context.engines, parts, NOW)
            context.found.append((preferred, chosen, source))


@then("each that isn't the preferred one of a prompt fetches parts from that one")
def check_preferred(context):
    found = [found for found in context.found if found[0] is not found[1]]
    assert found
    assert all(source is preferred for preferred, _, source in found)


@then('the preferred one fetches parts from another one')
def check_others(context):
    found = [found for found in context.found if found[0] is found[1]]
    assert found
    assert all(
        source is not None and source is not chosen for _, chosen, source in found
    )


@when("operators' records say how fast engines copy the memory of tokens")
def decode_records(context):
    context.copying = []
    for token_bytes, mbps, _ in COPIES:
        engine = {
            'slots': 8,
            'kvCapacity': 100,
            'kvTokenBytes': token_bytes,
            'linkMbps': mbps,
        }
        services = [{'name': 'svc', 'engine': engine}]
        record = {'version': 1, 'routes': [], 'services': services}
        item = Item(CATALOGUE_KEY, msgspec.json.encode(record), 1)
        decoded = decode_catalogue(item).services['svc'].engine
        context.copying.append(can_copy(decoded))


@then('those fetch that copy a token in 5 microseconds at most, and no others')
def check_copying(context):
    assert context.copying == [pays for _, _, pays in COPIES], context.copying
    assert not can_copy(None)


@when('a request is encoded for a target with and without a source of cached parts')
def encode(context):
    headers = ((b'attempt-id', b'a'), (b'kv-fetch', b'10.6.6.6:1'))
    request = Request('POST', b'/x', headers, b'', True, 0.0, 0.0)
    dialect = PlatformDialect()
    metadata = dialect.decode_request(request)
    context.encoded = [
        dialect.encode_send(
            request, metadata, SendMetadata('i-1', None, 1.0, 0, None, source)
        )
        for source in (SOURCE, None)
    ]


@then('only the first one names its address')
def check_named(context):
    named = [dict(headers).get(b'kv-fetch') for headers in context.encoded]
    assert named == [b'10.0.0.9:81', None], named


@then('a name that the caller sends is not forwarded')
def check_callers(context):
    assert all(value != b'10.6.6.6:1' for _, value in sum(context.encoded, ()))


@when('a minute of long prompts with shared parts is placed on engines that may fetch')
def place(context):
    context.fetching = [play_shared(seed, copies=True) for seed in SEEDS]
    context.reading = [play_shared(seed, copies=False) for seed in SEEDS]


@then("fewer shared tokens are read again than on engines that don't")
def check_read_again(context):
    for fetching, reading in zip(context.fetching, context.reading, strict=True):
        assert fetching.read_again < reading.read_again, (fetching, reading)


@then("nine in ten first tokens come sooner than on engines that don't")
def check_first_tokens(context):
    for fetching, reading in zip(context.fetching, context.reading, strict=True):
        assert fetching.first_token_p90_ms < reading.first_token_p90_ms, (
            fetching,
            reading,
        )
