"""Routers among themselves: catalogue news, recalls of spare tokens, probes.

A router keeps standing links to a few peers only, chosen by rendezvous hash,
and opens others when it needs them; so links do not grow with the square of the
fleet.
"""

from __future__ import annotations

import hmac
import itertools
import socket
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisport_core.errors import (
    FrameInvalid,
    LinkClosed,
    SessionFenced,
    StoreError,
)
from ibisport_core.events import Event, log_event
from ibisport_core.internal.clock import read_micros
from ibisport_core.link import Link, open_listener
from ibisport_core.messages import (
    SCHEMA_VERSION,
    CatalogueRequest,
    CatalogueUpdate,
    Heartbeat,
    Hello,
    Load,
    Message,
    Recall,
    RecallDone,
    Welcome,
)
from ibisport_router.internal.choice_rendezvous import order_targets
from ibisport_router.internal.greeting import connect_peer
from ibisport_router.internal.session import (
    LIVE,
    load_session,
    name_alive,
    name_session,
)

if TYPE_CHECKING:
    from ibisport_router.router import Router

_CONNECT_SECONDS = 0.5
_RECALL_SECONDS = 1.5
_STANDING_PEERS = 4
_MOST_RECALLED = 8
_ROUTER = 'router'
# A peer asks its standing peers for news once a second: one that has not greeted
# for so long has gone or has chosen others.
_GREETING_SECONDS = 10.0


class PeerListener:
    """Accepts peers and answers what they ask, a thread for each."""

    def __init__(self, router: Router) -> None:
        """Open the listener; ``start`` serves."""
        self._router = router
        self._socket = open_listener(router.settings.listen)

    @property
    def address(self) -> str:
        """Where peers connect, ``host:port``."""
        return '{}:{}'.format(*self._socket.getsockname()[:2])

    def start(self) -> None:
        """Serve in threads."""
        threading.Thread(target=self._accept, name='peers', daemon=True).start()

    def stop(self) -> None:
        """Close the listener."""
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), name='peer', daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            link = Link(sock, self._router.settings.silence)
        except OSError:
            sock.close()
            return
        try:
            self._serve_link(link)
        except FrameInvalid as error:
            log_event(Event.frame_refused, peer=link.peer, detail=str(error))
        except LinkClosed:
            return
        finally:
            link.close()

    def _serve_link(self, link: Link) -> None:
        hello = link.receive()
        if not (isinstance(hello, Hello) and self._is_welcome(hello)):
            log_event(Event.link_refused, peer=link.peer)
            return
        router = self._router
        if hello.role == _ROUTER:
            router.peers.note_greeting(hello.session, hello.address)
        link.send(
            Welcome(
                SCHEMA_VERSION,
                _ROUTER,
                router.session.name,
                router.settings.failure_domain,
                '',
                router.stopping.is_set(),
            )
        )
        while True:
            answer = self._handle(link.receive())
            if answer is not None:
                link.send(answer)

    def _is_welcome(self, hello: Hello) -> bool:
        if hello.schema_version != SCHEMA_VERSION:
            return False
        secret = self._router.settings.link_secret
        return hmac.compare_digest(hello.secret.encode(), secret.encode())

    def _handle(self, message: Message) -> Message | None:
        match message:
            case CatalogueRequest(known=known):
                return self._router.catalogue.make_news(known)
            case Recall(workspace=workspace, budget=budget, call=call):
                return RecallDone(call, self._give_spare(workspace, budget))
            case Heartbeat():
                return Heartbeat(read_micros(), Load(), self._router.catalogue.revision)
            case _:
                return None

    def _give_spare(self, workspace: str, budget: str) -> int:
        try:
            return self._router.bank.give_spare(workspace, budget)
        except (StoreError, SessionFenced):
            return 0


@dataclass(frozen=True, slots=True)
class _Greeting:
    """A peer that has connected here.

    Attributes:
        address: Where it listens.
        until: Monotonic time up to which it counts as a peer, seconds.
    """

    address: str
    until: float


