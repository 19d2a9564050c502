"""Runs of requests in the engine, as reported to checkers."""

import hashlib
import time
from dataclasses import dataclass, field
from typing import Any

from ibisport_bench.standins.engine.messages import Prompt

PROMPT_HEAD_CHARACTERS = 80


@dataclass(slots=True, eq=False)
class Run:
    """Execution of a request, updated while it runs.

    Attributes:
        request_id: Value of the X-Request-Id header.
        model: Name of the model.
        prompt: Prompt of the request.
        priority: Lower values run first.
        completion_tokens: Tokens emitted so far.
        finished: Whether the complete answer was emitted.
        cancelled: Whether the run ended before the answer was complete.
        started_at: Unix time in seconds at which the run got a slot, or None.
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
        """Record the current time as the start of the run."""
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
        """Return the usage in the format of the completions API."""
        return {
            'prompt_tokens': self.prompt.tokens,
            'completion_tokens': self.completion_tokens,
            'total_tokens': self.prompt.tokens + self.completion_tokens,
        }
