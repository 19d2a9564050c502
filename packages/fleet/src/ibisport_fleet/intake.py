"""Decides at once which requests are taken, and under which route."""

import asyncio

from ibisport_fleet.calls import Call, draw_pause, draw_service
from ibisport_fleet.catalogue import Catalogue, Route, Workspace
from ibisport_fleet.messages import Request
from ibisport_fleet.terms import CallTerms

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
# A router that has just started knows the catalogue within about this time.
START_PAUSE_S = 0.4


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


def admit(request: Request, terms: CallTerms, catalogue: Catalogue | None) -> Call:
    """Return the request with its route, service and workspace.

    Args:
        request: As it came.
        terms: What it says of itself.
        catalogue: The newest catalogue, or None before the first.

    Raises:
        Refused: No catalogue is known, or it doesn't allow the request.
    """
    if catalogue is None:
        pause = draw_pause(START_PAUSE_S)
        raise Refused(STATUS_UNAVAILABLE, 'no_catalogue', pause)
    route = catalogue.find_route(terms.host, terms.path)
    if route is None:
        raise Refused(STATUS_NOT_FOUND, 'no_route')
    workspace = _find_workspace(catalogue, route, terms.key)
    limit = route.time_limit
    asked = limit if terms.seconds_left is None else terms.seconds_left
    return Call(
        request=request,
        terms=terms,
        route=route,
        service=draw_service(route),
        workspace=workspace,
        until=request.received + min(limit, asked),
    )


def _find_workspace(
    catalogue: Catalogue, route: Route, key: str | None
) -> Workspace | None:
    if not catalogue.needs_keys:
        return None
    workspace = None if key is None else catalogue.find_workspace(key)
    if workspace is None and not route.public:
        raise Refused(STATUS_UNAUTHORIZED, 'unknown_key')
    return workspace


def now() -> float:
    """Return the loop's time, seconds."""
    return asyncio.get_running_loop().time()
