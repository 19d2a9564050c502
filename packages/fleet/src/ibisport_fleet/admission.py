"""Admission control: matches requests to routes, or refuses them at once."""

from ibisport_fleet.calls import Call, draw_jittered_delay, draw_service
from ibisport_fleet.catalogue import Catalogue, Route, RouteKind, Workspace
from ibisport_fleet.http_messages import Request
from ibisport_fleet.metadata import RequestMetadata
from ibisport_fleet.shutdown import Shutdown
from ibisport_fleet.stream_versions.origin import NotBegun, StreamOrigin, Unknown

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
REASON_NO_CATALOGUE = 'no_catalogue'
# A router receives its first catalogue within about this time after its start.
START_RETRY_AFTER_SECONDS = 0.4
# Another router can serve the callers of a stopping router at once.
STOPPING_RETRY_AFTER_SECONDS = 0.05
# Minimum time until another stopping router may be back. Jitter of up to the same
# length keeps callers from flooding the first router that is back.
MIN_RESTART_RETRY_AFTER_SECONDS = 0.4


class Refused(Exception):
    """A request is refused before any work is done for it.

    Attributes:
        status: The HTTP status.
        reason: A short code for logs and callers.
        retry_after: Seconds after which the caller may retry, or None for never.
    """

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


def admit(
    request: Request,
    metadata: RequestMetadata,
    catalogue: Catalogue | None,
    shutdown: Shutdown | None,
) -> Call:
    """Match a request to its route, service, workspace and deadline.

    Args:
        request: The request as received.
        metadata: Decoded from the headers of the request.
        catalogue: The newest catalogue, or None before the first one.
        shutdown: The planned stop of this process, or None while none is planned.

    Raises:
        Refused: No catalogue is known, it doesn't allow the request, or the process
            may end before the answer is complete.
    """
    if catalogue is None:
        retry_after = draw_jittered_delay(START_RETRY_AFTER_SECONDS)
        raise Refused(STATUS_UNAVAILABLE, REASON_NO_CATALOGUE, retry_after)
    route = catalogue.find_route(metadata.host, metadata.path)
    if route is None:
        raise Refused(STATUS_NOT_FOUND, 'no_route')
    workspace = _find_workspace(catalogue, route, metadata.key)
    deadline = _find_deadline(request, metadata, route)
    if shutdown is not None:
        if not shutdown.admits(request.received_at, deadline):
            raise Refused(
                STATUS_UNAVAILABLE,
                'leaving',
                _draw_stopping_retry_after(request, shutdown),
            )
        deadline = min(deadline, shutdown.answers_until)
    return Call(
        request=request,
        metadata=metadata,
        route=route,
        service=draw_service(route),
        version=catalogue.version,
        workspace=workspace,
        deadline=deadline,
        origin=_find_origin(metadata, route),
    )


def _find_origin(metadata: RequestMetadata, route: Route) -> StreamOrigin:
    is_begun = route.kind is RouteKind.stream and metadata.last_event_id is not None
    return Unknown() if is_begun else NotBegun()


def _draw_stopping_retry_after(request: Request, shutdown: Shutdown) -> float:
    """Return the retry delay of a caller that this process can't serve any more."""
    if request.connected_at <= shutdown.accepts_until:
        return draw_jittered_delay(STOPPING_RETRY_AFTER_SECONDS)
    # The balancer still chose this router, so all routers are stopping at once, and an
    # immediate retry reaches another one that stops. On days on which all five routers
    # of a site stop twice, 0.08 of all requests stay unserved with this delay, and 0.13
    # with immediate retries.
    wait = max(
        MIN_RESTART_RETRY_AFTER_SECONDS, shutdown.restarts_at - request.received_at
    )
    return wait + draw_jittered_delay(MIN_RESTART_RETRY_AFTER_SECONDS)


def _find_deadline(request: Request, metadata: RequestMetadata, route: Route) -> float:
    """Return the loop time by which the final answer is due."""
    limit = route.time_limit
    requested = limit if metadata.seconds_left is None else metadata.seconds_left
    return request.received_at + min(limit, requested)


def _find_workspace(
    catalogue: Catalogue, route: Route, key: str | None
) -> Workspace | None:
    if not catalogue.needs_keys:
        return None
    workspace = None if key is None else catalogue.find_workspace(key)
    if workspace is None and not route.public:
        raise Refused(STATUS_UNAUTHORIZED, 'unknown_key')
    return workspace
