"""Counters and histograms for each workspace and route, in Prometheus' format."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

# From one hop to the longest time limit of a route.
SECONDS_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0)
NOBODY = ''


class Metrics:
    """What a router counts of the requests that it handles."""

    def __init__(self) -> None:
        """Start an empty registry."""
        self._registry = Registry()
        registry = self._registry
        self._requests = Counter(
            'ibisport_requests', 'Requests by outcome.', registry=registry
        )
        self._tokens = Counter('ibisport_tokens', 'Tokens charged.', registry=registry)
        self._first = _build_histogram(
            'ibisport_first_byte_seconds', 'Time to the first byte.', registry
        )
        self._whole = _build_histogram(
            'ibisport_request_seconds', 'Time to the last byte.', registry
        )
        self._store_calls = Gauge(
            'ibisport_store_calls', 'Calls sent to the store.', registry=registry
        )
        self._unconfirmed = Gauge(
            'ibisport_unconfirmed_seconds',
            'Since a watch was last answered: what is known was the newest then.',
            registry=registry,
        )
        self._state = Gauge(
            'ibisport_state', 'What the router believes now.', registry=registry
        )

    def count_request(self, workspace: str | None, route: str, outcome: str) -> None:
        """Count a request that has ended.

        Args:
            workspace: Its workspace, or None.
            route: Its route.
            outcome: ``served``, or the status and reason of a refusal or failure.
        """
        labels = {
            'workspace': workspace or NOBODY,
            'route': route,
            'outcome': outcome,
        }
        self._requests.inc(labels)

    def count_tokens(self, workspace: str | None, tokens: int) -> None:
        """Count tokens that a workspace was charged."""
        self._tokens.add({'workspace': workspace or NOBODY}, tokens)

    def observe_first(self, workspace: str | None, route: str, seconds: float) -> None:
        """Note the time to the first byte of an answer."""
        labels = {'workspace': workspace or NOBODY, 'route': route}
        self._first.observe(labels, seconds)

    def observe_whole(self, workspace: str | None, route: str, seconds: float) -> None:
        """Note the time to the end of an answer."""
        labels = {'workspace': workspace or NOBODY, 'route': route}
        self._whole.observe(labels, seconds)

    def set_state(self, name: str, level: float) -> None:
        """Set one figure of what the router believes."""
        self._state.set({'name': name}, level)

    def set_unconfirmed(self, prefix: str, seconds: float) -> None:
        """Set how long ago the watch of a prefix was last answered."""
        self._unconfirmed.set({'prefix': prefix}, seconds)

    def set_store_calls(self, kind: str, way: str, calls: int) -> None:
        """Set how many calls of a kind were sent to the store on one way."""
        self._store_calls.set({'kind': kind, 'way': way}, calls)

    def dump(self) -> bytes:
        """Return all figures as text."""
        content, _ = render(self._registry, ['text/plain'])
        return bytes(content)


def _build_histogram(name: str, meaning: str, registry: Registry) -> Histogram:
    return Histogram(name, meaning, buckets=list(SECONDS_BUCKETS), registry=registry)
