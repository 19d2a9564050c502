"""Checks the system's invariants from external evidence only.

The evidence consists of the runs at the targets, the commits of the store and the
answers that callers received. What routers and agents report about themselves isn't
used.

Cost of a request: a complete answer costs what its target counted, once, however many
calls asked for it. An answer that broke off costs nothing. A stream that its caller
closed costs what was generated: at least what the caller had received, at most what
the target ran. If a run finished at a target but its answer reached no caller, it may
or may not have been billed; ``CostBounds`` covers both cases.
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
    """One call of a caller and the answer that it received.

    Attributes:
        prompt: The unique prompt, or empty for a call of the plain service.
        words: Number of words in a complete answer.
        path: Path of a call of the plain service.
        sent: Body of a call of the plain service.
        status: HTTP status; 0 if none was received.
        body: All bytes received.
        broken: Whether the connection broke before the end of the answer.
        left: Whether the caller closed the connection itself.
        idempotent: Whether the request may run more than once.
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
        """Identifier of the request in the run logs of targets."""
        if self.prompt:
            return hashlib.sha256(self.prompt.encode()).hexdigest()
        return f'{self.path} {hashlib.sha256(self.sent).hexdigest()}'

    @property
    def streamed(self) -> bool:
        """Whether the answer consists of server-sent events."""
        return self.body.startswith(_EVENT_PREFIX)

    @property
    def documents(self) -> list[Fields]:
        """The complete JSON documents in the body."""
        if not self.streamed:
            return [_parse(self.body)] if self.body else []
        parts = self.body.split(b'\n\n')[:-1]
        texts = [part.removeprefix(_EVENT_PREFIX) for part in parts]
        return [_parse(text) for text in texts if text != b'[DONE]']

    @property
    def error(self) -> Fields:
        """The last typed error in the answer, or an empty dictionary."""
        errors = [
            document['error'] for document in self.documents if 'error' in document
        ]
        return errors[-1] if errors else {}

    @property
    def looks_whole(self) -> bool:
        """Whether a caller would accept this as the complete answer."""
        if self.status != _OK_STATUS or self.broken or self.left or self.error:
            return False
        return self.body.endswith(_DONE_EVENT) or not self.streamed

    @property
    def text(self) -> list[str]:
        """The words of the answer received so far."""
        choices = [
            document['choices'][0]
            for document in self.documents
            if 'choices' in document
        ]
        pieces = [
            choice.get('delta', choice.get('message', {})).get('content', '')
            for choice in choices
        ]
        return ''.join(pieces).split()


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant.

    Attributes:
        invariant: Short name of the invariant.
        detail: The evidence of the violation.
    """

    invariant: str
    detail: str


@dataclass(frozen=True, slots=True)
class CostBounds:
    """Minimum and maximum of what requests may have cost."""

    min_tokens: int = 0
    max_tokens: int = 0

    def __add__(self, other: 'CostBounds') -> 'CostBounds':
        """Return the bounds of the sum of both costs."""
        return CostBounds(
            self.min_tokens + other.min_tokens, self.max_tokens + other.max_tokens
        )


@dataclass(frozen=True, slots=True)
class Evidence:
    """Everything observed from outside of routers and agents.

    Attributes:
        engine_runs: ``GET /runs`` of all engines.
        service_runs: The runs in ``GET /runs`` of all plain services.
        history: ``GET /history`` of the store.
        received: The calls of all callers.
        stranded: Whether agents crashed and lost the proof of what ran: less than the
            cost may then be billed, never more.
    """

    engine_runs: Sequence[Fields] = ()
    service_runs: Sequence[Fields] = ()
    history: Sequence[Fields] = ()
    received: Sequence[Received] = ()
    stranded: bool = False
    _runs_by_content: dict[str, list[Fields]] = field(default_factory=dict)

    def find_runs(self, call: Received) -> list[Fields]:
        """Return the runs of a call's request at all targets."""
        if not self._runs_by_content:
            self._runs_by_content.update(self._group_runs())
        return self._runs_by_content.get(call.content_hash, [])

    def group_received(self) -> dict[str, list[Received]]:
        """Return the calls, grouped by request."""
        grouped: dict[str, list[Received]] = defaultdict(list)
        for call in self.received:
            grouped[call.content_hash].append(call)
        return grouped

    def _group_runs(self) -> dict[str, list[Fields]]:
        grouped: dict[str, list[Fields]] = defaultdict(list)
        for run in self.engine_runs:
            grouped[run['prompt_hash']].append(run)
        for run in self.service_runs:
            grouped[f'{run["path"]} {run["body_hash"]}'].append(run)
        return grouped


def expect_words(prompt: str, count: int) -> list[str]:
    """Return the words of the stand-in engine's answer to a prompt."""
    head = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f'{head}-{number}' for number in range(count)]


def check_all(evidence: Evidence, closed: bool = True) -> list[Violation]:
    """Return all violations of all invariants.

    Args:
        evidence: The evidence to check.
        closed: Whether all sessions are closed or recovered, so that ``closed_spent``
            of the accounts is the complete bill.
    """
    violations = [
        *check_accounts(evidence.history),
        *check_answers(evidence.received),
        *check_refusals(evidence),
        *check_single_runs(evidence),
    ]
    return [*violations, *check_bill(evidence)] if closed else violations


def check_accounts(history: Iterable[Fields]) -> list[Violation]:
    """Check each committed version of each account.

    Args:
        history: Changes in commit order.
    """
    violations: list[Violation] = []
    before: dict[str, Fields] = {}
    for key, revision, account in _list_versions(history):
        location = f'{key} at {revision}'
        violations += _check_version(location, account)
        if key in before:
            violations += _check_transition(location, before[key], account)
        before[key] = account
    return violations


