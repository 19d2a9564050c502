"""The connection to one agent: one task that connects, reads and reconnects.

A connection that is silent for longer than the settings allow is replaced; the
requests on it are submitted again at their offsets on the new one, and the
agent goes on where it was. Only a new incarnation of the agent ends them.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ibisport_core.errors import FrameInvalid, LinkClosed, TargetUnavailable
from ibisport_core.events import Event, log_event
from ibisport_core.internal.clock import make_seconds
from ibisport_core.link import Link
from ibisport_core.messages import (
    Accepted,
    Chunk,
    Finished,
    Goodbye,
    Head,
    Heartbeat,
    Load,
    Message,
    Refused,
    Welcome,
)
from ibisport_router.internal.calls import Call
from ibisport_router.internal.calltable import CallTable
from ibisport_router.internal.choice_candidate import Candidate
from ibisport_router.internal.greeting import connect_peer
from ibisport_router.internal.session import ListedAgent

if TYPE_CHECKING:
    from ibisport_core.entries import TargetEntry
    from ibisport_router.router import Router

_CONNECT_SECONDS = 1.0
_RETRY_SECONDS = 0.1
_DRAIN_SECONDS = 0.5
_AWAY_SECONDS = 30.0
_MOST_RETRY_SECONDS = 2.0


@dataclass(slots=True)
class _Peer:
    incarnation: str = ''
    draining: bool = False
    load: Load = field(default_factory=Load)
    heard_at: float = 0


class AgentLink:
    """This router's link to the agent of one target."""

    def __init__(self, router: Router, entry: TargetEntry) -> None:
        """Prepare the link; ``start`` connects.

        Args:
            router: Whose link it is.
            entry: The target's catalogue entry.
        """
        self.entry = entry
        self._router = router
        self._lock = threading.Lock()
        self._link: Link | None = None
        self._peer = _Peer()
        self._calls = CallTable()
        self._closed = threading.Event()
        self._connected = threading.Event()

    def __repr__(self) -> str:
        """Name the target and whether it is connected."""
        return f'AgentLink({self.entry.name}, connected={self.is_connected})'

    @property
    def is_connected(self) -> bool:
        """Whether messages can be sent."""
        return self._connected.is_set()

    @property
    def is_usable(self) -> bool:
        """Whether new paid work can be sent."""
        return self.is_connected and self._may_pay() and not self.is_draining

    @property
    def is_draining(self) -> bool:
        """Whether the agent or the catalogue says that it takes no new work."""
        return self._peer.draining or self.entry.state != 'live'

    @property
    def incarnation(self) -> str:
        """The agent's incarnation as it last greeted."""
        return self._peer.incarnation

    @property
    def listed(self) -> ListedAgent:
        """The agent as it stands in the session's record."""
        return ListedAgent(
            self.entry.name, self.entry.agent_address, self._peer.incarnation
        )

    def start(self) -> None:
        """Connect, and stay connected, in a thread of its own."""
        name = f'agent-{self.entry.name}'
        threading.Thread(target=self._work, name=name, daemon=True).start()

    def close(self) -> None:
        """End the link and its task."""
        self._closed.set()
        link = self._link
        if link is not None:
            link.drain(time.monotonic() + _DRAIN_SECONDS)
            link.close()

    def retire(self) -> None:
        """End the link once the calls on it have ended."""
        name = f'retire-{self.entry.name}'
        threading.Thread(target=self._retire, name=name, daemon=True).start()

    def submit(self, call: Call) -> None:
        """Send a call's request, and take its events from now on.

        Args:
            call: The attempt.

        Raises:
            TargetUnavailable: Nothing was sent: no link, or the agent is not
                in the session's record.
        """
        if not self.is_usable:
            raise TargetUnavailable(f'{self.entry.name} cannot take paid work now')
        self._calls.add(call)
        if not self.send(call.submit):
            self._calls.remove(call)
            raise TargetUnavailable(f'no link to {self.entry.name}')

    def send(self, message: Message) -> bool:
        """Send a message if the link is there; return whether it was queued."""
        link = self._link
        if link is None:
            return False
        try:
            link.send(message)
        except LinkClosed:
            return False
        return True

    def make_candidate(self) -> Candidate:
        """Return what the chooser wants to know."""
        load = self._peer.load
        return Candidate(
            target=self.entry.name,
            failure_domain=self.entry.failure_domain,
            slots=load.slots or self.entry.limits.slots,
            running=load.running,
            queued=load.queued,
            queued_tokens=load.queued_tokens,
            token_rate=load.token_rate,
            measured_at=make_seconds(load.measured_at),
            own_in_flight_tokens=self._calls.reserved_tokens,
            own_in_flight_since_report=self._calls.sent_since_report,
            draining=self.is_draining,
            connected=self.is_connected and self._may_pay(),
        )

    def describe(self) -> dict[str, object]:
        """Return what the router believes of the target."""
        return {
            'connected': self.is_connected,
            'usable': self.is_usable,
            'incarnation': self.incarnation,
            'draining': self.is_draining,
            'calls': len(self._calls),
            'running': self._peer.load.running,
            'queued': self._peer.load.queued,
            'age_seconds': round(time.time() - self._peer.heard_at, 3),
        }

    def _log(self, event: Event, **details: object) -> None:
        """Log what became of the connection, with the ends that it has."""
        log_event(
            event,
            target=self.entry.name,
            address=self.entry.agent_address,
            agent=self.incarnation,
            **details,
        )

    def _may_pay(self) -> bool:
        return self._router.keeper.may_pay(self._peer.incarnation)

    def _retire(self) -> None:
        while self._calls and self.is_connected:
            time.sleep(_RETRY_SECONDS)
        self.close()

    def _work(self) -> None:
        pause = _RETRY_SECONDS
        while not self._closed.is_set():
            try:
                self._serve_once()
                pause = _RETRY_SECONDS
            except (LinkClosed, FrameInvalid) as error:
                if self._link is not None:
                    pause = _RETRY_SECONDS
                    self._log(Event.link_lost, detail=str(error))
            self._drop_link()
            self._give_up_unkeyed()
            self._closed.wait(pause)
            pause = min(pause * 2, _MOST_RETRY_SECONDS)
        self._calls.end_all()
        if self.incarnation:
            self._router.keeper.note_agent_gone(self.incarnation)

    def _serve_once(self) -> None:
        settings = self._router.settings
        link, welcome = connect_peer(
            self._router,
            self.entry.agent_address,
            _CONNECT_SECONDS,
            settings.silence,
        )
        try:
            self._check_target(link, welcome)
            self._open(link, welcome)
            while True:
                self._handle(link.receive())
        finally:
            link.close()

    def _check_target(self, link: Link, welcome: Welcome) -> None:
        if welcome.target != self.entry.name:
            log_event(Event.link_refused, peer=link.peer, target=self.entry.name)
            raise LinkClosed(f'{link.peer} is not the agent of {self.entry.name}')

    def _open(self, link: Link, welcome: Welcome) -> None:
        former = self._peer.incarnation
        self._peer = _Peer(welcome.session, welcome.draining, heard_at=time.time())
        if former not in {'', welcome.session}:
            # Only now: what a link names as its agent's incarnation isn't gone.
            self._router.keeper.note_agent_gone(former)
            self._calls.end_all()
        self._router.keeper.list_agent(self.listed)
        # After the listing, so that the log shows which of the two came first.
        self._log(Event.link_opened)
        link.send(self._router.catalogue.make_update(self.entry.name))
        link.send(self._router.keeper.make_settled())
        with self._lock:
            self._link = link
            for call in self._calls.list_calls():
                link.send(replace(call.submit, offset=call.offset))
            self._connected.set()

    def _handle(self, message: Message) -> None:
        self._peer.heard_at = time.time()
        match message:
            case Chunk() | Head() | Accepted() | Finished() | Refused():
                if not self._calls.give(message):
                    self._router.note_drop()
            case Heartbeat(load=load):
                self._take_load(load)
            case Goodbye():
                self._peer.draining = True
                log_event(Event.peer_draining, target=self.entry.name)
            case _:
                log_event(Event.frame_refused, target=self.entry.name)

    def _take_load(self, load: Load) -> None:
        self._peer.load = load
        self._peer.draining = load.draining
        self._calls.note_report(make_seconds(load.measured_at))

    def _give_up_unkeyed(self) -> None:
        """End the unkeyed calls of an agent that has been away for long.

        It has cancelled them by then, unpaid, as nobody asked for them.
        """
        if time.time() > self._peer.heard_at + _AWAY_SECONDS:
            self._calls.end_unkeyed()

    def _drop_link(self) -> None:
        with self._lock:
            self._connected.clear()
            self._link = None
        self._calls.note_link_lost()
