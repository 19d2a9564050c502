"""Steps for the load tool, against a stand-in engine."""

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

TOOL_TIMEOUT_SECONDS = 30
MS_PER_SECOND = 1000
WORKSPACE = 'workspace-0'


def make_config(**changes: Any) -> LoadConfig:
    """Return a configuration with one workspace and the given changes."""
    return LoadConfig.model_validate({'name': 'small', 'workspaces': 1, **changes})


def start_engine(context: Any) -> None:
    """Start a stand-in engine that is killed at the end of the scenario."""
    folder = Path(tempfile.mkdtemp(prefix='ibisport-load-'))
    module = [sys.executable, '-m', 'ibisport_bench.standins.engine']
    flags = ['--port', '0', '--slots', '32', '--token-ms', '1']
    context.engine = start_program([*module, *flags], folder / 'engine.log')
    context.add_cleanup(context.engine.kill)


def set_freeze(context: Any, freeze: bool) -> None:
    """Freeze or unfreeze the engine."""
    body = orjson.dumps({'freeze': freeze})
    urllib3.request('POST', f'{context.engine.url}/faults', body=body, timeout=5)


@given("a load's configuration in which {field} is {invalid}")
def write_invalid_config(context: Any, field: str, invalid: str) -> None:
    document: dict[str, Any] = {'name': 'small'}
    first, _, second = field.partition('.')
    content = orjson.loads(invalid)
    if second == '0':
        content = [content]
    elif second:
        content = {second: content}
    document[first] = content
    context.load_file = Path(tempfile.mkdtemp(prefix='ibisport-load-')) / 'invalid.json'
    context.load_file.write_bytes(orjson.dumps(document))


@when('the load tool is started with it')
def start_tool(context: Any) -> None:
    module = [sys.executable, '-m', 'ibisport_bench.load']
    context.process = subprocess.run(
        [*module, '--config', str(context.load_file)],
        capture_output=True,
        text=True,
        timeout=TOOL_TIMEOUT_SECONDS,
        check=False,
    )


@then('it exits with code {code:d} and names "{field}"')
def check_exit(context: Any, code: int, field: str) -> None:
    assert context.process.returncode == code, context.process
    assert f'{field}: ' in context.process.stderr, context.process.stderr


@given('an engine that is frozen')
def start_frozen_engine(context: Any) -> None:
    start_engine(context)
    set_freeze(context, freeze=True)


@given('a running engine')
def start_running_engine(context: Any) -> None:
    start_engine(context)


@when('{count:d} requests are due within 1 second and it is unfrozen after 2')
def run_against_frozen_engine(context: Any, count: int) -> None:
    # Poisson arrivals: search for a seed that draws exactly this count.
    seed = next(
        seed
        for seed in range(1000)
        if len(draw_arrivals(make_config(seed=seed, seconds=1, rate=count), 1)) == count
    )
    config = make_config(seed=seed, seconds=1, rate=count, streamed=0)
    unfreeze = threading.Timer(2, set_freeze, (context, False))
    unfreeze.start()
    context.recorder = run_load(config, [context.engine.address])
    unfreeze.join()


@then('{count:d} answers are complete and none took less than 1 second')
def check_stall_counted(context: Any, count: int) -> None:
    result = context.recorder.describe()
    assert result['counts']['verdict.whole'] == count, result['counts']
    min_time = context.recorder.list_percentiles(recording.TOTAL)[0]
    # The histogram keeps three significant digits.
    assert min_time[1] >= 0.99 * MS_PER_SECOND, min_time


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
        assert times[kind]['p50'] >= 0.99 * seconds * MS_PER_SECOND, times


@given("the engine's streamed answer of {tokens:d} tokens")
def read_streamed(context: Any, tokens: int) -> None:
    start_engine(context)
    context.tokens = tokens
    context.prompt = f'a prompt answer_tokens={tokens}'
    messages = [{'role': 'user', 'content': context.prompt}]
    body = orjson.dumps({'model': 'acoustics', 'messages': messages, 'stream': True})
    url = f'{context.engine.url}/v1/chat/completions'
    context.body = urllib3.request('POST', url, body=body, timeout=10).data


def check_body(context: Any, body: bytes, prompt: str) -> str:
    """Return the name of the verdict on a body."""
    return type(check_answer(body, True, prompt, context.tokens)).__name__


@then('the answer check returns {verdict}')
def check_unchanged(context: Any, verdict: str) -> None:
    assert check_body(context, context.body, context.prompt) == verdict


@then('without its last event the answer check returns {verdict}')
def check_truncated(context: Any, verdict: str) -> None:
    body = context.body.removesuffix(b'data: [DONE]\n\n')
    assert body != context.body
    assert check_body(context, body, context.prompt) == verdict


@then('without a word in the middle the answer check returns {verdict}')
def check_missing_word(context: Any, verdict: str) -> None:
    events = context.body.split(b'\n\n')
    body = b'\n\n'.join((*events[:2], *events[3:]))
    assert check_body(context, body, context.prompt) == verdict


@then('against another prompt the answer check returns {verdict}')
def check_crossed(context: Any, verdict: str) -> None:
    assert check_body(context, context.body, 'another prompt') == verdict


@then('two draws with seed {seed:d} are equal and one with seed {other:d} differs')
def check_seeds(context: Any, seed: int, other: int) -> None:
    first, again, third = (
        draw_arrivals(make_config(seed=number), 2) for number in (seed, seed, other)
    )
    assert first == again
    assert [arrival.at for arrival in first] != [arrival.at for arrival in third]


@given('bounds of {cost:g} for router_chunk and {broken:g} for not_whole')
def set_bounds(context: Any, cost: float, broken: float) -> None:
    context.bounds = {'router_chunk': cost, 'not_whole': broken}


@then('figures of {cost:g} and {broken:g} are within the bounds')
def check_within_bounds(context: Any, cost: float, broken: float) -> None:
    result = {'router_chunk': cost, 'not_whole': broken}
    assert not list_breaches(result, context.bounds)


@then('figures of {cost:g} and {broken:g} breach only {name}')
def check_breach(context: Any, cost: float, broken: float, name: str) -> None:
    breaches = list_breaches(
        {'router_chunk': cost, 'not_whole': broken}, context.bounds
    )
    assert len(breaches) == 1, breaches
    assert breaches[0].startswith(f'{name}:'), breaches


@then('a figure that was not measured is a breach')
def check_unmeasured(context: Any) -> None:
    assert len(list_breaches({'not_whole': 0}, context.bounds)) == 1
