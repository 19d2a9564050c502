"""Checks the brief's promises by outside evidence alone.

The evidence is what the targets ran, what the store committed and what callers
received; the routers' and agents' own word is never asked for.

What a request costs: a whole answer costs what its target counted, once,
however often it was asked for. An answer that broke off costs nothing. A stream
left by its caller costs what was generated: between what the caller had got and
what the target ran. Where an answer was whole at a target and reached nobody,
the run may have been paid or not; ``Bounds`` says so instead of guessing.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson

BUDGET_PREFIX = '/ibisport/budget/'
DID_NOT_RUN = 'did_not_run'
_DONE_EVENT = b'data: [DONE]\n\n'
_EVENT_PREFIX = b'data: '
_OK_STATUS = 200
_SERVICE_COST_TOKENS = 1

Fields = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Received:
    """One call of a caller and the bytes that came back.

    Attributes:
        prompt: The unique prompt, or empty for a call of the plain service.
        words: Words that a whole answer has.
        path: Path of a call of the plain service.
        sent: Body of a call of the plain service.
        status: HTTP status; 0 when none came.
        body: All bytes that came.
        broken: The connection broke before the end.
        left: The caller closed the connection itself.
        idempotent: Whether it may run more than once.
    """

    prompt: str = ''
    words: int = 0
    path: str = ''
    sent: bytes = b''
    status: int = 0
    body: bytes = b''
    broken: bool = False
    left: bool = False
    idempotent: bool = True

    @property
    def content_hash(self) -> str:
        """What a target's log knows the request by."""
        if self.prompt:
            return hashlib.sha256(self.prompt.encode()).hexdigest()
        return f'{self.path} {hashlib.sha256(self.sent).hexdigest()}'

    @property
    def streamed(self) -> bool:
        """Whether server-sent events came."""
        return self.body.startswith(_EVENT_PREFIX)

    @property
    def documents(self) -> list[Fields]:
        """The complete JSON documents among the bytes."""
        if not self.streamed:
            return [_parse(self.body)] if self.body else []
        parts = self.body.split(b'\n\n')[:-1]
        texts = [part.removeprefix(_EVENT_PREFIX) for part in parts]
        return [_parse(text) for text in texts if text != b'[DONE]']

    @property
    def error(self) -> Fields:
        """The typed error that came, or an empty one."""
        found = [one['error'] for one in self.documents if 'error' in one]
        return found[-1] if found else {}

    @property
    def looks_whole(self) -> bool:
        """Whether a caller would take this for the whole answer."""
        if self.status != _OK_STATUS or self.broken or self.left or self.error:
            return False
        return self.body.endswith(_DONE_EVENT) or not self.streamed

    @property
    def text(self) -> list[str]:
        """The words that came."""
        choices = [one['choices'][0] for one in self.documents if 'choices' in one]
        pieces = [
            choice.get('delta', choice.get('message', {})).get('content', '')
            for choice in choices
        ]
        return ''.join(pieces).split()


@dataclass(frozen=True, slots=True)
class InvariantViolation:
    """A promise that did not hold.

    Attributes:
        promise: Short name of the promise.
        detail: What speaks against it.
    """

    invariant: str
    detail: str


@dataclass(frozen=True, slots=True)
class CostBounds:
    """The least and the most that requests may have cost, in tokens."""

    min_tokens: int = 0
    max_tokens: int = 0

    def __add__(self, other: 'CostBounds') -> 'CostBounds':
        """Return the bounds of both together."""
        return CostBounds(
            self.min_tokens + other.min_tokens, self.max_tokens + other.max_tokens
        )


