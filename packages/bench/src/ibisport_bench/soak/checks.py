"""Checks of the observations of callers, targets and the store."""

import math
import signal
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator

from ibisport_bench.soak.analysis import RECOVERY_SECONDS, Evidence, Violation
from ibisport_bench.soak.callers import MAX_IDLE_SHARE
from ibisport_bench.soak.catalogue_checks import (
    check_back,
    check_denied,
    check_late,
    list_possible_catalogues,
)
from ibisport_bench.soak.departure_checks import check_gone
from ibisport_bench.soak.evidence import (
    EVENT_END,
    NOT_EXECUTED_STATUSES,
    AdvertisedLimit,
    Journal,
    RequestRecord,
    Run,
    Start,
    make_body,
)
from ibisport_bench.soak.site import GRACE_SECONDS, ROUTE_TIME_LIMIT_SECONDS
from ibisport_bench.soak.stream_checks import check_order, check_resumed
from ibisport_bench.soak.target_checks import (
    check_evacuations,
    check_leavings,
    check_overruns,
    check_pauses,
    check_recovery,
)

# A router that closes a connection later than this after the request was sent has
# read the request. An earlier close may have crossed the request on its way.
CLOSE_RACE_SECONDS = 0.2
# A router's clock and that of the checks may round differently.
ROUNDING_SECONDS = 0.01
# Requests sent before SIGTERM or up to this long after it may be cut in the last
# sixth of the grace period.
EARLY_REQUEST_SECONDS = 3.0
MIN_GRACE_SHARE = 5 / 6
# The platform's bound for the time until a draining target gets no new requests,
# doubled for slow machines.
MAX_DRAIN_DELAY_SECONDS = 2.0 * 2
# How long two targets may work on one run: 0.4 s, and the longest interval of events,
# after which a target notices that its connection is closed.
MAX_OVERLAP_SECONDS = 0.7
STATUS_OK = 200
# Once a request has crashed FATAL_THRESHOLD targets, it may still reach targets
# MAX_LATE_SENDS times.
FATAL_THRESHOLD = 3
MAX_LATE_SENDS = 3
# The same for a part of prompts, and the share of sound requests beside it that begin.
FATAL_PART_THRESHOLD = 5
MIN_SOUND_SHARE = 0.5
# The requests that a target may get in any window: LIMIT_FACTOR times its rate limit,
# and LIMIT_SLACK more. A router that has received a limit must apply it within
# LIMIT_APPLY_SECONDS.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_APPLY_SECONDS = 0.5
# Rejections that routers must not send, whatever the catalogue allows.
REJECTION_STATUSES = frozenset((400, 403))


def check_lost(evidence: Evidence) -> Iterator[Violation]:
    """A request that a router has read doesn't end with a closed connection.

    Neither does one that was sent in time on an idle connection.
    """
    for request in evidence.journal.asks:
        runs = evidence.runs[request.request_id]
        # A request without a run whose connection ended at once crossed the close
        # of that connection.
        was_read = (
            bool(runs)
            or request.ended - request.sent > CLOSE_RACE_SECONDS
            or was_sent_in_time(evidence, request)
        )
        if (
            not (request.whole or request.left)
            and was_read
            and not is_loss_allowed(evidence, request, runs)
        ):
            yield Violation('LOST', evidence.describe(request))


def was_sent_in_time(evidence: Evidence, request: RequestRecord) -> bool:
    """Whether no idle limit and no signal closed the connection of a request."""
    since = request.idle_since
    catalogues = list_possible_catalogues(evidence, request, since)
    shortest = min(catalogue.limits.idle_seconds for catalogue in catalogues)
    return (
        request.begun - since <= MAX_IDLE_SHARE * shortest
        and evidence.starts[request.router, request.start].told > request.ended
    )


