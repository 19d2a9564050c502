"""Clocks of a process, for code that needs more than the event loop's time."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

BOOT_ID_PATH = Path('/proc/sys/kernel/random/boot_id')


@dataclass(frozen=True, slots=True)
class Clocks:
    """Clock functions, which return seconds.

    Attributes:
        boot: Monotonic time since boot, including time in suspend.
        wall: Time of day, which may jump by seconds.
        boot_id: Identifier of the machine's current boot, which boot-clock times refer
            to; empty if the system doesn't provide one.
    """

    boot: Callable[[], float]
    wall: Callable[[], float]
    boot_id: str = ''


def read_boot_clock() -> float:
    """Return the seconds since boot, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_boot_id() -> str:
    """Return the random identifier of the current boot, or an empty string."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        # Without it, boot-clock times of different processes can't be compared.
        return ''


SYSTEM_CLOCKS = Clocks(boot=read_boot_clock, wall=time.time, boot_id=read_boot_id())
