"""Counts the bytes of an answer for the caller that it is read for."""

from ibisport_fleet.http_messages import AnswerHead
from ibisport_fleet.overload.memory_budget import Hold, Part


class AnswerCharge:
    """Observer of an answer that is passed on as a whole."""

    def __init__(self, hold: Hold) -> None:
        """Count for the hold of the caller's connection."""
        self._hold = hold

    def handle_head(self, head: AnswerHead) -> None:
        """Ignore the head, whose size is bounded."""

    def handle_bytes(self, size: int) -> None:
        """Count the arrival of this many bytes of the body.

        Raises:
            MemoryExhausted: There is no room for them.
        """
        self._hold.grow(Part.answer, size)
