"""A router: takes callers' requests in and brings whole answers back."""

import random
import threading
import time
from collections import defaultdict

from ibisport_core.errors import Refusal
from ibisport_core.events import Event, log_event
from ibisport_core.internal.clock import read_micros
from ibisport_core.messages import Heartbeat, Load
from ibisport_core.metrics import Metrics, StatusServer
from ibisport_core.settings import RouterSettings
from ibisport_core.store import StoreClient
from ibisport_router.internal.bank import Bank
from ibisport_router.internal.catalogueview import CatalogueView
from ibisport_router.internal.claims import Claims
from ibisport_router.internal.gateway import Gateway
from ibisport_router.internal.keeper import SessionKeeper
from ibisport_router.internal.limits import Limits
from ibisport_router.internal.orders import Order
from ibisport_router.internal.peers import PeerListener, Peers
from ibisport_router.internal.recovery import Recovery
from ibisport_router.internal.retries import RetryBudget
from ibisport_router.internal.session import Session
from ibisport_router.internal.streamwatch import StreamWatch
from ibisport_router.internal.targets import Targets

_STOP_CHECK_SECONDS = 0.05


class Router:
    """One router process on an entry host."""

    def __init__(self, settings: RouterSettings) -> None:
        """Open the listeners; ``start`` begins to serve.

        Args:
            settings: The checked settings.
        """
        self.settings = settings
        self.metrics = Metrics()
        self.stopping = threading.Event()
        self.store = StoreClient(settings.store_endpoints, settings.host)
        self.listener = PeerListener(self)
        self.peers = Peers(self)
        self.targets = Targets(self)
        self.catalogue = CatalogueView(self.store, self.targets.follow_catalogue)
        self.keeper = SessionKeeper(self)
        self.recovery = Recovery(self)
        self.claims = Claims(self)
        self.limits = Limits(
            settings.streams, lambda: self.catalogue.current, self.peers.count
        )
        self._retry_budgets: dict[str, RetryBudget] = defaultdict(_make_retry_budget)
        self.gateway = Gateway(self)
        self._status = StatusServer(
            settings.metrics, self.metrics, self._is_ready, self.describe
        )

    @property
    def session(self) -> Session:
        """The session that pays for new work."""
        return self.keeper.session

    @property
    def bank(self) -> Bank:
        """The budgets of the session."""
        return self.keeper.bank

    @property
    def link_address(self) -> str:
        """Where peers connect, ``host:port``."""
        return self.listener.address

    @property
    def status_address(self) -> str:
        """Where metrics and health are served, ``host:port``."""
        return self._status.address

    def start(self) -> None:
        """Serve in threads of its own."""
        self.listener.start()
        self._status.start()
        self.gateway.start()
        for work in (
            self.catalogue.watch,
            self.peers.refresh_catalogue,
            self.recovery.watch,
            self.keeper.keep,
            self.keeper.settle,
            self.claims.group.work,
            self._beat,
        ):
            threading.Thread(target=work, name=work.__name__, daemon=True).start()
        log_event(
            Event.process_started,
            role='router',
            session=self.session.name,
            address=self.gateway.address,
        )

    def stop(self) -> None:
        """Take no new request, finish those in flight, give grants back."""
        self.stopping.set()
        self.keeper.close_soon()
        self.catalogue.stopped.set()
        deadline = time.monotonic() + self.settings.grace
        linger_until = time.monotonic() + self.settings.linger
        while time.monotonic() < linger_until or (
            time.monotonic() < deadline and self._has_work()
        ):
            time.sleep(_STOP_CHECK_SECONDS)
        self.keeper.close()
        self.targets.close()
        self.listener.stop()
        self.gateway.stop()
        self._status.stop()
        self.store.close()
        log_event(Event.process_stopped, role='router', session=self.session.name)

    def find_retry_budget(self, workspace: str) -> RetryBudget:
        """Return the retry budget of a workspace."""
        return self._retry_budgets[workspace]

    def count_retry(self, workspace: str, failure: Refusal) -> None:
        """Count a retry by its reason."""
        labels = {'workspace': workspace, 'code': failure.code}
        self.metrics.count('ibisport_retries_total', labels)

    def note_drop(self) -> None:
        """Count a late, crossed or doubled chunk that was dropped."""
        self.metrics.count('ibisport_dropped_messages_total', {})

    def watch_stream(self, order: Order, started: float) -> StreamWatch:
        """Return the watch that times an answer."""
        labels = {'workspace': order.workspace, 'class': order.class_name}
        return StreamWatch(self.metrics, labels, started)

    def describe(self) -> dict[str, object]:
        """Return what the router believes, for operators."""
        links = self.targets.list_links()
        return {
            'role': 'router',
            'session': self.session.name,
            'session_open': self.session.is_open,
            'catalogue_revision': self.catalogue.revision,
            'open_requests': self.gateway.open_requests,
            'peers': self.peers.count(),
            'stranded': self.recovery.stranded,
            'targets': {link.entry.name: link.describe() for link in links},
            'budgets': {
                f'{one.workspace}/{one.budget}': one.view()
                for one in self.bank.list_ledgers()
            },
            'settings': self.settings.describe(),
        }

    def _beat(self) -> None:
        while not self.stopping.wait(self.settings.heartbeat_every):
            self.targets.send_all(
                Heartbeat(read_micros(), Load(), self.catalogue.revision)
            )

    def _has_work(self) -> bool:
        return bool(self.gateway.open_requests) or not self.keeper.is_idle()

    def _is_ready(self) -> bool:
        if self.stopping.is_set():
            return False
        return self.session.is_open and self.catalogue.loaded.is_set()


def _make_retry_budget() -> RetryBudget:
    return RetryBudget(random.Random())
