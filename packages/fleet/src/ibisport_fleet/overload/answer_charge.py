"""Counts the bytes of an answer for the caller that it is read for.

What a target sends counts from its arrival until the caller has taken it: as
``upstream`` until it is processed, as ``answer`` from then on.
"""

from typing import NoReturn, Protocol

from ibisport_fleet.http_messages import AnswerHead
from ibisport_fleet.overload.memory_budget import MemoryExhausted, MemoryUse, Part


class AnswerCharge:
    """Observer of an answer that is passed on as a whole."""

    def __init__(self, memory: MemoryUse) -> None:
        """Count for the connection of the caller."""
        self._memory = memory

    def handle_head(self, head: AnswerHead) -> None:
        """Ignore the head, whose size is bounded."""

    def handle_bytes(self, size: int) -> None:
        """Count the arrival of this many bytes of the body.

        Raises:
            MemoryExhausted: There is no room for them.
        """
        self._memory.grow(Part.answer, size)


# Bytes of one part that aren't counted: usual events are much smaller.
FREE_BYTES = 16_384


class ArrivalCharge(Protocol):
    """Counts the bytes that have arrived on a connection and aren't processed."""

    def update(self, size: int) -> None:
        """Set the number of bytes.

        Raises:
            MemoryExhausted: There is no room for them.
        """


class PartCharge:
    """Counts bytes whose number varies, unless there are few."""

    def __init__(self, memory: MemoryUse, part: Part) -> None:
        """Count for a part of what the connection of a caller uses."""
        self._memory = memory
        self._part = part
        self._counted = 0

    def update(self, size: int) -> None:
        """Set the number of bytes.

        Raises:
            MemoryExhausted: There is no room for them.
        """
        size = size if size > FREE_BYTES else 0
        if size != self._counted:
            self._memory.grow(self._part, size - self._counted)
            self._counted = size


class IdleCharge:
    """Allows no bytes: nobody waits for any on an idle connection."""

    def update(self, size: int) -> NoReturn:
        """Refuse bytes.

        Raises:
            MemoryExhausted: Always.
        """
        raise MemoryExhausted('bytes on an idle connection')
