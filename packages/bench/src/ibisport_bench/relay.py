"""A TCP relay that injects connection faults, in-process or as a program.

``python -m ibisport_bench.relay --to 127.0.0.1:8000`` prints ``ready <address>``
and ``ready-control <address>``; the control port accepts ``RelayOrder`` by POST.
"""

import socket
import threading
from http import HTTPStatus

from pydantic import BaseModel, ValidationError

from ibisport_bench.relay_link import BOTH_DIRECTIONS, Direction, RelayLink
from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.web import (
    Answer,
    Call,
    Ready,
    Server,
    answer_json,
    run_server,
)

HOST = '127.0.0.1'
MS_PER_SECOND = 1000
CONNECT_TIMEOUT_SECONDS = 10
LISTEN_BACKLOG = 1024
CONTROL_THREADS = 4


class Relay:
    """Forwards TCP connections to one address and can inject faults.

    Attributes:
        address: ``host:port`` on which the relay listens.
    """

    def __init__(self, target: str, port: int = 0) -> None:
        """Start listening and forwarding.

        Args:
            target: ``host:port`` to forward to.
            port: TCP port on 127.0.0.1; 0 selects a free port.
        """
        host, target_port = target.rsplit(':', 1)
        self._target = (host, int(target_port))
        self._listener = socket.create_server((HOST, port), backlog=LISTEN_BACKLOG)
        self.address = f'{HOST}:{self._listener.getsockname()[1]}'
        self._lock = threading.Lock()
        self._links: list[RelayLink] = []
        self._blackholed: frozenset[Direction] = frozenset()
        self._refusing = False
        self._delay = 0.0
        self._accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Close all open connections; new ones work."""
        for link in self._list_links():
            link.close()

    def silence_existing(
        self, directions: frozenset[Direction] = BOTH_DIRECTIONS
    ) -> None:
        """Stop forwarding on the connections that are open now; new ones work.

        Args:
            directions: Directions in which forwarding stops.
        """
        for link in self._list_links():
            link.silence(directions)

    def blackhole(self, directions: frozenset[Direction] = BOTH_DIRECTIONS) -> None:
        """Stop forwarding on all connections, including new ones.

        Args:
            directions: Directions in which forwarding stops.
        """
        with self._lock:
            self._blackholed = directions
        self.silence_existing(directions)

    def refuse(self, refusing: bool = True) -> None:
        """Set whether new connections are closed immediately."""
        self._refusing = refusing

    def set_delay(self, milliseconds: float) -> None:
        """Delay all bytes on all connections.

        Args:
            milliseconds: Delay in each direction.
        """
        self._delay = milliseconds / MS_PER_SECOND
        for link in self._list_links():
            link.delay = self._delay

    def heal(self) -> None:
        """End all faults and deliver the bytes that were held back."""
        with self._lock:
            self._blackholed = frozenset()
        self._refusing = False
        self.set_delay(0)
        for link in self._list_links():
            link.resume()

    def count(self) -> tuple[int, int]:
        """Return the number of connections accepted so far, and of those open now."""
        return self._accepted, len(self._list_links())

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._refusing = True
        self._listener.close()
        self.cut()

    def _list_links(self) -> list[RelayLink]:
        with self._lock:
            self._links = [link for link in self._links if not link.is_closed()]
            return list(self._links)

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            self._accepted += 1
            if self._refusing:
                client.close()
                continue
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target, CONNECT_TIMEOUT_SECONDS)
        except OSError:
            client.close()
            return
        target.settimeout(None)
        link = RelayLink(client, target, self._delay)
        with self._lock:
            link.silence(self._blackholed)
            self._links.append(link)
        link.start()


class RelayOrder(BaseModel):
    """Body of a control request; omitted fields change nothing.

    Attributes:
        heal: End all faults, before anything else.
        cut: Close all connections.
        silence_existing: Directions in which the connections that are open now stop
            forwarding.
        blackhole: Directions in which all connections stop forwarding.
        refuse: Whether new connections are closed immediately.
        delay_ms: Delay in each direction.
    """

    heal: bool = False
    cut: bool = False
    silence_existing: list[Direction] | None = None
    blackhole: list[Direction] | None = None
    refuse: bool | None = None
    delay_ms: float | None = None


class RelayControl:
    """HTTP application of the control port."""

    def __init__(self, relay: Relay) -> None:
        """Create the application for a relay."""
        self._relay = relay

    def __call__(self, call: Call) -> Answer:
        """Handle a control request; the answer holds the connection counts."""
        if call.method == 'POST':
            try:
                order = RelayOrder.model_validate_json(call.body)
            except ValidationError as error:
                raise CallRejected(str(error), HTTPStatus.BAD_REQUEST, 3) from error
            self._apply(order)
        accepted, opened = self._relay.count()
        return answer_json({'accepted': accepted, 'open': opened})

    def _apply(self, order: RelayOrder) -> None:
        if order.heal:
            self._relay.heal()
        if order.cut:
            self._relay.cut()
        if order.silence_existing is not None:
            self._relay.silence_existing(frozenset(order.silence_existing))
        if order.blackhole is not None:
            self._relay.blackhole(frozenset(order.blackhole))
        if order.refuse is not None:
            self._relay.refuse(order.refuse)
        if order.delay_ms is not None:
            self._relay.set_delay(order.delay_ms)


def make_server(to: str, port: int = 0, control_port: int = 0) -> Server:
    """Create a relay and the server of its control port.

    Args:
        to: ``host:port`` to forward to.
        port: TCP port on 127.0.0.1; 0 selects a free port.
        control_port: TCP port of the control server; 0 selects a free port.
    """
    relay = Relay(to, port)
    ready = Ready('ready-control', (f'ready {relay.address}',))
    return Server(RelayControl(relay), control_port, CONTROL_THREADS, ready)


if __name__ == '__main__':
    run_server(make_server)
