"""Decides which relays a router subscribes to and which datagrams it uses."""

import heapq
import math
from collections import Counter
from collections.abc import Sequence, Set
from dataclasses import dataclass
from functools import lru_cache

from ibisport_fleet.addresses import Address
from ibisport_fleet.load_feed.messages import (
    EngineReport,
    LoadDatagram,
    Subscription,
    decode_load,
    encode_subscription,
)
from ibisport_fleet.rendezvous import compute_score
from ibisport_fleet.target_choice import MAX_REPORT_AGE_SECONDS
from ibisport_fleet.targets import TargetEntry

# 64 feeds of seven datagrams a second are some 35 kB/s.
MAX_FEEDS = 64
INTERVAL_SECONDS = 1.0
# Subscriptions without any datagram before the interval grows.
MAX_UNANSWERED = 3
# A relay without an engine to ask never answers; one that did is asked more often, so
# that its feed is back soon after a cut.
MAX_INTERVAL_SECONDS = 8.0
MAX_KNOWN_INTERVAL_SECONDS = 2.0
FRESH_SECONDS = 1.0
# Relays send at least every 0.5 s; several datagrams in a row are lost with this gap.
LOST_SECONDS = 2.0
MIN_LOG_INTERVAL_SECONDS = 10.0
# Scores of engines that are kept, since selecting among 12,000 would otherwise hash all
# of their names each second.
MAX_CACHED_SCORES = 16_384
# A check that runs this late follows a suspension of the process: datagrams that
# arrived meanwhile are read after it.
MAX_CHECK_DELAY_SECONDS = 0.5

_compute_score = lru_cache(MAX_CACHED_SCORES)(compute_score)


@dataclass(frozen=True, slots=True)
class FedLoad:
    """A report that applies to a target.

    Attributes:
        entry: The target.
        report: Its state.
        measured_at: Loop time before which the report wasn't made.
    """

    entry: TargetEntry
    report: EngineReport
    measured_at: float


@dataclass(frozen=True, slots=True)
class FeedChange:
    """A feed that started, or that was lost.

    Attributes:
        entry: The target.
        started: Whether datagrams arrive.
        silent_seconds: Time since the last datagram.
    """

    entry: TargetEntry
    started: bool
    silent_seconds: float


@dataclass(slots=True)
class _Feed:
    entry: TargetEntry
    began_at: float
    next_at: float
    unanswered: int = 0
    relay_id: int | None = None
    sequence: int = 0
    measured_at: float = -math.inf
    received_at: float = -math.inf
    logged_started: bool = False
    logged_at: float = -math.inf

    def is_newer(self, datagram: LoadDatagram, measured_at: float) -> bool:
        """Return whether a datagram is newer than the last one that was used.

        Sequence numbers are compared within one relay process; another process may be
        an earlier one, whose datagrams were delayed.
        """
        if datagram.relay_id == self.relay_id:
            return datagram.sequence > self.sequence
        return measured_at > self.measured_at


