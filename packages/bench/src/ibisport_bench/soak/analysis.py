"""The journal, indexed for the checks, and a description of each request."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property

from ibisport_bench.soak.evidence import (
    Cause,
    Fault,
    Journal,
    RequestRecord,
    Run,
    Start,
)

# How long a fault may affect requests after its end, by the documentation of the
# platform.
RECOVERY_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation that a check has found, and a description for reports."""

    check: str
    description: str


class Evidence:
    """The journal, indexed for the checks."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal

    @cached_property
    def runs(self) -> dict[str, list[Run]]:
        """The runs of each request."""
        runs: dict[str, list[Run]] = defaultdict(list)
        for run in self.journal.runs:
            runs[run.request_id].append(run)
        return runs

    @cached_property
    def requests(self) -> dict[str, RequestRecord]:
        """The requests by id."""
        return {request.request_id: request for request in self.journal.asks}

    @cached_property
    def starts(self) -> dict[tuple[str, int], Start]:
        """The starts of processes, by host and number."""
        return {(start.host, start.number): start for start in self.journal.starts}

    def find_unplanned(
        self, subjects: Sequence[str], begun: float, ended: float
    ) -> list[Fault]:
        """Return the unplanned faults that affected some subjects in a span."""
        return [
            fault
            for fault in self.journal.faults
            if not fault.cause.planned
            and fault.subject in subjects
            and fault.overlaps(begun, ended)
        ]

    def is_undisturbed(
        self, request: RequestRecord, begun: float, ended: float
    ) -> bool:
        """Whether a request's router was undisturbed in a span.

        The router's process must have started at least RECOVERY_SECONDS before the
        span. No unplanned fault of the router, the store or the link between them may
        overlap the span or the RECOVERY_SECONDS before it. The process must not get
        SIGTERM before the end of the span.
        """
        start = self.starts[request.router, request.start]
        subjects = [request.router, 'store', f'store of {request.router}']
        since = begun - RECOVERY_SECONDS
        undisturbed = not self.find_unplanned(subjects, since, ended)
        return undisturbed and start.begun < since and start.told > ended

    def describe(self, request: RequestRecord) -> str:
        """Describe a request, its runs and faults; times count from its sending."""
        lines = [
            f'{request.request_id} {request.kind.value} at {request.router} '
            f'(start {request.start}): '
            f'status {request.status}, whole {request.whole}, cut {request.cut}, '
            f'{len(request.body)} bytes, ended {request.ended - request.sent:+.3f} s'
        ]
        start = self.starts[request.router, request.start]
        if start.told <= request.ended:
            lines.append(
                f'SIGTERM {start.told - request.sent:+.3f} s; ended '
                f'{request.ended - start.told:.3f} s after it'
            )
        lines += [
            f'run at {run.target} {run.begun - request.sent:+.3f} to '
            f'{run.ended - request.sent:+.3f} s, after event {run.after}, '
            f'complete {run.complete}, broke off itself {run.broken_off}'
            for run in self.runs[request.request_id]
        ]
        lines += [
            f'{fault.cause.value} {fault.subject} {fault.detail} '
            f'{fault.begun - request.sent:+.3f} to {fault.ended - request.sent:+.3f} s'
            for fault in self.journal.faults
            if fault.cause is not Cause.stop
            and fault.overlaps(
                _find_relevant_since(request, start, fault), request.ended
            )
        ]
        return '\n      '.join(lines)


def _find_relevant_since(request: RequestRecord, start: Start, fault: Fault) -> float:
    """Return the time from which a request's description includes a fault.

    It is RECOVERY_SECONDS before the request was sent. For faults of the request's own
    router, it is the SIGTERM to that router's process, if that is earlier.
    """
    earliest = request.sent - RECOVERY_SECONDS
    return min(earliest, start.told) if fault.subject == request.router else earliest
