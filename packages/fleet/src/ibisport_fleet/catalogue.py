"""The catalogue: what operators say about routes, services and workspaces."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property


class RouteKind(Enum):
    """What may be repeated of a request."""

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A part of a route's traffic: ``weight`` against the sum of all shares."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route: which requests it takes and how they are served.

    Attributes:
        name: The operator's name of the route.
        host: Host name of the requests, in lower case.
        prefix: Start of their path, from slash to slash.
        kind: What may be repeated.
        shares: The services that serve it.
        time_limit: Longest time that a caller is kept waiting, seconds.
        objective: Time to the first byte of the answer that counts as good,
            seconds.
        rank: 0 is the most urgent.
        most_targets: Most targets that may be given one request.
        public: No key is needed.
        resumable: A stream may go on at another target.
        longest_pause: Longest pause between two events of a stream in time, seconds;
            0: none is named.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    time_limit: float
    objective: float
    rank: int
    max_targets: int
    public: bool
    resumable: bool
    max_pause_seconds: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run a second time."""
        match self.kind:
            case RouteKind.idempotent:
                return True
            case RouteKind.stream:
                return self.resumable
            case RouteKind.once:
                return False


@dataclass(frozen=True, slots=True)
class Engine:
    """What the model engines of a service hold.

    Attributes:
        slots: Requests that one engine runs at once.
        memory: Tokens that its cache holds.
        tokens_per_event: Most tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """A group of targets that serve the same requests."""

    name: str
    max_connections: int
    engine: Engine | None


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer: its keys, its rank, and the tokens that it has paid for.

    Attributes:
        name: The operator's name of the workspace.
        rank: Goes before the rank of a route; None leaves the route's.
        budget: Tokens paid for in all; None is without a limit.
    """

    name: str
    rank: int | None
    budget: int | None


@dataclass(frozen=True, slots=True)
class Limits:
    """What callers may send, and how long they may take.

    Attributes:
        most_header_bytes: Longest head of a request.
        most_body_bytes: Longest body of a request.
        header_seconds: Longest time from a head's first byte to its last.
        idle_seconds: Longest pause between two requests of a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class Catalogue:
    """One version of the whole catalogue.

    Attributes:
        version: The operator's number; it only rises.
        revision: The store's revision at which it was written.
        keys: Names of workspaces by their keys.
        needs_keys: Requests carry a key, except on public routes.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    keys: Mapping[str, str]
    needs_keys: bool
    limits: Limits = field(default_factory=Limits)

    @cached_property
    def _routes_by_host(self) -> Mapping[str, tuple[Route, ...]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        # The longest prefix is tried first, so the first match is the best.
        return {
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in by_host.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        Args:
            host: Host name of the request, without a port.
            path: Path of the request, without a query.
        """
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key."""
        name = self.keys.get(key)
        return None if name is None else self.workspaces.get(name)

    def list_budgets(self) -> list[tuple[str, int]]:
        """Return the names of the workspaces that have a budget, and the budgets."""
        return [
            (one.name, one.budget)
            for one in self.workspaces.values()
            if one.budget is not None
        ]


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
