"""One attempt of a request at one agent, as the router's threads share it.

The agent link's thread puts events in; the request's own thread takes them
out. Chunks are accepted only for this attempt and at the offset that is due:
what comes late, twice or crossed is dropped and counted.
"""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ibisport_core.errors import DeadlinePassed, Statement
from ibisport_core.messages import Accepted, Chunk, Finished, Head, Refused, Submit


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link ended; the agent may still hold the request."""


@dataclass(frozen=True, slots=True)
class AgentReplaced:
    """The agent's incarnation is gone, with all it knew."""


CallEvent = Accepted | Head | Chunk | Finished | Refused | LinkLost | AgentReplaced
CallEnd = Finished | Refused | AgentReplaced


@dataclass(slots=True)
class _Progress:
    received: int = 0
    head_seen: bool = False
    accepted: Accepted | None = None
    end: CallEnd | None = None
    sent_on: int = 0


@dataclass(slots=True)
class Call:
    """An attempt in flight.

    Attributes:
        submit: The message that starts it.
        on_end: Called once with the end, on the link's thread.
        on_drop: Called for each chunk that is dropped.
    """

    submit: Submit
    on_end: Callable[['Call', CallEnd], None]
    on_drop: Callable[[], None]
    _events: 'queue.SimpleQueue[CallEvent]' = field(default_factory=queue.SimpleQueue)
    _ahead: CallEvent | None = None
    _progress: _Progress = field(default_factory=_Progress)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def offset(self) -> int:
        """The next byte of the answer that is wanted."""
        return self._progress.received

    @property
    def accepted(self) -> Accepted | None:
        """The agent's word that it holds the request, if it came."""
        return self._progress.accepted

    @property
    def end(self) -> CallEnd | None:
        """How it ended, if it did."""
        return self._progress.end

    def take(self, event: CallEvent) -> None:
        """Take an event from the link's thread."""
        if not self._is_due(event):
            self.on_drop()
            return
        self._events.put(event)
        if isinstance(event, Finished | Refused | AgentReplaced):
            self.on_end(self, event)

    def wait_event(self, seconds: float) -> CallEvent:
        """Return the next event.

        Args:
            seconds: How long to wait at the most.

        Raises:
            DeadlinePassed: None came in time.
        """
        if self._ahead is not None:
            event, self._ahead = self._ahead, None
            return event
        try:
            event = self._events.get(timeout=max(0.001, seconds))
        except queue.Empty:
            known = Statement.outcome_unknown
            raise DeadlinePassed('no answer in time', known) from None
        return self._merge_ready(event) if isinstance(event, Chunk) else event

    def _merge_ready(self, first: Chunk) -> Chunk:
        """Return a chunk with all that are ready behind it, for one write."""
        payloads = [first.payload]
        while self._ahead is None:
            try:
                event = self._events.get_nowait()
            except queue.Empty:
                break
            if isinstance(event, Chunk):
                payloads.append(event.payload)
            else:
                self._ahead = event
        if len(payloads) == 1:
            return first
        return replace(first, payload=b''.join(payloads))

    def _is_due(self, event: CallEvent) -> bool:
        progress = self._progress
        with self._lock:
            if progress.end is not None:
                return False
            match event:
                case Chunk(attempt=attempt, offset=offset, payload=payload):
                    due = (attempt, offset) == (self.submit.attempt, progress.received)
                    progress.received += len(payload) if due else 0
                    return due
                case Head():
                    fresh = not progress.head_seen
                    progress.head_seen = True
                    return fresh and event.attempt == self.submit.attempt
                case Accepted():
                    progress.accepted = event
                    return event.attempt == self.submit.attempt
                case Finished(length=length) if length != progress.received:
                    return False
                case Finished() | Refused() if event.attempt != self.submit.attempt:
                    return False
                case Finished() | Refused() | AgentReplaced():
                    progress.end = event
            return True
