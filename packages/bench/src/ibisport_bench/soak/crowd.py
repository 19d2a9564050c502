"""Clients that begin requests, seldom finish them, and stay connected."""

import asyncio
import contextlib
import random

from ibisport_bench.soak.callers import SITE_HOST
from ibisport_bench.soak.evidence import read_clock
from ibisport_bench.soak.processes import Host
from ibisport_bench.soak.site import Site

CLIENTS_PER_ROUTER = 12
STAY_SECONDS = (0.5, 6.0)
RETURN_SECONDS = 0.2
HEAD = (
    f'POST /read/crowd HTTP/1.1\r\nHost: {SITE_HOST}\r\n'
    'Authorization: Bearer key-ample\r\n'
).encode()
LENGTH_HEAD = HEAD + b'Content-Length: 4000000\r\n\r\n'
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# What a client sends before it stops.
BEGINNINGS = (
    HEAD,
    LENGTH_HEAD + b'x' * 60_000,
    LENGTH_HEAD + b'x' * 1_000_000,
    CHUNKED_HEAD + b'%x\r\n' % 4_000_000 + b'x' * 100_000,
    CHUNKED_HEAD + b'1\r\nx\r\n' * 10_000,
    b'GET /none HTTP/1.1\r\nHost: none\r\n\r\n' * 500,
)


class Crowd:
    """A crowd at each router of a site.

    Attributes:
        visits: Number of connections that clients opened.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self.visits = 0
        self._hosts = site.routers
        self._random = random.Random(f'crowd {seed}')

    async def press(self, until: float) -> None:
        """Come again and again until a clock time."""
        clients = self._hosts * CLIENTS_PER_ROUTER
        await asyncio.gather(*(self._come_again(host, until) for host in clients))

    async def _come_again(self, host: Host, until: float) -> None:
        while read_clock() < until:
            with contextlib.suppress(OSError, TimeoutError):
                await self._visit(host)
            await asyncio.sleep(RETURN_SECONDS)

    async def _visit(self, host: Host) -> None:
        address = host.settings.callers_address
        if address is None:
            return
        async with asyncio.timeout(self._random.uniform(*STAY_SECONDS)):
            reader, writer = await asyncio.open_connection(*address)
            self.visits += 1
            try:
                writer.write(self._random.choice(BEGINNINGS))
                while not reader.at_eof():
                    await reader.read(len(HEAD))
            finally:
                writer.transport.abort()