@dataclass(frozen=True, slots=True)
class Evidence:
    """All that is known from outside.

    Attributes:
        engine_runs: ``GET /runs`` of all engines.
        service_runs: The runs of ``GET /runs`` of all plain services.
        history: ``GET /history`` of the store.
        received: What every caller got.
        stranded: Whether agents died with the proof of what ran: then less
            than is due may be billed, never more.
    """

    engine_runs: Sequence[Fields] = ()
    service_runs: Sequence[Fields] = ()
    history: Sequence[Fields] = ()
    received: Sequence[Received] = ()
    stranded: bool = False
    _runs_by_content: dict[str, list[Fields]] = field(default_factory=dict)

    def find_runs(self, one: Received) -> list[Fields]:
        """Return the runs of a request at all targets."""
        if not self._runs_by_content:
            self._runs_by_content.update(self._group_runs())
        return self._runs_by_content.get(one.content_hash, [])

    def group_received(self) -> dict[str, list[Received]]:
        """Return the calls by request."""
        grouped: dict[str, list[Received]] = defaultdict(list)
        for one in self.received:
            grouped[one.content_hash].append(one)
        return grouped

    def _group_runs(self) -> dict[str, list[Fields]]:
        grouped: dict[str, list[Fields]] = defaultdict(list)
        for run in self.engine_runs:
            grouped[run['prompt_hash']].append(run)
        for run in self.service_runs:
            grouped[f'{run["path"]} {run["body_hash"]}'].append(run)
        return grouped


def expect_words(prompt: str, count: int) -> list[str]:
    """Return the words that the stand-in engine answers a prompt with."""
    head = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f'{head}-{number}' for number in range(count)]


def check_all(evidence: Evidence, closed: bool = True) -> list[InvariantViolation]:
    """Return every breach of every promise.

    Args:
        evidence: What is known.
        closed: Whether all sessions are closed or recovered, so that the
            accounts' ``closed_spent`` is the whole bill.
    """
    found = [
        *check_accounts(evidence.history),
        *check_answers(evidence.received),
        *check_refusals(evidence),
        *check_single_runs(evidence),
    ]
    return [*found, *check_bill(evidence)] if closed else found


def check_accounts(history: Iterable[Fields]) -> list[InvariantViolation]:
    """Check each committed version of each account.

    Args:
        history: Changes in order of commit.
    """
    found: list[InvariantViolation] = []
    before: dict[str, Fields] = {}
    for key, revision, account in _list_versions(history):
        place = f'{key} at {revision}'
        found += _check_version(place, account)
        if key in before:
            found += _check_transition(place, before[key], account)
        before[key] = account
    return found


def check_answers(received: Iterable[Received]) -> list[InvariantViolation]:
    """Check that answers are whole and the caller's own, or typed failures."""
    return [breach for one in received for breach in _check_answer(one)]


def check_refusals(evidence: Evidence) -> list[InvariantViolation]:
    """Check that what is said not to have run did not run.

    A refused call of a request that was called again counts when all of its
    calls were refused so; else the run may be another call's.
    """
    found = []
    for calls in evidence.group_received().values():
        denied = [one.error.get('statement') == DID_NOT_RUN for one in calls]
        runs = evidence.find_runs(calls[0])
        if all(denied) and runs:
            found.append(
                InvariantViolation('did not run', f'{calls[0].error} but {runs}')
            )
    return found


def check_single_runs(evidence: Evidence) -> list[InvariantViolation]:
    """Check that a request that is not idempotent ran at most once."""
    found = []
    for calls in evidence.group_received().values():
        runs = evidence.find_runs(calls[0])
        if not all(one.idempotent for one in calls) and len(runs) > 1:
            found.append(
                InvariantViolation('runs at most once', f'{len(runs)} runs: {runs}')
            )
    return found


def check_bill(evidence: Evidence) -> list[InvariantViolation]:
    """Check that the closed accounts hold what the requests cost, once."""
    accounts = read_accounts(evidence.history)
    billed = sum(one['closed_spent'] for one in accounts.values())
    due = bound_bill(evidence)
    least = 0 if evidence.stranded else due.min_tokens
    found = [
        InvariantViolation(
            'all sessions are closed', f'{key} holds {account["grants"]}'
        )
        for key, account in accounts.items()
        if account['grants'] and not evidence.stranded
    ]
    if not least <= billed <= due.max_tokens:
        found.append(
            InvariantViolation('billed once', f'{billed} billed, due is {due}')
        )
    return found


