"""Reads what processes have used, from the system's own accounts."""

import os
from dataclasses import dataclass
from pathlib import Path

from ibisport_bench.launcher import Program

_USER_FIELD = 11
_SYSTEM_FIELD = 12
_PAGES_FIELD = 1


@dataclass(frozen=True, slots=True)
class Usage:
    """What one process has used so far.

    Attributes:
        seconds: Processor seconds, user and system.
        resident: Resident bytes.
    """

    seconds: float
    resident_bytes: int


def read_usage(program: Program) -> Usage:
    """Return what a running program has used."""
    folder = Path('/proc') / str(program.process.pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    pages = int((folder / 'statm').read_text().split()[_PAGES_FIELD])
    return Usage(ticks / os.sysconf('SC_CLK_TCK'), pages * os.sysconf('SC_PAGE_SIZE'))
