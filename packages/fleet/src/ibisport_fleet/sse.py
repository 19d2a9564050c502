"""Splits a stream of server-sent events into complete events."""

import re

_ID_LINE = re.compile(rb'^id: ?(\d+)', re.MULTILINE)
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
        self._partial = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether a partial event is buffered."""
        return bool(self._partial)

    def feed(self, content: bytes) -> bytes:
        """Return the events that these bytes complete."""
        buffered = self._partial + content
        end = buffered.rfind(_BOUNDARY)
        if end < 0:
            self._partial = buffered
            return b''
        end += len(_BOUNDARY)
        self._partial = buffered[end:]
        complete = self.select_valid(buffered[:end])
        self._count_events(complete)
        return complete

    def drop_partial_event(self) -> None:
        """Discard the buffered part of an event that was never completed."""
        self._partial = b''

    def select_valid(self, complete: bytes) -> bytes:
        """Return the complete events that may be passed on."""
        return complete

    def _count_events(self, complete: bytes) -> None:
        self.event_count += complete.count(_BOUNDARY)
        event_ids = _ID_LINE.findall(complete)
        if event_ids:
            self.last_event_id = int(event_ids[-1])