class FeedSubscriptions:
    """The feeds of one router process, by the addresses of the relays."""

    def __init__(self, host: str, router_id: int, port: int) -> None:
        """Start without feeds.

        Args:
            host: Name of this router's host.
            router_id: Random id of this process; relays return it.
            port: Port of the relays.
        """
        self._host = host
        self._router_id = router_id
        self._port = port
        self._feeds: dict[Address, _Feed] = {}
        self._checked_at = -math.inf
        # Times of the last log lines of feeds that have ended.
        self._logged_at: dict[Address, float] = {}

    def update(self, engines: Sequence[TargetEntry], now: float) -> None:
        """Select the feeds for the current engines.

        Args:
            engines: All engines that accept requests.
            now: Loop time.
        """
        selected = {
            (entry.address[0], self._port): entry
            for entry in select_feeds(self._host, engines)
        }
        self._drop_feeds(self._feeds.keys() - selected.keys(), now)
        for address, entry in selected.items():
            feed = self._feeds.get(address)
            if feed is None:
                logged_at = self._logged_at.pop(address, -math.inf)
                first_at = now + _draw_offset(self._host, entry)
                self._feeds[address] = _Feed(entry, now, first_at, logged_at=logged_at)
                continue
            if feed.entry.start_id != entry.start_id:
                feed.began_at = now
                feed.unanswered = 0
                feed.next_at = min(feed.next_at, now + INTERVAL_SECONDS)
            feed.entry = entry

    def list_due(self, now: float) -> list[tuple[bytes, Address]]:
        """Return the subscriptions to send now, with their receivers."""
        due = [pair for pair in self._feeds.items() if now >= pair[1].next_at]
        if not due:
            return []
        datagram = encode_subscription(Subscription(self._router_id, now))
        for _, feed in due:
            known = feed.relay_id is not None
            feed.next_at = now + compute_interval(feed.unanswered, known=known)
            feed.unanswered += 1
        return [(datagram, address) for address, _ in due]

    def apply_datagram(
        self, datagram: bytes, source: Address, now: float
    ) -> FedLoad | None:
        """Return the report of a datagram; None if it isn't used.

        A report from before this router knew the target's start may be that of a
        process that had the address before.

        Args:
            datagram: Bytes that have arrived.
            source: Address that sent them.
            now: Loop time.
        """
        feed = self._feeds.get(source)
        load = None if feed is None else decode_load(datagram)
        if feed is None or load is None or load.router_id != self._router_id:
            return None
        measured_at = min(now, load.sent_at) - load.age
        if not feed.is_newer(load, measured_at):
            return None
        feed.unanswered = 0
        feed.relay_id = load.relay_id
        feed.sequence = load.sequence
        if now - measured_at > MAX_REPORT_AGE_SECONDS or measured_at < feed.began_at:
            return None
        feed.measured_at = max(feed.measured_at, measured_at)
        feed.received_at = now
        return FedLoad(feed.entry, load.report, measured_at)

    def count_fresh(self, now: float) -> int:
        """Return the number of targets whose newest report is younger than 1 s."""
        return sum(
            now - feed.measured_at < FRESH_SECONDS for feed in self._feeds.values()
        )

    def list_changes(self, now: float) -> list[FeedChange]:
        """Return the feeds to log as started or lost; call this periodically.

        A feed that changes more often is logged once in ten seconds, with its state
        at that time.
        """
        delayed = now - self._checked_at > MAX_CHECK_DELAY_SECONDS
        self._checked_at = now
        changes = []
        for feed in () if delayed else self._feeds.values():
            silent_seconds = now - feed.received_at
            started = silent_seconds <= LOST_SECONDS
            waits = now < feed.logged_at + MIN_LOG_INTERVAL_SECONDS
            if started == feed.logged_started or waits:
                continue
            feed.logged_started = started
            feed.logged_at = now
            changes.append(FeedChange(feed.entry, started, silent_seconds))
        return changes

    def _drop_feeds(self, addresses: Set[Address], now: float) -> None:
        """Drop feeds, and keep the times of their log lines while they matter."""
        for address in addresses:
            self._logged_at[address] = self._feeds.pop(address).logged_at
        self._logged_at = {
            address: logged_at
            for address, logged_at in self._logged_at.items()
            if now < logged_at + MIN_LOG_INTERVAL_SECONDS
        }


def select_feeds(host: str, engines: Sequence[TargetEntry]) -> list[TargetEntry]:
    """Return the engines whose load a router subscribes to.

    A relay asks one engine, so a host with several tells nothing about each of them.
    Rendezvous hashing spreads the routers evenly over the relays, and keeps most feeds
    when engines come and go.

    Args:
        host: Name of the router's host.
        engines: All engines that accept requests.
    """
    counts = Counter(entry.address[0] for entry in engines)
    alone = [entry for entry in engines if counts[entry.address[0]] == 1]
    if len(alone) <= MAX_FEEDS:
        return alone
    return heapq.nlargest(
        MAX_FEEDS, alone, key=lambda entry: _compute_score(host, entry.incarnation)
    )


def compute_interval(unanswered: int, *, known: bool) -> float:
    """Return the time until the next subscription.

    Args:
        unanswered: Subscriptions since the last datagram of the relay.
        known: Whether the relay has sent any datagram to this process.

    Returns:
        Seconds.
    """
    if unanswered < MAX_UNANSWERED:
        return INTERVAL_SECONDS
    growth = 2.0 ** min(unanswered - MAX_UNANSWERED + 1, 8)
    longest = MAX_KNOWN_INTERVAL_SECONDS if known else MAX_INTERVAL_SECONDS
    return min(INTERVAL_SECONDS * growth, longest)


def _draw_offset(host: str, entry: TargetEntry) -> float:
    """Return when in the first second to subscribe, to spread the datagrams."""
    return compute_score(host, entry.incarnation) % 1_000 / 1_000 * INTERVAL_SECONDS
