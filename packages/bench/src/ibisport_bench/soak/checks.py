"""Judges what callers, targets and the store saw."""

import math
import signal
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator

from ibisport_bench.soak.analysis import RECOVERY_SECONDS, Evidence, Violation
from ibisport_bench.soak.catalogue_checks import check_back, check_late
from ibisport_bench.soak.evidence import (
    NOT_EXECUTED_STATUSES,
    AdvertisedLimit,
    Journal,
    Kind,
    RequestRecord,
    Run,
    Start,
    make_body,
)
from ibisport_bench.soak.site import GRACE_SECONDS

# A connection that ends later than this after a request was read it.
CLOSE_RACE_SECONDS = 0.2
# Streams that come so early may be cut in the last sixth of the grace time.
EARLY_REQUEST_SECONDS = 3.0
MIN_GRACE_SHARE = 5 / 6
# The platform's bound for new work at a target that leaves, and as much again for a
# slow machine.
MAX_DRAIN_DELAY_SECONDS = 2.0 * 2
STATUS_OK = 200
# After so many targets have ended under a request it may be sent so often.
FATAL_THRESHOLD = 3
MAX_LATE_SENDS = 3
# How far a target's rate limit may be exceeded in a window, and how soon a router that
# was told must know.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_APPLY_SECONDS = 0.5
# A program that has served nothing and ends so soon may have met a signal before it
# could hold any back; the interpreter's own start is not the product's.
STARTUP_SECONDS = 1.0
# Answers of a router's own to requests that every catalogue allows.
REJECTION_STATUSES = frozenset((400, 401, 403, 404, 413, 431))
EVENT_END = b'\n\n'


def check_lost(evidence: Evidence) -> Iterator[Violation]:
    """No request that a router read ends with a closed connection."""
    for ask in evidence.journal.asks:
        runs = evidence.runs[ask.request_id]
        # Without a run, and cut at once, it crossed the close of its connection.
        was_read = bool(runs) or ask.ended - ask.sent > CLOSE_RACE_SECONDS
        if not ask.whole and was_read and not is_loss_allowed(evidence, ask, runs):
            yield Violation('LOST', evidence.describe(ask))


def is_loss_allowed(evidence: Evidence, ask: RequestRecord, runs: list[Run]) -> bool:
    """Whether something unplanned, or a late end of the grace, may have cut it."""
    since = ask.sent - RECOVERY_SECONDS
    if evidence.find_unplanned([ask.router], since, ask.ended):
        return True
    if any(
        run.broken_off
        or evidence.find_unplanned(list_target_subjects(run), ask.sent, ask.ended)
        for run in runs
    ):
        return True
    told = evidence.starts[ask.router, ask.start].told
    early = ask.sent - told <= EARLY_REQUEST_SECONDS
    return early and ask.ended - told >= GRACE_SECONDS * MIN_GRACE_SHARE


def list_target_subjects(run: Run) -> list[str]:
    """Return the subjects of faults at a run's target and its link."""
    place = run.target.rpartition('-')[0]
    return [run.target, f'link of {place}']


def check_twice(evidence: Evidence) -> Iterator[Violation]:
    """No request that may run once runs twice."""
    for ask in evidence.journal.asks:
        if not ask.kind.repeatable and len(evidence.runs[ask.request_id]) > 1:
            yield Violation('TWICE', evidence.describe(ask))


def check_refused(evidence: Evidence) -> Iterator[Violation]:
    """A request whose answer promises that it never runs has never run."""
    for ask in evidence.journal.asks:
        if ask.status in NOT_EXECUTED_STATUSES and evidence.runs[ask.request_id]:
            yield Violation('REFUSED', evidence.describe(ask))


def check_whole(evidence: Evidence) -> Iterator[Violation]:
    """An answer is its target's, whole if it looks so, a beginning if not."""
    for ask in evidence.journal.asks:
        if ask.status == STATUS_OK:
            true = is_authentic(ask, evidence.runs[ask.request_id])
        else:
            denied = ask.status in REJECTION_STATUSES and ask.kind is not Kind.mark
            true = not (denied or ask.seal)
        if not true:
            yield Violation('WHOLE', evidence.describe(ask))


def is_authentic(ask: RequestRecord, runs: list[Run]) -> bool:
    """Whether a success is what a target sent for this request."""
    expected = make_body(ask.request_id, ask.events)
    whole = ask.body == expected if ask.whole else expected.startswith(ask.body)
    return whole and ask.seal in {run.seal for run in runs}


def check_spend(evidence: Evidence) -> Iterator[Violation]:
    """No workspace gets more than it has paid for."""
    spent: dict[str, int] = defaultdict(int)
    for ask in evidence.journal.asks:
        events = ask.body.count(EVENT_END) if ask.events else 0
        if ask.status == STATUS_OK and events:
            spent[ask.workspace] += ask.prompt + events
    for workspace, budget in evidence.journal.budgets.items():
        if spent[workspace] > budget:
            story = f'{workspace}: {spent[workspace]} tokens of {budget}'
            yield Violation('SPEND', story)


