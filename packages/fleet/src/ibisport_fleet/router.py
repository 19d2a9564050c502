"""Assembles a router process from its components and runs it."""

import asyncio
from collections.abc import Coroutine

from ibisport_fleet.adapters import Adapters
from ibisport_fleet.budgets import Budgets
from ibisport_fleet.call_handler import CallHandler
from ibisport_fleet.caller_server import CallerServer
from ibisport_fleet.clocks import read_boot_clock
from ibisport_fleet.dependencies import Dependencies
from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.load_feed.feeds import LoadFeeds
from ibisport_fleet.loans import LoanClient, LoanServer
from ibisport_fleet.membership import Membership
from ibisport_fleet.metrics import Metrics
from ibisport_fleet.overload.resources import Resources
from ibisport_fleet.peers import PeerServer
from ibisport_fleet.prefix_watch import PrefixWatch, Subscriber, SubscriberGroup
from ibisport_fleet.quarantine.fatal_requests import FatalRequests
from ibisport_fleet.readiness import ReadinessServer
from ibisport_fleet.request_recorder import RequestRecorder
from ibisport_fleet.router_links import build_router_links
from ibisport_fleet.settings import Feature, HostSettings
from ibisport_fleet.shutdown import Shutdown, plan_shutdown
from ibisport_fleet.store_contact import StoreContact
from ibisport_fleet.store_paths import RelayEndpoint, StorePaths
from ibisport_fleet.stream_versions.directory import build_stream_directory
from ibisport_fleet.target_client import TargetClient
from ibisport_fleet.target_holds import build_target_holds
from ibisport_fleet.watch_schedule import WatchSchedule, plan_router_watch

# Connections that the kernel queues before it drops new ones.
BACKLOG = 1_024
POLL_INTERVAL_SECONDS = 0.1
# The probe is a stale read, which costs a tenth of a call.
PROBE_INTERVAL_SECONDS = 0.5
# The probe's timer of half a second is later than this only if the process was
# suspended; a busy event loop runs it sooner.
MAX_LOOP_DELAY_SECONDS = 1.0
# A list is read by calls that wait for changes one after the other, so its last answer
# may have begun that long ago although it is current.
LIST_AGE_FACTOR = 2.0