def is_loss_allowed(
    evidence: Evidence, request: RequestRecord, runs: list[Run]
) -> bool:
    """Whether an unplanned fault or the end of the grace period excuses a loss."""
    since = request.sent - RECOVERY_SECONDS
    if evidence.find_unplanned([request.router], since, request.ended):
        return True
    if any(
        run.broken_off
        or evidence.find_unplanned(
            list_target_subjects(run), request.sent, request.ended
        )
        for run in runs
    ):
        return True
    time_limit = find_shortest_time_limit(evidence, request)
    is_late = request.ended - request.begun >= time_limit - ROUNDING_SECONDS
    if is_late and time_limit < ROUTE_TIME_LIMIT_SECONDS:
        return True
    told_at = evidence.starts[request.router, request.start].told
    early = request.sent - told_at <= EARLY_REQUEST_SECONDS
    return early and request.ended - told_at >= GRACE_SECONDS * MIN_GRACE_SHARE


def find_shortest_time_limit(evidence: Evidence, request: RequestRecord) -> float:
    """Return the shortest time limit under which a request may have been sent."""
    until = request.sent + CLOSE_RACE_SECONDS
    catalogues = list_possible_catalogues(evidence, request, request.sent, until)
    return min(route.time_limit for known in catalogues for route in known.routes[:1])


def list_target_subjects(run: Run) -> list[str]:
    """Return the fault subjects of a run's target and of its link."""
    name = run.target.rpartition('-')[0]
    return [run.target, f'link of {name}']


def check_twice(evidence: Evidence) -> Iterator[Violation]:
    """A request that isn't repeatable runs at most once, at one target at a time.

    A run that goes on with its copy is the same run.
    """
    for request in evidence.journal.asks:
        runs = evidence.runs[request.request_id]
        begun = [run for run in runs if not run.continued]
        if not request.kind.repeatable and len(begun) > 1:
            yield Violation('TWICE', evidence.describe(request))
        elif any(_overlaps(evidence, run, runs) for run in runs if run.continued):
            yield Violation('TWICE', f'at once: {evidence.describe(request)}')


def _overlaps(evidence: Evidence, run: Run, runs: list[Run]) -> bool:
    """Whether a run goes on while an earlier, reachable target works on it."""
    until = run.begun + MAX_OVERLAP_SECONDS
    return any(
        other.begun < run.begun
        and other.ended > until
        and not evidence.find_unplanned(list_target_subjects(other), run.begun, until)
        for other in runs
    )


def check_refused(evidence: Evidence) -> Iterator[Violation]:
    """A request whose answer says that it wasn't executed has no run."""
    for request in evidence.journal.asks:
        if (
            request.status in NOT_EXECUTED_STATUSES
            and evidence.runs[request.request_id]
        ):
            yield Violation('REFUSED', evidence.describe(request))


def check_whole(evidence: Evidence) -> Iterator[Violation]:
    """A success is the answer of a target: whole if framed as whole, else a prefix.

    Other answers have no seal, and routers take no request for malformed.
    """
    for request in evidence.journal.asks:
        if request.status == STATUS_OK:
            valid = is_authentic(request, evidence.runs[request.request_id])
        else:
            valid = not (request.status in REJECTION_STATUSES or request.seal)
        if not valid:
            yield Violation('WHOLE', evidence.describe(request))


def is_authentic(request: RequestRecord, runs: list[Run]) -> bool:
    """Whether a success has the body and seal that a target sent for the request."""
    expected = make_body(request.request_id, request.events, request.after)
    whole = (
        request.body == expected if request.whole else expected.startswith(request.body)
    )
    return whole and request.seal in {run.seal for run in runs}


def check_spend(evidence: Evidence) -> Iterator[Violation]:
    """A workspace gets no more tokens than its budget."""
    spent: dict[str, int] = defaultdict(int)
    for request in evidence.journal.asks:
        events = request.body.count(EVENT_END) if request.events else 0
        if request.status == STATUS_OK and events:
            # The prompt of a resumed stream was charged when it began.
            prompt = 0 if request.resumes else request.prompt
            spent[request.workspace] += prompt + events
    for workspace, budget in evidence.journal.budgets.items():
        if spent[workspace] > budget:
            description = f'{workspace}: {spent[workspace]} tokens of {budget}'
            yield Violation('SPEND', description)