def read_accounts(history: Iterable[Fields]) -> dict[str, Fields]:
    """Return the last committed version of every account."""
    return {key: account for key, _, account in _list_versions(history)}


def bound_bill(evidence: Evidence) -> CostBounds:
    """Return what all requests together may have cost."""
    requests = evidence.group_received().values()
    bounds = [bound_request(calls, evidence.find_runs(calls[0])) for calls in requests]
    return sum(bounds, start=CostBounds())


def bound_request(calls: Sequence[Received], runs: Sequence[Fields]) -> CostBounds:
    """Return what one request may have cost.

    Args:
        calls: All calls of it.
        runs: All its runs at all targets.
    """
    delivered = any(one.looks_whole for one in calls)
    if not calls[0].prompt:
        ran = _SERVICE_COST_TOKENS if runs else 0
        return CostBounds(ran if delivered else 0, ran)
    whole = max((_count_tokens(run) for run in runs if run['finished']), default=0)
    if delivered:
        return CostBounds(whole, whole)
    if any(one.left for one in calls):
        got = max(len(one.text) for one in calls)
        most = max((_count_tokens(run) for run in runs), default=0)
        return CostBounds(min(got, most), most)
    return CostBounds(0, whole)


def _list_versions(history: Iterable[Fields]) -> Iterator[tuple[str, int, Fields]]:
    for change in history:
        key = change['key']
        if change['type'] == 'PUT' and key.startswith(BUDGET_PREFIX):
            yield key, change['revision'], orjson.loads(change['value'])


def _check_version(place: str, account: Fields) -> list[InvariantViolation]:
    grants = account['grants'].values()
    held = sum(grant['granted'] for grant in grants)
    found = []
    if account['closed_spent'] + held > account['topped_up']:
        found.append(InvariantViolation('never overspent', f'{place}: {account}'))
    if any(grant['spent'] > grant['granted'] for grant in grants):
        found.append(
            InvariantViolation('spent within the grant', f'{place}: {account}')
        )
    return found


def _check_transition(
    place: str, before: Fields, after: Fields
) -> list[InvariantViolation]:
    found = []
    for name in ('topped_up', 'closed_spent'):
        if after[name] < before[name]:
            found.append(InvariantViolation('cumulative', f'{place}: {name} went back'))
    for session, grant in before['grants'].items():
        later = after['grants'].get(session, grant)
        for name in ('spent', 'floor', 'sequence'):
            if later[name] < grant[name]:
                found.append(
                    InvariantViolation('cumulative', f'{place}: {name} of {session}')
                )
    return found


def _check_answer(one: Received) -> list[InvariantViolation]:
    if one.broken or one.left:
        whole = expect_words(one.prompt, one.words)
        if one.prompt and one.text != whole[: len(one.text)]:
            return [InvariantViolation('own answer', f'{one.prompt}: {one.text}')]
        return []
    if one.looks_whole:
        return _check_whole_answer(one)
    if not one.error.get('code') or not one.error.get('statement'):
        return [
            InvariantViolation(
                'typed error', f'{one.prompt}{one.path}: {one.body[-200:]!r}'
            )
        ]
    return []


def _check_whole_answer(one: Received) -> list[InvariantViolation]:
    if one.prompt:
        right = one.text == expect_words(one.prompt, one.words)
    else:
        echoed = hashlib.sha256(one.sent).hexdigest()
        right = one.documents[0]['body_hash'] == echoed
    name = f'{one.prompt}{one.path}'
    return (
        []
        if right
        else [InvariantViolation('whole answer', f'{name}: {one.body[-200:]!r}')]
    )


def _count_tokens(run: Fields) -> int:
    return int(run['prompt_tokens'] + run['completion_tokens'])


def _parse(text: bytes) -> Fields:
    try:
        document: Fields = orjson.loads(text)
    except ValueError:
        return {}
    return document
