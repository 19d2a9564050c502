"""Metrics of a router, in Prometheus' format.

Counters and histograms are kept for each workspace and route; gauges show the current
state of the router and its calls to the store.
"""

from collections import OrderedDict

from aioprometheus import Counter, Gauge, Histogram, Registry, render

# From one network hop to the longest time limit of a route.
BUCKETS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0)
NO_WORKSPACE = ''
# Pairs of a workspace and a route whose metrics are kept. Each takes 15 kB, and all of
# them are rendered at once.
MAX_PAIRS = 512


class Metrics:
    """The metrics of a router."""

    def __init__(self) -> None:
        """Register all metrics in a new registry."""
        # The outcomes of each pair, the pairs in the order of their last requests.
        self._outcomes: OrderedDict[tuple[str, str], set[str]] = OrderedDict()
        self._registry = Registry()
        registry = self._registry
        self._requests = Counter(
            'ibisport_requests', 'Requests by outcome.', registry=registry
        )
        self._tokens = Counter('ibisport_tokens', 'Tokens charged.', registry=registry)
        self._continued = Counter(
            'ibisport_continued_streams',
            'Streams that went on at the copy of their run.',
            registry=registry,
        )
        self._resumed = Counter(
            'ibisport_resumed_streams',
            'Streams that callers resumed, by how their software is known.',
            registry=registry,
        )
        self._copies = Counter(
            'ibisport_copies', 'Copies of runs that were started.', registry=registry
        )
        self._copied_tokens = Counter(
            'ibisport_copied_tokens', 'Tokens in copies of runs.', registry=registry
        )
        self._hedged = Counter(
            'ibisport_hedged_requests',
            'Requests with two targets at once, by the target whose answer was used.',
            registry=registry,
        )
        self._first_byte = _build_histogram(
            'ibisport_first_byte_seconds', 'Time to the first byte.', registry
        )
        self._duration = _build_histogram(
            'ibisport_request_seconds', 'Time to the last byte.', registry
        )
        self._queue = _build_histogram(
            'ibisport_queue_seconds', 'Time that requests waited here.', registry
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
        labels = self._find_labels(workspace, route)
        self._outcomes[labels['workspace'], route].add(outcome)
        self._requests.inc({**labels, 'outcome': outcome})

    def count_tokens(self, workspace: str | None, tokens: int) -> None:
        """Count tokens that a workspace was charged."""
        self._tokens.add({'workspace': workspace or NO_WORKSPACE}, tokens)

    def count_continued(self, service: str) -> None:
        """Count a stream that went on at a copy."""
        self._continued.inc({'service': service})

    def count_resumed(self, source: str) -> None:
        """Count a stream that its caller resumed.

        Args:
            source: How the software that began it is known, or why it isn't.
        """
        self._resumed.inc({'source': source})

    def count_copy(self, service: str) -> None:
        """Count a copy that was requested."""
        self._copies.inc({'service': service})

    def count_copied_tokens(self, service: str, tokens: int) -> None:
        """Count the tokens of a run that ended, or broke, with a copy."""
        self._copied_tokens.add({'service': service}, tokens)

    def count_hedged(self, service: str, winner: str) -> None:
        """Count a request with two targets at once.

        Args:
            service: Its service.
            winner: ``first``, ``second``, or ``none`` without a usable answer.
        """
        self._hedged.inc({'service': service, 'winner': winner})

    def observe_first_byte(
        self, workspace: str | None, route: str, seconds: float
    ) -> None:
        """Observe the time to the first byte of an answer."""
        self._first_byte.observe(self._find_labels(workspace, route), seconds)

    def observe_duration(
        self, workspace: str | None, route: str, seconds: float
    ) -> None:
        """Observe the time to the last byte of an answer."""
        self._duration.observe(self._find_labels(workspace, route), seconds)

    def observe_queue(self, rank: int, seconds: float) -> None:
        """Observe how long a queued request of a rank waited."""
        self._queue.observe({'rank': str(rank)}, seconds)

    def set_state(self, name: str, level: float) -> None:
        """Set one value of the router's current state."""
        self._state.set({'name': name}, level)

    def set_unconfirmed(self, prefix: str, seconds: float) -> None:
        """Set the time since the watch of a prefix was last answered."""
        self._unconfirmed.set({'prefix': prefix}, seconds)

    def set_store_calls(self, kind: str, path: str, calls: int) -> None:
        """Set the number of calls of a kind that were sent to the store on one path."""
        self._store_calls.set({'kind': kind, 'way': path}, calls)

    def dump(self) -> bytes:
        """Return all metrics in the text format."""
        content, _ = render(self._registry, ['text/plain'])
        return bytes(content)

    def _find_labels(self, workspace: str | None, route: str) -> dict[str, str]:
        """Return the labels of a pair, and drop the pair that is unused for longest."""
        pair = (workspace or NO_WORKSPACE, route)
        self._outcomes.setdefault(pair, set())
        self._outcomes.move_to_end(pair)
        if len(self._outcomes) > MAX_PAIRS:
            self._drop_pair(*self._outcomes.popitem(last=False))
        return {'workspace': pair[0], 'route': route}

    def _drop_pair(self, pair: tuple[str, str], outcomes: set[str]) -> None:
        labels = {'workspace': pair[0], 'route': pair[1]}
        for histogram in (self._first_byte, self._duration):
            histogram.values.pop(labels, None)
        for outcome in outcomes:
            self._requests.values.pop({**labels, 'outcome': outcome}, None)


def _build_histogram(name: str, documentation: str, registry: Registry) -> Histogram:
    return Histogram(
        name, documentation, buckets=list(BUCKETS_SECONDS), registry=registry
    )