class Router:
    """One router process.

    Attributes:
        stopping: Whether it was asked to stop and is no longer ready.
        failed: Whether it stops because a background task ended; it should restart.
    """

    def __init__(
        self, settings: HostSettings, adapters: Adapters, log: EventLog
    ) -> None:
        self.stopping = False
        self.failed = False
        self._settings = settings
        self._adapters = adapters
        self._log = log
        self._last_tick_at = read_boot_clock()
        self._shutdown_planned: asyncio.Future[Shutdown] = (
            asyncio.get_running_loop().create_future()
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._listed_prefixes: set[str] = set()
        self._watches: dict[str, PrefixWatch] = {}
        self._store_contact = StoreContact(asyncio.get_running_loop().time())
        self._catalogue = CatalogueView(
            adapters.catalogue_key, adapters.decode_catalogue, log
        )
        self._targets = TargetView(
            adapters.decode_target, adapters.parse_incarnation, log
        )
        self._store_paths = StorePaths(
            settings.store_address, settings.domain, self._list_relays
        )
        self._store = adapters.open_store(self._store_paths, log)
        self._metrics = Metrics()
        self._members = Membership(
            settings.host, settings.peer_address, self._store, log, read_boot_clock
        )
        self._links = build_router_links(self._members, settings.peer_address, log)
        self._fatal_requests = FatalRequests(
            self._members,
            self._store,
            self._links.notifier,
            self._links.pool,
            self._targets,
            log,
        )
        self._holds = build_target_holds(
            self._links,
            (self._catalogue, self._targets),
            adapters.evacuation_prefix,
            log,
        )
        self._budgets = Budgets(
            self._members,
            self._store,
            self._catalogue,
            log,
            LoanClient(self._links.peers),
            features=settings.features,
        )
        loans = LoanServer(self._budgets.lend)
        self._streams = build_stream_directory(
            settings,
            self._links,
            self._store,
            (self._catalogue, self._targets),
            self._is_list_current,
            log,
        )
        handlers = {
            **loans.handlers,
            **self._streams.handlers,
            **self._fatal_requests.handlers,
            **self._holds.limits.handlers,
        }
        self._resources = Resources(settings.resources)
        self._peer_server = PeerServer(handlers, self._resources, log)
        self._call_handler = CallHandler(
            Dependencies(
                settings=settings,
                dialect=adapters.dialect,
                catalogue=self._catalogue,
                targets=self._targets,
                target_client=TargetClient(
                    adapters.dialect, self._links.pool, self._holds.limits, self._log
                ),
                budgets=self._budgets,
                recorder=RequestRecorder(log, self._metrics),
                fatal_requests=self._fatal_requests,
                holds=self._holds,
                streams=self._streams,
            )
        )
        self._load_feeds = LoadFeeds(
            settings, self._catalogue, self._targets, self._links.datagrams, log
        )
        self._caller_server = CallerServer(
            self._call_handler,
            self._catalogue,
            adapters.dialect,
            self._resources,
            log,
        )
        self._readiness_server = ReadinessServer(
            self.is_ready, self._dump_metrics, self._resources, log
        )

    @property
    def in_flight(self) -> int:
        """Number of received requests without a final answer."""
        return self._call_handler.in_flight

    def is_ready(self) -> bool:
        """Whether the balancer may open new connections."""
        known = self._catalogue.current is not None and len(self._listed_prefixes) > 1
        on_standby = self._call_handler.standby.is_active
        return known and not self.stopping and not on_standby

    def accept_caller(self) -> asyncio.Protocol:
        """Return the protocol of a caller's new connection."""
        return self._caller_server.connections.accept()

    async def run(self) -> None:
        """Serve until ``stop`` was called and the last answer is written."""
        loop = asyncio.get_running_loop()
        operators = SubscriberGroup((self._catalogue, self._holds.evacuations))
        self._watch(self._adapters.catalogue_prefix, operators)
        self._watch(self._adapters.target_prefix, self._targets)
        background = {
            'probe': self._probe_direct_path(),
            'members': self._members.run(),
            'repaying': self._budgets.run_repayments(),
            'quarantine': self._fatal_requests.run(),
            'builds': self._streams.builds.run(),
            'record pages': self._streams.record_pages.run(),
            'rate shares': self._holds.limits.run(),
            'standby': self._call_handler.standby.run(),
            'datagrams': self._links.datagrams.run(),
        }
        if Feature.load_feed in self._settings.features:
            background['load feeds'] = self._load_feeds.run()
        for name, coroutine in background.items():
            self._spawn(coroutine, name)
        proof_task = self._spawn(self._budgets.run_proof_renewals(), 'proofs')
        budget_task = self._spawn(self._budgets.run(), 'budgets')
        listener = await self._listen()
        self._log.write(
            Event.process_started,
            host=self._settings.host,
            domain=self._settings.domain,
        )
        shutdown = await self._shutdown_planned
        await self._keep_listening(shutdown)
        self._close_listener(listener)
        await self._wait_for_connections(shutdown.settlement_at)
        budget_task.cancel()
        proof_task.cancel()
        await self._finish_shutdown(shutdown)
        self._call_handler.process_ended = True
        self._log.write(
            Event.process_stopped,
            host=self._settings.host,
            cut=self.in_flight,
            end_after=round(loop.time() - shutdown.begun_at, 3),
        )

    async def _listen(self) -> asyncio.Server:
        """Open all listeners; return the one for callers.

        Readiness comes last: a ready router accepts callers.
        """
        loop = asyncio.get_running_loop()
        readiness = self._settings.readiness_address
        callers = self._settings.callers_address
        if readiness is None or callers is None:
            raise RecordInvalid('a router needs addresses for callers and readiness')
        accept = self._caller_server.connections.accept
        listener = await loop.create_server(accept, *callers, backlog=BACKLOG)
        peers = self._peer_server.connections.accept
        await loop.create_server(peers, *self._settings.peer_address, backlog=BACKLOG)
        accept_readiness = self._readiness_server.connections.accept
        for address in (self._settings.metrics_address, readiness):
            await loop.create_server(accept_readiness, *address, backlog=BACKLOG)
        return listener

    def stop(self) -> None:
        """Begin a graceful shutdown; another call has no effect."""
        if self.stopping:
            return
        self._log.write(
            Event.process_stopping,
            host=self._settings.host,
            in_flight=self.in_flight,
        )
        self.stopping = True
        grace = self._settings.bounds.stop_grace
        shutdown = plan_shutdown(self._estimate_signal_time(), grace)
        # Whatever the steps below raise, the process ends in time.
        self._shutdown_planned.set_result(shutdown)
        self._caller_server.stopping = True
        self._call_handler.begin_shutdown(shutdown)
        self._budgets.leave(shutdown)

    def _estimate_signal_time(self) -> float:
        """Return the earliest loop time at which the stop signal may have arrived.

        The grace period begins then. Without this estimate, a process that was
        suspended would plan its last answers for a time after the kill.
        """
        now = asyncio.get_running_loop().time()
        suspended_seconds = read_boot_clock() - self._last_tick_at
        return (
            now - suspended_seconds
            if suspended_seconds > MAX_LOOP_DELAY_SECONDS
            else now
        )

    def reload(self) -> None:
        """Reload the settings without interrupting requests.

        Changed addresses take effect only after a restart.
        """
        try:
            self._settings = self._adapters.load_settings()
        except RecordInvalid as error:
            self._log.write(Event.record_refused, reason=str(error))
            return
        self._call_handler.apply_bounds(self._settings.bounds)
        self._log.write(Event.settings_reloaded, host=self._settings.host)

    async def _probe_direct_path(self) -> None:
        """Return to the direct path to the store as soon as it works."""
        while True:
            self._last_tick_at = read_boot_clock()
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            if not self._store_paths.direct_works and await self._store.probe():
                self._log.write(Event.store_way_regained)

    def _dump_metrics(self) -> bytes:
        for name, level in self._list_states().items():
            self._metrics.set_state(name, level)
        now = asyncio.get_running_loop().time()
        for prefix, watch in self._watches.items():
            self._metrics.set_unconfirmed(prefix, now - watch.confirmed_at)
        for (kind, direct), calls in self._store_paths.attempt_counts.items():
            path = 'straight' if direct else 'relay'
            self._metrics.set_store_calls(kind.value, path, calls)
        return self._metrics.dump()

    def _list_states(self) -> dict[str, float]:
        handler = self._call_handler
        states: dict[str, float] = {
            'targets': len(self._targets.targets),
            'evacuated': len(self._holds.evacuations),
            'in_flight': self.in_flight,
            'paced_engines': handler.paced_engines,
            'spread_parts': handler.spread_parts,
            'connections': len(self._caller_server.connections),
            'rejected_connections': self._caller_server.connections.rejected,
            **self._caller_server.connections.waiting.counts,
            'held_bytes': self._resources.memory.used,
            'evictions': self._resources.memory.evictions,
            'memory_refusals': self._resources.memory.refusals,
            'routers': self._budgets.router_count,
            'straight_way': self._store_paths.direct_works,
            'copies': handler.copies_in_flight,
            'standby': handler.standby.is_active,
            'stream_records': len(self._streams.records),
            'recorded_builds': len(self._streams.builds),
            **self._fatal_requests.counts,
        }
        if handler.gate is not None:
            states['queued'] = handler.gate.queued
            states['queued_bytes'] = handler.gate.queued_bytes
        if Feature.load_feed in self._settings.features:
            states['load_feeds'] = self._load_feeds.count_fresh()
        if self._catalogue.current is not None:
            states['catalogue_version'] = self._catalogue.current.version
        return states

    def _is_list_current(self) -> bool:
        """Return whether the list of targets is current."""
        watch = self._watches[self._adapters.target_prefix]
        age = read_boot_clock() - watch.current_at
        delay = self._settings.bounds.max_propagation_delay
        return age <= LIST_AGE_FACTOR * delay

    def _list_relays(self) -> list[RelayEndpoint]:
        port = self._settings.peer_address[1]
        relays = [
            RelayEndpoint((entry.address[0], port), entry.domain)
            for entry in self._targets.targets.entries
        ]
        return relays

    def _watch(self, prefix: str, subscriber: Subscriber) -> None:
        watch = PrefixWatch(
            self._store,
            prefix,
            subscriber,
            self._log,
            self._store_contact,
            self._plan_watch,
        )
        self._watches[prefix] = watch
        self._spawn(watch.run(lambda: self._listed_prefixes.add(prefix)), prefix)

    def _plan_watch(self) -> WatchSchedule:
        domains = {entry.domain for entry in self._targets.targets.entries}
        bound = self._settings.bounds.max_propagation_delay
        routers = self._members.count if self._members.listed else None
        return plan_router_watch(routers, len(domains), bound)

    async def _close_budgets(self, deadline: float) -> None:
        try:
            async with asyncio.timeout_at(deadline):
                await self._budgets.close()
        except TimeoutError:
            # Tokens that aren't returned count as spent, so no budget is exceeded.
            self._log.write(Event.budget_unknown, reason='not given back in time')

    def _spawn(
        self, coroutine: Coroutine[object, object, None], name: str
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        # The event loop itself keeps only weak references to tasks.
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self._shutdown_planned.done():
            return
        # A background task never returns normally. Without it, the router would go on
        # with a stale catalogue, so the process restarts, but only after the answers
        # in flight are written.
        self._log.write_error(Event.task_failed, task.exception(), task=task.get_name())
        self.failed = True
        self.stop()

    async def _keep_listening(self, shutdown: Shutdown) -> None:
        """Accept new connections for a while after the stop signal.

        Long streams keep the process running for seconds. When all routers stop at
        once, callers have no other router, so requests that can be answered in time
        are accepted meanwhile.
        """
        loop = asyncio.get_running_loop()
        await _sleep_until(shutdown.listening_until)
        while (
            loop.time() < shutdown.settlement_at
            and self._call_handler.serves_any_received_by(shutdown.accepts_until)
        ):
            self._caller_server.close_idle()
            await _sleep_until(loop.time() + POLL_INTERVAL_SECONDS)

    def _close_listener(self, listener: asyncio.Server) -> None:
        listener.close()
        self._log.write(
            Event.listener_closed,
            host=self._settings.host,
            in_flight=self.in_flight,
            connections=len(self._caller_server.connections),
        )

    async def _wait_for_connections(self, deadline: float) -> None:
        """Wait until all connections have closed, or until a loop time.

        The number of requests in flight isn't enough: a connection may be new, or its
        request only partly read.
        """
        loop = asyncio.get_running_loop()
        while len(self._caller_server.connections) and loop.time() < deadline:
            self._caller_server.close_idle()
            await _sleep_until(min(deadline, loop.time() + POLL_INTERVAL_SECONDS))

    async def _finish_shutdown(self, shutdown: Shutdown) -> None:
        """Finish the last answers and settle the budgets.

        Streams may last until shortly before the kill, when a slow store might leave
        no time for the only settlement, and all tokens that the process holds would be
        stranded. So the budgets are settled once while streams run, including what
        these may cost, and exactly at the end.
        """
        if len(self._caller_server.connections):
            early_settlement = self._spawn(
                self._close_budgets(shutdown.ends_at), 'accounts'
            )
            await self._wait_for_connections(
                shutdown.answers_until + POLL_INTERVAL_SECONDS
            )
            await early_settlement
        await self._close_budgets(shutdown.ends_at)
        await self._wait_for_flush(shutdown.ends_at)

    async def _wait_for_flush(self, deadline: float) -> None:
        """Wait until all written bytes are flushed, or until a loop time."""
        loop = asyncio.get_running_loop()
        while not self._caller_server.connections.flushed and loop.time() < deadline:
            await _sleep_until(min(deadline, loop.time() + POLL_INTERVAL_SECONDS))


async def _sleep_until(when: float) -> None:
    await asyncio.sleep(when - asyncio.get_running_loop().time())
