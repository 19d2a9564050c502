"""A target on a loopback port that sends scripted replies."""

import asyncio
import re
import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.errors import FleetError
from ibisport_fleet.http_messages import Request
from ibisport_fleet.request_reader import RequestReader

# Makes the kernel reset a connection that is closed, instead of ending it.
EARLY_RESET_SECONDS = 0.1
LINGER_ZERO = struct.pack('ii', 1, 0)


class _TargetChannel(Channel):
    """A channel that can be reset."""

    def reset(self) -> None:
        """Reset the connection: the peer gets an error instead of an end."""
        raw = self._require_transport().get_extra_info('socket')
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.abort()

    def end_writing(self) -> None:
        """Close the sending half, and read no more."""
        transport = self._require_transport()
        transport.pause_reading()
        transport.write_eof()


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply of the target to one request.

    Attributes:
        pieces: Bytes to send, in order; ``{id}`` is replaced by the attempt id of
            the request.
        pause: Seconds to wait before each piece.
        ends: The connection is closed after the last piece.
        resets: The connection is reset after the last piece.
        early: It is sent before the body of the request is read, which never happens;
            then the sending half of the connection is closed, and a moment later the
            connection is reset.
    """

    pieces: Sequence[bytes]
    pause: float = 0.0
    ends: bool = False
    resets: bool = False
    early: bool = False


@dataclass(slots=True)
class ScriptedTarget:
    """A target that records its requests.

    Attributes:
        replies: Reply to each request, in order; the last reply is repeated.
        requests: Received requests.
        cancelled: Number of requests whose connection ended before their reply did.
        sent: Number of pieces written, over all replies.
        address: Host and port on which the target listens.
    """

    replies: list[Reply]
    requests: list[Request] = field(default_factory=list)
    cancelled: int = 0
    sent: int = 0
    address: tuple[str, int] = ('', 0)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _TargetChannel(self._open), '127.0.0.1', 0
        )
        self.address = server.sockets[0].getsockname()

    def _open(self, channel: Channel) -> None:
        assert isinstance(channel, _TargetChannel)
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel: _TargetChannel) -> None:
        if self._find_reply().early:
            await self._reply_early(channel)
            return
        reader = RequestReader(channel, Limits)
        try:
            while (request := await reader.read()) is not None:
                await self._reply(request, channel)
        except FleetError:
            # The router reset the connection, so there is nothing to answer.
            return

    def _find_reply(self) -> Reply:
        """Return the reply to the next request."""
        return self.replies[min(len(self.requests), len(self.replies) - 1)]

    async def _reply_early(self, channel: _TargetChannel) -> None:
        head = await channel.read()
        request_id = re.findall(rb'(?i)attempt-id: (\S+)', head)[0]
        for piece in self._find_reply().pieces:
            channel.write(piece.replace(b'{id}', request_id))
        channel.end_writing()
        await asyncio.sleep(EARLY_RESET_SECONDS)
        channel.reset()

    async def _reply(self, request: Request, channel: _TargetChannel) -> None:
        reply = self._find_reply()
        self.requests.append(request)
        request_id = request.find(b'attempt-id') or b''
        for piece in reply.pieces:
            await asyncio.sleep(reply.pause)
            if channel.ended:
                self.cancelled += 1
                return
            channel.write(piece.replace(b'{id}', request_id))
            self.sent += 1
        await asyncio.sleep(0)
        if reply.resets:
            await asyncio.sleep(0.02)
            channel.reset()
        elif reply.ends:
            channel.close()
