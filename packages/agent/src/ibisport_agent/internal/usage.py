"""Reads from a target's answer whether it is complete and how many tokens it used.

Only events that contain ``"usage"`` are decoded; every other event costs one
substring search.
"""

from dataclasses import dataclass

import orjson

_DONE_PREFIX = b'data: [DONE]'
_USAGE_MARKER = b'"usage"'
_EVENT_END = b'\n\n'
_MAX_PENDING_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens that an answer used, as counted by the target."""

    prompt_tokens: int
    completion_tokens: int

    @property
    def total(self) -> int:
        """Prompt and completion tokens together, the number to bill."""
        return self.prompt_tokens + self.completion_tokens


class UsageReader:
    """Parses one completions answer, streamed or as a single document."""

    def __init__(self, streamed: bool) -> None:
        """Create a reader for an answer that has not started.

        Args:
            streamed: Whether the answer is a stream of server-sent events.
        """
        self._streamed = streamed
        self._pending = b''
        self._events = 0
        self._done = False
        self._usage: Usage | None = None

    @property
    def done(self) -> bool:
        """Whether the end marker, or a document with a usage, was read."""
        return self._done

    @property
    def usage(self) -> Usage | None:
        """The target's token counts; None until received."""
        return self._usage

    @property
    def events(self) -> int:
        """Number of events so far, roughly one for each token of a stream."""
        return self._events

    def feed(self, payload: bytes) -> None:
        """Parse the next bytes of the answer."""
        self._pending += payload
        if not self._streamed:
            return
        *events, self._pending = self._pending.split(_EVENT_END)
        self._pending = self._pending[-_MAX_PENDING_BYTES:]
        for event in events:
            self._handle_event(event)

    def finish(self) -> None:
        """Parse the document of an answer that is not streamed."""
        if not self._streamed:
            self._usage = _parse_usage(self._pending)
            self._done = self._usage is not None

    def _handle_event(self, event: bytes) -> None:
        if event.startswith(_DONE_PREFIX):
            self._done = True
            return
        self._events += 1
        if _USAGE_MARKER in event:
            self._usage = _parse_usage(event.removeprefix(b'data: ')) or self._usage


def _parse_usage(document: bytes) -> Usage | None:
    try:
        usage = orjson.loads(document)['usage']
        return Usage(int(usage['prompt_tokens']), int(usage['completion_tokens']))
    except (ValueError, KeyError, TypeError):
        return None
