"""Compares a short benchmark run with committed bounds: ``make bench-check``.

Processor times are divided by the time of a fixed loop, measured on the same
machine in the same run, so their bounds are ratios that also hold on other
machines. The other figures are counts. Each breach is reported on standard error,
and the exit code is then 1.
"""

import sys
import time
import timeit
from collections.abc import Callable, Mapping
from pathlib import Path

import fire
import orjson

from ibisport_bench.experiments.figures import print_table
from ibisport_bench.experiments.latency import LatencyRun, Measurement
from ibisport_bench.load.report import write_result
from ibisport_core.codec import decode_message, encode_message
from ibisport_core.messages import REQUEST_ID_BYTES, Chunk

BOUNDS = Path(__file__).parent / 'bounds.json'
STREAMS = 12
TOKEN_MS = 40
LOAD_SECONDS = 6
CHUNK_DATA = b'data: %s\n\n' % (b'x' * 200)
LOOP_TURNS = 100_000
UNIT_TURNS = 100
REPEATS = 5
CALLS = 2000
MICROS_PER_SECOND = 1_000_000
_FACTOR = 31
_MODULUS = 1009


def list_breaches(
    figures: Mapping[str, float], bounds: Mapping[str, float]
) -> list[str]:
    """Return a line for each figure that exceeds its bound or was not measured.

    Args:
        figures: Figures by name.
        bounds: Highest allowed figure, by name.
    """
    breaches = []
    for name, bound in bounds.items():
        figure = figures.get(name)
        if figure is None:
            breaches.append(f'{name}: not measured, bound {bound:g}')
        elif figure > bound:
            breaches.append(f'{name}: {figure:.3g} is above the bound {bound:g}')
    return breaches


def measure_codec(unit: float) -> dict[str, float]:
    """Return the processor time of encoding and of decoding a chunk, in units."""
    chunk = Chunk(b'x' * REQUEST_ID_BYTES, 1, len(CHUNK_DATA), CHUNK_DATA)
    encoded = encode_message(chunk)
    return {
        'chunk_encode': _time_calls(lambda: encode_message(chunk)) / unit,
        'chunk_decode': _time_calls(lambda: decode_message(encoded)) / unit,
    }


def measure_unit() -> float:
    """Return the processor seconds of a hundred iterations of a fixed loop."""
    times = timeit.repeat(
        _run_fixed_loop, number=1, repeat=REPEATS, timer=time.process_time
    )
    return min(times) * UNIT_TURNS / LOOP_TURNS


def measure_site(unit: float) -> dict[str, float]:
    """Return the figures of a small site; processor times are in units."""
    latency_run = LatencyRun(STREAMS, TOKEN_MS, LOAD_SECONDS)
    routed = next(result for result in latency_run.measure() if result.way == 'routed')
    return _compute_figures(routed, unit)


def run(out: str = 'bench-results') -> None:
    """Measure, print the figures, and exit with code 1 on a breach.

    Args:
        out: Folder for the result.
    """
    unit = measure_unit()
    figures = measure_codec(unit) | measure_site(unit)
    bounds: dict[str, float] = orjson.loads(BOUNDS.read_bytes())
    write_result(Path(out) / 'regression.json', 1, {'unit': unit, 'found': figures})
    rows = [
        [name, f'{figures.get(name, 0):.3g}', f'{bound:g}']
        for name, bound in bounds.items()
    ]
    print_table('Regression', ('figure', 'measured', 'bound'), rows)
    breaches = list_breaches(figures, bounds)
    for breach in breaches:
        sys.stderr.write(f'breach of {breach}\n')
    if breaches:
        sys.exit(1)


def _compute_figures(routed: Measurement, unit: float) -> dict[str, float]:
    counts = routed.counts
    arrivals = counts['arrivals']
    return {
        'router_chunk': routed.router_micros / MICROS_PER_SECOND / unit,
        'agent_chunk': routed.agent_micros / MICROS_PER_SECOND / unit,
        'not_whole': arrivals - counts.get('verdict.whole', 0),
        'store_writes_a_request': routed.store_writes / max(1, arrivals),
    }


def _time_calls(call: Callable[[], object]) -> float:
    times = timeit.repeat(call, number=CALLS, repeat=REPEATS, timer=time.process_time)
    return min(times) / CALLS


def _run_fixed_loop() -> int:
    state = 1
    for number in range(LOOP_TURNS):
        state = (state * _FACTOR + number) % _MODULUS
    return state


if __name__ == '__main__':
    fire.Fire(run)
