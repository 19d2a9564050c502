"""A loopback proxy that delays, resets or silences connections, also one way."""

import asyncio
from collections.abc import Iterable

CHUNK_BYTES = 65_536
TO_SINK = 'to sink'
TO_SOURCE = 'to source'
DIRECTIONS = (TO_SINK, TO_SOURCE)
Address = tuple[str, int]


class Link:
    """Forwards connections from one address to another.

    Attributes:
        name: Its name in the journal.
        listen_address: Where it listens.
        sink: Where it connects to.
        delay: Seconds by which each chunk is delayed.
    """

    def __init__(self, name: str, listen_address: Address, sink: Address) -> None:
        self.name = name
        self.listen_address = listen_address
        self.sink = sink
        self.delay = 0.0
        self._flowing = {direction: asyncio.Event() for direction in DIRECTIONS}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.heal()

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, *self.listen_address)

    def close(self) -> None:
        """Stop listening; open connections last until their sinks close them."""
        if self._server is not None:
            self._server.close()

    def silence(self, directions: Iterable[str]) -> None:
        """Hold back all data in some directions, and the end of connections."""
        for direction in directions:
            self._flowing[direction].clear()

    def heal(self) -> None:
        """Forward again without delay, starting with what was held back."""
        self.delay = 0.0
        for gate in self._flowing.values():
            gate.set()

    def reset(self) -> None:
        """Reset all open connections; new ones work."""
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
            for end in pair:
                end.close()

    async def _pump(
        self, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        chunk = b'-'
        while chunk:
            try:
                chunk = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                chunk = b''
            if self.delay:
                await asyncio.sleep(self.delay)
            await self._flowing[direction].wait()
            if chunk and not writer.is_closing():
                writer.write(chunk)
        if isinstance(reader.exception(), ConnectionError):
            writer.transport.abort()
