"""Steps for the stand-ins of the platform, the launcher and the relay."""

import base64
import hashlib
import json
import sys
import tempfile
import time
from pathlib import Path
from unittest import mock

import urllib3
from behave import fixture, given, then, use_fixture, when

from ibisport_bench import launcher
from ibisport_bench.launcher import start_program
from ibisport_bench.relay import Relay
from ibisport_bench.standins.errors import ProgramNotReady

TIMEOUT_SECONDS = 10
SILENCE_TIMEOUT_SECONDS = 3
EXPIRY_TIMEOUT_SECONDS = 15
PAUSE_SECONDS = 0.5
SHORT_READY_TIMEOUT_SECONDS = 0.3
LATE_READY_PROGRAM = (
    'import time; time.sleep(1.5);'
    'print("ready 127.0.0.1:1", flush=True); time.sleep(30)'
)
LONG_PROCESSOR_WAIT_SECONDS = 1000.0
CONNECTION_LOST = urllib3.exceptions.ProtocolError


@fixture
def run_standin(context, name, *flags):
    """Run a stand-in until the scenario ends."""
    with tempfile.TemporaryDirectory() as folder:
        module = f'ibisport_bench.standins.{name}'
        command = [sys.executable, '-m', module, '--threads', '20', *flags]
        context.program = start_program(command, Path(folder) / 'log')
        context.http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_SECONDS)
        yield context.program
        context.program.kill()


@fixture
def run_relay(context):
    """Run a relay to the program until the scenario ends."""
    context.relay = Relay(context.program.address)
    yield context.relay
    context.relay.close()


def encode(text):
    return base64.b64encode(text.encode()).decode()


def decode(text):
    return base64.b64decode(text).decode()


def post(context, path, fields, **options):
    url = context.program.url + path
    return context.http.request('POST', url, body=json.dumps(fields), **options)


def put(context, key, value, **fields):
    request = {'key': encode(key), 'value': encode(value), **fields}
    return post(context, '/v3/kv/put', request).json()


def read(context, key):
    answer = post(context, '/v3/kv/range', {'key': encode(key)}).json()
    return [decode(pair['value']) for pair in answer.get('kvs', [])]


def read_events(context):
    return json.loads(next(context.watch))['result']


@given('a stand-in of the store in which "{key}" is "{value}"')
def start_store(context, key, value):
    use_fixture(run_standin, context, 'store')
    context.first = put(context, key, value)['header']['revision']


@given('another writer sets the key "{key}" to "{value}"')
@when('another writer sets the key "{key}" to "{value}"')
def set_value(context, key, value):
    context.last = put(context, key, value)['header']['revision']