def check_drain(evidence: Evidence) -> Iterator[Violation]:
    """A target gets no new requests once its draining must be known to routers."""
    requests = {request.request_id: request for request in evidence.journal.asks}
    for run in evidence.journal.runs:
        drained_at = evidence.journal.drains.get(run.target, run.begun)
        request = requests[run.request_id]
        late = run.begun > drained_at + MAX_DRAIN_DELAY_SECONDS
        disturbed = evidence.find_unplanned(
            list_target_subjects(run), run.begun - RECOVERY_SECONDS, run.begun
        )
        if (
            late
            and not disturbed
            and evidence.is_undisturbed(request, drained_at, run.begun)
        ):
            description = (
                f'{run.begun - drained_at:.3f} s after the target started draining'
            )
            yield Violation('DRAIN', f'{description}: {evidence.describe(request)}')


def check_fatal(evidence: Evidence) -> Iterator[Violation]:
    """A request that has crashed FATAL_THRESHOLD targets reaches hardly any more."""
    requests = {request.request_id: request for request in evidence.journal.asks}
    paths = {crash.path for crash in evidence.journal.crashes}
    for path in sorted(paths):
        crash_times = [
            record.at for record in evidence.journal.crashes if record.path == path
        ]
        if len(crash_times) < FATAL_THRESHOLD:
            continue
        since = crash_times[FATAL_THRESHOLD - 1] + RECOVERY_SECONDS
        late = [
            run
            for run in evidence.journal.runs
            if run.begun > since
            and (request := requests[run.request_id]).path == path
            and evidence.is_undisturbed(request, run.begun, run.begun)
        ]
        if len(late) > MAX_LATE_SENDS:
            description = f'{path}: {len(late)} runs, {len(crash_times)} targets ended'
            yield Violation('FATAL', description)


def check_fatal_parts(evidence: Evidence) -> Iterator[Violation]:
    """A part that has crashed FATAL_PART_THRESHOLD targets reaches hardly any more.

    Sound requests with the same first part are served nevertheless.
    """
    asked = {ask.path: ask for ask in evidence.journal.asks if ask.parts}
    crashes = sorted(
        record.at for record in evidence.journal.crashes if record.path in asked
    )
    if len(crashes) < FATAL_THRESHOLD:
        return
    fatal_paths = {record.path for record in evidence.journal.crashes}
    fatal_parts = {part for path in fatal_paths for part in asked[path].parts[1:-1]}
    last_at = crashes[:FATAL_PART_THRESHOLD][-1]
    known_at = last_at + RECOVERY_SECONDS
    requests = {ask.request_id: ask for ask in asked.values()}
    late = [
        run
        for run in evidence.journal.runs
        if run.begun > known_at
        and (ask := requests.get(run.request_id)) is not None
        and fatal_parts & set(ask.parts)
        and evidence.is_undisturbed(ask, run.begun, run.begun)
    ]
    if len(late) > MAX_LATE_SENDS:
        yield Violation('PART', f'{len(late)} runs, {len(crashes)} targets ended')
    sound = [
        ask
        for ask in asked.values()
        if ask.sent > last_at + 2 * RECOVERY_SECONDS
        and not fatal_parts & set(ask.parts)
        and evidence.is_undisturbed(ask, ask.sent, ask.ended)
    ]
    begun = sum(ask.status == STATUS_OK for ask in sound)
    if begun < MIN_SOUND_SHARE * len(sound):
        yield Violation('PART', f'{begun} of {len(sound)} sound requests begun')


