"""The journal, ordered for the checks, and the story of each request."""

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

# A disturbance is felt for so long; the platform's pages give the figure.
RECOVERY_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that didn't hold, and its story."""

    check: str
    description: str


class Evidence:
    """The journal, ordered for the checks."""

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
    def starts(self) -> dict[tuple[str, int], Start]:
        """The starts of processes by host and number."""
        return {(one.host, one.number): one for one in self.journal.starts}

    def find_unplanned(
        self, subjects: Sequence[str], begun: float, ended: float
    ) -> list[Fault]:
        """Return what went wrong with some subjects in a span."""
        return [
            fault
            for fault in self.journal.faults
            if not fault.cause.planned
            and fault.subject in subjects
            and fault.overlaps(begun, ended)
        ]

    def is_undisturbed(self, ask: RequestRecord, begun: float, ended: float) -> bool:
        """Whether a request's router was undisturbed in a span and before it."""
        start = self.starts[ask.router, ask.start]
        subjects = [ask.router, 'store', f'store of {ask.router}']
        since = begun - RECOVERY_SECONDS
        calm = not self.find_unplanned(subjects, since, ended)
        return calm and start.begun < since and start.told > ended

    def describe(self, ask: RequestRecord) -> str:
        """Return the story of a request, by the clock of its sending."""
        lines = [
            f'{ask.request_id} {ask.kind.value} at {ask.router} (start {ask.start}): '
            f'status {ask.status}, whole {ask.whole}, cut {ask.cut}, '
            f'{len(ask.body)} bytes, ended {ask.ended - ask.sent:+.3f} s'
        ]
        start = self.starts[ask.router, ask.start]
        if start.told <= ask.ended:
            lines.append(
                f'SIGTERM {start.told - ask.sent:+.3f} s; ended '
                f'{ask.ended - start.told:.3f} s after it'
            )
        lines += [
            f'run at {run.target} {run.begun - ask.sent:+.3f} to '
            f'{run.ended - ask.sent:+.3f} s, after event {run.after}, '
            f'complete {run.complete}, broke off itself {run.broken_off}'
            for run in self.runs[ask.request_id]
        ]
        lines += [
            f'{fault.cause.value} {fault.subject} {fault.detail} '
            f'{fault.begun - ask.sent:+.3f} to {fault.ended - ask.sent:+.3f} s'
            for fault in self.journal.faults
            if fault.cause is not Cause.stop
            and fault.overlaps(_find_relevant_since(ask, start, fault), ask.ended)
        ]
        return '\n      '.join(lines)


def _find_relevant_since(ask: RequestRecord, start: Start, fault: Fault) -> float:
    """Return since when a fault is told: its own router's since SIGTERM."""
    near = ask.sent - RECOVERY_SECONDS
    return min(near, start.told) if fault.subject == ask.router else near
