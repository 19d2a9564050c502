"""The agent process: every request to its target goes through it."""

import socket
import threading
import time

from ibisport_agent.internal.charges import ChargeBook
from ibisport_agent.internal.entry import TargetView
from ibisport_agent.internal.fairness import FairQueue
from ibisport_agent.internal.routerlink import RouterLink
from ibisport_agent.internal.runmetrics import RunMetrics
from ibisport_agent.internal.runs import RunResources
from ibisport_agent.internal.runtable import RunTable
from ibisport_agent.internal.target import TargetClient
from ibisport_core.errors import FrameInvalid, LinkClosed
from ibisport_core.events import Event, log_event
from ibisport_core.identity import make_session
from ibisport_core.internal.clock import read_micros
from ibisport_core.link import Link, open_listener
from ibisport_core.messages import Goodbye, Heartbeat, Load
from ibisport_core.metrics import Metrics, StatusServer
from ibisport_core.settings import AgentSettings

_SWEEP_INTERVAL_SECONDS = 0.5
_STOP_POLL_SECONDS = 0.05


class Agent:
    """Accepts connections from routers and runs their requests at one target."""

    def __init__(self, settings: AgentSettings) -> None:
        """Open the listeners; ``start`` begins to serve connections.

        Args:
            settings: The validated settings.
        """
        self.settings = settings
        self.session = make_session()
        self.metrics = Metrics()
        self.charges = ChargeBook()
        self.queue = FairQueue(settings.slots)
        self.target = TargetClient(settings.target_address, settings.slots * 2)
        observer = RunMetrics(self.metrics, settings.target)
        self.runs = RunTable(
            RunResources(self.queue, self.target, self.charges, observer),
            settings.keep_answers,
            settings.answer_bytes,
        )
        self.view = TargetView(settings.target)
        self.stopping = threading.Event()
        self._links: set[Link] = set()
        self._links_lock = threading.Lock()
        self._listener = open_listener(settings.listen)
        self._status = StatusServer(
            settings.metrics, self.metrics, self._is_ready, self.describe
        )

    @property
    def address(self) -> str:
        """Address that routers connect to, ``host:port``."""
        return '{}:{}'.format(*self._listener.getsockname()[:2])

    @property
    def status_address(self) -> str:
        """Address of the metrics and health endpoints, ``host:port``."""
        return self._status.address

    def start(self) -> None:
        """Start the status server and the background threads."""
        self._status.start()
        for loop in (self._accept_links, self._send_heartbeats, self._sweep):
            threading.Thread(target=loop, name=loop.__name__, daemon=True).start()
        log_event(
            Event.process_started,
            role='agent',
            session=self.session,
            target=self.settings.target,
            address=self.address,
        )

    def drain(self, reason: str) -> None:
        """Refuse new requests and send every router a goodbye."""
        if self.runs.draining:
            return
        self.runs.draining = True
        log_event(Event.target_draining, target=self.settings.target, reason=reason)
        for link in self.list_links():
            self._send(link, Goodbye(reason))

    def resume(self) -> None:
        """Accept new requests again after a cancelled drain, unless stopping."""
        if not self.stopping.is_set():
            self.runs.draining = False

    def stop(self) -> None:
        """Drain, wait up to ``grace`` seconds for open runs, and close."""
        self.stopping.set()
        self.drain('the agent stops')
        deadline = time.monotonic() + self.settings.grace
        while time.monotonic() < deadline and self.runs.count_open():
            time.sleep(_STOP_POLL_SECONDS)
        for link in self.list_links():
            link.drain(time.monotonic() + 1)
            link.close()
        self._listener.close()
        self._status.stop()
        self.target.close()
        log_event(Event.process_stopped, role='agent', session=self.session)

    def list_links(self) -> tuple[Link, ...]:
        """Return the open links to routers."""
        with self._links_lock:
            return tuple(self._links)

    def measure_load(self) -> Load:
        """Return the current load, as sent in heartbeats."""
        load = self.queue.measure()
        return Load(
            running=load.running,
            queued=load.queued,
            queued_tokens=load.queued_tokens,
            slots=load.slots,
            token_rate=load.token_rate,
            draining=self.runs.draining,
            measured_at=read_micros(),
        )

    def describe(self) -> dict[str, object]:
        """Return the agent's state for the status page."""
        load = self.measure_load()
        return {
            'role': 'agent',
            'session': self.session,
            'target': self.settings.target,
            'draining': self.runs.draining,
            'running': load.running,
            'queued': load.queued,
            'queued_tokens': load.queued_tokens,
            'token_rate': load.token_rate,
            'routers': len(self.list_links()),
            'charges': self.charges.count(),
            'entry_revision': self.view.revision,
            'settings': self.settings.describe(),
        }

    def add_link(self, link: Link) -> None:
        """Register a router's link, so that it receives heartbeats."""
        with self._links_lock:
            self._links.add(link)

    def remove_link(self, link: Link) -> None:
        """Remove a router's link; its requests may resume on another link."""
        with self._links_lock:
            self._links.discard(link)
        self.runs.drop_link(link)

    def _accept_links(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve_link, args=(sock,), name='router-link', daemon=True
            ).start()

    def _serve_link(self, sock: socket.socket) -> None:
        try:
            link = Link(sock, self.settings.silence)
        except OSError:
            sock.close()
            return
        try:
            RouterLink(self, link).serve()
        except FrameInvalid as error:
            log_event(Event.frame_refused, peer=link.peer, detail=str(error))
        except LinkClosed as error:
            log_event(Event.link_lost, peer=link.peer, detail=str(error))
        finally:
            link.close()
            self.remove_link(link)

    def _send_heartbeats(self) -> None:
        while not self._listener_closed():
            heartbeat = Heartbeat(
                read_micros(), self.measure_load(), self.view.revision
            )
            for link in self.list_links():
                self._send(link, heartbeat)
            time.sleep(self.settings.heartbeat_every)

    def _sweep(self) -> None:
        while not self._listener_closed():
            self.runs.sweep(self.settings.resume_within)
            time.sleep(_SWEEP_INTERVAL_SECONDS)

    def _listener_closed(self) -> bool:
        return self._listener.fileno() < 0

    def _is_ready(self) -> bool:
        return not self.runs.draining

    def _send(self, link: Link, message: Heartbeat | Goodbye) -> None:
        try:
            link.send(message)
        except LinkClosed:
            # The link's own thread detects the closed link and removes it.
            return
