"""What the operating system tells about a process, read from /proc."""

import os
import signal
from dataclasses import dataclass
from pathlib import Path

PROCESSES = Path('/proc')
# States of a process that waits for a processor or the disk, or is stopped by a signal.
# One that sleeps waits for something of its own choice.
BUSY_STATES = frozenset('RDTt')
# The interpreter takes under 0.02 s of a processor, however long it waits for one,
# before the program's first statement, which blocks SIGHUP.
MAX_STARTUP_CPU_SECONDS = 0.1
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
# Signals that don't end a process at once, as masks in hexadecimal.
_MASK_NAMES = frozenset(('SigBlk', 'SigIgn', 'SigCgt'))


@dataclass(frozen=True, slots=True)
class ProcessState:
    """State of a process at one moment.

    Attributes:
        code: The system's code for what it does, one character.
        cpu_seconds: Processor time that it has used.
        held_signals: Mask of the signals that it blocks, ignores or handles.
    """

    code: str
    cpu_seconds: float
    held_signals: int

    @property
    def is_starting(self) -> bool:
        """Whether its program hasn't begun, so that SIGHUP ends it."""
        holds_hangup = self.held_signals >> (signal.SIGHUP - 1) & 1
        return (
            not holds_hangup
            and self.code in BUSY_STATES
            and self.cpu_seconds < MAX_STARTUP_CPU_SECONDS
        )


def read_process_state(process_id: int) -> ProcessState | None:
    """Return the state of a process, or None if it has ended."""
    folder = PROCESSES / str(process_id)
    try:
        stat, status = (folder / 'stat').read_text(), (folder / 'status').read_text()
    except (FileNotFoundError, ProcessLookupError):
        return None
    # The name in parentheses before these fields may contain spaces.
    fields = stat.rpartition(')')[2].split()
    cpu_ticks = sum(map(int, fields[11:13]))
    held = 0
    for line in status.splitlines():
        name, _, content = line.partition(':')
        if name in _MASK_NAMES:
            held |= int(content, 16)
    return ProcessState(fields[0], cpu_ticks / _TICKS_PER_SECOND, held)
