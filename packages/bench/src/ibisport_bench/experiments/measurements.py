"""The committed measurements behind docs/CAPACITY.md."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from ibisport_bench.experiments.fit import Line

MEASURED = Path(__file__).parent / 'measured.json'


@dataclass(frozen=True, slots=True)
class Measurements:
    """The committed measurements.

    Attributes:
        lines: Fitted line by experiment and level.
        router_micros: Processor time of a router per chunk, in microseconds.
        agent_micros: Processor time of the agents per chunk, in microseconds.
        document: The complete document.
    """

    lines: dict[str, dict[str, Line]]
    router_micros: float
    agent_micros: float
    document: dict[str, Any]


def load_measured(path: Path = MEASURED) -> Measurements:
    """Read the committed measurements.

    Args:
        path: The document that ``collect`` wrote.
    """
    document = orjson.loads(path.read_bytes())
    lines = {
        name: {level: Line(**line) for level, line in slope['lines'].items()}
        for name, slope in document['slopes'].items()
    }
    routed = [latency for latency in document['latency'] if latency['way'] == 'routed']
    busiest = max(routed, key=_read_chunks)
    return Measurements(
        lines, busiest['router_micros'], busiest['agent_micros'], document
    )


def collect(folder: str) -> None:
    """Combine the results in a folder into the committed document.

    Args:
        folder: Holds the output of slopes, latency and operator_cost.
    """
    results = {
        name: orjson.loads((Path(folder) / f'{name}.json').read_bytes())
        for name in ('slopes', 'latency', 'operator_cost')
    }
    document = {
        'commit': results['slopes']['commit'],
        'machine': results['slopes']['machine'],
        'slopes': results['slopes']['slopes'],
        'latency': results['latency']['runs'],
        'commands': results['operator_cost']['commands'],
    }
    MEASURED.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2) + b'\n')


def _read_chunks(latency: dict[str, Any]) -> float:
    return float(latency['chunks_a_second'])
