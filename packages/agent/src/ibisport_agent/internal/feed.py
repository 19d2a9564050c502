"""The answer of one run, sent to every router that subscribes to it.

The bytes are kept, so that a router that subscribes later, after a lost
connection or because the caller retried at another router, can read from any
offset.
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
    """Head, bytes and end of one answer; thread-safe.

    Attributes:
        head: Status and headers of the answer; None until known.
        end: The message that ended the run; None while it runs.
        ended_at: Unix time of the end; zero while the run is open.
    """

    def __init__(self, request_id: bytes) -> None:
        """Create an empty feed without subscribers.

        Args:
            request_id: The request that the answer belongs to.
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
        """Number of bytes of the answer so far."""
        return self._answer.length

    def subscribe(self, link: Link, submit: Submit, accepted: Accepted) -> None:
        """Send a router the answer from its offset, and all later messages.

        Args:
            link: The router's link.
            submit: The router's message, with its attempt and offset.
            accepted: The reply, naming the session and charge that pay.
        """
        subscriber = _Subscriber(link, submit.attempt)
        with self._lock:
            self._subscribers = [
                known for known in self._subscribers if known != subscriber
            ]
            self._orphaned_at = 0
            _send(subscriber, accepted)
            self._send_backlog(subscriber, submit.offset)
            self._subscribers.append(subscriber)

    def unsubscribe(self, link: Link) -> None:
        """Remove a router; without subscribers the run is orphaned."""
        with self._lock:
            previous_count = len(self._subscribers)
            self._subscribers = [
                subscriber
                for subscriber in self._subscribers
                if subscriber.link != link
            ]
            if previous_count and not self._subscribers:
                self._orphaned_at = time.time()

    def is_orphaned(self, since: float) -> bool:
        """Whether there was no subscriber since before a Unix time."""
        with self._lock:
            return bool(self._orphaned_at) and self._orphaned_at < since

    def set_head(self, head: Head) -> None:
        """Store status and headers and send them to all subscribers."""
        with self._lock:
            self.head = head
            self._send_all(head)

    def append(self, payload: bytes) -> None:
        """Store the next bytes and send them to all subscribers."""
        with self._lock:
            offset = self._answer.append(payload)
            for subscriber in self._subscribers:
                _send(
                    subscriber,
                    Chunk(self._request_id, subscriber.attempt, offset, payload),
                )

    def finish(self, end: End) -> None:
        """Store the message that ends the run and send it to all subscribers."""
        with self._lock:
            self.end = end
            self._send_all(end)
            # Set after the send: a stopping agent closes its links once no run is open.
            self.ended_at = time.time()

    def _send_backlog(self, subscriber: _Subscriber, offset: int) -> None:
        if self.head is not None:
            _send(subscriber, replace(self.head, attempt=subscriber.attempt))
        backlog = self._answer.read_from(offset)
        for start in range(0, len(backlog), _MAX_CHUNK_BYTES):
            chunk = backlog[start : start + _MAX_CHUNK_BYTES]
            attempt = subscriber.attempt
            _send(subscriber, Chunk(self._request_id, attempt, offset + start, chunk))
        if self.end is not None:
            _send(subscriber, replace(self.end, attempt=subscriber.attempt))

    def _send_all(self, message: Head | End) -> None:
        for subscriber in self._subscribers:
            _send(subscriber, replace(message, attempt=subscriber.attempt))


def _send(subscriber: _Subscriber, message: Message) -> None:
    try:
        subscriber.link.send(message)
    except LinkClosed:
        # The link's own thread detects the closed link and unsubscribes the router.
        return
