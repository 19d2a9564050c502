"""Tracks answers of those that can give this router tokens."""

import asyncio
import math
from collections.abc import Callable

# Routers answer each other within some ms. A link that is full answers seconds late,
# and most requests behind it are refused although all answers arrive in the end.
MAX_ANSWER_SECONDS = 0.3


class TokenContact:
    """When a lender, or the store for a write, last answered this router.

    Attributes:
        on_answer: Called with each answer, if set.
    """

    def __init__(self) -> None:
        self.on_answer: Callable[[], None] | None = None
        self._answered_at = -math.inf

    def record_answer(self, asked_at: float) -> None:
        """Record an answer that arrives now, unless it is late.

        Args:
            asked_at: Loop time at which it was asked for.
        """
        now = asyncio.get_running_loop().time()
        if now - asked_at > MAX_ANSWER_SECONDS:
            return
        self._answered_at = now
        if self.on_answer is not None:
            self.on_answer()

    def is_lost_since(self, moment: float) -> bool:
        """Return whether nobody has answered since a loop time."""
        return self._answered_at < moment
