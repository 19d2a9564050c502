"""A router: takes callers' requests in and brings whole answers back."""

import random
import threading
import time
from collections import defaultdict

from ibisport_core.entries import EntryKind, TargetEntry, TargetState
from ibisport_core.errors import Refusal, SessionFenced, StoreError
from ibisport_core.events import Event, log_event
from ibisport_core.internal.clock import read_micros
from ibisport_core.messages import Heartbeat, Load, Settled
from ibisport_core.metrics import Metrics, StatusServer
from ibisport_core.settings import RouterSettings
from ibisport_core.store import StoreClient
from ibisport_router.internal.agentlink import AgentLink
from ibisport_router.internal.bank import Bank, BankOptions
from ibisport_router.internal.catalogueview import CatalogueView
from ibisport_router.internal.choice import TargetChooser
from ibisport_router.internal.choice_rendezvous import rank_homes
from ibisport_router.internal.claims import Claims
from ibisport_router.internal.gateway import Gateway
from ibisport_router.internal.limits import Limits
from ibisport_router.internal.orders import Order
from ibisport_router.internal.peers import PeerListener, Peers
from ibisport_router.internal.recovery import Recovery
from ibisport_router.internal.retries import RetryBudget
from ibisport_router.internal.session import ListedAgent, Session
from ibisport_router.internal.streamwatch import StreamWatch

