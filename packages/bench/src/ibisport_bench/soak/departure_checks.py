"""Checks of what is done for callers that have left."""

from collections import defaultdict
from collections.abc import Iterator

from ibisport_bench.soak.analysis import Evidence, Violation
from ibisport_bench.soak.evidence import Arrival

# Half a second, doubled for slow machines.
MAX_LATE_SECONDS = 0.5 * 2


def check_gone(evidence: Evidence) -> Iterator[Violation]:
    """No request reaches a target long after its caller has left.

    That holds for routers that stood still, too. A link may hold a request back.
    """
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in evidence.journal.arrivals:
        arrivals[arrival.request_id].append(arrival)
    for request in evidence.journal.asks:
        for arrival in arrivals[request.request_id] if request.left else ():
            late = arrival.at - request.ended
            link = f'link of {arrival.target.rpartition("-")[0]}'
            held_back = evidence.find_unplanned([link], request.sent, arrival.at)
            if late > MAX_LATE_SECONDS and not held_back:
                description = evidence.describe(request)
                yield Violation('GONE', f'{late:.3f} s late: {description}')
