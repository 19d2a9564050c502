"""Reads processor time and memory of processes from ``/proc``."""

import os
from dataclasses import dataclass
from pathlib import Path

from ibisport_bench.launcher import Program

# Indexes into /proc/PID/stat after the command name, and into /proc/PID/statm.
_USER_FIELD = 11
_SYSTEM_FIELD = 12
_PAGES_FIELD = 1


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time and memory of one process.

    Attributes:
        seconds: Processor time since the start, user and system.
        resident_bytes: Resident memory.
    """

    seconds: float
    resident_bytes: int


def read_usage(program: Program) -> Usage:
    """Return the processor time and memory of a running program."""
    folder = Path('/proc') / str(program.process.pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    pages = int((folder / 'statm').read_text().split()[_PAGES_FIELD])
    return Usage(ticks / os.sysconf('SC_CLK_TCK'), pages * os.sysconf('SC_PAGE_SIZE'))
