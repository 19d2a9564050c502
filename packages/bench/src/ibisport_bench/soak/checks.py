"""Judges what callers, targets and the store saw."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cached_property

from ibisport_bench.soak.evidence import Ask, Cause, Fault, Journal, Run, Start
from ibisport_bench.soak.site import GRACE_S

# RULES of the platform: a disturbance is felt for so long.
CONTACT_S = 3.0
# A connection that ends later than this after a request was read it.
LOSS_SLACK_S = 0.2
# Streams that come so early may be cut in the last sixth of the grace time.
EARLY_S = 3.0
LAST_PART = 5 / 6


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that didn't hold, and its story."""

    check: str
    story: str


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

    def find_faults(
        self, subject: str, begun: float, ended: float, *, planned: bool
    ) -> list[Fault]:
        """Return what was done to a subject in a span."""
        return [
            fault
            for fault in self.journal.faults
            if fault.cause.planned is planned
            and fault.subject in {subject, 'all'}
            and fault.touches(begun, ended)
        ]

    def tell(self, ask: Ask) -> str:
        """Return the story of a request, by the clock of its sending."""
        start = self.starts[ask.router, ask.start]
        lines = [
            f'{ask.request_id} {ask.kind.value} at {ask.router} (start {ask.start}): '
            f'status {ask.status}, whole {ask.whole}, cut {ask.cut}, '
            f'{len(ask.body)} bytes, ended {ask.ended - ask.sent:+.3f} s'
        ]
        if start.told <= ask.ended:
            lines.append(
                f'SIGTERM {start.told - ask.sent:+.3f} s, so sent '
                f'{ask.sent - start.told:.3f} s and cut '
                f'{ask.ended - start.told:.3f} s after it'
            )
        lines += [
            f'run at {run.target} {run.begun - ask.sent:+.3f} to '
            f'{run.ended - ask.sent:+.3f} s, complete {run.complete}, '
            f'broke off itself {run.broken_off}'
            for run in self.runs[ask.request_id]
        ]
        near = self.find_faults(
            ask.router, ask.sent - CONTACT_S, ask.ended, planned=True
        )
        lines += [
            f'{fault.cause.value} {fault.detail} {fault.begun - ask.sent:+.3f} s'
            for fault in near
            if fault.cause is not Cause.stop
        ]
        return '\n      '.join(lines)


def check_lost(evidence: Evidence) -> Iterator[Violation]:
    """No request that a router read ends with a closed connection."""
    for ask in evidence.journal.asks:
        runs = evidence.runs[ask.request_id]
        # Without a run, and cut at once, it crossed the close of its connection.
        was_read = bool(runs) or ask.ended - ask.sent > LOSS_SLACK_S
        if ask.cut and was_read and not is_excused(evidence, ask, runs):
            yield Violation('LOST', evidence.tell(ask))


def is_excused(evidence: Evidence, ask: Ask, runs: list[Run]) -> bool:
    """Whether something unplanned, or a late end of the grace, may have cut it."""
    since = ask.sent - CONTACT_S
    if evidence.find_faults(ask.router, since, ask.ended, planned=False):
        return True
    if any(
        run.broken_off
        or evidence.find_faults(run.target, ask.sent, ask.ended, planned=False)
        for run in runs
    ):
        return True
    told = evidence.starts[ask.router, ask.start].told
    early = ask.sent - told <= EARLY_S
    return early and ask.ended - told >= GRACE_S * LAST_PART


CHECKS = {'lost': check_lost}


def check_all(journal: Journal) -> list[Violation]:
    """Return all violations."""
    evidence = Evidence(journal)
    return [one for check in CHECKS.values() for one in check(evidence)]
