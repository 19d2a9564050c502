"""Steps on the load tool itself, against a stand-in engine."""

import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import orjson
import urllib3
from behave import given, then, when

from ibisport_bench.experiments.regression import list_breaches
from ibisport_bench.launcher import start_program
from ibisport_bench.load import recording
from ibisport_bench.load.answer_check import check_answer
from ibisport_bench.load.arrivals import Arrival, draw_arrivals
from ibisport_bench.load.caller import Caller
from ibisport_bench.load.config import LoadConfig
from ibisport_bench.load.recording import Recorder
from ibisport_bench.load.runner import run_load

TOOL_SECONDS = 30
MILLIS = 1000
WORKSPACE = 'workspace-0'


def make_config(**changes: Any) -> LoadConfig:
    """Return a small configuration."""
    return LoadConfig.model_validate({'name': 'small', 'workspaces': 1, **changes})


def start_engine(context: Any) -> None:
    """Start a stand-in engine for one scenario."""
    folder = Path(tempfile.mkdtemp(prefix='ibisport-load-'))
    module = [sys.executable, '-m', 'ibisport_bench.standins.engine']
    flags = ['--port', '0', '--slots', '32', '--token-ms', '1']
    context.engine = start_program([*module, *flags], folder / 'engine.log')
    context.add_cleanup(context.engine.kill)


def set_freeze(context: Any, freeze: bool) -> None:
    """Freeze the engine or let it go on."""
    body = orjson.dumps({'freeze': freeze})
    urllib3.request('POST', f'{context.engine.url}/faults', body=body, timeout=5)


@given("a load's configuration in which {field} is {wrong}")
def write_wrong(context: Any, field: str, wrong: str) -> None:
    document: dict[str, Any] = {'name': 'small'}
    first, _, second = field.partition('.')
    content = orjson.loads(wrong)
    if second == '0':
        content = [content]
    elif second:
        content = {second: content}
    document[first] = content
    context.load_file = Path(tempfile.mkdtemp(prefix='ibisport-load-')) / 'wrong.json'
    context.load_file.write_bytes(orjson.dumps(document))


@when('the load tool is started with it')
def start_tool(context: Any) -> None:
    module = [sys.executable, '-m', 'ibisport_bench.load']
    context.ended = subprocess.run(
        [*module, '--config', str(context.load_file)],
        capture_output=True,
        text=True,
        timeout=TOOL_SECONDS,
        check=False,
    )


@then('it ends with code {code:d} and names "{field}"')
def check_ended(context: Any, code: int, field: str) -> None:
    assert context.ended.returncode == code, context.ended
    assert f'{field}: ' in context.ended.stderr, context.ended.stderr


@given('an engine that is frozen')
def start_frozen(context: Any) -> None:
    start_engine(context)
    set_freeze(context, freeze=True)


@given('an engine that serves')
def start_serving(context: Any) -> None:
    start_engine(context)


@when('{count:d} requests are meant to come within 1 second and it thaws after 2')
def run_stalled(context: Any, count: int) -> None:
    # The seed is one that draws the wanted count.
    seed = next(
        seed
        for seed in range(1000)
        if len(draw_arrivals(make_config(seed=seed, seconds=1, rate=count), 1)) == count
    )
    config = make_config(seed=seed, seconds=1, rate=count, streamed=0)
    thaw = threading.Timer(2, set_freeze, (context, False))
    thaw.start()
    context.recorder = run_load(config, [context.engine.address])
    thaw.join()


@then('{count:d} answers are whole and none took less than 1 second')
def check_stalled(context: Any, count: int) -> None:
    found = context.recorder.describe()
    assert found['counts']['verdict.whole'] == count, found['counts']
    quickest = context.recorder.list_percentiles(recording.TOTAL)[0]
    # The histogram rounds to three digits.
    assert quickest[1] >= 0.99 * MILLIS, quickest


@when('a request is sent {seconds:d} seconds after it was due')
def send_late(context: Any, seconds: int) -> None:
    context.recorder = Recorder()
    caller = Caller(make_config(), [context.engine.address], context.recorder)
    arrival = Arrival(1, 0, WORKSPACE, 'late answer_tokens=3', 3, True, False, 0)
    caller.run(arrival, time.monotonic() - seconds)
    caller.close()


@then('its answer took more than {seconds:d} seconds')
def check_late(context: Any, seconds: int) -> None:
    times = context.recorder.describe()['workspaces'][WORKSPACE]
    for kind in (recording.TOTAL, recording.FIRST, recording.LATE):
        assert times[kind]['p50'] >= 0.99 * seconds * MILLIS, times


@given("the engine's streamed answer of {tokens:d} tokens")
def read_streamed(context: Any, tokens: int) -> None:
    start_engine(context)
    context.tokens = tokens
    context.prompt = f'a prompt answer_tokens={tokens}'
    messages = [{'role': 'user', 'content': context.prompt}]
    body = orjson.dumps({'model': 'acoustics', 'messages': messages, 'stream': True})
    url = f'{context.engine.url}/v1/chat/completions'
    context.body = urllib3.request('POST', url, body=body, timeout=10).data


def judge(context: Any, body: bytes, prompt: str) -> str:
    """Return the name of the check's verdict."""
    return type(check_answer(body, True, prompt, context.tokens)).__name__


@then('the check calls it {verdict}')
def check_whole(context: Any, verdict: str) -> None:
    assert judge(context, context.body, context.prompt) == verdict


@then('without its last event the check calls it {verdict}')
def check_truncated(context: Any, verdict: str) -> None:
    body = context.body.removesuffix(b'data: [DONE]\n\n')
    assert body != context.body
    assert judge(context, body, context.prompt) == verdict


@then('without a word in the middle the check calls it {verdict}')
def check_gap(context: Any, verdict: str) -> None:
    events = context.body.split(b'\n\n')
    body = b'\n\n'.join((*events[:2], *events[3:]))
    assert judge(context, body, context.prompt) == verdict


@then('against another prompt the check calls it {verdict}')
def check_crossed(context: Any, verdict: str) -> None:
    assert judge(context, context.body, 'another prompt') == verdict


@then('two draws with seed {seed:d} are equal and one with seed {other:d} differs')
def check_seeds(context: Any, seed: int, other: int) -> None:
    first, again, third = (
        draw_arrivals(make_config(seed=one), 2) for one in (seed, seed, other)
    )
    assert first == again
    assert [one.at for one in first] != [one.at for one in third]


@given('bounds of {bound:g} for router_chunk and {most:g} for not_whole')
def set_bounds(context: Any, bound: float, most: float) -> None:
    context.bounds = {'router_chunk': bound, 'not_whole': most}


@then('figures of {cost:g} and {broken:g} breach nothing')
def check_kept(context: Any, cost: float, broken: float) -> None:
    found = {'router_chunk': cost, 'not_whole': broken}
    assert not list_breaches(found, context.bounds)


@then('figures of {cost:g} and {broken:g} breach {name} only')
def check_breach(context: Any, cost: float, broken: float, name: str) -> None:
    breaches = list_breaches(
        {'router_chunk': cost, 'not_whole': broken}, context.bounds
    )
    assert len(breaches) == 1, breaches
    assert breaches[0].startswith(f'{name}:'), breaches


@then('a figure that was not measured is a breach')
def check_unmeasured(context: Any) -> None:
    assert len(list_breaches({'not_whole': 0}, context.bounds)) == 1
