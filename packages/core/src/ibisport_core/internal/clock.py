"""Times as they stand in messages and records.

Deadlines travel as Unix microseconds, so hosts must keep their clocks within a
second of each other; money never depends on it (docs/design/recovery.md).
"""

import time

MICROS = 1_000_000


def read_micros() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


def make_micros(seconds: float) -> int:
    """Return a Unix time of seconds as microseconds."""
    return int(seconds * MICROS)


def make_seconds(micros: int) -> float:
    """Return a Unix time of microseconds as seconds."""
    return micros / MICROS