def check_answers(received: Iterable[Received]) -> list[Violation]:
    """Check that each answer is complete and for its own request, or a typed error."""
    return [violation for call in received for violation in _check_answer(call)]


def check_refusals(evidence: Evidence) -> list[Violation]:
    """Check that requests reported as not run did not run.

    A request with several calls is checked only if all of them were refused with this
    statement; otherwise a run may belong to another call.
    """
    violations = []
    for calls in evidence.group_received().values():
        denied = [call.error.get('statement') == DID_NOT_RUN for call in calls]
        runs = evidence.find_runs(calls[0])
        if all(denied) and runs:
            violations.append(Violation('did not run', f'{calls[0].error} but {runs}'))
    return violations


def check_single_runs(evidence: Evidence) -> list[Violation]:
    """Check that a request that is not idempotent ran at most once."""
    violations = []
    for calls in evidence.group_received().values():
        runs = evidence.find_runs(calls[0])
        if not all(call.idempotent for call in calls) and len(runs) > 1:
            violations.append(
                Violation('runs at most once', f'{len(runs)} runs: {runs}')
            )
    return violations


def check_bill(evidence: Evidence) -> list[Violation]:
    """Check that the accounts billed the cost of each request exactly once."""
    accounts = read_accounts(evidence.history)
    billed = sum(entry['closed_spent'] for entry in accounts.values())
    cost = bound_bill(evidence)
    min_billed = 0 if evidence.stranded else cost.min_tokens
    violations = [
        Violation('all sessions are closed', f'{key} holds {account["grants"]}')
        for key, account in accounts.items()
        if account['grants'] and not evidence.stranded
    ]
    if not min_billed <= billed <= cost.max_tokens:
        violations.append(Violation('billed once', f'{billed} billed, cost is {cost}'))
    return violations


def read_accounts(history: Iterable[Fields]) -> dict[str, Fields]:
    """Return the last committed version of each account."""
    return {key: account for key, _, account in _list_versions(history)}


def bound_bill(evidence: Evidence) -> CostBounds:
    """Return the bounds of the total cost of all requests."""
    requests = evidence.group_received().values()
    bounds = [bound_request(calls, evidence.find_runs(calls[0])) for calls in requests]
    return sum(bounds, start=CostBounds())


def bound_request(calls: Sequence[Received], runs: Sequence[Fields]) -> CostBounds:
    """Return the bounds of the cost of one request.

    Args:
        calls: All calls of the request.
        runs: All runs of the request at all targets.
    """
    delivered = any(call.looks_whole for call in calls)
    if not calls[0].prompt:
        ran = _SERVICE_COST_TOKENS if runs else 0
        return CostBounds(ran if delivered else 0, ran)
    whole = max((_count_tokens(run) for run in runs if run['finished']), default=0)
    if delivered:
        return CostBounds(whole, whole)
    if any(call.left for call in calls):
        received_tokens = max(len(call.text) for call in calls)
        max_tokens = max((_count_tokens(run) for run in runs), default=0)
        return CostBounds(min(received_tokens, max_tokens), max_tokens)
    return CostBounds(0, whole)


def _list_versions(history: Iterable[Fields]) -> Iterator[tuple[str, int, Fields]]:
    for change in history:
        key = change['key']
        if change['type'] == 'PUT' and key.startswith(BUDGET_PREFIX):
            yield key, change['revision'], orjson.loads(change['value'])


def _check_version(location: str, account: Fields) -> list[Violation]:
    grants = account['grants'].values()
    granted = sum(grant['granted'] for grant in grants)
    violations = []
    if account['closed_spent'] + granted > account['topped_up']:
        violations.append(Violation('never overspent', f'{location}: {account}'))
    if any(grant['spent'] > grant['granted'] for grant in grants):
        violations.append(Violation('spent within the grant', f'{location}: {account}'))
    return violations


def _check_transition(location: str, before: Fields, after: Fields) -> list[Violation]:
    violations = []
    for name in ('topped_up', 'closed_spent'):
        if after[name] < before[name]:
            violations.append(Violation('cumulative', f'{location}: {name} decreased'))
    for session, grant in before['grants'].items():
        later = after['grants'].get(session, grant)
        for name in ('spent', 'floor', 'sequence'):
            if later[name] < grant[name]:
                violations.append(
                    Violation('cumulative', f'{location}: {name} of {session}')
                )
    return violations


def _check_answer(call: Received) -> list[Violation]:
    if call.broken or call.left:
        whole = expect_words(call.prompt, call.words)
        if call.prompt and call.text != whole[: len(call.text)]:
            return [Violation('own answer', f'{call.prompt}: {call.text}')]
        return []
    if call.looks_whole:
        return _check_whole_answer(call)
    if not call.error.get('code') or not call.error.get('statement'):
        return [
            Violation('typed error', f'{call.prompt}{call.path}: {call.body[-200:]!r}')
        ]
    return []


def _check_whole_answer(call: Received) -> list[Violation]:
    if call.prompt:
        matches = call.text == expect_words(call.prompt, call.words)
    else:
        echoed = hashlib.sha256(call.sent).hexdigest()
        matches = call.documents[0]['body_hash'] == echoed
    name = f'{call.prompt}{call.path}'
    return (
        [] if matches else [Violation('whole answer', f'{name}: {call.body[-200:]!r}')]
    )


def _count_tokens(run: Fields) -> int:
    return int(run['prompt_tokens'] + run['completion_tokens'])


def _parse(text: bytes) -> Fields:
    try:
        document: Fields = orjson.loads(text)
    except ValueError:
        return {}
    return document
