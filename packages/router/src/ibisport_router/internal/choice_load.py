"""Load of a target, out of a lagging report and what was sent since."""

from ibisport_router.internal.choice_candidate import Candidate


def count_requests(candidate: Candidate) -> int:
    """Return the requests that run, wait or were sent since the report."""
    reported = candidate.running + candidate.queued
    return reported + candidate.own_in_flight_since_report


def measure_occupancy(candidate: Candidate) -> float:
    """Return the requests at the target for each of its slots."""
    return count_requests(candidate) / max(candidate.slots, 1)


def has_free_slot(candidate: Candidate) -> bool:
    """Tell whether one more request would probably start at once."""
    return count_requests(candidate) < candidate.slots