class Peers:
    """The other routers, as the store's session records name them."""

    def __init__(self, router: Router) -> None:
        """Start knowing nobody."""
        self._router = router
        self._lock = threading.Lock()
        self._addresses: dict[str, str] = {}
        self._greeted: dict[str, _Greeting] = {}
        self._calls = itertools.count(1)

    def note_sessions(self, addresses: dict[str, str]) -> None:
        """Take over which sessions are alive and where they listen.

        Args:
            addresses: Address by session, the own one included.
        """
        with self._lock:
            self._addresses = addresses

    def note_greeting(self, session: str, address: str) -> None:
        """Remember a peer that has connected here.

        A router that is cut off from the store before it has read its peer's session
        learns of the peer in no other way, and got no news until the cut ended.

        Args:
            session: The peer's session.
            address: Where the peer listens.
        """
        greeting = _Greeting(address, time.monotonic() + _GREETING_SECONDS)
        with self._lock:
            self._greeted[session] = greeting

    def count(self) -> int:
        """Return how many routers are known, this one included."""
        with self._lock:
            return max(1, len(self._addresses))

    def refresh_catalogue(self) -> None:
        """Ask one of the standing peers for news; the task of one thread."""
        settings = self._router.settings
        for turn in itertools.count():
            if self._router.stopping.wait(settings.catalogue_every):
                return
            chosen = self._choose_standing()
            if chosen:
                self._ask_catalogue(chosen[turn % len(chosen)])

    def recall(
        self, workspace: str, budget: str, sessions: Iterable[str]
    ) -> tuple[int, int]:
        """Ask sessions to give spare tokens of a budget back.

        Args:
            workspace: The workspace.
            budget: Its budget.
            sessions: Who holds grants of it.

        Returns:
            Tokens that were given back, and how many sessions could be asked.

        Raises:
            StoreError: A session is not known here, and the store does not serve.
        """
        addresses = self._find(sessions)
        returned = [0 for _ in addresses]
        threads = [
            threading.Thread(
                target=self._recall_one,
                args=(address, workspace, budget, returned, index),
                daemon=True,
            )
            for index, address in enumerate(addresses)
        ]
        deadline = time.monotonic() + _RECALL_SECONDS
        for started in threads:
            started.start()
        for waited in threads:
            waited.join(max(0, deadline - time.monotonic()))
        return sum(returned), len(addresses)

    def answers(self, session: str, address: str) -> bool:
        """Whether a session's process answers at its address now."""
        try:
            link, welcome = self._connect(address)
        except (LinkClosed, FrameInvalid):
            return False
        link.close()
        return welcome.session == session

    def _recall_one(
        self, address: str, workspace: str, budget: str, returned: list[int], index: int
    ) -> None:
        call = next(self._calls)
        try:
            link, _ = self._connect(address)
        except (LinkClosed, FrameInvalid):
            return
        try:
            link.send(Recall(workspace, budget, call))
            answer = link.receive()
        except (LinkClosed, FrameInvalid):
            return
        finally:
            link.close()
        if isinstance(answer, RecallDone):
            returned[index] = answer.returned

    def _ask_catalogue(self, address: str) -> None:
        try:
            link, _ = self._connect(address)
        except (LinkClosed, FrameInvalid):
            return
        try:
            link.send(CatalogueRequest(self._router.catalogue.revision))
            link.send(Heartbeat(read_micros(), Load(), 0))
            news = link.receive()
        except (LinkClosed, FrameInvalid):
            return
        finally:
            link.close()
        if isinstance(news, CatalogueUpdate):
            self._router.catalogue.take_update(news)

    def _connect(self, address: str) -> tuple[Link, Welcome]:
        return connect_peer(self._router, address, _CONNECT_SECONDS, _RECALL_SECONDS)

    def _find(self, sessions: Iterable[str]) -> list[str]:
        with self._lock:
            known = self._addresses
        # A peer that started after the last look is in the store, not in what is
        # known: its spare tokens were taken for tokens of requests in flight.
        found = (known.get(one) or self._look_up(one) for one in sessions)
        return list(itertools.islice(filter(None, found), _MOST_RECALLED))

    def _look_up(self, session: str) -> str:
        """Return where a session listens as the store has it, or nothing."""
        store = self._router.store
        if store.read(name_alive(session)) is None:
            return ''
        record = store.read(name_session(session))
        if record is None:
            return ''
        found = load_session(record.content)
        return found.address if found.state == LIVE else ''

    def _choose_standing(self) -> list[str]:
        own = self._router.session.name
        now = time.monotonic()
        with self._lock:
            self._greeted = {
                name: one for name, one in self._greeted.items() if one.until > now
            }
            known = {name: one.address for name, one in self._greeted.items()}
            known |= self._addresses
        others = set(known) - {own}
        ordered = order_targets(others, own.encode())[:_STANDING_PEERS]
        return [known[name] for name in ordered]
