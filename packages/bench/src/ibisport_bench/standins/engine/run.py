"""One run of a request in the engine, as told to checkers."""

import hashlib
import time
from dataclasses import dataclass, field
from typing import Any

from ibisport_bench.standins.engine.messages import Prompt

PROMPT_HEAD_CHARACTERS = 80


@dataclass(slots=True, eq=False)
class Run:
    """A request that the engine took in; it changes as it goes on.

    Attributes:
        request_id: Value of the X-Request-Id header.
        model: Name of the model.
        prompt: What is asked.
        priority: Lower goes first.
        completion_tokens: Tokens emitted so far.
        finished: Whether the whole answer was emitted.
        cancelled: Whether it was stopped before.
        started_at: Unix time in seconds of the first step, or None.
    """

    request_id: str
    model: str
    prompt: Prompt
    priority: int
    completion_tokens: int = 0
    finished: bool = False
    cancelled: bool = False
    started_at: float | None = field(default=None)

    def record_start(self) -> None:
        """Note the time of the first step."""
        self.started_at = time.time()

    def describe(self) -> dict[str, Any]:
        """Return the run for ``GET /runs``."""
        text = self.prompt.text
        return {
            'request_id': self.request_id,
            'model': self.model,
            'prompt_hash': hashlib.sha256(text.encode()).hexdigest(),
            'prompt_head': text[:PROMPT_HEAD_CHARACTERS],
            'prompt_tokens': self.prompt.tokens,
            'completion_tokens': self.completion_tokens,
            'finished': self.finished,
            'cancelled': self.cancelled,
            'started_at': self.started_at,
        }

    def describe_usage(self) -> dict[str, int]:
        """Return the usage as the completions API tells it."""
        return {
            'prompt_tokens': self.prompt.tokens,
            'completion_tokens': self.completion_tokens,
            'total_tokens': self.prompt.tokens + self.completion_tokens,
        }
