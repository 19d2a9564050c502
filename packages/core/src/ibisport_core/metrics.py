"""Metrics of a process, in Prometheus' format, with health and readiness.

aioprometheus does not lock its counters, so every change goes through one lock
here; a scrape renders under the same lock.
"""

import threading
from collections.abc import Callable, Iterable, Mapping

import orjson
from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus import histogram as aggregate
from cheroot import wsgi

SECONDS_BUCKETS = (
    0.005,
    0.01,
    0.02,
    0.05,
    0.073,
    0.1,
    0.2,
    0.5,
    1.0,
    1.4,
    2.0,
    5.0,
    10.0,
    30.0,
)
_THREADS = 4
Labels = Mapping[str, str]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


class Metrics:
    """Counters, gauges and histograms by name, made on their first use."""

    def __init__(self) -> None:
        """Start an empty registry."""
        self._registry = Registry()
        self._lock = threading.Lock()
        self._made: dict[str, Counter | Gauge | Histogram] = {}

    def count(self, name: str, labels: Labels, amount: float = 1) -> None:
        """Add to a counter.

        Args:
            name: The counter's name.
            labels: Its labels.
            amount: What to add, not below zero.
        """
        with self._lock:
            self._find(name, Counter).add(dict(labels), amount)

    def set_gauge(self, name: str, labels: Labels, level: float) -> None:
        """Set a gauge."""
        with self._lock:
            self._find(name, Gauge).set(dict(labels), level)

    def observe(self, name: str, labels: Labels, seconds: float) -> None:
        """Add an observation to a histogram of seconds."""
        with self._lock:
            self._find(name, Histogram).observe(dict(labels), seconds)

    def find_series(self, name: str, labels: Labels) -> 'Series':
        """Return one histogram's series, for observations in a hot path.

        Finding a series by its labels costs ten times the observation itself.
        """
        with self._lock:
            collector = self._find(name, Histogram)
            try:
                found = collector.get_value(dict(labels))
            except KeyError:
                found = aggregate.Histogram(*SECONDS_BUCKETS)
                collector.set_value(dict(labels), found)
        return Series(found, self._lock)

    def render_text(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as text and the headers to send with it."""
        with self._lock:
            return render(self._registry, [])  # type: ignore[no-any-return]

    def _find(
        self, name: str, kind: type[Counter] | type[Gauge] | type[Histogram]
    ) -> Counter | Gauge | Histogram:
        made = self._made.get(name)
        if made is None:
            made = self._make(name, kind)
            self._made[name] = made
        return made

    def _make(
        self, name: str, kind: type[Counter] | type[Gauge] | type[Histogram]
    ) -> Counter | Gauge | Histogram:
        doc = name.replace('_', ' ')
        if kind is Histogram:
            return Histogram(
                name, doc, buckets=list(SECONDS_BUCKETS), registry=self._registry
            )
        return kind(name, doc, registry=self._registry)


class Series:
    """One histogram of one set of labels; safe for threads."""

    def __init__(self, found: aggregate.Histogram, lock: threading.Lock) -> None:
        """Keep the histogram and the lock of its registry."""
        self._found = found
        self._lock = lock

    def observe_all(self, observed: Iterable[float]) -> None:
        """Add observations, in seconds."""
        with self._lock:
            for seconds in observed:
                self._found.observe(seconds)


class StatusServer:
    """HTTP listener for ``/metrics``, ``/health``, ``/ready`` and ``/state``."""

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        describe: Callable[[], object],
    ) -> None:
        """Prepare the listener.

        Args:
            address: ``host:port``; port 0 takes a free one.
            metrics: What to render.
            is_ready: Whether the process takes new work.
            describe: What the process believes, as JSON-able data.
        """
        host, _, port = address.rpartition(':')
        self._metrics = metrics
        self._is_ready = is_ready
        self._describe = describe
        self._server = wsgi.Server(
            (host, int(port)), self._answer, numthreads=_THREADS, max=_THREADS
        )
        self._server.prepare()

    @property
    def address(self) -> str:
        """Where it listens, ``host:port``."""
        return '{}:{}'.format(*self._server.bind_addr[:2])

    def start(self) -> None:
        """Serve in a thread."""
        threading.Thread(target=self._server.serve, name='status', daemon=True).start()

    def stop(self) -> None:
        """Stop serving; cheroot's pool threads end."""
        self._server.stop()

    def _answer(
        self, environ: Mapping[str, str], start_response: StartResponse
    ) -> list[bytes]:
        status, body, kind = self._choose(environ['PATH_INFO'])
        start_response(
            status, [('Content-Type', kind), ('Content-Length', str(len(body)))]
        )
        return [body]

    def _choose(self, path: str) -> tuple[str, bytes, str]:
        match path:
            case '/metrics':
                body, headers = self._metrics.render_text()
                return '200 OK', body, headers.get('Content-Type', 'text/plain')
            case '/health':
                return '200 OK', b'ok\n', 'text/plain'
            case '/ready' if self._is_ready():
                return '200 OK', b'ready\n', 'text/plain'
            case '/ready':
                return '503 Service Unavailable', b'not ready\n', 'text/plain'
            case '/state':
                body = orjson.dumps(self._describe(), default=str)
                return '200 OK', body, 'application/json'
            case _:
                return '404 Not Found', b'not found\n', 'text/plain'
