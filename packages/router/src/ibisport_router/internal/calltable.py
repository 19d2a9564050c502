"""The calls in flight at one agent."""

import threading
import time

from ibisport_core.messages import Accepted, Chunk, Finished, Head, Refused
from ibisport_router.internal.calls import AgentReplaced, Call, LinkLost

CallMessage = Accepted | Chunk | Finished | Head | Refused


class CallTable:
    """Gives each message to the attempt it belongs to; safe for threads."""

    def __init__(self) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._calls: dict[tuple[bytes, int], Call] = {}
        self._sent_at: list[float] = []

    def __len__(self) -> int:
        """Return how many calls are in flight."""
        return len(self._calls)

    @property
    def reserved_tokens(self) -> int:
        """The most that the calls in flight can cost."""
        with self._lock:
            return sum(call.submit.reserved_tokens for call in self._calls.values())

    @property
    def sent_since_report(self) -> int:
        """Calls sent since the agent measured the load it last reported."""
        return len(self._sent_at)

    def add(self, call: Call) -> None:
        """Take a call's messages from now on."""
        with self._lock:
            self._calls[_make_key(call)] = call
            self._sent_at.append(time.time())

    def remove(self, call: Call) -> None:
        """Take a call out that was not sent."""
        with self._lock:
            self._calls.pop(_make_key(call), None)

    def give(self, message: CallMessage) -> bool:
        """Give a message to its call.

        Returns:
            False when no call in flight waits for it.
        """
        key = (message.request_id, message.attempt)
        with self._lock:
            call = self._calls.get(key)
        if call is None:
            return False
        call.take(message)
        if call.end is not None:
            with self._lock:
                self._calls.pop(key, None)
        return True

    def note_report(self, measured_at: float) -> None:
        """Note that the agent has reported its load of a Unix time."""
        with self._lock:
            self._sent_at = [sent for sent in self._sent_at if sent > measured_at]

    def list_calls(self) -> list[Call]:
        """Return the calls in flight."""
        with self._lock:
            return list(self._calls.values())

    def note_link_lost(self) -> None:
        """Tell every call that the link ended; they stay in flight."""
        for call in self.list_calls():
            call.take(LinkLost())

    def end_all(self) -> None:
        """End every call: the agent's incarnation is gone."""
        self._end(self.list_calls())

    def end_unkeyed(self) -> None:
        """End the calls that no caller can come back for."""
        self._end([call for call in self.list_calls() if not call.submit.keyed])

    def _end(self, calls: list[Call]) -> None:
        for call in calls:
            self.remove(call)
            call.take(AgentReplaced())


def _make_key(call: Call) -> tuple[bytes, int]:
    return (call.submit.request_id, call.submit.attempt)
