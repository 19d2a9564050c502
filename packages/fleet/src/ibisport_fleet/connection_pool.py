"""Connections to targets, kept open between requests."""

import asyncio
from collections import deque

from ibisport_fleet.addresses import Address
from ibisport_fleet.http_connection import HttpConnection, open_http_connection

# Below the idle time-outs that targets state in whole seconds, less a second for
# the way and the rounding.
DEFAULT_IDLE_SECONDS = 3.0
IDLE_MARGIN_SECONDS = 1.0


class ConnectionPool:
    """Idle connections by address, the newest used first."""

    def __init__(self) -> None:
        self._idle: dict[Address, deque[HttpConnection]] = {}

    def acquire_idle(self, address: Address) -> HttpConnection | None:
        """Return an idle connection that is still good, or None."""
        now = asyncio.get_running_loop().time()
        kept = self._idle.get(address)
        while kept:
            exchange = kept.pop()
            if exchange.reusable and exchange.idle_until > now:
                return exchange
            exchange.close()
        return None

    async def open(self, address: Address, deadline: float) -> HttpConnection:
        """Connect anew by a loop time.

        Raises:
            ConnectionFailed: Nothing stands by then; nothing was sent.
        """
        return await open_http_connection(address, deadline)

    def release(self, exchange: HttpConnection, idle_seconds: float | None) -> None:
        """Keep a connection for the next request, or close it if it isn't clean.

        Args:
            exchange: The connection, its last answer read to the end.
            idle_seconds: How long the target keeps it, if it said so.
        """
        if not exchange.reusable:
            exchange.close()
            return
        stated = DEFAULT_IDLE_SECONDS if idle_seconds is None else idle_seconds
        now = asyncio.get_running_loop().time()
        exchange.idle_until = now + max(0.0, stated - IDLE_MARGIN_SECONDS)
        self._idle.setdefault(exchange.address, deque()).append(exchange)
