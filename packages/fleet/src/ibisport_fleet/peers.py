"""Messages between routers, over direct HTTP connections."""

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
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.http_messages import Headers, Request
from ibisport_fleet.overload.intake import Intake
from ibisport_fleet.overload.resources import ROUTERS_SHARE, Resources
from ibisport_fleet.request_reader import RequestReader

HEADERS: Headers = ((b'host', b'router'), (b'content-type', b'application/json'))
ANSWER_TEMPLATE = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n'
)
LIMITS = Limits(max_header_bytes=1_024, max_body_bytes=65_536)
# Clients drop idle connections earlier than servers close them.
IDLE_TIMEOUT_SECONDS = 30.0
POOL_IDLE_SECONDS = 20.0
# Connecting takes under 5 ms between failure domains.
CONNECT_TIMEOUT_SECONDS = 0.1

PeerHandler = Callable[[bytes], Awaitable[bytes]]
_Message = TypeVar('_Message')


class PeerClient:
    """Sends messages to other routers over pooled connections."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def ask(
        self, address: Address, path: bytes, content: bytes, deadline: float
    ) -> bytes:
        """Send a message and return the answer.

        Args:
            address: Address at which the other router listens for peers.
            path: Path that identifies the message type.
            content: The encoded message.
            deadline: Loop time until which the answer must be complete.

        Raises:
            PeerUnavailable: No usable answer arrived before the deadline.
        """
        loop = asyncio.get_running_loop()
        connect_deadline = min(deadline, loop.time() + CONNECT_TIMEOUT_SECONDS)
        try:
            connection = self._pool.acquire_idle(address) or await self._pool.open(
                address, connect_deadline
            )
        except ConnectionFailed as error:
            raise PeerUnavailable(repr(error)) from error
        request_line = b'POST %b HTTP/1.1' % path
        try:
            async with asyncio.timeout_at(deadline):
                answer = await connection.request(request_line, HEADERS, content)
        except (ConnectionBroken, TimeoutError) as error:
            connection.close()
            raise PeerUnavailable(repr(error)) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        self._pool.release(connection, POOL_IDLE_SECONDS)
        return answer.body


class PeerServer:
    """Serves messages from other routers.

    Attributes:
        connections: Accepts and tracks the connections of other routers.
    """

    def __init__(
        self,
        handlers: Mapping[bytes, PeerHandler],
        resources: Resources,
        log: EventLog,
    ) -> None:
        """Initialize with the handlers of the message types.

        Args:
            handlers: Handlers by path. Each takes an encoded message and returns the
                encoded answer, or raises a FleetError.
            resources: What the process may use for connections.
            log: Event log for connection failures.
        """
        self._handlers = handlers
        self._intake = Intake(turns=resources.turns, drops_departed=True)
        bounds = resources.bound_listener(ROUTERS_SHARE)
        self.connections = ConnectionTasks(self._serve, 'peers', log, bounds)

    async def _serve(self, channel: Channel) -> None:
        reader = RequestReader(channel, lambda: LIMITS, self._intake)
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS) as timer:
                while (request := await self._read(reader, channel)) is not None:
                    content = await self._handle(request.target, request.body)
                    channel.write(ANSWER_TEMPLATE % len(content) + content)
                    timer.reschedule(
                        asyncio.get_running_loop().time() + IDLE_TIMEOUT_SECONDS
                    )
        except (FleetError, TimeoutError):
            # The peer sees the connection end and turns to another router.
            channel.abort()

    async def _read(self, reader: RequestReader, channel: Channel) -> Request | None:
        with self.connections.waiting.track(channel, reader):
            return await reader.read()

    async def _handle(self, path: bytes, content: bytes) -> bytes:
        handler = self._handlers.get(path)
        if handler is None:
            raise PeerUnavailable(f'unknown message {path!r}')
        return await handler(content)


def decode_message(content: bytes, message_type: type[_Message]) -> _Message:
    """Decode a message of the given type.

    Raises:
        PeerUnavailable: The content is not a valid message of that type.
    """
    try:
        return msgspec.json.decode(content, type=message_type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PeerUnavailable(f'unreadable message: {error!r}') from error