_HOMES = 3
_STOP_CHECK_SECONDS = 0.05
_OPEN_RETRY_SECONDS = 0.5


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
        self.recovery = Recovery(self)
        self.claims = Claims(self)
        self.catalogue = CatalogueView(self.store, self._follow_catalogue)
        self.chooser = TargetChooser(
            settings.failure_domain, random.Random(), time.time
        )
        self.limits = Limits(lambda: self.catalogue.current, self.peers.count)
        self.session, self.bank = self._make_session()
        self._links: dict[str, AgentLink] = {}
        self._links_lock = threading.Lock()
        self._retry_budgets: dict[str, RetryBudget] = defaultdict(_make_retry_budget)
        self._gone: set[str] = set()
        self.gateway = Gateway(self)
        self._status = StatusServer(
            settings.metrics, self.metrics, self._is_ready, self.describe
        )

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
            self._keep_session,
            self._settle,
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
        self.catalogue.stopped.set()
        deadline = time.monotonic() + self.settings.grace
        while time.monotonic() < deadline and self._has_work():
            time.sleep(_STOP_CHECK_SECONDS)
        self._close_session()
        for link in self.list_links():
            link.close()
        self.listener.stop()
        self.gateway.stop()
        self._status.stop()
        self.store.close()
        log_event(Event.process_stopped, role='router', session=self.session.name)

    def list_links(self) -> tuple[AgentLink, ...]:
        """Return the links to agents."""
        with self._links_lock:
            return tuple(self._links.values())

    def may_pay(self, incarnation: str) -> bool:
        """Whether paid work may go to an agent incarnation."""
        return self.session.is_open and self.session.is_listed(incarnation)

    def list_agent(self, agent: ListedAgent) -> None:
        """Write an agent into the session record; the keeper tries again."""
        try:
            self.session.list_agents([agent], frozenset())
        except (StoreError, SessionFenced) as error:
            log_event(Event.store_failed, detail=str(error))

    def note_agent_gone(self, incarnation: str) -> None:
        """Note that an agent incarnation has been replaced."""
        self._gone.add(incarnation)

    def choose_link(self, order: Order, tried: tuple[str, ...]) -> AgentLink | None:
        """Return the link to the target that should serve a request.

        A keyed request goes only to its homes, which all routers agree on, so
        that a caller who retries through another router meets its answer.

        Args:
            order: The request.
            tried: Targets that have failed it, in order.

        Returns:
            The link, or None when no target takes work.
        """
        targets = self._list_targets(order)
        links = [self._links[one.name] for one in targets if one.name in self._links]
        if order.keyed:
            names = tuple(link.entry.name for link in links)
            homes = rank_homes(names, order.request_id, _HOMES)
            ranked = [name for name in homes if self._is_usable(name)]
        else:
            candidates = [link.make_candidate() for link in links]
            ranked = self.chooser.rank(candidates, order.affinity, time.time())
        fresh = [name for name in ranked if name not in tried]
        best = next(iter(fresh or ranked), None)
        return None if best is None else self._links[best]

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
        return {
            'role': 'router',
            'session': self.session.name,
            'session_open': self.session.is_open,
            'catalogue_revision': self.catalogue.revision,
            'open_requests': self.gateway.open_requests,
            'peers': self.peers.count(),
            'stranded': self.recovery.stranded,
            'targets': {link.entry.name: link.describe() for link in self.list_links()},
            'budgets': {
                f'{one.workspace}/{one.budget}': one.view()
                for one in self.bank.list_ledgers()
            },
            'settings': self.settings.describe(),
        }

    def _make_session(self) -> tuple[Session, Bank]:
        session = Session(
            self.store,
            self.link_address,
            self.settings.failure_domain,
            self.settings.lease_seconds,
        )
        options = BankOptions(self.settings.grant_horizon, self.settings.idle_after)
        return session, Bank(self.store, session, options, self.peers.recall)

    def _list_targets(self, order: Order) -> tuple[TargetEntry, ...]:
        current = self.catalogue.current
        if order.service:
            return current.list_service_targets(order.pool)
        return current.list_model_targets(order.pool)

    def _is_usable(self, target: str) -> bool:
        candidate = self._links[target].make_candidate()
        return candidate.connected and not candidate.draining

    def _follow_catalogue(self) -> None:
        """Open links to new targets, end those to retired ones, pass news on."""
        entries = self.catalogue.current.list_entries(EntryKind.target)
        wanted = {
            one.name: one
            for one in entries
            if isinstance(one, TargetEntry) and one.state != TargetState.retired
        }
        with self._links_lock:
            for name in set(self._links) - set(wanted):
                self._retire_link(name)
            for name, entry in wanted.items():
                self._update_link(name, entry)
        for link in self.list_links():
            for news in self.catalogue.make_updates(link.entry.name):
                link.send(news)

    def _retire_link(self, name: str) -> None:
        link = self._links.pop(name)
        for news in self.catalogue.make_updates(name):
            link.send(news)
        link.retire()

    def _update_link(self, name: str, entry: TargetEntry) -> None:
        link = self._links.get(name)
        if link is not None and link.entry.agent_address != entry.agent_address:
            self._links.pop(name).retire()
            link = None
        if link is None:
            link = AgentLink(self, entry)
            self._links[name] = link
            link.start()
        link.entry = entry

    def _keep_session(self) -> None:
        """Keep the session open; the task of one thread."""
        pace = self.settings.lease_seconds / 4
        while not self.stopping.is_set():
            pause = pace
            try:
                self._keep_session_once()
            except SessionFenced:
                log_event(Event.session_lost, session=self.session.name)
                self.session, self.bank = self._make_session()
                pause = 0
            except StoreError as error:
                log_event(Event.store_failed, detail=str(error))
                pause = min(pace, _OPEN_RETRY_SECONDS)
            self.stopping.wait(pause)

    def _keep_session_once(self) -> None:
        if self.session.is_open:
            self.session.keep_alive()
        else:
            self.session.open()
            log_event(Event.session_opened, session=self.session.name)
        connected = [link for link in self.list_links() if link.is_connected]
        self.session.list_agents(
            [link.listed for link in connected], self._choose_removable()
        )

    def _choose_removable(self) -> frozenset[str]:
        """Return replaced agents that no unsettled charge can concern."""
        ledgers = self.bank.list_ledgers()
        if self._gone and all(one.is_idle and one.is_settled for one in ledgers):
            removable = frozenset(self._gone)
            self._gone -= removable
            return removable
        return frozenset()

    def _settle(self) -> None:
        """Settle at a fixed pace and tell the agents; the task of one thread."""
        while not self.stopping.wait(self.settings.settle_every):
            self._settle_once()

    def _settle_once(self) -> None:
        bank, session = self.bank, self.session
        try:
            floors = bank.settle()
        except (StoreError, SessionFenced):
            return
        if floors:
            for link in self.list_links():
                link.send(Settled(session.name, floors))

    def _beat(self) -> None:
        while not self.stopping.wait(self.settings.heartbeat_every):
            heartbeat = Heartbeat(read_micros(), Load(), self.catalogue.revision)
            for link in self.list_links():
                link.send(heartbeat)

    def _has_work(self) -> bool:
        if self.gateway.open_requests:
            return True
        return any(not one.is_idle for one in self.bank.list_ledgers())

    def _close_session(self) -> None:
        try:
            self.bank.close()
            self.session.close()
        except (StoreError, SessionFenced) as error:
            log_event(Event.session_lost, detail=str(error))

    def _is_ready(self) -> bool:
        if self.stopping.is_set():
            return False
        return self.session.is_open and self.catalogue.loaded.is_set()


def _make_retry_budget() -> RetryBudget:
    return RetryBudget(random.Random())
