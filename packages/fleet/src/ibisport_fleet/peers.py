"""Messages between routers, over HTTP on their own links."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import msgspec

from ibisport_fleet.addresses import Address
from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.connection_tasks import ConnectionTasks
from ibisport_fleet.errors import (
    ConnectionBroken,
    ConnectionFailed,
    FleetError,
    PeerUnavailable,
)
from ibisport_fleet.eventlog import EventLog
from ibisport_fleet.http_messages import Headers
from ibisport_fleet.request_reader import RequestReader

HEADERS: Headers = ((b'host', b'router'), (b'content-type', b'application/json'))
ANSWER_TEMPLATE = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n'
)
LIMITS = Limits(max_header_bytes=1_024, max_body_bytes=65_536)
# Servers keep connections open for so long; clients give them up before.
IDLE_TIMEOUT_SECONDS = 30.0
POOL_IDLE_SECONDS = 20.0
# Connecting takes under 5 ms between failure domains.
CONNECT_TIMEOUT_SECONDS = 0.1

PeerHandler = Callable[[bytes], Awaitable[bytes]]
_Message = TypeVar('_Message')


class PeerClient:
    """Asks other routers over kept connections."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def ask(
        self, address: Address, path: bytes, content: bytes, deadline: float
    ) -> bytes:
        """Send a message and return the answer to it.

        Args:
            address: Where the other router listens for peers.
            path: Names the kind of the message.
            content: The message.
            deadline: Loop time until which the answer must be whole.

        Raises:
            PeerUnavailable: No usable answer came by then.
        """
        loop = asyncio.get_running_loop()
        connect_until = min(deadline, loop.time() + CONNECT_TIMEOUT_SECONDS)
        try:
            exchange = self._pool.acquire_idle(address) or await self._pool.open(
                address, connect_until
            )
        except ConnectionFailed as error:
            raise PeerUnavailable(repr(error)) from error
        start = b'POST %b HTTP/1.1' % path
        try:
            async with asyncio.timeout_at(deadline):
                answer = await exchange.request(start, HEADERS, content)
        except (ConnectionBroken, TimeoutError) as error:
            exchange.close()
            raise PeerUnavailable(repr(error)) from error
        except asyncio.CancelledError:
            exchange.close()
            raise
        self._pool.release(exchange, POOL_IDLE_SECONDS)
        return answer.body


class PeerServer:
    """Accepts other routers' connections.

    Attributes:
        connections: The connections of other routers.
    """

    def __init__(self, handlers: Mapping[bytes, PeerHandler], log: EventLog) -> None:
        """Keep what handles each kind of message.

        Args:
            handlers: By path; each gets a message and returns the answer, or raises
                a FleetError.
            log: Where a failure of a connection is written.
        """
        self._handlers = handlers
        self.connections = ConnectionTasks(self._serve, 'peers', log)

    async def _serve(self, channel: Channel) -> None:
        reader = RequestReader(channel, LIMITS)
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS) as timer:
                while (request := await reader.read()) is not None:
                    content = await self._handle(request.target, request.body)
                    channel.write(ANSWER_TEMPLATE % len(content) + content)
                    timer.reschedule(
                        asyncio.get_running_loop().time() + IDLE_TIMEOUT_SECONDS
                    )
        except (FleetError, TimeoutError):
            # The peer sees its connection end and asks elsewhere.
            channel.abort()

    async def _handle(self, path: bytes, content: bytes) -> bytes:
        handler = self._handlers.get(path)
        if handler is None:
            raise PeerUnavailable(f'unknown message {path!r}')
        return await handler(content)


def decode_message(content: bytes, kind: type[_Message]) -> _Message:
    """Return a message of a kind.

    Raises:
        PeerUnavailable: The bytes are no such message.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PeerUnavailable(f'unreadable message: {error!r}') from error
