"""Detects events of a stream that don't follow the last one."""

from ibisport_fleet.sse import ID_LINE, EventSplitter

_BOUNDARY = b'\n\n'


class SequencedSplitter(EventSplitter):
    """Completes events and withholds those from the first wrong id on.

    The first event of a stream sets the sequence, unless the caller resumes it.

    Attributes:
        disordered: Whether an event was withheld.
        continuable: Whether the id of the last event tells what the caller has.
    """

    def __init__(self, last_event_id: int | None, *, resumed: bool) -> None:
        """Create a splitter of a stream.

        Args:
            last_event_id: Id of the last event that the caller got, or None.
            resumed: Whether the stream goes on after that event.
        """
        super().__init__(last_event_id)
        self.disordered = False
        self.continuable = True
        self._expected = (
            last_event_id + 1 if resumed and last_event_id is not None else None
        )

    def drop_partial_event(self) -> None:
        """Discard what doesn't belong to a complete event in sequence."""
        super().drop_partial_event()
        self.disordered = False

    def select_valid(self, complete: bytes) -> bytes:
        """Return the events before the first one with a wrong id."""
        size = 0
        for event in complete.split(_BOUNDARY)[:-1]:
            if not self._follows(event):
                self.disordered = True
                break
            size += len(event) + len(_BOUNDARY)
        return complete[:size]

    def _follows(self, event: bytes) -> bool:
        found = ID_LINE.search(event)
        if found is None:
            # A comment that keeps the connection open has no data.
            self.continuable = self.continuable and b'data' not in event
            return True
        event_id = int(found.group(1))
        if self._expected not in (None, event_id):
            return False
        self._expected = event_id + 1
        return True
