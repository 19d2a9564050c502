"""Measures the latency added to that of the engines, and the cost per chunk.

Run with ``python -m ibisport_bench.experiments.latency``. The same open-loop load
is sent first directly to the stand-in engines and then through one router, in one
run on one machine. The engines, the agents, the router and the callers share the
processors of that machine. If they need more than it has, the result shows the
limit of the machine and not of the router; the columns with shares of a core
tell the two cases apart.
"""

import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import fire
import orjson
from hdrh.histogram import HdrHistogram

from ibisport_bench.experiments.figures import print_row, print_table
from ibisport_bench.experiments.processes import read_usage
from ibisport_bench.launcher import Program
from ibisport_bench.load import recording
from ibisport_bench.load.arrivals import name_workspace
from ibisport_bench.load.patience import start_patiently
from ibisport_bench.load.report import write_result
from ibisport_bench.site import Site, SitePlan, WorkspacePlan

TOKENS_PER_ANSWER = 60
MS_PER_SECOND = 1000
MICROS_PER_SECOND = 1_000_000
STREAMS_PER_CALLER = 75
STREAMS_PER_ENGINE = 50
SLOTS_PER_STREAM = 3
CALLER_TIMEOUT_SECONDS = 180
BUDGET_TOKENS = 10**12
COLUMNS = (
    'streams',
    'way',
    'first p50/95/99 ms',
    'between p50/95/99 ms',
    'chunks/s',
    'router/agent us a chunk',
    'router/agent/engine core',
    'answered',
    'not whole',
)
TIMED_KINDS = (recording.FIRST, recording.GAP)


@dataclass(frozen=True, slots=True)
class Measurement:
    """Results of one load, sent directly or through the router.

    Attributes:
        streams: Approximate number of concurrent streams.
        way: ``direct`` or ``routed``.
        times: Percentiles in milliseconds, by kind.
        chunks: Number of chunks of streamed answers received.
        chunks_a_second: Chunks received per second.
        router_micros: Processor time of the router per chunk, in microseconds.
        agent_micros: Processor time of all agents per chunk, in microseconds.
        router_share: Share of one core that the router uses.
        agent_share: Share of one core that the busiest agent uses.
        engine_share: Share of one core that the busiest engine uses.
        store_writes: Number of store writes by the router.
        counts: Sums of the counts of all callers.
    """

    streams: int
    way: str
    times: dict[str, dict[str, float]]
    chunks: int
    chunks_a_second: float
    router_micros: float
    agent_micros: float
    router_share: float
    agent_share: float
    engine_share: float
    store_writes: int
    counts: dict[str, int]


