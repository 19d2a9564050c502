"""The answer of one run, sent to every router that subscribes to it.

What was sent is kept, so that a router that comes later, after a lost
connection or for a caller who retried elsewhere, reads from the offset it
names.
"""

import threading
import time
from dataclasses import dataclass, replace

from ibisport_agent.internal.answers import Answer
from ibisport_core.errors import LinkClosed
from ibisport_core.link import Link
from ibisport_core.messages import (
    Accepted,
    Chunk,
    Finished,
    Head,
    Message,
    Refused,
    Submit,
)

_MAX_CHUNK_BYTES = 1024 * 1024
End = Finished | Refused


@dataclass(frozen=True, slots=True)
class _Subscriber:
    link: Link
    attempt: int


class Feed:
    """Head, bytes and end of one answer; safe for threads.

    Attributes:
        head: Status and headers of the answer, once they are known.
        end: How the run ended, once it did.
        ended_at: Unix time of the end; zero before.
    """

    def __init__(self, request_id: bytes) -> None:
        """Start with nothing known and nobody subscribed.

        Args:
            request_id: The request that is answered.
        """
        self.head: Head | None = None
        self.end: End | None = None
        self.ended_at = 0.0
        self._request_id = request_id
        self._lock = threading.Lock()
        self._answer = Answer()
        self._subscribers: list[_Subscriber] = []
        self._orphaned_at = 0.0

    @property
    def length(self) -> int:
        """Bytes of the answer so far."""
        return self._answer.length

    def subscribe(self, link: Link, submit: Submit, accepted: Accepted) -> None:
        """Send all that is known to a router, and all that follows.

        Args:
            link: The router's link.
            submit: The router's message, with its attempt and offset.
            accepted: Tells the router who pays.
        """
        subscriber = _Subscriber(link, submit.attempt)
        with self._lock:
            self._subscribers = [one for one in self._subscribers if one != subscriber]
            self._orphaned_at = 0
            _send(subscriber, accepted)
            self._send_backlog(subscriber, submit.offset)
            self._subscribers.append(subscriber)

    def unsubscribe(self, link: Link) -> None:
        """Forget a router; with none left the run is orphaned."""
        with self._lock:
            before = len(self._subscribers)
            self._subscribers = [one for one in self._subscribers if one.link != link]
            if before and not self._subscribers:
                self._orphaned_at = time.time()

    def is_orphaned(self, since: float) -> bool:
        """Whether nobody has waited for the answer since a Unix time."""
        with self._lock:
            return bool(self._orphaned_at) and self._orphaned_at < since

    def set_head(self, head: Head) -> None:
        """Send status and headers."""
        with self._lock:
            self.head = head
            self._send_all(head)

    def append(self, payload: bytes) -> None:
        """Send the next bytes."""
        with self._lock:
            offset = self._answer.append(payload)
            for one in self._subscribers:
                _send(one, Chunk(self._request_id, one.attempt, offset, payload))

    def finish(self, end: End) -> None:
        """Send how the run ended."""
        with self._lock:
            self.end = end
            self._send_all(end)
            # A leaving agent closes its links once no run is open.
            self.ended_at = time.time()

    def _send_backlog(self, subscriber: _Subscriber, offset: int) -> None:
        if self.head is not None:
            _send(subscriber, replace(self.head, attempt=subscriber.attempt))
        missing = self._answer.read_from(offset)
        for start in range(0, len(missing), _MAX_CHUNK_BYTES):
            piece = missing[start : start + _MAX_CHUNK_BYTES]
            attempt = subscriber.attempt
            _send(subscriber, Chunk(self._request_id, attempt, offset + start, piece))
        if self.end is not None:
            _send(subscriber, replace(self.end, attempt=subscriber.attempt))

    def _send_all(self, message: Head | End) -> None:
        for subscriber in self._subscribers:
            _send(subscriber, replace(message, attempt=subscriber.attempt))


def _send(subscriber: _Subscriber, message: Message) -> None:
    try:
        subscriber.link.send(message)
    except LinkClosed:
        # The link's own thread sees the end and unsubscribes the router.
        return
