"""Looks for the end of a connection that the event loop doesn't read."""

import asyncio
from collections.abc import Callable

INTERVAL_SECONDS = 0.2


class EndPoll:
    """Asks for the end of one connection at intervals.

    It refers to the connection only from ``begin`` to the end or to ``cancel``.
    """

    def __init__(self) -> None:
        self._timer: asyncio.TimerHandle | None = None

    def begin(
        self, has_ended: Callable[[], bool], handle_end: Callable[[], None]
    ) -> None:
        """Ask after each interval until the connection has ended.

        Args:
            has_ended: Returns whether the peer has ended the connection.
            handle_end: Called once it has.
        """
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            INTERVAL_SECONDS, self._ask, has_ended, handle_end
        )

    def cancel(self) -> None:
        """Stop asking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _ask(
        self, has_ended: Callable[[], bool], handle_end: Callable[[], None]
    ) -> None:
        if has_ended():
            self._timer = None
            handle_end()
        else:
            self.begin(has_ended, handle_end)