class LatencyRun:
    """Measures one site at one number of streams."""

    def __init__(self, streams: int, token_ms: float, seconds: float) -> None:
        """Prepare a run.

        Args:
            streams: Intended number of concurrent streams.
            token_ms: Milliseconds per token at the engines.
            seconds: Duration of the load.
        """
        self._streams = streams
        self._token_ms = token_ms
        self._seconds = seconds
        self._folder = Path(tempfile.mkdtemp(prefix='ibisport-latency-'))
        engines = max(1, -(-streams // STREAMS_PER_ENGINE))
        slots = SLOTS_PER_STREAM * streams // engines + 8
        self._site = Site(
            SitePlan(
                engines=engines,
                services=0,
                routers=1,
                slots=slots,
                token_ms=token_ms,
                workspaces=(WorkspacePlan(name_workspace(0), BUDGET_TOKENS),),
                router_flags={'streams': 2 * streams + 50},
                engine_flags={'threads': slots + 16},
            ),
            self._folder,
        )

    def measure(self) -> list[Measurement]:
        """Start the site; measure it directly and through the router."""
        try:
            start_patiently(self._site)
            engines = [
                process.program.address for process in self._site.targets.values()
            ]
            routers = [process.address for process in self._site.routers]
            return [self._measure('direct', engines), self._measure('routed', routers)]
        finally:
            self._site.stop()

    def _measure(self, way: str, addresses: Sequence[str]) -> Measurement:
        groups = self._list_groups()
        before = [_read_seconds(group) for group in groups]
        writes = self._read_writes()
        started_at = time.monotonic()
        results = self._run_callers(way, addresses)
        elapsed = time.monotonic() - started_at
        used_seconds = [
            _subtract(_read_seconds(group), earlier)
            for earlier, group in zip(before, groups, strict=True)
        ]
        counts = _add_counts([result['counts'] for result in results])
        chunks = max(1, counts.get('chunks', 0))
        return Measurement(
            streams=self._streams,
            way=way,
            times={kind: _add_histograms(results, kind) for kind in TIMED_KINDS},
            chunks=chunks,
            chunks_a_second=round(chunks / elapsed, 1),
            router_micros=round(sum(used_seconds[0]) / chunks * MICROS_PER_SECOND, 1),
            agent_micros=round(sum(used_seconds[1]) / chunks * MICROS_PER_SECOND, 1),
            router_share=round(max(used_seconds[0]) / elapsed, 3),
            agent_share=round(max(used_seconds[1]) / elapsed, 3),
            engine_share=round(max(used_seconds[2]) / elapsed, 3),
            store_writes=self._read_writes() - writes,
            counts=counts,
        )

    def _read_writes(self) -> int:
        """Return the number of store writes by the router since its start."""
        answer = self._site.http.request('GET', f'{self._site.store.url}/counts')
        clients = orjson.loads(answer.data)['clients']
        router_counts = [
            counts for name, counts in clients.items() if name.startswith('entry-')
        ]
        return sum(counts['writes'] for counts in router_counts)

    def _list_groups(self) -> tuple[list[Program], ...]:
        targets = self._site.targets.values()
        return (
            self._site.routers,
            [target.agent for target in targets],
            [target.program for target in targets],
        )

    def _run_callers(self, way: str, addresses: Sequence[str]) -> list[dict[str, Any]]:
        count = max(1, -(-self._streams // STREAMS_PER_CALLER))
        running = [
            self._start_caller(f'{way}-{number}', number, count, addresses)
            for number in range(count)
        ]
        for process in running:
            process.wait(CALLER_TIMEOUT_SECONDS)
        return [
            orjson.loads((self._folder / f'{way}-{number}.json').read_bytes())
            for number in range(count)
        ]

    def _start_caller(
        self, name: str, number: int, count: int, addresses: Sequence[str]
    ) -> subprocess.Popen[bytes]:
        answer_seconds = TOKENS_PER_ANSWER * self._token_ms / MS_PER_SECOND
        config = {
            'name': name,
            'seed': number + 1,
            'seconds': self._seconds,
            'rate': self._streams / answer_seconds / count,
            'workspaces': 1,
            'answers': {'median': TOKENS_PER_ANSWER, 'sigma': 0},
            'streamed': 1,
            'most_tries': 1,
            'routers': addresses,
        }
        path = self._folder / f'{name}.config.json'
        path.write_bytes(orjson.dumps(config))
        module = [sys.executable, '-m', 'ibisport_bench.load']
        flags = ['--config', str(path), '--out', str(self._folder)]
        return subprocess.Popen(
            [*module, *flags], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )


def run(
    streams: Sequence[int] = (1, 50, 150, 300),
    token_ms: float = 60,
    seconds: float = 12,
    out: str = 'bench-results',
) -> None:
    """Measure at several numbers of concurrent streams and print a table.

    Args:
        streams: Numbers of concurrent streams.
        token_ms: Milliseconds per token at the engines.
        seconds: Duration of the load in each run.
        out: Folder for the result.
    """
    print_table('Added latency', COLUMNS, ())
    measurements: list[Measurement] = []
    for count in _list_counts(streams):
        for measurement in LatencyRun(count, token_ms, seconds).measure():
            measurements.append(measurement)
            print_row(_make_row(measurement))
        # Written after each round, so that a failure loses no earlier results.
        document = {
            'token_ms': token_ms,
            'tokens': TOKENS_PER_ANSWER,
            'seconds': seconds,
            'runs': [asdict(measurement) for measurement in measurements],
        }
        write_result(Path(out) / 'latency.json', 1, document)


def _list_counts(streams: Sequence[int] | int) -> Sequence[int]:
    # Fire passes a single number as an int.
    return (streams,) if isinstance(streams, int) else streams


def _subtract(later: Sequence[float], earlier: Sequence[float]) -> list[float]:
    return [last - first for first, last in zip(earlier, later, strict=True)]


def _read_seconds(programs: Sequence[Program]) -> list[float]:
    return [read_usage(program).seconds for program in programs]


def _add_histograms(results: Sequence[dict[str, Any]], kind: str) -> dict[str, float]:
    total = recording.make_histogram()
    for result in results:
        encoded = result['encoded'].get(kind)
        if encoded is not None:
            total.add(HdrHistogram.decode(encoded))
    return recording.summarise(total)


def _add_counts(counts: Sequence[dict[str, int]]) -> dict[str, int]:
    names = {name for caller_counts in counts for name in caller_counts}
    return {
        name: sum(caller_counts.get(name, 0) for caller_counts in counts)
        for name in sorted(names)
    }


def _make_row(measurement: Measurement) -> Sequence[str]:
    not_whole = measurement.counts['arrivals'] - measurement.counts.get(
        'verdict.whole', 0
    )
    shares = (
        measurement.router_share,
        measurement.agent_share,
        measurement.engine_share,
    )
    return [
        str(measurement.streams),
        measurement.way,
        *[_show_percentiles(measurement.times[kind]) for kind in TIMED_KINDS],
        f'{measurement.chunks_a_second:.0f}',
        f'{measurement.router_micros:.0f}/{measurement.agent_micros:.0f}',
        '/'.join(f'{share:.2f}' for share in shares),
        str(measurement.counts.get('answered', 0)),
        str(not_whole),
    ]


def _show_percentiles(percentiles: dict[str, float]) -> str:
    return '/'.join(
        f'{percentiles[f"p{percent}"]:.1f}' for percent in recording.PERCENTS
    )


if __name__ == '__main__':
    fire.Fire(run)
