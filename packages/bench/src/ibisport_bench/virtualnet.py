"""An event loop whose connections lie in memory: whole sites in virtual time.

Each end of a connection belongs to a host. What a task opens belongs to the host that
the task runs on, so that one process can end while the others go on.
"""

import asyncio
import contextvars
import errno
import itertools
from collections.abc import Callable, Coroutine
from typing import Any, cast

from ibisport_bench.memorytransport import (
    Address,
    Link,
    MemoryTransport,
    ProtocolFactory,
)
from ibisport_bench.virtualtime import VirtualLoop

FIRST_FREE_PORT = 49_152
_HOST = contextvars.ContextVar('_HOST', default='')


class Listener:
    """What accepts connections to one address; it is its own socket."""

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
        """The host that it belongs to."""
        return self.context.get(_HOST, '')

    def getsockname(self) -> Address:
        """Return the address."""
        return self._address

    def is_serving(self) -> bool:
        """Whether connections are accepted."""
        return self._net.listeners.get(self._address) is self

    def close(self) -> None:
        """Refuse connections from now on; those that stand are kept."""
        if self.is_serving():
            self._net.listeners.pop(self._address)

    async def wait_closed(self) -> None:
        """Return; closing takes no time."""


class VirtualNetwork(VirtualLoop):
    """A loop in virtual time with a network of its own.

    Attributes:
        links: How bytes go from a host to another, where not by a usual link.
        listeners: What accepts connections, by address.
    """

    def __init__(self) -> None:
        super().__init__()
        self.links: dict[tuple[str, str], Link] = {}
        self.listeners: dict[Address, Listener] = {}
        self._endpoints: list[MemoryTransport] = []
        self._tasks: dict[asyncio.Task[Any], str] = {}
        self._ports = itertools.count(FIRST_FREE_PORT)
        # The stubs don't know that a factory may get a context.
        self.set_task_factory(cast(Any, self._make_task))

    def find_link(self, source: str, destination: str) -> Link:
        """Return how bytes go from one host to another."""
        return self.links.get((source, destination)) or Link()

    async def create_server(  # type: ignore[override]
        self, factory: ProtocolFactory, host: str, port: int, **_: Any
    ) -> Listener:
        """Accept connections to an address; port 0 is a free one."""
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
            ConnectionRefusedError: Nobody listens there.
        """
        address, own = (host, port), (_HOST.get(), next(self._ports))
        listener = self.listeners.get(address)
        there = '' if listener is None else listener.host
        await asyncio.sleep(self.find_link(own[0], there).delay)
        if listener is None or not listener.is_serving():
            await asyncio.sleep(self.find_link(there, own[0]).delay)
            raise ConnectionRefusedError(errno.ECONNREFUSED, f'{address} refused')
        theirs = listener.context.run(
            MemoryTransport, self, there, listener.factory, address, own
        )
        ours = MemoryTransport(self, own[0], factory, own, address)
        ours.peer, theirs.peer = theirs, ours
        self._endpoints = [one for one in self._endpoints if not one.disconnected]
        self._endpoints += (ours, theirs)
        listener.context.copy().run(theirs.connect)
        await asyncio.sleep(self.find_link(there, own[0]).delay)
        ours.connect()
        return ours, ours.get_protocol()

    def start_on(self, host: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task on a host; what it starts and opens is that host's too."""
        context = contextvars.copy_context()
        context.run(_HOST.set, host)
        return self.create_task(work, context=context)

    async def run_process(self, host: str, work: Coroutine[Any, Any, Any]) -> None:
        """Do a process's work, then end all that it left, as ``asyncio.run`` does."""
        try:
            await self.start_on(host, work)
        finally:
            left = self._cancel_tasks(host)
            await asyncio.gather(*left, return_exceptions=True)
            self._close_connections(host)

    def kill(self, host: str) -> None:
        """End a process at once: none of its tasks can say anything more."""
        self._close_connections(host)
        self._cancel_tasks(host)

    def _close_connections(self, host: str) -> None:
        for listener in tuple(self.listeners.values()):
            if listener.host == host:
                listener.close()
        for end in self._endpoints:
            if end.host == host:
                end.close_on_exit()

    def _cancel_tasks(self, host: str) -> list[asyncio.Task[Any]]:
        tasks = [task for task, where in self._tasks.items() if where == host]
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
        where = contextvars.copy_context() if context is None else context
        self._tasks[task] = where.get(_HOST, '')
        task.add_done_callback(self._tasks.pop)
        return task


def run_on_net(play: Callable[[VirtualNetwork], Coroutine[Any, Any, Any]]) -> Any:
    """Run a play to its end on a network of its own."""
    with asyncio.Runner(loop_factory=VirtualNetwork) as runner:
        return runner.run(play(cast(VirtualNetwork, runner.get_loop())))
