"""Lets connections whose bytes are costly to parse take turns."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Parts of a message in one slice of bytes above which the next one waits for its turn.
MAX_PARTS_PER_SLICE = 256


class ParsingTurns:
    """Parses one costly slice of bytes in each iteration of the event loop.

    Chunks of one byte cost a hundred times as much for each byte as long ones.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    @asynccontextmanager
    async def take(self) -> AsyncIterator[None]:
        """Wait for a turn; all other work runs before it."""
        async with self._lock:
            await asyncio.sleep(0)
            yield
