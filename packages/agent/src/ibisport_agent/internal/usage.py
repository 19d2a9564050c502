"""Reads a target's answer as it passes: is it whole, and what did it cost?

Only events that name ``usage`` are decoded, so a long stream costs one search
a piece.
"""

from dataclasses import dataclass

import orjson

_DONE_PREFIX = b'data: [DONE]'
_USAGE_MARKER = b'"usage"'
_EVENT_END = b'\n\n'
_MAX_PENDING_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens that an answer cost, as the target counted them."""

    prompt_tokens: int
    completion_tokens: int

    @property
    def total(self) -> int:
        """Tokens to bill."""
        return self.prompt_tokens + self.completion_tokens


class UsageReader:
    """Follows one completions answer, streamed or whole."""

    def __init__(self, streamed: bool) -> None:
        """Start before the first byte.

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
        """Whether the stream said that it is whole."""
        return self._done

    @property
    def usage(self) -> Usage | None:
        """The target's count, once it came."""
        return self._usage

    @property
    def events(self) -> int:
        """Events seen so far: a stream's count of tokens, nearly."""
        return self._events

    def feed(self, payload: bytes) -> None:
        """Take the next bytes of the answer."""
        self._pending += payload
        if not self._streamed:
            return
        *events, self._pending = self._pending.split(_EVENT_END)
        self._pending = self._pending[-_MAX_PENDING_BYTES:]
        for event in events:
            self._handle_event(event)

    def finish(self) -> None:
        """Take the end of the answer."""
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
