"""Judges which version of the catalogue each router went by."""

import math
from collections import defaultdict
from collections.abc import Iterator

from ibisport_bench.soak.analysis import Evidence, Violation
from ibisport_bench.soak.evidence import Kind, RequestRecord

# The platform's bound for a new version, and as much again for a slow machine.
MAX_APPLY_SECONDS = 2.0 * 2
# A request that was sent so long after an effect was seen must see it too.
ROLLBACK_SLACK_SECONDS = 0.25
STATUS_OK = 200


def check_late(evidence: Evidence) -> Iterator[Violation]:
    """A router in touch goes by the newest version within its bound."""
    for ask in list_version_probes(evidence):
        since = find_wrong_since(evidence.journal.versions, ask)
        if ask.sent > since + MAX_APPLY_SECONDS and evidence.is_undisturbed(
            ask, since, ask.ended
        ):
            story = f'version {ask.version}, {ask.sent - since:.3f} s late'
            yield Violation('LATE', f'{story}: {evidence.describe(ask)}')


def find_wrong_since(written: dict[int, float], mark: RequestRecord) -> float:
    """Return since when a mark should have been answered otherwise."""
    later = (at for number, at in written.items() if number > mark.version)
    replaced = min(later, default=math.inf)
    match mark.status:
        case 200:
            return replaced
        case 404 if mark.ended < replaced:
            return written[mark.version]
        case _:
            return math.inf


def check_back(evidence: Evidence) -> Iterator[Violation]:
    """No start of a router goes back to an older version."""
    seen: dict[tuple[str, int], list[RequestRecord]] = defaultdict(list)
    for ask in sorted(list_version_probes(evidence), key=lambda one: one.sent):
        if ask.status == STATUS_OK:
            seen[ask.router, ask.start].append(ask)
    for marks in seen.values():
        for place, mark in enumerate(marks):
            newer = [
                one
                for one in marks[:place]
                if one.version > mark.version
                and one.ended + ROLLBACK_SLACK_SECONDS < mark.sent
            ]
            if newer:
                story = f'version {mark.version} after {newer[0].version}'
                yield Violation('BACK', f'{story}: {evidence.describe(mark)}')


def list_version_probes(evidence: Evidence) -> list[RequestRecord]:
    """Return the requests that only one version of the catalogue allows."""
    return [ask for ask in evidence.journal.asks if ask.kind is Kind.mark]
