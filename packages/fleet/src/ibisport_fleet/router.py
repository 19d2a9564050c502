"""A router, put together in one place."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from ibisport_fleet.adapters import Adapters
from ibisport_fleet.budgets import Budgets
from ibisport_fleet.callers import CallerServer
from ibisport_fleet.channel import Channel
from ibisport_fleet.clocks import read_boot_clock
from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.fatal_requests import FatalRequests
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.forwarding import Parts
from ibisport_fleet.handling import CallHandler
from ibisport_fleet.loans import LoanClient, LoanServer
from ibisport_fleet.membership import Membership
from ibisport_fleet.metrics import Metrics
from ibisport_fleet.notices import Notifier
from ibisport_fleet.peers import PeerClient, PeerServer
from ibisport_fleet.prefix_watch import PrefixWatch
from ibisport_fleet.readiness import ReadinessServer
from ibisport_fleet.recording import Recorder
from ibisport_fleet.sending import Sender
from ibisport_fleet.settings import HostSettings
from ibisport_fleet.shutdown import Shutdown, plan_shutdown
from ibisport_fleet.store_contact import StoreContact
from ibisport_fleet.store_paths import RelayEndpoint, StorePaths
from ibisport_fleet.target_limits import TargetLimits
from ibisport_fleet.watch_schedule import WatchSchedule, plan_router_watch

# Waiting connections that the system keeps before it drops new ones.
BACKLOG = 1_024
POLL_SECONDS = 0.1
# Stale reads cost a tenth of a call.
PROBE_PERIOD_S = 0.5
# A timer of half a second that is later than this shows a process that stood still; a
# busy loop turns sooner.
LONGEST_TURN_S = 1.0


class Router:
    """One router process.

    Attributes:
        leaving: It was asked to stop and takes no new connections.
        failed: It leaves since a background task ended; it should start again.
    """

    def __init__(
        self, settings: HostSettings, adapters: Adapters, log: EventLog
    ) -> None:
        self.leaving = False
        self.failed = False
        self._settings = settings
        self._adapters = adapters
        self._log = log
        self._alive_at = read_boot_clock()
        self._stopped: asyncio.Future[Shutdown] = (
            asyncio.get_running_loop().create_future()
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._listed: set[str] = set()
        self._watches: dict[str, PrefixWatch] = {}
        self._contact = StoreContact(asyncio.get_running_loop().time())
        self._catalogue = CatalogueView(
            adapters.catalogue_key, adapters.decode_catalogue, log
        )
        self._targets = TargetView(
            adapters.decode_target, adapters.parse_incarnation, log
        )
        self._paths = StorePaths(
            settings.store_address, settings.domain, self._list_relays
        )
        self._store = adapters.open_store(self._paths, log)
        self._pool = ConnectionPool()
        self._metrics = Metrics()
        self._members = Membership(
            settings.host, settings.peer_address, self._store, log, read_boot_clock
        )
        peers = PeerClient(self._pool)
        notifier = Notifier(self._members, peers, log)
        self._fatal = FatalRequests(
            self._members, self._store, notifier, self._pool, self._targets, log
        )
        limits = TargetLimits(self._members, self._targets, notifier, log)
        self._budgets = Budgets(
            self._members, self._store, self._catalogue, log, LoanClient(peers)
        )
        loans = LoanServer(self._budgets.lend)
        handlers = {**loans.handlers, **self._fatal.handlers, **limits.handlers}
        self._peers = PeerServer(handlers, log)
        self._handler = CallHandler(
            Parts(
                settings=settings,
                dialect=adapters.dialect,
                catalogue=self._catalogue,
                targets=self._targets,
                sender=Sender(adapters.dialect, self._pool, limits),
                budgets=self._budgets,
                recorder=Recorder(log, self._metrics),
                fatal=self._fatal,
                limits=limits,
            )
        )
        self._callers = CallerServer(
            self._handler, self._catalogue, adapters.dialect, log
        )
        self._readiness = ReadinessServer(self.is_ready, self._dump_metrics, log)

    @property
    def in_flight(self) -> int:
        """Requests that have come and have no final answer yet."""
        return self._handler.in_flight

    def is_ready(self) -> bool:
        """Whether new connections may come."""
        known = self._catalogue.current is not None and len(self._listed) > 1
        return known and not self.leaving

    def accept_caller(self) -> Channel:
        """Return the protocol of a caller's new connection."""
        return self._callers.connections.accept()

    async def run(self) -> None:
        """Serve until ``stop`` was called and the last answer is given."""
        loop = asyncio.get_running_loop()
        self._watch(self._adapters.catalogue_prefix, self._catalogue)
        self._watch(self._adapters.target_prefix, self._targets)
        background = {
            'probe': self._probe_straight(),
            'members': self._members.run(),
            'repaying': self._budgets.run_repayments(),
            'quarantine': self._fatal.run(),
        }
        for name, work in background.items():
            self._spawn(work, name)
        proving = self._spawn(self._budgets.run_proof_renewals(), 'proofs')
        keeping = self._spawn(self._budgets.run(), 'budgets')
        listener = await self._listen()
        self._log.write(
            Event.process_started,
            host=self._settings.host,
            domain=self._settings.domain,
        )
        shutdown = await self._stopped
        await self._stay_open(shutdown)
        self._close(listener)
        await self._await_callers(shutdown.settlement_at)
        keeping.cancel()
        proving.cancel()
        await self._end(shutdown)
        self._handler.ended = True
        self._log.write(
            Event.process_stopped,
            host=self._settings.host,
            cut=self.in_flight,
            end_after=round(loop.time() - shutdown.begun_at, 3),
        )

    async def _listen(self) -> asyncio.Server:
        """Open all listeners; return the one for callers."""
        loop = asyncio.get_running_loop()
        readiness = self._settings.readiness_address
        callers = self._settings.callers_address
        if readiness is None or callers is None:
            raise RecordInvalid('a router needs addresses for callers and readiness')
        asked = self._readiness.connections.accept
        for address in (readiness, self._settings.metrics_address):
            await loop.create_server(asked, *address, backlog=BACKLOG)
        peers = self._peers.connections.accept
        await loop.create_server(peers, *self._settings.peer_address, backlog=BACKLOG)
        accept = self._callers.connections.accept
        return await loop.create_server(accept, *callers, backlog=BACKLOG)

    def stop(self) -> None:
        """Begin to leave: no new connections, and an end to the old ones."""
        if self.leaving:
            return
        self._log.write(
            Event.process_stopping,
            host=self._settings.host,
            in_flight=self.in_flight,
        )
        self.leaving = True
        grace = self._settings.bounds.stop_grace
        shutdown = plan_shutdown(self._find_signal(), grace)
        self._handler.leave(shutdown)
        self._callers.leaving = True
        self._budgets.leave(shutdown)
        self._stopped.set_result(shutdown)

    def _find_signal(self) -> float:
        """Return the earliest loop time at which the signal may have come.

        The grace runs from then on: a process that stood still would plan its last
        answers for a time after the kill.
        """
        now = asyncio.get_running_loop().time()
        still = read_boot_clock() - self._alive_at
        return now - still if still > LONGEST_TURN_S else now

    def reload(self) -> None:
        """Take changed settings; nothing that runs is cut off.

        Addresses stay as they are until the process starts again.
        """
        try:
            self._settings = self._adapters.load_settings()
        except RecordInvalid as error:
            self._log.write(Event.record_refused, reason=str(error))
            return
        self._handler.take_bounds(self._settings.bounds)
        self._log.write(Event.settings_reloaded, host=self._settings.host)

    async def _probe_straight(self) -> None:
        """Take the straight way to the store again as soon as it works."""
        while True:
            self._alive_at = read_boot_clock()
            await asyncio.sleep(PROBE_PERIOD_S)
            if not self._paths.direct_works and await self._store.probe():
                self._log.write(Event.store_way_regained)

    def _dump_metrics(self) -> bytes:
        catalogue = self._catalogue.current
        self._metrics.set_state('targets', len(self._targets.targets))
        self._metrics.set_state('in_flight', self.in_flight)
        self._metrics.set_state('connections', len(self._callers.connections))
        self._metrics.set_state('routers', self._budgets.router_count)
        self._metrics.set_state('straight_way', self._paths.direct_works)
        for name, count in self._fatal.counts.items():
            self._metrics.set_state(name, count)
        if catalogue is not None:
            self._metrics.set_state('catalogue_version', catalogue.version)
        now = asyncio.get_running_loop().time()
        for prefix, watch in self._watches.items():
            self._metrics.set_unconfirmed(prefix, now - watch.confirmed_at)
        for (kind, straight), calls in self._paths.attempt_counts.items():
            way = 'straight' if straight else 'relay'
            self._metrics.set_store_calls(kind.value, way, calls)
        return self._metrics.dump()

    def _list_relays(self) -> list[RelayEndpoint]:
        port = self._settings.peer_address[1]
        places = [
            RelayEndpoint((entry.address[0], port), entry.domain)
            for entry in self._targets.targets.entries
        ]
        return places

    def _watch(self, prefix: str, follower: CatalogueView | TargetView) -> None:
        watch = PrefixWatch(
            self._store, prefix, follower, self._log, self._contact, self._plan_watch
        )
        self._watches[prefix] = watch
        self._spawn(watch.run(lambda: self._listed.add(prefix)), prefix)

    def _plan_watch(self) -> WatchSchedule:
        domains = {entry.domain for entry in self._targets.targets.entries}
        bound = self._settings.bounds.max_propagation_delay
        routers = self._members.count if self._members.listed else None
        return plan_router_watch(routers, len(domains), bound)

    async def _close_budgets(self, until: float) -> None:
        try:
            async with asyncio.timeout_at(until):
                await self._budgets.close()
        except TimeoutError:
            # What isn't given back counts as spent: the safe side.
            self._log.write(Event.budget_unknown, reason='not given back in time')

    def _spawn(self, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work, name=name)
        # The loop itself keeps no reference to a task.
        self._tasks.add(task)
        task.add_done_callback(self._check_task)
        return task

    def _check_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self._stopped.done():
            return
        # A background task never ends by itself: without it the router would
        # serve on with an old catalogue. Better a new process, but not at the cost of
        # the answers that are on their way.
        self._log.write(
            Event.task_failed, task=task.get_name(), reason=repr(task.exception())
        )
        self.failed = True
        self.stop()

    async def _stay_open(self, shutdown: Shutdown) -> None:
        """Take new connections for a while after the signal.

        Long streams keep the process for seconds. Where all routers leave at once,
        callers have nobody else, so what can be answered in time is taken meanwhile.
        """
        loop = asyncio.get_running_loop()
        await _sleep_until(shutdown.listening_until)
        while loop.time() < shutdown.settlement_at and self._handler.serves_any_from(
            shutdown.accepts_until
        ):
            self._callers.close_idle()
            await _sleep_until(loop.time() + POLL_SECONDS)

    def _close(self, listener: asyncio.Server) -> None:
        listener.close()
        self._log.write(
            Event.listener_closed,
            host=self._settings.host,
            in_flight=self.in_flight,
            connections=len(self._callers.connections),
        )

    async def _await_callers(self, until: float) -> None:
        """Wait until all connections have ended, until a loop time at most.

        A connection may just have come, or its request be half read: what is in
        flight doesn't tell.
        """
        loop = asyncio.get_running_loop()
        while len(self._callers.connections) and loop.time() < until:
            self._callers.close_idle()
            await _sleep_until(min(until, loop.time() + POLL_SECONDS))

    async def _end(self, shutdown: Shutdown) -> None:
        """Give the last answers, and write down what was spent.

        Streams may go on until shortly before the kill, when a slow store might leave
        no time for the only account: all that the process held would be stranded. So
        one is written beside them, with what they may cost, and an exact one at last.
        """
        if len(self._callers.connections):
            early = self._spawn(self._close_budgets(shutdown.ends_at), 'accounts')
            await self._await_callers(shutdown.answers_until + POLL_SECONDS)
            await early
        await self._close_budgets(shutdown.ends_at)
        await self._await_flush(shutdown.ends_at)

    async def _await_flush(self, until: float) -> None:
        """Wait until slow links have taken what was written, until a loop time."""
        loop = asyncio.get_running_loop()
        while not self._callers.connections.flushed and loop.time() < until:
            await _sleep_until(min(until, loop.time() + POLL_SECONDS))


async def _sleep_until(when: float) -> None:
    await asyncio.sleep(when - asyncio.get_running_loop().time())
