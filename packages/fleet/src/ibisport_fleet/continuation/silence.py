"""How long a target may be silent before its stream counts as broken."""

from ibisport_fleet.catalogue import Route

# Prompts of other requests and copies delay the events of a stream by several gaps.
GAP_FACTOR = 8.0
START_FACTOR = 3.0
LATE_FACTOR = 1.5


def compute_gap_limit(route: Route, usual_gap: float | None) -> float | None:
    """Return how long a target may send nothing within a stream, seconds.

    Args:
        route: The route; its objective stands for a longest pause that isn't given.
        usual_gap: Usual gap between two events of the target, or None.

    Returns:
        The limit; None if nothing is known to derive it from.
    """
    allowed = route.max_pause_seconds or route.objective
    return max(allowed, GAP_FACTOR * (usual_gap or 0.0)) or None


def compute_start_limit(
    route: Route, estimated_start: float | None, late_seconds: float | None = None
) -> float | None:
    """Return how long the first event may take, seconds; None: not limited.

    Under overload nearly all first events are late, and a second prompt for each of
    them would only add to it.

    Args:
        route: The route. Without an estimate, its objective stands for one.
        estimated_start: Estimated time to the first event, seconds, or None.
        late_seconds: Time that few first events of the service exceed, or None.
    """
    estimate = route.objective if estimated_start is None else estimated_start
    usual = LATE_FACTOR * (late_seconds or 0.0)
    return max(route.objective, START_FACTOR * estimate, usual) or None
