"""Steps on the catalogue, its operators and the store client."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from functools import partial
from unittest.mock import patch

import orjson
from behave import given, then, when
from catalogue_news import check_news
from catalogue_service import (
    PATIENCE,
    Follower,
    InterruptedClient,
    OvertakenClient,
    Service,
    run_command,
    start_service,
    wait_until,
)

from ibisport_core.catalogue import Catalogue
from ibisport_core.entries import (
    CATALOGUE_PREFIX,
    EntryKind,
    TargetEntry,
    TargetState,
    dump_entry,
    name_entry,
)
from ibisport_core.errors import (
    EntryConflict,
    EntryInvalid,
    EntryMissing,
    IbisportError,
    LeaseLapsed,
    StoreError,
    TopUpConflict,
)
from ibisport_core.identity import hash_key
from ibisport_core.internal import watching
from ibisport_core.operators import Operator, StoredEntry
from ibisport_core.store import Change, Put, StoreClient

KEY_HASH = hash_key('secret')
DEAD_ENDPOINT = '127.0.0.1:1'
NOTHING_WRONG = 'nothing wrong'
SLOW_FAULT = 'the service is too slow'
SHORT_TIMEOUT = 0.3
FAULTS = {
    'the service refuses calls': {'refuse': True},
    'the service closes its calls': {'down': True},
    SLOW_FAULT: {'slow_ms': 900},
    'the answer of a write is lost': {'lose_answers': 1},
    'nobody listens': {},
}


@given('a key-value service for operators')
def start(context):
    context.service = start_service(context)
    context.operator = context.service.make_operator()


@given('the service will lose {count:d} answers')
def lose_answers(context, count):
    context.service.order_faults(lose_answers=count)


@given('workspace "{name}" with the class "{class_name}"')
def put_workspace(context, name, class_name):
    document = {'name': name, 'owner': 'tests', 'class': class_name}
    context.operator.put_entry(EntryKind.workspace, orjson.dumps(document), 0)


@given('target "{name}" serving model "{model}"')
def put_target(context, name, model):
    _put_model(context.operator, model)
    target = TargetEntry(
        name=name,
        owner='tests',
        serves=(model,),
        agent_address='127.0.0.1:7000',
        target_address='127.0.0.1:8000',
        failure_domain='shah',
    )
    context.operator.put_entry(EntryKind.target, dump_entry(target), 0)


@given('a follower of the catalogue')
def start_follower(context):
    context.follower = Follower(context.service.make_client('follower'))
    context.follower.start()
    context.add_cleanup(context.follower.stop)


@when('two operators put model "{name}" at the same revision {times:d} times')
def race_for_entry(context, name, times):
    revision = _put_model(context.operator, name).revision
    context.rounds = []
    for _ in range(times):
        outcomes = _race(context.service, partial(_put, revision))
        revision = context.operator.get_entry(EntryKind.model, name).revision
        context.rounds.append((outcomes, revision))


@then('each time one succeeds and one gets EntryConflict with the present revision')
def check_rounds(context):
    for outcomes, revision in context.rounds:
        stored, conflict = _sort_outcomes(outcomes)
        assert stored.revision == revision, outcomes
        assert isinstance(conflict, EntryConflict), outcomes
        assert conflict.revision == revision, outcomes


@then(
    'the history of model "{name}" holds {count:d} versions, '
    'each with another change id'
)
def check_history(context, name, count):
    versions = context.operator.list_history(EntryKind.model, name)
    assert [version.number for version in versions] == list(range(1, count + 1))
    assert len({version.change_id for version in versions}) == count


@when('two operators put workspaces with the same bearer key at once')
def race_for_key(context):
    context.outcomes = _race(context.service, _put_key_holder)


@then('one succeeds and one is refused for its field "{field}"')
def check_claim(context, field):
    context.stored, refused = _sort_outcomes(context.outcomes)
    assert isinstance(refused, EntryInvalid), refused
    assert [fault.field for fault in refused.faults] == [field]


@then("the catalogue finds the key's workspace in the one that succeeded")
def check_key(context):
    snapshot = context.service.make_client().read_prefix(CATALOGUE_PREFIX)
    owner = Catalogue().with_snapshot(snapshot).find_key(KEY_HASH)
    assert owner is not None
    assert owner.workspace == context.stored.entry


@when('an operator puts model "{name}"')
def put_model(context, name):
    context.stored = _put_model(context.operator, name)


@then('the operator gets its revision, and the service saw one write of model "{name}"')
def check_single_write(context, name):
    writes = context.service.list_writes(name_entry(EntryKind.model, name))
    assert [write['revision'] for write in writes] == [context.stored.revision]


@when(
    "an operator's answer is lost and another operator changes the entry "
    'before it reads back'
)
def overtake(context):
    client = OvertakenClient(context.service.address, lambda: _overtake(context))
    context.add_cleanup(client.close)
    first = Operator(client, random.Random(1))
    context.first = _put_model(first, 'acoustics')


@then('the first operator gets the revision of its own write')
def check_first(context):
    writes = context.service.list_writes(name_entry(EntryKind.model, 'acoustics'))
    assert [write['revision'] for write in writes] == [
        context.first.revision,
        context.second.revision,
    ]


@then("the other operator's change stands")
def check_second(context):
    standing = context.operator.get_entry(EntryKind.model, 'acoustics')
    assert standing == context.second


@when('a client writes while {fault}')
def write_with_fault(context, fault):
    context.service.order_faults(**FAULTS[fault])
    address = DEAD_ENDPOINT if fault == 'nobody listens' else context.service.address
    # Only a service that is too slow is known by the clock; the other faults must
    # show by themselves, so a busy machine can't be taken for one of them.
    timeout = SHORT_TIMEOUT if fault == SLOW_FAULT else PATIENCE
    client = StoreClient((address,), call_timeout=timeout)
    context.add_cleanup(client.close)
    context.errors = (
        _find_error(lambda: client.commit((), (Put('/tests', b'value'),))),
        _find_error(lambda: client.read('/tests')),
    )


@then('it gets {write_error}, and a read meanwhile gets {read_error}')
def check_errors(context, write_error, read_error):
    assert context.errors == (write_error, read_error), context.errors


@then(
    'a new client whose first endpoint does not listen '
    'can read, write and watch at once'
)
def check_endpoints(context):
    put = Put('/tests', b'value')
    assert _make_half_dead(context).read('/tests') is None
    commit = _make_half_dead(context).commit((), (put,))
    assert commit.succeeded
    news = _make_half_dead(context).watch('/tests', commit.revision, threading.Event())
    changes = [next(news).changes, next(news).changes]
    news.close()
    assert sum(changes, ()) == (Change(put.key, put.content, commit.revision),)


@then('a lease can be kept until it lapses, and then neither kept nor written with')
def check_lease(context):
    client = context.service.make_client()
    lease = client.grant_lease(60)
    client.keep_lease(lease)
    client.commit((), (Put('/tests', b'held', lease),))
    context.service.order_faults(expire_lease=lease)
    assert client.read('/tests') is None
    held = Put('/tests', b'held', lease)
    kept = _find_error(lambda: client.keep_lease(lease))
    written = _find_error(lambda: client.commit((), (held,)))
    assert (kept, written) == (LeaseLapsed.__name__, LeaseLapsed.__name__)
    client.revoke_lease(lease)


@when(
    'the budget of "{workspace}" is topped up by {tokens:d} tokens '
    'with id "{top_up_id}" {times:d} times'
)
def top_up(context, workspace, tokens, top_up_id, times):
    for _ in range(times):
        context.operator.top_up(workspace, 'main', tokens, top_up_id)


@then('the budget of "{workspace}" holds {tokens:d} tokens')
def check_budget(context, workspace, tokens):
    account = context.operator.read_budget(workspace, 'main')
    assert (account.topped_up, account.remaining) == (tokens, tokens)


@then(
    'a top-up of "{workspace}" by {tokens:d} tokens with id "{top_up_id}" '
    'is a TopUpConflict'
)
def check_conflict(context, workspace, tokens, top_up_id):
    error = _find_error(
        lambda: context.operator.top_up(workspace, 'main', tokens, top_up_id)
    )
    assert error == TopUpConflict.__name__, error


@then(
    'a top-up of "{workspace}" by {tokens:d} tokens with id "{top_up_id}" '
    'is an EntryMissing'
)
def check_missing(context, workspace, tokens, top_up_id):
    error = _find_error(
        lambda: context.operator.top_up(workspace, 'main', tokens, top_up_id)
    )
    assert error == EntryMissing.__name__, error


@then('each of these entries is refused for its field because of the reason')
def check_faults(context):
    for row in context.table:
        faults = _find_faults(context.operator, row['kind'], row['document'])
        shown = (row['document'], faults)
        assert [fault.field for fault in faults] == [row['field']], shown
        assert row['reason'] in faults[0].reason, shown


@then('the service saw no write at all')
def check_no_write(context):
    writes = context.service.list_writes()
    assert not writes, writes


@when(
    'an operator drains it, and another one gives it {slots:d} slots '
    'as soon as the first has read it'
)
def drain_and_edit(context, slots):
    client = InterruptedClient(
        context.service.address,
        partial(_edit_slots, context.operator, slots),
    )
    context.add_cleanup(client.close)
    drainer = Operator(client, random.Random(1))
    drainer.set_target_state('engine-1', TargetState.draining)


@then('the target is draining and has {slots:d} slots')
def check_target(context, slots):
    target = context.operator.get_entry(EntryKind.target, 'engine-1').entry
    assert target.state is TargetState.draining
    assert target.limits.slots == slots


@then('removing model "{name}" is refused because "{user}"')
def refuse_removal(context, name, user):
    try:
        context.operator.remove_entry(EntryKind.model, name)
    except EntryInvalid as error:
        assert user in error.faults[0].reason
    else:
        raise AssertionError('it was removed')


@then('after target "{target}" is removed model "{model}" can be removed')
def remove_both(context, target, model):
    context.operator.remove_entry(EntryKind.target, target)
    context.operator.remove_entry(EntryKind.model, model)
    snapshot = context.service.make_client().read_prefix(CATALOGUE_PREFIX)
    assert not snapshot.records


@then(
    'any order of news, repeated or relayed by peers that lag, '
    'ends in the same catalogue'
)
def check_any_order(context):
    check_news()


@when('{count:d} models are put while the watch is cut {cuts:d} times')
def put_with_cuts(context, count, cuts):
    context.put = []
    for number in range(count):
        context.put.append(_put_model(context.operator, f'model-{number}').revision)
        if number % (count // cuts) == 0:
            context.service.order_faults(cut_watches=True)


@then('the follower has seen each of the {count:d} changes once and in order')
def check_followed(context, count):
    wait_until(lambda: len(context.follower.seen) >= count, 'the last change')
    assert context.follower.seen == context.put
    assert context.follower.cuts > 0
    assert context.follower.reads == 1


@when(
    'the follower is cut off while {count:d} models are put, 1 is removed '
    'and all is compacted'
)
def compact(context, count):
    _put_model(context.operator, 'old')
    wait_until(lambda: context.follower.seen, 'the first change')
    context.service.order_faults(only_sources=['follower'], cut_watches=True)
    revision = [_put_model(context.operator, f'm-{n}').revision for n in range(count)]
    context.operator.remove_entry(EntryKind.model, 'old')
    context.service.compact(revision[-1])
    context.service.order_faults(only_sources=None)


@then('the follower reads anew and knows what the service knows')
def check_reread(context):
    snapshot = context.service.make_client().read_prefix(CATALOGUE_PREFIX)
    truth = Catalogue().with_snapshot(snapshot)
    follower = context.follower
    wait_until(lambda: follower.catalogue.revision >= truth.revision, 'the news')
    assert follower.reads > 1
    known = follower.catalogue.list_entries(EntryKind.model)
    assert known == truth.list_entries(EntryKind.model)


@when('the service holds back its news and {count:d} models are put')
def hold_back(context, count):
    context.service.order_faults(hold_watches=True)
    context.put = [
        _put_model(context.operator, f'm-{number}').revision for number in range(count)
    ]


@given('watches count as silent after {seconds:d} seconds')
def shorten_silence(context, seconds):
    patcher = patch.object(watching, 'SILENCE_LIMIT', float(seconds))
    patcher.start()
    context.add_cleanup(patcher.stop)


@then('the follower gives {count:d} watches up and sees the change on the next')
def check_silence(context, count):
    wait_until(lambda: context.follower.cuts >= count, 'giving the watch up')
    assert not context.follower.seen
    context.service.order_faults(hold_watches=False)
    wait_until(lambda: context.follower.seen == context.put, 'the change')


@then('the commands print JSON, and a file put twice ends with exit code 11')
def check_commands(context):
    service = context.service
    new = [{'kind': 'model', 'entry': {'name': 'acoustics', 'owner': 'tests'}}]
    assert run_command(service, 'put', new).code == 0
    read = run_command(service, 'get', 'model', 'acoustics')
    document = orjson.loads(read.printed)
    document['entry']['limits']['max_tokens'] = 7
    assert run_command(service, 'put', document).code == 0
    refused = run_command(service, 'put', document)
    assert refused.code == 11
    present = context.operator.get_entry(EntryKind.model, 'acoustics')
    assert orjson.loads(refused.complaint)['revision'] == present.revision
    assert present.entry.limits.max_tokens == 7


def _find_faults(operator: Operator, kind: str, document: str):
    """Return why a document is refused, by putting and by validating it."""
    faults = operator.validate(EntryKind(kind), document.encode())
    try:
        operator.put_entry(EntryKind(kind), document.encode(), 0)
    except EntryInvalid as error:
        assert error.faults == faults
        return faults
    return ()


def _put_model(operator: Operator, name: str, revision: int = 0) -> StoredEntry:
    document = orjson.dumps({'name': name, 'owner': 'tests'})
    return operator.put_entry(EntryKind.model, document, revision)


def _put(revision: int, operator: Operator, number: int = 0) -> StoredEntry:
    return _put_model(operator, 'acoustics', revision)


def _put_key_holder(operator: Operator, number: int) -> StoredEntry:
    document = {
        'name': f'workspace-{number}',
        'owner': 'tests',
        'keys': [{'hash': KEY_HASH}],
    }
    return operator.put_entry(EntryKind.workspace, orjson.dumps(document), 0)


def _overtake(context) -> None:
    standing = context.operator.get_entry(EntryKind.model, 'acoustics')
    context.second = _put(standing.revision, context.operator)


def _race(service: Service, act) -> list:
    """Let two operators act at once; return what each got."""
    barrier = threading.Barrier(2)

    def act_at_once(number: int) -> object:
        operator = service.make_operator()
        barrier.wait()
        try:
            return act(operator, number)
        except IbisportError as error:
            return error

    with ThreadPoolExecutor(2) as pool:
        return list(pool.map(act_at_once, range(2)))


def _sort_outcomes(outcomes: list) -> list:
    assert sorted(isinstance(one, StoredEntry) for one in outcomes) == [False, True]
    return sorted(outcomes, key=lambda one: not isinstance(one, StoredEntry))


def _find_error(act) -> str:
    try:
        act()
    except (StoreError, IbisportError) as error:
        return type(error).__name__
    return NOTHING_WRONG


def _edit_slots(operator: Operator, slots: int) -> None:
    stored = operator.get_entry(EntryKind.target, 'engine-1')
    limits = replace(stored.entry.limits, slots=slots)
    document = dump_entry(replace(stored.entry, limits=limits))
    operator.put_entry(EntryKind.target, document, stored.revision)


def _make_half_dead(context) -> StoreClient:
    return context.service.make_client('tests', (DEAD_ENDPOINT,))
