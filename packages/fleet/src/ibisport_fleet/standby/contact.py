"""Tracks answers of those that can give this router tokens."""

import asyncio
import math
from collections.abc import Callable


class TokenContact:
    """When a lender, or the store for a write, last answered this router.

    Attributes:
        on_answer: Called with each answer, if set.
    """

    def __init__(self) -> None:
        self.on_answer: Callable[[], None] | None = None
        self._answered_at = -math.inf

    def record_answer(self) -> None:
        """Record an answer that arrives now."""
        self._answered_at = asyncio.get_running_loop().time()
        if self.on_answer is not None:
            self.on_answer()

    def is_lost_since(self, moment: float) -> bool:
        """Return whether nobody has answered since a loop time."""
        return self._answered_at < moment
