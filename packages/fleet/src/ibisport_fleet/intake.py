"""Decides at once which requests are taken, and under which route."""

from ibisport_fleet.calls import Call, draw_jittered_delay, draw_service
from ibisport_fleet.catalogue import Catalogue, Route, Workspace
from ibisport_fleet.http_messages import Request
from ibisport_fleet.metadata import RequestMetadata
from ibisport_fleet.shutdown import Shutdown

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
# A router that has just started knows the catalogue within about this time.
START_PAUSE_S = 0.4
# Another router can serve at once whoever comes to one that leaves.
LEAVING_PAUSE_S = 0.05
# Another router that leaves may be back within this time, at the earliest; callers are
# spread over as long again, so that the first that is back isn't flooded.
LEAST_RETURN_S = 0.4


class Refused(Exception):
    """A request is refused before anything was done for it.

    Attributes:
        status: The HTTP status.
        reason: A word for logs and callers.
        pause: Seconds after which the caller may come back; None: never.
    """

    def __init__(self, status: int, reason: str, pause: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.pause = pause


def admit(
    request: Request,
    terms: RequestMetadata,
    catalogue: Catalogue | None,
    shutdown: Shutdown | None,
) -> Call:
    """Return the request with its route, service and workspace.

    Args:
        request: As it came.
        terms: What it says of itself.
        catalogue: The newest catalogue, or None before the first.
        shutdown: When this process ends, or None while it stays.

    Raises:
        Refused: No catalogue is known, it doesn't allow the request, or the process
            may end before the answer does.
    """
    if catalogue is None:
        pause = draw_jittered_delay(START_PAUSE_S)
        raise Refused(STATUS_UNAVAILABLE, 'no_catalogue', pause)
    route = catalogue.find_route(terms.host, terms.path)
    if route is None:
        raise Refused(STATUS_NOT_FOUND, 'no_route')
    workspace = _find_workspace(catalogue, route, terms.key)
    until = _find_end(request, terms, route)
    if shutdown is not None:
        if not shutdown.admits(request.received_at, until):
            raise Refused(
                STATUS_UNAVAILABLE, 'leaving', _draw_return(request, shutdown)
            )
        until = min(until, shutdown.answers_until)
    return Call(
        request=request,
        terms=terms,
        route=route,
        service=draw_service(route),
        version=catalogue.version,
        workspace=workspace,
        until=until,
    )


def _draw_return(request: Request, shutdown: Shutdown) -> float:
    """Return when a caller that this process can't serve any more should come back."""
    if request.connected_at <= shutdown.accepts_until:
        return draw_jittered_delay(LEAVING_PAUSE_S)
    # The balancer has nobody else: all routers leave at once, and coming back at once
    # finds the next one that does. On days in which all five routers of a site stop
    # twice, 0.08 of all requests stay unserved, and 0.13 if they come back at once.
    wait = max(LEAST_RETURN_S, shutdown.restarts_at - request.received_at)
    return wait + draw_jittered_delay(LEAST_RETURN_S)


def _find_end(request: Request, terms: RequestMetadata, route: Route) -> float:
    """Return the loop time at which the final answer is due at the latest."""
    limit = route.time_limit
    asked = limit if terms.seconds_left is None else terms.seconds_left
    return request.received_at + min(limit, asked)


def _find_workspace(
    catalogue: Catalogue, route: Route, key: str | None
) -> Workspace | None:
    if not catalogue.needs_keys:
        return None
    workspace = None if key is None else catalogue.find_workspace(key)
    if workspace is None and not route.public:
        raise Refused(STATUS_UNAUTHORIZED, 'unknown_key')
    return workspace
