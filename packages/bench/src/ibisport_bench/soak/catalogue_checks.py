"""Checks of the version of the catalogue that each router applies."""

import math
from collections import defaultdict
from collections.abc import Iterator

from ibisport_bench.soak.analysis import Evidence, Violation
from ibisport_bench.soak.evidence import Kind, RequestRecord
from ibisport_fleet.catalogue import Catalogue

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


def check_denied(evidence: Evidence) -> Iterator[Violation]:
    """A request is rejected or served as a version that may be in force says."""
    for request in evidence.journal.asks:
        catalogues = list_possible_catalogues(evidence, request, request.sent)
        wrong = [
            status
            for status, denies in DENIALS.items()
            if is_wrong(
                request, status, [denies(known, request) for known in catalogues]
            )
        ]
        if wrong:
            yield Violation('DENIED', f'{wrong[0]}: {evidence.describe(request)}')


def is_wrong(request: RequestRecord, status: int, denied: list[bool]) -> bool:
    """Return whether an answer contradicts all versions that may be in force.

    Args:
        request: The request.
        status: A status of rejections.
        denied: Whether each version rejects the request with this status.
    """
    if request.status == STATUS_OK:
        return all(denied)
    return request.status == status and not any(denied)


def list_possible_catalogues(
    evidence: Evidence, request: RequestRecord, since: float, until: float = math.inf
) -> list[Catalogue]:
    """Return the versions that a router may apply in a span until a request's end."""
    journal = evidence.journal
    until = min(until, request.ended)
    written = [version for version, at in journal.versions.items() if at <= until]
    since -= MAX_APPLY_SECONDS
    if evidence.is_undisturbed(request, since, until):
        known = [version for version in written if journal.versions[version] <= since]
        written = written[len(known) - 1 :] if known else written
    return [journal.catalogues[version] for version in written]


def _lacks_route(catalogue: Catalogue, request: RequestRecord) -> bool:
    return not any(request.path.startswith(route.prefix) for route in catalogue.routes)


def _lacks_key(catalogue: Catalogue, request: RequestRecord) -> bool:
    return bool(request.workspace) and request.workspace not in catalogue.workspaces


def _limits_head(catalogue: Catalogue, request: RequestRecord) -> bool:
    return request.head_bytes > catalogue.limits.max_header_bytes


def _limits_body(catalogue: Catalogue, request: RequestRecord) -> bool:
    return request.body_bytes > catalogue.limits.max_body_bytes


# Why a version rejects a request, by the status of its answer.
DENIALS = {401: _lacks_key, 404: _lacks_route, 413: _limits_body, 431: _limits_head}
