"""A request on its way through this router."""

import random
from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b

import msgspec

from ibisport_fleet.catalogue import Route, Workspace
from ibisport_fleet.http_messages import Request
from ibisport_fleet.metadata import RequestMetadata

# Ranks of routes that are told apart within one rank of workspaces.
ROUTE_RANKS = 3
DIGEST_BYTES = 12


@dataclass
class Call:
    """One request, what the catalogue says of it, and how far it has come.

    Attributes:
        request: As the caller sent it.
        terms: What it says of itself.
        route: The route that takes it.
        service: The service that was drawn for it.
        version: Version of the catalogue that the route is from.
        workspace: The customer, or None on a public route.
        until: Loop time at which it gets its final answer at the latest.
        sends: Targets that may have run it.
        tried: Starts of targets that it was sent to, or that can't be reached.
        may_have_run: Some target may have run it.
        target: Incarnation that it was last sent to, or None.
        sent_at: Loop time of that send.
    """

    request: Request
    terms: RequestMetadata
    route: Route
    service: str
    version: int
    workspace: Workspace | None
    until: float
    sends: int = 0
    tried: set[tuple[str, int]] = field(default_factory=set)
    may_have_run: bool = False
    target: str | None = None
    sent_at: float = 0.0

    @cached_property
    def digest(self) -> str:
        """Name what comes again if the caller repeats the request.

        The same workspace, host, method, path, query and body give the same digest;
        the request's id and its other headers don't count.
        """
        owner = self.terms.key if self.workspace is None else self.workspace.name
        request = self.request
        head = (owner or '', self.terms.host, request.method)
        hashed = blake2b(msgspec.json.encode(head), digest_size=DIGEST_BYTES)
        hashed.update(request.target + b' ')
        hashed.update(request.body)
        return hashed.hexdigest()

    @property
    def urgency(self) -> int:
        """Return how urgent it is at a target; 0 is the most urgent.

        A workspace's rank goes before the route's, which orders the requests of
        workspaces of one rank: short questions before long reviews.
        """
        if self.workspace is None or self.workspace.rank is None:
            return self.route.rank
        return self.workspace.rank * ROUTE_RANKS + min(self.route.rank, ROUTE_RANKS - 1)

    def left(self, now: float) -> float:
        """Return the seconds until the final answer is due."""
        return self.until - now


def draw_service(route: Route) -> str:
    """Return one of a route's services, drawn by weight."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return random.choices(shares, weights)[0].service


def draw_jittered_delay(base: float) -> float:
    """Return a time to come back, spread so that refused callers don't return at once.

    Args:
        base: Least pause in seconds; the spread is as long again.
    """
    return base + random.random() * base
