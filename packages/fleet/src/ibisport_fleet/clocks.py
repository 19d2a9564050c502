"""The clocks of a process, passed to whatever needs more than the loop's time."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

BOOT_ID_PATH = Path('/proc/sys/kernel/random/boot_id')


@dataclass(frozen=True, slots=True)
class Clocks:
    """Functions that return seconds.

    Attributes:
        boot: Goes on while the machine is suspended; never jumps.
        wall: The time of day, which may jump by seconds.
        boot_id: Names the machine's present run, in which the boot clock counts; empty
            if the system doesn't tell.
    """

    boot: Callable[[], float]
    wall: Callable[[], float]
    boot_id: str = ''


def read_boot_clock() -> float:
    """Return the seconds since the machine started, suspended ones included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_boot_id() -> str:
    """Return the id that the system drew when the machine started, or nothing."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        # Without it no process proves by the boot clock when another one ended.
        return ''


SYSTEM_CLOCKS = Clocks(boot=read_boot_clock, wall=time.time, boot_id=read_boot_id())
