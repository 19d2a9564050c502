"""Checks that routers respect what targets say, and serve again after all ended."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

from ibisport_bench.soak.analysis import RECOVERY_SECONDS, Evidence, Violation
from ibisport_bench.soak.catalogue_checks import DENIALS
from ibisport_bench.soak.evidence import Arrival, Evacuation, RequestRecord

# Requests within this time after an answer may have been sent before it arrived.
TOLD_GRACE_SECONDS = 0.5
# The platform's bounds: requests that a router may send within a pause, and the time
# from which it must not send to a target that leaves.
MAX_SENDS_IN_PAUSE = 2
MAX_LEAVE_SECONDS = 2.0
# The time from which an evacuated domain's targets must get nothing; the platform
# allows 5 s.
MAX_EVACUATION_DELAY_SECONDS = 4.0
# After all processes were killed, requests from this long after their start must be
# served again, at least this share. The platform allows 12 s.
RETURN_SECONDS = 6.0
MIN_SERVED_SHARE = 0.25
# A workspace whose budget can't be used up in a run.
AMPLE = 'ample'
STATUS_OK = 200


def check_pauses(evidence: Evidence) -> Iterator[Violation]:
    """A router sends hardly any request to a target in a pause that it asked for."""
    arrivals = _group_arrivals(evidence)
    for pause in evidence.journal.pauses:
        asked = _find_request(evidence, pause.arrival)
        sends = arrivals[asked.router, asked.start, pause.arrival.target]
        since = bisect_right(sends, pause.arrival.at + TOLD_GRACE_SECONDS)
        count = bisect_right(sends, pause.ended) - since
        if count > MAX_SENDS_IN_PAUSE and not _was_disturbed(
            evidence, asked, pause.arrival, pause.ended
        ):
            description = f'{count} requests in a pause of {pause.arrival.target}'
            yield Violation('PAUSE', f'{description}: {evidence.describe(asked)}')


def check_leavings(evidence: Evidence) -> Iterator[Violation]:
    """A router that passed on that a target leaves sends it no later request."""
    told: dict[tuple[str, int, str], Arrival] = {}
    for arrival in evidence.journal.leavings:
        told.setdefault(_identify(evidence, arrival), arrival)
    for arrival in evidence.journal.arrivals:
        first = told.get(_identify(evidence, arrival))
        if first is None:
            continue
        request = _find_request(evidence, arrival)
        answered = _find_request(evidence, first)
        is_late = request.sent > answered.ended + MAX_LEAVE_SECONDS
        if is_late and not _was_disturbed(evidence, request, first, arrival.at):
            description = (
                f'{arrival.at - first.at:.3f} s after {first.target} said it leaves'
            )
            yield Violation('LEAVE', f'{description}: {evidence.describe(request)}')


def check_overruns(evidence: Evidence) -> Iterator[Violation]:
    """A cold target gets no more requests in a second than it bears."""
    for overrun in evidence.journal.overruns:
        arrival = overrun.arrival
        # A harmed link delivers requests of several seconds at once.
        link = f'link of {_find_name(arrival)}'
        since = arrival.at - RECOVERY_SECONDS
        if not evidence.find_unplanned([link], since, arrival.at):
            request = _find_request(evidence, arrival)
            description = f'{overrun.count} requests in a second at {arrival.target}'
            yield Violation('COLD', f'{description}: {evidence.describe(request)}')


def check_evacuations(evidence: Evidence) -> Iterator[Violation]:
    """Targets of an evacuated domain get no request once routers must know of it."""
    for evacuation in evidence.journal.evacuations:
        since = evacuation.begun + MAX_EVACUATION_DELAY_SECONDS
        for arrival in evidence.journal.arrivals:
            if (
                since <= arrival.at <= evacuation.ended
                and _find_name(arrival) in evacuation.targets
                and _had_time_to_learn(evidence, evacuation, arrival)
            ):
                late = arrival.at - evacuation.begun
                request = evidence.describe(_find_request(evidence, arrival))
                description = f'{late:.3f} s after the order at {arrival.target}'
                yield Violation('EVAC', f'{description}: {request}')


def _had_time_to_learn(
    evidence: Evidence, evacuation: Evacuation, arrival: Arrival
) -> bool:
    """Whether neither the router nor the target's link were disturbed meanwhile."""
    link = f'link of {_find_name(arrival)}'
    request = _find_request(evidence, arrival)
    return not evidence.find_unplanned(
        [link], evacuation.begun, arrival.at
    ) and evidence.is_undisturbed(request, evacuation.begun, arrival.at)


def check_recovery(evidence: Evidence) -> Iterator[Violation]:
    """Paid requests are served again after all processes were killed at once.

    Those that the catalogue rejects aren't owed; DENIED checks the rejections.
    """
    since = evidence.journal.returned_at + RETURN_SECONDS
    late = [
        request
        for request in evidence.journal.asks
        if request.sent > since
        and request.workspace == AMPLE
        and request.events
        and request.status not in DENIALS
    ]
    served = sum(request.status == STATUS_OK for request in late)
    if late and served < MIN_SERVED_SHARE * len(late):
        yield Violation('RECOVER', f'{served} of {len(late)} requests were served')


def _group_arrivals(evidence: Evidence) -> dict[tuple[str, int, str], list[float]]:
    """Return the clock times of arrivals by router, its start and target."""
    arrivals: dict[tuple[str, int, str], list[float]] = defaultdict(list)
    for arrival in evidence.journal.arrivals:
        arrivals[_identify(evidence, arrival)].append(arrival.at)
    return arrivals


def _identify(evidence: Evidence, arrival: Arrival) -> tuple[str, int, str]:
    request = _find_request(evidence, arrival)
    return request.router, request.start, arrival.target


def _find_request(evidence: Evidence, arrival: Arrival) -> RequestRecord:
    return evidence.requests[arrival.request_id]


def _find_name(arrival: Arrival) -> str:
    """Return the name that all incarnations of a target share."""
    return arrival.target.rpartition('-')[0]


def _was_disturbed(
    evidence: Evidence, request: RequestRecord, arrival: Arrival, until: float
) -> bool:
    """Whether a fault of the router or of the target's link excuses late requests."""
    subjects = [request.router, f'link of {_find_name(arrival)}']
    since = arrival.at - RECOVERY_SECONDS
    return bool(evidence.find_unplanned(subjects, since, until))
