"""Keeps idle connections to targets and routers open for reuse."""

import asyncio
from collections import deque

from ibisport_fleet.addresses import Address
from ibisport_fleet.http_connection import HttpConnection, open_http_connection
from ibisport_fleet.overload.answer_charge import IdleCharge

# Idle timeout assumed for a peer that states none; below the idle timeouts of targets.
DEFAULT_IDLE_SECONDS = 3.0
# How often connections that can't be reused any more are closed.
CLOSE_INTERVAL_SECONDS = 1.0
# A connection isn't reused this close to the end of its idle timeout: targets state the
# timeout in whole seconds, and the margin covers rounding and network latency.
IDLE_MARGIN_SECONDS = 1.0


class ConnectionPool:
    """Idle connections by address; the most recently used one is reused first."""

    def __init__(self) -> None:
        self._idle: dict[Address, deque[HttpConnection]] = {}
        self._next_close_at = 0.0

    def acquire_idle(self, address: Address) -> HttpConnection | None:
        """Return a reusable idle connection, or None."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.reusable and connection.idle_until > now:
                connection.charge(None)
                return connection
            connection.close()
        return None

    async def open(self, address: Address, deadline: float) -> HttpConnection:
        """Open a new connection by a deadline in loop time.

        Raises:
            ConnectionFailed: The connection wasn't established; nothing was sent.
        """
        return await open_http_connection(address, deadline)

    def release(self, connection: HttpConnection, idle_seconds: float | None) -> None:
        """Keep a connection for the next request, or close it if it isn't reusable.

        Other connections whose time is over are closed too: no request may ask for
        their addresses again.

        Args:
            connection: A connection whose last answer was read to its end.
            idle_seconds: Idle timeout that the peer stated, if any.
        """
        if not connection.reusable:
            connection.close()
            return
        stated = DEFAULT_IDLE_SECONDS if idle_seconds is None else idle_seconds
        now = asyncio.get_running_loop().time()
        connection.idle_until = now + max(0.0, stated - IDLE_MARGIN_SECONDS)
        connection.charge(IdleCharge())
        self._idle.setdefault(connection.address, deque()).append(connection)
        if now >= self._next_close_at:
            self._next_close_at = now + CLOSE_INTERVAL_SECONDS
            self._close_expired(now)

    def _close_expired(self, now: float) -> None:
        for address, idle in tuple(self._idle.items()):
            kept: deque[HttpConnection] = deque()
            for connection in idle:
                if connection.idle_until > now and not connection.channel.ended:
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                self._idle.pop(address)