def check_drain(evidence: Evidence) -> Iterator[Violation]:
    """No request reaches a target that has been leaving for long."""
    asks = {ask.request_id: ask for ask in evidence.journal.asks}
    for run in evidence.journal.runs:
        drained = evidence.journal.drains.get(run.target, run.begun)
        ask = asks[run.request_id]
        late = run.begun > drained + MAX_DRAIN_DELAY_SECONDS
        held_up = evidence.find_unplanned(
            list_target_subjects(run), run.begun - RECOVERY_SECONDS, run.begun
        )
        if late and not held_up and evidence.is_undisturbed(ask, drained, run.begun):
            story = f'{run.begun - drained:.3f} s after the target began to leave'
            yield Violation('DRAIN', f'{story}: {evidence.describe(ask)}')


def check_fatal(evidence: Evidence) -> Iterator[Violation]:
    """A request under which three targets ended is hardly sent any more."""
    asks = {ask.request_id: ask for ask in evidence.journal.asks}
    paths = {crash.path for crash in evidence.journal.crashes}
    for path in sorted(paths):
        ends = [one.at for one in evidence.journal.crashes if one.path == path]
        if len(ends) < FATAL_THRESHOLD:
            continue
        since = ends[FATAL_THRESHOLD - 1] + RECOVERY_SECONDS
        late = [
            run
            for run in evidence.journal.runs
            if run.begun > since
            and (ask := asks[run.request_id]).path == path
            and evidence.is_undisturbed(ask, run.begun, run.begun)
        ]
        if len(late) > MAX_LATE_SENDS:
            story = f'{path}: {len(late)} runs, {len(ends)} targets ended'
            yield Violation('FATAL', story)


def check_limits(evidence: Evidence) -> Iterator[Violation]:
    """A target gets no more than the limit that it names, with some slack."""
    for limit in evidence.journal.limits:
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_SECONDS * limit.rate + LIMIT_SLACK
        counted = list_informed_sends(evidence, limit)
        for number, at in enumerate(counted):
            size = number + 1 - bisect_right(counted, at - LIMIT_WINDOW_SECONDS)
            if at >= limit.begun + RECOVERY_SECONDS and size > allowed:
                story = (
                    f'{limit.target}: {size} in {LIMIT_WINDOW_SECONDS} s '
                    f'of {limit.rate}/s'
                )
                yield Violation('LIMIT', story)
                break


def list_informed_sends(evidence: Evidence, limit: AdvertisedLimit) -> list[float]:
    """Return when routers that knew of a limit sent to its target."""
    routers = {ask.request_id: ask.router for ask in evidence.journal.asks}
    runs = [
        run
        for run in evidence.journal.runs
        if run.target == limit.target and limit.begun <= run.begun <= limit.ended
    ]
    told: dict[str, float] = {}
    for run in runs:
        router = routers[run.request_id]
        told[router] = min(run.named, told.get(router, math.inf))
    since = {router: at + LIMIT_APPLY_SECONDS for router, at in told.items()}
    return [run.begun for run in runs if run.begun >= since[routers[run.request_id]]]


def check_ends(evidence: Evidence) -> Iterator[Violation]:
    """Every process ends by itself, without a fault, when it is told to."""
    last = {start.host: start for start in evidence.journal.starts}
    served = {(ask.router, ask.start) for ask in evidence.journal.asks if ask.status}
    for start in evidence.journal.starts:
        name = f'{start.host} (start {start.number})'
        if start.killed:
            if start is last[start.host]:
                yield Violation('ENDS', f'{name} had to be killed after the run')
        elif start.code and not is_startup_exit(start, served):
            story = (
                f'{name} ended with {start.code}, {start.ended - start.begun:.3f} s '
                f'after its start, SIGTERM at {start.told - start.begun:.3f} s'
            )
            yield Violation('ENDS', story)


def is_startup_exit(start: Start, served: set[tuple[str, int]]) -> bool:
    """Whether a signal ended a program before it could take any.

    SIGTERM asked for the end, however long the start takes on a busy machine.

    Args:
        start: A process.
        served: Host and number of those that gave an answer.
    """
    if (start.host, start.number) in served:
        return False
    told = start.code == -signal.SIGTERM and start.told <= start.ended
    return told or start.ended <= start.begun + STARTUP_SECONDS


CHECKS: dict[str, Callable[[Evidence], Iterator[Violation]]] = {
    'LOST': check_lost,
    'TWICE': check_twice,
    'REFUSED': check_refused,
    'WHOLE': check_whole,
    'SPEND': check_spend,
    'DRAIN': check_drain,
    'LATE': check_late,
    'BACK': check_back,
    'ENDS': check_ends,
    'FATAL': check_fatal,
    'LIMIT': check_limits,
}


def check_all(journal: Journal) -> list[Violation]:
    """Return all violations."""
    evidence = Evidence(journal)
    return [one for check in CHECKS.values() for one in check(evidence)]
