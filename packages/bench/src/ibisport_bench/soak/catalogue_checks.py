"""Checks of the version of the catalogue that each router applies."""

import math
from collections import defaultdict
from collections.abc import Iterator

from ibisport_bench.soak.analysis import Evidence, Violation
from ibisport_bench.soak.evidence import Kind, RequestRecord

# The platform's bound for applying a new version, doubled for slow machines.
MAX_APPLY_SECONDS = 2.0 * 2
# A probe sent this long after a probe of a newer version succeeded must see that
# version, or a newer one, too.
ROLLBACK_SLACK_SECONDS = 0.25
STATUS_OK = 200


def check_late(evidence: Evidence) -> Iterator[Violation]:
    """An undisturbed router applies the newest version in time."""
    for request in list_version_probes(evidence):
        since = find_wrong_since(evidence.journal.versions, request)
        if request.sent > since + MAX_APPLY_SECONDS and evidence.is_undisturbed(
            request, since, request.ended
        ):
            description = (
                f'version {request.version}, {request.sent - since:.3f} s late'
            )
            yield Violation('LATE', f'{description}: {evidence.describe(request)}')


def find_wrong_since(written: dict[int, float], probe: RequestRecord) -> float:
    """Return since when the answer to a probe has been wrong; infinity if it is right.

    A success is wrong once a newer version is written, and status 404 once the probed
    version is written, unless a newer one has replaced it by then.
    """
    later_times = (
        written_at for number, written_at in written.items() if number > probe.version
    )
    replaced_at = min(later_times, default=math.inf)
    match probe.status:
        case 200:
            return replaced_at
        case 404 if probe.ended < replaced_at:
            return written[probe.version]
        case _:
            return math.inf


def check_back(evidence: Evidence) -> Iterator[Violation]:
    """A router doesn't go back to an older version before it is restarted."""
    seen: dict[tuple[str, int], list[RequestRecord]] = defaultdict(list)
    for request in sorted(
        list_version_probes(evidence), key=lambda record: record.sent
    ):
        if request.status == STATUS_OK:
            seen[request.router, request.start].append(request)
    for probes in seen.values():
        for index, probe in enumerate(probes):
            newer = [
                earlier
                for earlier in probes[:index]
                if earlier.version > probe.version
                and earlier.ended + ROLLBACK_SLACK_SECONDS < probe.sent
            ]
            if newer:
                description = f'version {probe.version} after {newer[0].version}'
                yield Violation('BACK', f'{description}: {evidence.describe(probe)}')


def list_version_probes(evidence: Evidence) -> list[RequestRecord]:
    """Return the requests that only one version of the catalogue allows."""
    return [request for request in evidence.journal.asks if request.kind is Kind.mark]
