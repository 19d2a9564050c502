"""Splits a stream of server-sent events into complete events."""

import re

from ibisport_fleet.errors import AnswerInvalid

# An event holds some tokens of text; a caller waits for all of it.
MAX_EVENT_BYTES = 1_048_576
# Longer digits count as no id: Python refuses to convert very long ones.
ID_LINE = re.compile(rb'^id: ?(\d{1,18})(?!\d)', re.MULTILINE)
_BOUNDARY = b'\n\n'


class EventSplitter:
    """Buffers a partial event until the rest of it arrives.

    Attributes:
        last_event_id: Id of the last complete event, or None.
        event_count: Number of complete events.
    """

    def __init__(self, last_event_id: int | None = None) -> None:
        self.last_event_id = last_event_id
        self.event_count = 0
        self._partial = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether a partial event is buffered."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of the partial event."""
        return len(self._partial)

    def feed(self, content: bytes) -> bytes:
        """Return the events that these bytes complete.

        Raises:
            AnswerInvalid: An event is longer than ``MAX_EVENT_BYTES``.
        """
        # A boundary may begin with the last byte of the part before.
        searched = max(0, len(self._partial) - len(_BOUNDARY) + 1)
        self._partial += content
        end = self._partial.rfind(_BOUNDARY, searched)
        if end < 0:
            self._check_size()
            return b''
        end += len(_BOUNDARY)
        complete = self.select_valid(bytes(self._partial[:end]))
        del self._partial[:end]
        self._check_size()
        self._count_events(complete)
        return complete

    def drop_partial_event(self) -> None:
        """Discard the buffered part of an event that was never completed."""
        self._partial.clear()

    def _check_size(self) -> None:
        if len(self._partial) > MAX_EVENT_BYTES:
            raise AnswerInvalid('an event without an end')

    def select_valid(self, complete: bytes) -> bytes:
        """Return the complete events that may be passed on."""
        return complete

    def _count_events(self, complete: bytes) -> None:
        self.event_count += complete.count(_BOUNDARY)
        event_ids = ID_LINE.findall(complete)
        if event_ids:
            self.last_event_id = int(event_ids[-1])
