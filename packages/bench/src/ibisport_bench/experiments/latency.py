"""Added latency of the system over its engines, and its cost a chunk.

Run by ``python -m ibisport_bench.experiments.latency``. The same open-loop load
goes first straight to the stand-in engines and then through one router, in one
run on one machine. The engines, the agents, the router and the callers share
the machine's processors, so a count of streams at which they want more than it
has says what the machine holds and not what a router holds; the columns of
processor shares show which it is.
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
    """One load on one way.

    Attributes:
        streams: Streams that are open at a time, about.
        way: ``direct`` or ``routed``.
        times: Percentiles in milliseconds by kind.
        chunks: Pieces of streamed answers that came.
        chunks_a_second: The same a second.
        router_micros: Processor microseconds of the router a chunk.
        agent_micros: The same of all agents together.
        router_share: The router's share of one core.
        agent_share: The busiest agent's.
        engine_share: The busiest engine's.
        store_writes: Writes of the router to the store.
        counts: What the callers counted.
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
    """One site under one count of streams."""

    def __init__(self, streams: int, token_ms: float, seconds: float) -> None:
        """Prepare a run.

        Args:
            streams: Streams that should be open at a time.
            token_ms: Milliseconds a token at the engines.
            seconds: How long requests arrive.
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
        """Start the site and measure both ways."""
        try:
            start_patiently(self._site)
            engines = [one.program.address for one in self._site.targets.values()]
            routers = [one.address for one in self._site.routers]
            return [self._measure('direct', engines), self._measure('routed', routers)]
        finally:
            self._site.stop()

    def _measure(self, way: str, addresses: Sequence[str]) -> Measurement:
        groups = self._list_groups()
        before = [_read_seconds(group) for group in groups]
        writes = self._read_writes()
        started = time.monotonic()
        results = self._run_callers(way, addresses)
        elapsed = time.monotonic() - started
        used = [
            _subtract(_read_seconds(group), first)
            for first, group in zip(before, groups, strict=True)
        ]
        counts = _add_counts([one['counts'] for one in results])
        chunks = max(1, counts.get('chunks', 0))
        return Measurement(
            streams=self._streams,
            way=way,
            times={kind: _add_histograms(results, kind) for kind in TIMED_KINDS},
            chunks=chunks,
            chunks_a_second=round(chunks / elapsed, 1),
            router_micros=round(sum(used[0]) / chunks * MICROS_PER_SECOND, 1),
            agent_micros=round(sum(used[1]) / chunks * MICROS_PER_SECOND, 1),
            router_share=round(max(used[0]) / elapsed, 3),
            agent_share=round(max(used[1]) / elapsed, 3),
            engine_share=round(max(used[2]) / elapsed, 3),
            store_writes=self._read_writes() - writes,
            counts=counts,
        )

    def _read_writes(self) -> int:
        """Return the writes of the router since its start."""
        answer = self._site.http.request('GET', f'{self._site.store.url}/counts')
        clients = orjson.loads(answer.data)['clients']
        own = [one for name, one in clients.items() if name.startswith('entry-')]
        return sum(one['writes'] for one in own)

    def _list_groups(self) -> tuple[list[Program], ...]:
        targets = self._site.targets.values()
        return (
            self._site.routers,
            [one.agent for one in targets],
            [one.program for one in targets],
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
    """Measure at several counts of open streams and print a table.

    Args:
        streams: Counts of open streams.
        token_ms: Milliseconds a token at the engines.
        seconds: How long requests arrive in each run.
        out: Folder of the result.
    """
    print_table('Added latency', COLUMNS, ())
    measured: list[Measurement] = []
    for count in _list_counts(streams):
        for one in LatencyRun(count, token_ms, seconds).measure():
            measured.append(one)
            print_row(_make_row(one))
        # Written after each count, so that what was measured is kept.
        found = {
            'token_ms': token_ms,
            'tokens': TOKENS_PER_ANSWER,
            'seconds': seconds,
            'runs': [asdict(one) for one in measured],
        }
        write_result(Path(out) / 'latency.json', 1, found)


def _list_counts(streams: Sequence[int] | int) -> Sequence[int]:
    # Fire gives one number as a number.
    return (streams,) if isinstance(streams, int) else streams


def _subtract(later: Sequence[float], earlier: Sequence[float]) -> list[float]:
    return [end - start for start, end in zip(earlier, later, strict=True)]


def _read_seconds(programs: Sequence[Program]) -> list[float]:
    return [read_usage(program).seconds for program in programs]


def _add_histograms(results: Sequence[dict[str, Any]], kind: str) -> dict[str, float]:
    whole = recording.make_histogram()
    for result in results:
        encoded = result['encoded'].get(kind)
        if encoded is not None:
            whole.add(HdrHistogram.decode(encoded))
    return recording.summarise(whole)


def _add_counts(counts: Sequence[dict[str, int]]) -> dict[str, int]:
    names = {name for one in counts for name in one}
    return {name: sum(one.get(name, 0) for one in counts) for name in sorted(names)}


def _make_row(one: Measurement) -> Sequence[str]:
    wrong = one.counts['arrivals'] - one.counts.get('verdict.whole', 0)
    shares = (one.router_share, one.agent_share, one.engine_share)
    return [
        str(one.streams),
        one.way,
        *[_show_percentiles(one.times[kind]) for kind in TIMED_KINDS],
        f'{one.chunks_a_second:.0f}',
        f'{one.router_micros:.0f}/{one.agent_micros:.0f}',
        '/'.join(f'{share:.2f}' for share in shares),
        str(one.counts.get('answered', 0)),
        str(wrong),
    ]


def _show_percentiles(found: dict[str, float]) -> str:
    return '/'.join(f'{found[f"p{percent}"]:.1f}' for percent in recording.PERCENTS)


if __name__ == '__main__':
    fire.Fire(run)
