"""Counts failed requests by cause, route and second, from routers' log lines.

``python -m ibisport_fleet.explain < lines`` prints two tables: causes by route, and
causes by second. Lines of several routers may be mixed; text before a line's first
brace is ignored.
"""

import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from ibisport_fleet.event_log import Event

MIN_FAILURE_STATUS = 500


class Cause(Enum):
    """Why a request failed, as recorded by its router."""

    budget_spent = 'the budget is spent'
    lender_refused = 'a lender had no tokens at hand'
    no_lender = 'no lender answered, and the own share was short'
    own_cap = 'cut off from the store, and the own cap was used up'
    no_catalogue = 'the router had no catalogue yet'
    leaving = 'the router was leaving'
    not_allowed = 'no such route or key'
    full = 'targets rejected it or could not be reached'
    no_target = 'no target was known'
    queue_full = 'too many requests waited at the router'
    too_late = 'no target could start it before its deadline'
    limited = 'all targets reported a rate limit'
    paused = 'all targets asked for a pause'
    warming_up = 'all targets warmed up after a start'
    evacuated = 'operators have evacuated the domains of all targets'
    quarantined = 'the request had crashed targets'
    version_unknown = 'the software that began its stream was not known'
    version_gone = 'no target had the software that began its stream'
    timeout = 'the time limit ran out'
    target_failed = 'the target answered with a failure'
    broken = 'the answer broke off or could not be used'
    caller_left = 'the caller left first'
    process_ended = 'the process ended before the answer did'


# Causes whose names are the reasons in the log.
_REFUSALS_WITHOUT_A_SEND = {
    cause.name: cause
    for cause in (
        Cause.queue_full,
        Cause.too_late,
        Cause.limited,
        Cause.paused,
        Cause.warming_up,
        Cause.evacuated,
        Cause.quarantined,
        Cause.version_unknown,
        Cause.version_gone,
    )
}


class _Line(msgspec.Struct):
    """The fields of a log line that are used here; others are ignored."""

    timestamp: float
    event: int
    status: int = 0
    reason: str = ''
    route: str = ''
    own_cap: int | None = None
    isolated: bool = False
    lines: int = 0


_DECODER = msgspec.json.Decoder(_Line)


@dataclass
class Explanation:
    """Counts of the requests in a sequence of log lines.

    Attributes:
        served: Requests that were answered with success.
        by_route: Failures by route and cause.
        by_second: Failures by second of Unix time and cause.
        unreadable: Lines that aren't events.
        dropped: Lines that the routers left out of their logs.
    """

    served: int = 0
    by_route: Counter[tuple[str, Cause]] = field(default_factory=Counter)
    by_second: Counter[tuple[int, Cause]] = field(default_factory=Counter)
    unreadable: int = 0
    dropped: int = 0

    def add_line(self, text: str) -> None:
        """Count one line."""
        start = text.find('{')
        try:
            line = _DECODER.decode(text[start:] if start >= 0 else text)
        except (msgspec.MsgspecError, ValueError):
            self.unreadable += 1
            return
        self._count_line(line)

    def _count_line(self, line: _Line) -> None:
        if line.event == Event.lines_dropped:
            self.dropped += line.lines
        cause = find_cause(line)
        if cause is not None:
            self.by_route[line.route, cause] += 1
            self.by_second[int(line.timestamp), cause] += 1
        elif line.event == Event.request_served:
            self.served += 1

    def format(self) -> str:
        """Return both tables and the totals as text."""
        rows = [f'served: {self.served}', '', 'by route:']
        for (route, cause), count in self.by_route.most_common():
            rows.append(f'{count:7} {route or "-":16} {cause.value}')
        rows += ['', 'by second:']
        # The sort is stable, so the most frequent cause of a second comes first.
        by_second = sorted(self.by_second.most_common(), key=_get_second)
        for (second, cause), count in by_second:
            rows.append(f'{second:11} {count:6} {cause.value}')
        rows += ['', f'lines left out by routers: {self.dropped}']
        rows.append(f'lines that are no events: {self.unreadable}')
        return '\n'.join(rows)


def find_cause(line: _Line) -> Cause | None:
    """Return why a line's request failed; None if the line reports no failure."""
    match line.event:
        case Event.request_refused:
            return _find_refusal_cause(line)
        case Event.request_failed:
            return _find_failure_cause(line)
        case Event.request_left:
            return Cause.caller_left
        case Event.request_cut:
            return Cause.process_ended
        case Event.request_served if line.status >= MIN_FAILURE_STATUS:
            return Cause.target_failed
    return None


def explain(lines: Iterable[str]) -> Explanation:
    """Return the counts of log lines."""
    explanation = Explanation()
    for line in lines:
        explanation.add_line(line)
    return explanation


def _find_refusal_cause(line: _Line) -> Cause:
    match line:
        case _Line(reason='no_catalogue'):
            return Cause.no_catalogue
        case _Line(reason='leaving'):
            return Cause.leaving
        case _Line(reason='budget', status=402):
            return Cause.budget_spent
        case _Line(reason='budget', own_cap=None):
            return Cause.lender_refused
        case _Line(reason='budget', isolated=True):
            return Cause.own_cap
        case _Line(reason='budget'):
            return Cause.no_lender
    return Cause.not_allowed


def _find_failure_cause(line: _Line) -> Cause:
    match line:
        case _Line(reason='timeout'):
            return Cause.timeout
        case _Line(reason='leaving'):
            return Cause.leaving
        case _Line(reason='full'):
            return Cause.full
        case _Line(reason='no_target'):
            return Cause.no_target
    return _REFUSALS_WITHOUT_A_SEND.get(line.reason, Cause.broken)


def _get_second(row: tuple[tuple[int, Cause], int]) -> int:
    return row[0][0]


if __name__ == '__main__':
    print(explain(sys.stdin).format())
