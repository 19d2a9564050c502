"""Runs the load feed in a relay and in a router."""

import asyncio
import secrets

from ibisport_fleet.addresses import Address
from ibisport_fleet.datagrams import DatagramEndpoint, open_socket
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.load_feed.engine_poller import EnginePoller, ReportCodec
from ibisport_fleet.load_feed.messages import VERSION
from ibisport_fleet.load_feed.publisher import LoadPublisher
from ibisport_fleet.load_feed.subscriptions import FedLoad, FeedSubscriptions
from ibisport_fleet.metadata import TargetLoad
from ibisport_fleet.settings import Feature, HostSettings
from ibisport_fleet.targets import TargetEntry

# Subscriptions are due at any time of a second, so that they don't arrive all at once.
TICK_SECONDS = 0.1
UPDATE_INTERVAL_SECONDS = 1.0
ID_BITS = 63


def uses_relay_feed(settings: HostSettings) -> bool:
    """Return whether a relay's settings switch the feed on and name an engine."""
    return (
        Feature.load_feed in settings.features and settings.engine_address is not None
    )


async def run_relay_feed(
    settings: HostSettings, codec: ReportCodec, log: EventLog
) -> None:
    """Send the load of this host's engine to subscribers, forever.

    Returns at once if the settings name no engine.

    Args:
        settings: The settings of the relay.
        codec: Codec of the engine's reports.
        log: Receives events.
    """
    if settings.engine_address is None:
        return
    publisher = LoadPublisher(secrets.randbits(ID_BITS))
    poller = EnginePoller(settings.engine_address, codec, publisher, log)
    udp = await open_socket(settings.peer_address, poller.handle_datagram, log)
    try:
        await poller.run(udp)
    finally:
        poller.close()
        udp.close()


class LoadFeeds:
    """The feeds of a router: subscribes, and applies reports to targets' health."""

    def __init__(
        self,
        settings: HostSettings,
        catalogue: CatalogueView,
        targets: TargetView,
        endpoint: DatagramEndpoint,
        log: EventLog,
    ) -> None:
        """Prepare without feeds.

        Args:
            settings: The settings of the router.
            catalogue: Tells which services run engines.
            targets: The known targets, whose health is updated.
            endpoint: Sends subscriptions and receives reports.
            log: Receives the start and the loss of feeds.
        """
        self._endpoint = endpoint
        endpoint.add_handler(VERSION, self.handle_datagram)
        self._catalogue = catalogue
        self._targets = targets
        self._log = log
        self._subscriptions = FeedSubscriptions(
            settings.host, secrets.randbits(ID_BITS), settings.peer_address[1]
        )

    def count_fresh(self) -> int:
        """Return the number of targets whose newest report is younger than 1 s."""
        return self._subscriptions.count_fresh(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Keep the feeds of all engines, forever."""
        loop = asyncio.get_running_loop()
        update_at = loop.time()
        while True:
            now = loop.time()
            if now >= update_at:
                self._subscriptions.update(self._list_engines(), now)
                update_at = now + UPDATE_INTERVAL_SECONDS
            for datagram, receiver in self._subscriptions.list_due(now):
                self._endpoint.send(datagram, receiver)
            self._log_changes(now)
            await asyncio.sleep(TICK_SECONDS)

    def handle_datagram(self, datagram: bytes, source: Address) -> None:
        """Apply the report of a datagram to the health of its target."""
        now = asyncio.get_running_loop().time()
        load = self._subscriptions.apply_datagram(datagram, source, now)
        if load is not None:
            apply_fed_load(self._targets, load)

    def _list_engines(self) -> list[TargetEntry]:
        catalogue = self._catalogue.current
        services = () if catalogue is None else catalogue.services.values()
        return [
            candidate.entry
            for service in services
            if service.engine is not None
            for candidate in self._targets.list_candidates(service.name)
        ]

    def _log_changes(self, now: float) -> None:
        for change in self._subscriptions.list_changes(now):
            fields = {'target': change.entry.incarnation}
            if change.started:
                self._log.write(Event.load_feed_started, **fields)
            else:
                silent_seconds = round(change.silent_seconds, 3)
                self._log.write(Event.load_feed_lost, **fields, silent_s=silent_seconds)


def apply_fed_load(targets: TargetView, load: FedLoad) -> None:
    """Apply a report to the health of a target.

    Args:
        targets: The known targets.
        load: The report; ignored if its target doesn't serve any more.
    """
    entry, report = load.entry, load.report
    if not targets.targets.is_serving(entry):
        return
    health = targets.find_health(entry.start_id)
    reported = TargetLoad(
        running=report.running, waiting=report.waiting, slots=entry.slots
    )
    health.record_fed_load(reported, load.measured_at)
    health.memory_use = report.memory_use
    if report.leaving:
        health.leaving = True
        targets.record_leaving(entry)
