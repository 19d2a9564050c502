"""The state of a request while this router handles it."""

import random
from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b

import msgspec

from ibisport_fleet.addresses import Address
from ibisport_fleet.catalogue import Route, Workspace
from ibisport_fleet.errors import CallerLeft
from ibisport_fleet.http_messages import Request
from ibisport_fleet.metadata import RequestMetadata, RunCopy
from ibisport_fleet.quarantine.keys import PART_PREFIX
from ibisport_fleet.rendezvous import hash_text
from ibisport_fleet.stream_versions.origin import NotBegun, StreamOrigin

# Route ranks that are distinguished within one workspace rank.
ROUTE_RANKS = 3
DIGEST_BYTES = 12


@dataclass
class Call:
    """A request with its route and workspace, and the progress of its sends.

    Attributes:
        request: The request as received.
        metadata: Decoded from the headers of the request.
        route: The route that matches it.
        service: The service that was selected for it.
        version: Version of the catalogue that contains the route.
        workspace: The caller's workspace, or None without one.
        deadline: Loop time by which the final answer is due.
        attempts: Number of sends that a target may have executed.
        tried: Start ids of targets that got it, or that were unreachable.
        may_have_run: Whether a target may have executed it.
        target: Incarnation of the target of the last send, or None.
        sent_at: Loop time of the last send.
        cache_source: Address of the engine from which the target of the last send
            fetches cached parts, or None.
        copied_from: Start id of that engine while copies are counted, or None.
        backup: Address of the engine that gets a copy of the run's memory, or None.
        continued_from: The copy with which the last send continues the run, or None.
        origin: Where its stream began.
    """

    request: Request
    metadata: RequestMetadata
    route: Route
    service: str
    version: int
    workspace: Workspace | None
    deadline: float
    attempts: int = 0
    tried: set[tuple[str, int]] = field(default_factory=set)
    may_have_run: bool = False
    target: str | None = None
    sent_at: float = 0.0
    cache_source: Address | None = None
    copied_from: tuple[str, int] | None = None
    backup: Address | None = None
    continued_from: RunCopy | None = None
    origin: StreamOrigin = field(default_factory=NotBegun)

    @cached_property
    def digest(self) -> str:
        """Return a hash that is the same for every repetition of the request.

        It covers the workspace, host, method, path, query and body, but neither the
        request's id nor its other headers.
        """
        owner = self.metadata.key if self.workspace is None else self.workspace.name
        request = self.request
        identity = (owner or '', self.metadata.host, request.method)
        hasher = blake2b(msgspec.json.encode(identity), digest_size=DIGEST_BYTES)
        hasher.update(request.target + b' ')
        hasher.update(request.body)
        return hasher.hexdigest()

    @cached_property
    def shared_parts(self) -> tuple[str, ...]:
        """Return keys of the prompt parts that other requests may have in common.

        That is all but the last part, which belongs to this request alone.
        """
        parts = dict.fromkeys(part.part_id for part in self.metadata.parts[:-1])
        return tuple(f'{PART_PREFIX}{hash_text(part_id):016x}' for part_id in parts)

    @property
    def regions(self) -> frozenset[str] | None:
        """Return the regions whose targets may serve the request; None: all."""
        owners = (self.route, self.workspace)
        bounds = [
            owner.regions
            for owner in owners
            if owner is not None and owner.regions is not None
        ]
        return frozenset.intersection(*bounds) if bounds else None

    @property
    def urgency(self) -> int:
        """Return the priority of the request at a target; 0 is the most urgent.

        The workspace's rank takes precedence. The route's rank orders the requests of
        workspaces of the same rank: short questions before long reviews.
        """
        if self.workspace is None or self.workspace.rank is None:
            return self.route.rank
        return self.workspace.rank * ROUTE_RANKS + min(self.route.rank, ROUTE_RANKS - 1)

    def check_caller(self) -> None:
        """Check that the caller waits for an answer.

        The event loop may not have read the end of its connection yet: it reads all
        bytes before it first, and a process that was held up reads both at once.

        Raises:
            CallerLeft: The caller has closed its connection.
        """
        if self.request.caller.peer_left:
            raise CallerLeft

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now


def draw_service(route: Route) -> str:
    """Return a random service of a route, selected by weight."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return random.choices(shares, weights)[0].service


def draw_jittered_delay(base: float) -> float:
    """Return a random delay between the base and twice the base.

    The jitter keeps refused callers from retrying at the same moment.

    Args:
        base: Minimum delay in seconds.
    """
    return base + random.random() * base
