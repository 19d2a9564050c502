"""The clocks of a process, passed to whatever needs more than the loop's time."""

import time
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Clocks:
    """Functions that return seconds.

    Attributes:
        boot: Goes on while the machine is suspended; never jumps.
        wall: The time of day, which may jump by seconds.
    """

    boot: Callable[[], float]
    wall: Callable[[], float]


def read_boot_clock() -> float:
    """Return the seconds since the machine started, suspended ones included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


SYSTEM_CLOCKS = Clocks(boot=read_boot_clock, wall=time.time)
