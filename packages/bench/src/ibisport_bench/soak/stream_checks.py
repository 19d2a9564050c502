"""Checks of streams beside targets of several software versions."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from ibisport_bench.soak.analysis import RECOVERY_SECONDS, Evidence, Violation
from ibisport_bench.soak.evidence import RequestRecord
from ibisport_bench.soak.site import ENGINE

# Of fewer streams, a share says little.
MIN_RESUMED = 12
MIN_SHARE_OF_NEW = 0.5
MIN_TARGETS = 2


def check_order(evidence: Evidence) -> Iterator[Violation]:
    """A caller's events of one stream are of targets with one software version."""
    versions: dict[str, set[str]] = defaultdict(set)
    last: dict[str, RequestRecord] = {}
    for request in evidence.journal.asks:
        if request.kind.streams:
            stream = request.resumes or request.request_id
            versions[stream] |= find_versions(evidence, request)
            last[stream] = request
    for stream, found in versions.items():
        if len(found) > 1:
            description = f'{stream} has events of {sorted(found)}'
            yield Violation(
                'ORDER', f'{description}: {evidence.describe(last[stream])}'
            )


def find_versions(evidence: Evidence, request: RequestRecord) -> set[str]:
    """Return the versions of the targets whose events the caller got."""
    runs = sorted(evidence.runs[request.request_id], key=lambda run: run.begun)
    # A run ends where the next one goes on; the last one at the caller's last event.
    starts = [run.after for run in runs] + [request.last_event]
    return {
        evidence.journal.lives[run.target].version
        for run, (begun, ended) in zip(runs, pairwise(starts), strict=True)
        if ended > begun
    }


def check_resumed(evidence: Evidence) -> Iterator[Violation]:
    """Streams that callers resume go on about as often as new streams begin."""
    streams = [request for request in evidence.journal.asks if request.kind.streams]
    undisturbed = [
        request
        for request in streams
        if evidence.is_undisturbed(request, request.sent, request.sent)
    ]
    resumed = [
        request
        for request in undisturbed
        if request.resumes and _has_targets(evidence, request)
    ]
    new = [request for request in undisturbed if not request.resumes]
    if len(resumed) < MIN_RESUMED or not new:
        return
    share = _compute_begun_share(resumed)
    required = MIN_SHARE_OF_NEW * _compute_begun_share(new)
    if share < required:
        yield Violation(
            'RESUME', f'{share:.3f} of {len(resumed)} went on, {required:.3f} needed'
        )


def _compute_begun_share(requests: list[RequestRecord]) -> float:
    begun = sum(request.last_event > request.after for request in requests)
    return begun / len(requests)


def _has_targets(evidence: Evidence, request: RequestRecord) -> bool:
    """Whether enough targets of the version that began a stream served all along."""
    began = evidence.requests[request.resumes]
    versions = find_versions(evidence, began)
    lives = evidence.journal.lives.values()
    serving = [
        life
        for life in lives
        if life.service == ENGINE
        and life.version in versions
        and life.begun + RECOVERY_SECONDS < request.sent < life.ended
    ]
    return len(serving) >= MIN_TARGETS