@when('the key "{key}" is set to "{value}" on the condition of its first revision')
def compare_and_swap(context, key, value):
    condition = {
        'key': encode(key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': context.first,
    }
    change = {'request_put': {'key': encode(key), 'value': encode(value)}}
    lookup = {'request_range': {'key': encode(key)}}
    request = {'compare': [condition], 'success': [change], 'failure': [lookup]}
    context.answer = post(context, '/v3/kv/txn', request).json()


@then('the transaction did not succeed and showed "{value}"')
def check_conflict(context, value):
    assert not context.answer.get('succeeded')
    found = context.answer['responses'][0]['response_range']['kvs']
    assert [decode(pair['value']) for pair in found] == [value]


@then('the key "{key}" is "{value}"')
def check_value(context, key, value):
    assert read(context, key) == [value], read(context, key)


@then('the key "{key}" is missing')
def check_missing(context, key):
    assert not read(context, key)


@given('the store loses the next answer to a write')
def lose_answer(context):
    post(context, '/faults', {'lose_answers': 1})


@when('the key "{key}" is set to "{value}"')
def try_to_set(context, key, value):
    try:
        context.answer = put(context, key, value)
    except CONNECTION_LOST:
        context.answer = None


@then('no answer came')
def check_no_answer(context):
    assert context.answer is None


@then('the history shows "{values}" for "{key}"')
def check_history(context, values, key):
    changes = context.http.request('GET', f'{context.program.url}/history').json()
    shown = [change['value'] for change in changes if change['key'] == key]
    assert shown == values.split(', '), changes


@given('the key "{key}" is "{value}" under a lease of {seconds:d} seconds')
def put_under_lease(context, key, value, seconds):
    granted = post(context, '/v3/lease/grant', {'TTL': seconds}).json()
    context.lease = granted['ID']
    put(context, key, value, lease=context.lease)
    # The key exists until the lease expires; one second may be over by now.
    assert seconds == 1 or read(context, key) == [value]


@when('all leases expire')
def expire_leases(context):
    post(context, '/faults', {'expire_lease': 'all'})


@then('the key "{key}" disappears by itself')
def wait_until_missing(context, key):
    deadline = time.monotonic() + EXPIRY_TIMEOUT_SECONDS
    while read(context, key):
        assert time.monotonic() < deadline
        time.sleep(0.1)


@then('renewing the lease shows that it has expired')
def check_lease_gone(context):
    answer = post(context, '/v3/lease/keepalive', {'ID': context.lease}).json()
    assert 'TTL' not in answer['result'], answer


@when('a watch on "{key}" starts at its first revision')
def start_watch(context, key):
    wanted = {'key': encode(key), 'start_revision': context.first}
    request = {'create_request': wanted}
    answer = post(context, '/v3/watch', request, preload_content=False)
    context.watch = answer.stream()
    assert read_events(context)['created']


@then('the watch reports "{values}"')
def check_reported(context, values):
    for value in values.split(', '):
        events = read_events(context)['events']
        assert [decode(event['kv']['value']) for event in events] == [value], events


@when('the store is compacted at its last revision')
def compact(context):
    answer = post(context, '/v3/kv/compaction', {'revision': context.last})
    assert answer.status == 200


@then('the watch is cancelled with that compaction')
def check_compacted(context):
    ending = read_events(context)
    assert ending['canceled']
    assert ending['compact_revision'] == context.last
    assert not list(context.watch)


@given('a stand-in of the engine')
def start_engine(context):
    use_fixture(run_standin, context, 'engine', '--token-ms', '5')


@when('it is asked "{prompt}" with and without streaming')
def ask_twice(context, prompt):
    context.prompt = prompt
    request = {'model': 'any', 'prompt': prompt}
    whole = post(context, '/v1/completions', request).json()
    streamed_body = post(context, '/v1/completions', {**request, 'stream': True}).data
    events = streamed_body.decode().split('\n\n')
    assert events[-2:] == ['data: [DONE]', '']
    chunks = [json.loads(event.removeprefix('data: ')) for event in events[:-2]]
    streamed = ''.join(chunk['choices'][0]['text'] for chunk in chunks)
    context.texts = [whole['choices'][0]['text'], streamed]
    context.usages = [whole['usage'], chunks[-1]['usage']]


@then('both answers are the {number:d} words determined by the prompt')
def check_answers(context, number):
    digest = hashlib.sha256(context.prompt.encode()).hexdigest()[:8]
    expected = ' '.join(f'{digest}-{index}' for index in range(number))
    assert context.texts == [expected, expected], context.texts


@then('both usages are {prompt:d} prompt and {answer:d} answer tokens')
def check_usages(context, prompt, answer):
    expected = {
        'prompt_tokens': prompt,
        'completion_tokens': answer,
        'total_tokens': prompt + answer,
    }
    assert context.usages == [expected, expected], context.usages


@then('its run log shows two finished runs of {tokens:d} tokens')
def check_run_log(context, tokens):
    runs = context.http.request('GET', f'{context.program.url}/runs').json()
    shown = [(run['completion_tokens'], run['finished']) for run in runs]
    assert shown == [(tokens, True), (tokens, True)], runs


@given('a stand-in of the service that breaks off its next answer')
def start_service(context):
    use_fixture(run_standin, context, 'service')
    post(context, '/faults', {'break_before_answer': 1})


@when('the same call is sent twice')
def call_twice(context):
    headers = {'X-Request-Id': 'order-1'}
    context.answers = []
    for _ in range(2):
        try:
            answer = post(context, '/orders/1', {'state': 'done'}, headers=headers)
        except CONNECTION_LOST:
            context.answers.append(None)
        else:
            context.answers.append(answer.json()['call'])


@then('the first call has no answer')
def check_first_lost(context):
    assert context.answers == [None, 2], context.answers


@then('the service counts two runs of the call')
def check_service_runs(context):
    counted = context.http.request('GET', f'{context.program.url}/runs').json()
    assert counted['by_request_id'] == {'order-1': 2}, counted
    assert list(counted['by_content'].values()) == [2], counted


def ask_through_relay(context, tokens, timeout):
    request = {'prompt': f'long answer_tokens={tokens}', 'stream': True}
    return context.http.request(
        'POST',
        f'http://{context.relay.address}/v1/completions',
        body=json.dumps(request),
        preload_content=False,
        timeout=timeout,
    )


@given('an answer of {tokens:d} tokens that streams through a relay')
def stream_through_relay(context, tokens):
    use_fixture(run_relay, context)
    context.stream = ask_through_relay(
        context, tokens, SILENCE_TIMEOUT_SECONDS
    ).stream()
    assert next(context.stream)


@when('the relay silences the open connections')
def silence(context):
    context.relay.silence_existing()


@then('the stream receives no more data')
def check_silent(context):
    try:
        # Chunks that were in transit before the silence may still arrive.
        list(context.stream)
    except urllib3.exceptions.ReadTimeoutError:
        return
    raise AssertionError('the stream ended')


@then('a new connection through the relay receives a complete answer')
def check_new_works(context):
    streamed_body = ask_through_relay(context, 3, TIMEOUT_SECONDS).data
    assert streamed_body.endswith(b'data: [DONE]\n\n'), streamed_body


@given('a program that becomes ready after the start timeout')
def prepare_late_program(context):
    context.late = [sys.executable, '-c', LATE_READY_PROGRAM]


@when('it is started on a machine where it waits for a processor')
def start_on_busy_machine(context):
    _start_late_program(context, LONG_PROCESSOR_WAIT_SECONDS)


@when('it is started on a machine with idle processors')
def start_on_idle_machine(context):
    _start_late_program(context, 0)


@then('the start succeeds')
def check_started(context):
    assert context.failure is None, context.failure


@then('the start fails and the program has ended')
def check_start_failed(context):
    assert isinstance(context.failure, ProgramNotReady)
    assert 'exit code None' in str(context.failure), context.failure


def _start_late_program(context, processor_wait):
    """Start the late program, with a given processor wait reported by the system."""
    context.failure = None
    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch.object(
            launcher, 'READY_TIMEOUT_SECONDS', SHORT_READY_TIMEOUT_SECONDS
        ),
        mock.patch.object(launcher, 'read_run_queue_wait', return_value=processor_wait),
    ):
        try:
            program = start_program(context.late, Path(folder) / 'log')
        except ProgramNotReady as failure:
            context.failure = failure
        else:
            program.kill()


@when('the engine is paused and then stopped')
def pause_and_stop(context):
    context.program.pause()
    # All threads must be stopped when the signal arrives.
    time.sleep(PAUSE_SECONDS)
    context.code = context.program.stop()


@then('it has ended with code {code:d}')
def check_ended(context, code):
    assert context.code == code
