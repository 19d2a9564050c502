"""An event loop with an in-memory network, to run whole sites in virtual time.

Each end of a connection belongs to a host. Connections and listeners that a task opens
belong to the host of the task, so that the process of one host can exit while the
others continue.
"""

import asyncio
import contextvars
import errno
import itertools
from collections.abc import Callable, Coroutine
from typing import Any, cast

from ibisport_bench.memory_transport import (
    Address,
    Link,
    MemoryTransport,
    ProtocolFactory,
)
from ibisport_bench.virtual_time import VirtualLoop

FIRST_FREE_PORT = 49_152
_HOST = contextvars.ContextVar('_HOST', default='')


class Listener:
    """Accepts connections to one address.

    ``sockets`` contains the listener itself, which answers ``getsockname`` in place of
    a real socket.
    """

    def __init__(
        self, net: 'VirtualNetwork', address: Address, factory: ProtocolFactory
    ) -> None:
        self.context = contextvars.copy_context()
        self.factory = factory
        self.sockets = (self,)
        self._net = net
        self._address = address

    @property
    def host(self) -> str:
        """The host that the listener belongs to."""
        return self.context.get(_HOST, '')

    def getsockname(self) -> Address:
        """Return the address of the listener."""
        return self._address

    def is_serving(self) -> bool:
        """Tell whether connections are accepted."""
        return self._net.listeners.get(self._address) is self

    def close(self) -> None:
        """Refuse new connections; existing ones stay open."""
        if self.is_serving():
            self._net.listeners.pop(self._address)

    async def wait_closed(self) -> None:
        """Return at once: closing takes no time."""


class VirtualDatagrams:
    """A UDP socket of the network, in place of ``DatagramSocket``.

    Attributes:
        address: IP address and port.
        host: The host that it belongs to.
    """

    def __init__(
        self, address: Address, handle: Callable[[bytes, Address], None]
    ) -> None:
        self.address = address
        self.host = _HOST.get()
        self._net = cast(VirtualNetwork, asyncio.get_running_loop())
        self._handle = handle
        self._net.datagram_sockets[address] = self

    def send(self, datagram: bytes, receiver: Address) -> None:
        """Send a datagram; it is lost if nobody listens."""
        other = self._net.datagram_sockets.get(receiver)
        if other is None:
            return
        delay = self._net.find_link(self.host, other.host).delay
        self._net.call_later(delay, other.receive, datagram, self.address)

    def receive(self, datagram: bytes, source: Address) -> None:
        """Handle a datagram, unless the socket was closed meanwhile."""
        if self._net.datagram_sockets.get(self.address) is self:
            self._handle(datagram, source)

    def close(self) -> None:
        """Receive no more datagrams."""
        if self._net.datagram_sockets.get(self.address) is self:
            del self._net.datagram_sockets[self.address]


class VirtualNetwork(VirtualLoop):
    """An event loop in virtual time with its own network.

    Attributes:
        links: Links by source and destination host; all others have the defaults.
        listeners: Open listeners by address.
        datagram_sockets: Open UDP sockets by address.
    """

    def __init__(self) -> None:
        super().__init__()
        self.links: dict[tuple[str, str], Link] = {}
        self.listeners: dict[Address, Listener] = {}
        self.datagram_sockets: dict[Address, VirtualDatagrams] = {}
        self._endpoints: list[MemoryTransport] = []
        self._tasks: dict[asyncio.Task[Any], str] = {}
        self._ports = itertools.count(FIRST_FREE_PORT)
        # The type stubs don't declare the context argument of a task factory.
        self.set_task_factory(cast(Any, self._make_task))

    def find_link(self, source: str, destination: str) -> Link:
        """Return the link from one host to another."""
        return self.links.get((source, destination)) or Link()

    async def create_server(  # type: ignore[override]
        self, factory: ProtocolFactory, host: str, port: int, **_: Any
    ) -> Listener:
        """Accept connections to an address; port 0 selects a free port."""
        address = host, port or next(self._ports)
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, f'{address} is in use')
        self.listeners[address] = Listener(self, address, factory)
        return self.listeners[address]

    async def create_connection(  # type: ignore[override]
        self, factory: ProtocolFactory, host: str, port: int, **_: Any
    ) -> tuple[MemoryTransport, Any]:
        """Connect to an address.

        Raises:
            ConnectionRefusedError: No listener is open at the address.
        """
        address, local_address = (host, port), (_HOST.get(), next(self._ports))
        listener = self.listeners.get(address)
        peer_host = '' if listener is None else listener.host
        await asyncio.sleep(self.find_link(local_address[0], peer_host).delay)
        if listener is None or not listener.is_serving():
            await asyncio.sleep(self.find_link(peer_host, local_address[0]).delay)
            raise ConnectionRefusedError(errno.ECONNREFUSED, f'{address} refused')
        peer_transport = listener.context.run(
            MemoryTransport, self, peer_host, listener.factory, address, local_address
        )
        transport = MemoryTransport(
            self, local_address[0], factory, local_address, address
        )
        transport.peer, peer_transport.peer = peer_transport, transport
        self._endpoints = [
            endpoint for endpoint in self._endpoints if not endpoint.disconnected
        ]
        self._endpoints += (transport, peer_transport)
        listener.context.copy().run(peer_transport.connect)
        await asyncio.sleep(self.find_link(peer_host, local_address[0]).delay)
        transport.connect()
        return transport, transport.get_protocol()

    def start_on(self, host: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task on a host, which also owns all that the task starts or opens."""
        context = contextvars.copy_context()
        context.run(_HOST.set, host)
        return self.create_task(work, context=context)

    async def run_process(self, host: str, work: Coroutine[Any, Any, Any]) -> None:
        """Run a process to completion, then cancel its remaining tasks.

        Like ``asyncio.run``, it waits for the cancelled tasks; then it closes the
        connections and listeners of the host.
        """
        try:
            await self.start_on(host, work)
        finally:
            cancelled = self._cancel_tasks(host)
            await asyncio.gather(*cancelled, return_exceptions=True)
            self._close_connections(host)

    def kill(self, host: str) -> None:
        """Kill a process: close its connections before its tasks can send anything."""
        self._close_connections(host)
        self._cancel_tasks(host)

    def _close_connections(self, host: str) -> None:
        for listener in tuple(self.listeners.values()):
            if listener.host == host:
                listener.close()
        for endpoint in self._endpoints:
            if endpoint.host == host:
                endpoint.close_on_exit()
        for datagrams in tuple(self.datagram_sockets.values()):
            if datagrams.host == host:
                datagrams.close()

    def _cancel_tasks(self, host: str) -> list[asyncio.Task[Any]]:
        tasks = [task for task, owner in self._tasks.items() if owner == host]
        for task in tasks:
            task.cancel()
        return tasks

    def _make_task(
        self,
        loop: asyncio.AbstractEventLoop,
        work: Coroutine[Any, Any, Any],
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[Any]:
        task = asyncio.Task(work, loop=loop, context=context)
        task_context = contextvars.copy_context() if context is None else context
        self._tasks[task] = task_context.get(_HOST, '')
        task.add_done_callback(self._tasks.pop)
        return task


def run_on_net(main: Callable[[VirtualNetwork], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine function to completion on a new network."""
    with asyncio.Runner(loop_factory=VirtualNetwork) as runner:
        return runner.run(main(cast(VirtualNetwork, runner.get_loop())))
