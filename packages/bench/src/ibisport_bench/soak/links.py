"""A loopback proxy that delays, resets, cuts one way and falls silent."""

import asyncio
from collections.abc import Iterable

CHUNK_BYTES = 65_536
TO_SINK = 'to sink'
TO_SOURCE = 'to source'
DIRECTIONS = (TO_SINK, TO_SOURCE)
Address = tuple[str, int]


class Link:
    """Passes connections to one address on to another.

    Attributes:
        name: What the journal calls it.
        front: Where it listens.
        sink: Where it connects to.
        delay: Seconds by which each piece comes late.
    """

    def __init__(self, name: str, front: Address, sink: Address) -> None:
        self.name = name
        self.listen_address = front
        self.sink = sink
        self.delay = 0.0
        self._flowing = {way: asyncio.Event() for way in DIRECTIONS}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.heal()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.listen_address)

    def close(self) -> None:
        """Take no connection any more; those that stand end with their sinks."""
        if self._server is not None:
            self._server.close()

    def silence(self, ways: Iterable[str]) -> None:
        """Hold back all that goes some ways, also an end."""
        for way in ways:
            self._flowing[way].clear()

    def heal(self) -> None:
        """Pass on again, also what was held back."""
        self.delay = 0.0
        for flowing in self._flowing.values():
            flowing.set()

    def reset(self) -> None:
        """Reset all connections; new ones work."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            sink_reader, sink_writer = await asyncio.open_connection(*self.sink)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, sink_writer}
        self._writers |= pair
        pumps = (
            self._pump(TO_SINK, reader, sink_writer),
            self._pump(TO_SOURCE, sink_reader, writer),
        )
        tasks = [asyncio.ensure_future(pump) for pump in pumps]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self._writers -= pair
            for one in pair:
                one.close()

    async def _pump(
        self, way: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        piece = b'-'
        while piece:
            try:
                piece = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                piece = b''
            if self.delay:
                await asyncio.sleep(self.delay)
            await self._flowing[way].wait()
            if piece and not writer.is_closing():
                writer.write(piece)
        if isinstance(reader.exception(), ConnectionError):
            writer.transport.abort()
