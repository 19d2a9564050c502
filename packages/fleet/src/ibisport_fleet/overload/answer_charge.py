"""Counts the bytes of an answer for the caller that it is read for."""

from ibisport_fleet.http_messages import AnswerHead
from ibisport_fleet.overload.memory_budget import MemoryUse, Part


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