def check_limits(evidence: Evidence) -> Iterator[Violation]:
    """A target gets no more requests than its advertised limit, with some slack."""
    for limit in evidence.journal.limits:
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_SECONDS * limit.rate + LIMIT_SLACK
        sends = list_informed_sends(evidence, limit)
        for number, sent_at in enumerate(sends):
            size = number + 1 - bisect_right(sends, sent_at - LIMIT_WINDOW_SECONDS)
            if sent_at >= limit.begun + RECOVERY_SECONDS and size > allowed:
                description = (
                    f'{limit.target}: {size} in {LIMIT_WINDOW_SECONDS} s '
                    f'of {limit.rate}/s'
                )
                yield Violation('LIMIT', description)
                break


def list_informed_sends(evidence: Evidence, limit: AdvertisedLimit) -> list[float]:
    """Return when a limit's target got requests from routers that knew the limit."""
    routers = {request.request_id: request.router for request in evidence.journal.asks}
    runs = [
        run
        for run in evidence.journal.runs
        if run.target == limit.target and limit.begun <= run.begun <= limit.ended
    ]
    first_received_at: dict[str, float] = {}
    for run in runs:
        router = routers[run.request_id]
        first_received_at[router] = min(
            run.named, first_received_at.get(router, math.inf)
        )
    applies_at = {
        router: received_at + LIMIT_APPLY_SECONDS
        for router, received_at in first_received_at.items()
    }
    return [
        run.begun for run in runs if run.begun >= applies_at[routers[run.request_id]]
    ]


def check_ends(evidence: Evidence) -> Iterator[Violation]:
    """Every process exits by itself on SIGTERM, and never with a failure."""
    last = {start.host: start for start in evidence.journal.starts}
    served = {
        (request.router, request.start)
        for request in evidence.journal.asks
        if request.status
    }
    for start in evidence.journal.starts:
        name = f'{start.host} (start {start.number})'
        if start.killed:
            if start is last[start.host]:
                yield Violation('ENDS', f'{name} had to be killed after the run')
        elif start.code and not is_startup_exit(start, served):
            description = (
                f'{name} ended with {start.code}, {start.ended - start.begun:.3f} s '
                f'after its start, SIGTERM at {start.told - start.begun:.3f} s'
            )
            yield Violation('ENDS', description)


def is_startup_exit(start: Start, served: set[tuple[str, int]]) -> bool:
    """Whether a process ended before it could hold or handle a signal.

    An end by SIGTERM is accepted however late it comes, since a start takes long
    on a busy machine; an end by SIGHUP, which the program's first statement blocks,
    only if it was sent before.

    Args:
        start: A start of a process.
        served: Host and number of each start that answered a request.
    """
    if (start.host, start.number) in served:
        return False
    ended_by_sigterm = start.code == -signal.SIGTERM and start.told <= start.ended
    return ended_by_sigterm or (start.code == -signal.SIGHUP and start.hung_up_early)


CHECKS: dict[str, Callable[[Evidence], Iterator[Violation]]] = {
    'LOST': check_lost,
    'TWICE': check_twice,
    'REFUSED': check_refused,
    'WHOLE': check_whole,
    'SPEND': check_spend,
    'DRAIN': check_drain,
    'LATE': check_late,
    'BACK': check_back,
    'DENIED': check_denied,
    'ENDS': check_ends,
    'FATAL': check_fatal,
    'PART': check_fatal_parts,
    'LIMIT': check_limits,
    'PAUSE': check_pauses,
    'LEAVE': check_leavings,
    'COLD': check_overruns,
    'EVAC': check_evacuations,
    'RECOVER': check_recovery,
    'ORDER': check_order,
    'RESUME': check_resumed,
    'GONE': check_gone,
}


def check_all(journal: Journal) -> list[Violation]:
    """Run all checks and return their violations."""
    evidence = Evidence(journal)
    return [violation for check in CHECKS.values() for violation in check(evidence)]
