"""Cuts a stream of server-sent events into whole events."""

import re

_ID_LINE = re.compile(rb'^id: ?(\d+)', re.MULTILINE)
_BOUNDARY = b'\n\n'


class EventCutter:
    """Holds back the piece of an event until the rest of it has come.

    Attributes:
        last_id: Id of the last whole event, or None.
        events: Whole events seen.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self._rest = b''

    @property
    def holds_piece(self) -> bool:
        """Whether a piece of an event is held back."""
        return bool(self._rest)

    def feed(self, content: bytes) -> bytes:
        """Return the whole events that are complete with these bytes."""
        joined = self._rest + content
        end = joined.rfind(_BOUNDARY)
        if end < 0:
            self._rest = joined
            return b''
        end += len(_BOUNDARY)
        self._rest = joined[end:]
        whole = joined[:end]
        self._note(whole)
        return whole

    def drop_piece(self) -> None:
        """Forget the piece of an event that was never finished."""
        self._rest = b''

    def _note(self, whole: bytes) -> None:
        self.events += whole.count(_BOUNDARY)
        found = _ID_LINE.findall(whole)
        if found:
            self.last_id = int(found[-1])
