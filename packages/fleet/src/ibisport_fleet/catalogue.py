"""The catalogue: the operators' configuration of routes, services and workspaces."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property


class RouteKind(Enum):
    """How far the requests of a route may be retried.

    Attributes:
        idempotent: A request may run more than once.
        once: A request runs at most once.
        stream: The answer is a stream of events; a request may run more than once only
            if the route is resumable.
    """

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's share of a route's traffic: its weight over the sum of weights."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route: which requests it matches and how they are served.

    Attributes:
        name: Name that the operators give the route.
        host: Host name of the requests, in lower case.
        prefix: Prefix of their path; it starts and ends with a slash.
        kind: How far requests may be retried.
        shares: The services that serve the route.
        time_limit: Maximum time until a caller gets the final answer, seconds.
        objective: Target for the time to the first byte of an answer, seconds.
        rank: Priority; 0 is the most urgent.
        max_targets: Maximum number of targets that may run one request.
        public: Requests need no key.
        resumable: A broken stream may be resumed at another target.
        max_pause_seconds: Longest acceptable pause between two events of a stream;
            0: not specified.
        regions: Regions whose targets may serve the route; None: all.
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
    regions: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        match self.kind:
            case RouteKind.idempotent:
                return True
            case RouteKind.stream:
                return self.resumable
            case RouteKind.once:
                return False


@dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of each model engine of a service.

    Attributes:
        slots: Requests that one engine runs concurrently.
        cache_tokens: Size of the engine's cache in tokens.
        tokens_per_event: Maximum number of tokens in one event of a stream.
        copy_seconds_per_token: Time to copy the memory of a token from another engine;
            0: engines can't copy it.
        backups: Engines send copies of their runs' memory to other engines.
        copy_lifetime_seconds: How long an engine keeps a copy after its last part.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int
    copy_seconds_per_token: float = 0.0
    backups: bool = False
    copy_lifetime_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class WarmUp:
    """How the targets of a service warm up after a start.

    Attributes:
        seconds: Time from the start of a target until it is warm.
        rate: Requests per second from all routers together that it bears meanwhile.
    """

    seconds: float
    rate: float


@dataclass(frozen=True, slots=True)
class Service:
    """A group of targets that serve the same requests.

    Attributes:
        name: Name that the operators give the service.
        max_connections: Connections that each target accepts.
        engine: Capacity of each target; None: the targets are no model engines.
        warm_up: How targets warm up; None: they bear full load from the start.
    """

    name: str
    max_connections: int
    engine: Engine | None
    warm_up: WarmUp | None = None


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer: its rank and the tokens that it has paid for.

    Attributes:
        name: Name that the operators give the workspace.
        rank: Overrides the rank of a route; None: the route's rank applies.
        budget: Total of tokens paid for; None: no limit.
        regions: Regions whose targets may serve its requests; None: all.
    """

    name: str
    rank: int | None
    budget: int | None
    regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        max_header_bytes: Maximum size of a request's head.
        max_body_bytes: Maximum size of a request's body.
        header_seconds: Maximum time from the first to the last byte of a head.
        idle_seconds: Maximum time between two requests on a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class Catalogue:
    """One version of the whole catalogue.

    Attributes:
        version: Version number that the operators assign; it only increases.
        revision: The store's revision at which the catalogue was written.
        keys: Names of workspaces by key.
        needs_keys: Requests must carry a key, except on public routes.
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
    def _routes_by_prefix(self) -> Mapping[tuple[str, str], Route]:
        by_prefix: dict[tuple[str, str], Route] = {}
        for route in self.routes:
            by_prefix.setdefault((route.host, route.prefix), route)
        return by_prefix

    @cached_property
    def _prefix_lengths(self) -> Mapping[str, tuple[int, ...]]:
        """The lengths of each host's prefixes, the longest first."""
        by_host: dict[str, set[int]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, set()).add(len(route.prefix))
        return {
            host: tuple(sorted(lengths, reverse=True))
            for host, lengths in by_host.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest that matches a path, or None.

        Args:
            host: Host name of the request, without the port.
            path: Path of the request, without the query.
        """
        host = host.lower()
        for length in self._prefix_lengths.get(host, ()):
            route = self._routes_by_prefix.get((host, path[:length]))
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that owns a key, or None."""
        name = self.keys.get(key)
        return None if name is None else self.workspaces.get(name)

    def list_budgets(self) -> list[tuple[str, int]]:
        """Return name and budget of each workspace that has a budget."""
        return [
            (workspace.name, workspace.budget)
            for workspace in self.workspaces.values()
            if workspace.budget is not None
        ]
