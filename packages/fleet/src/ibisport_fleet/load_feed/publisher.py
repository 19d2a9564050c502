"""Decides which load datagrams a relay sends to which routers."""

import math
from collections import deque
from dataclasses import dataclass, field

from ibisport_fleet.addresses import Address
from ibisport_fleet.load_feed.messages import (
    EngineReport,
    LoadDatagram,
    Subscription,
    decode_subscription,
    encode_load,
)

POLL_INTERVAL_SECONDS = 0.15
MAX_SILENT_SECONDS = 0.5
SUBSCRIPTION_SECONDS = 3.0
# With 330 routers in front of 12,000 targets a relay has about two subscribers. The
# bound limits a relay to some 430 datagrams a second if all routers choose its engine.
MAX_SUBSCRIBERS = 64
# Subscriptions whose times are compared to estimate a router's clock. Clocks drift by
# less than 2 ms in this many seconds.
MAX_CLOCK_SAMPLES = 16


@dataclass(slots=True)
class _Subscriber:
    router_id: int
    expires_at: float
    clock_offsets: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_CLOCK_SAMPLES)
    )
    sent_state: tuple[int, int, bool] | None = None
    sent_at: float = -math.inf

    def compute_router_time(self, moment: float) -> float:
        """Return the earliest time of a moment by the router's clock.

        A subscription arrives after it was sent, so each one gives a lower bound of
        the difference between the clocks; the one that was fastest gives the tightest.
        """
        return moment + max(self.clock_offsets)


class LoadPublisher:
    """The subscribers of one relay process and what was sent to each.

    All times are seconds of one monotonic clock of the relay.
    """

    def __init__(self, relay_id: int) -> None:
        """Start without subscribers.

        Args:
            relay_id: Random id of this process.
        """
        self._relay_id = relay_id
        self._sequence = 0
        self._subscribers: dict[Address, _Subscriber] = {}

    def apply_subscription(self, datagram: bytes, source: Address, now: float) -> bool:
        """Add or renew a subscription.

        Args:
            datagram: Bytes that have arrived.
            source: Address that sent them.
            now: Current time.

        Returns:
            Whether the sender has a subscription; false if the datagram is unreadable
            or the relay has the maximum number of subscribers.
        """
        subscription = decode_subscription(datagram)
        if subscription is None:
            return False
        subscriber = self._find_subscriber(subscription, source, now)
        if subscriber is None:
            return False
        subscriber.expires_at = now + SUBSCRIPTION_SECONDS
        subscriber.clock_offsets.append(subscription.sent_at - now)
        return True

    def count_subscribers(self, now: float) -> int:
        """Drop expired subscriptions, and return the number of the others."""
        self._subscribers = {
            address: subscriber
            for address, subscriber in self._subscribers.items()
            if now < subscriber.expires_at
        }
        return len(self._subscribers)

    def list_datagrams(
        self, report: EngineReport, measured_at: float, now: float
    ) -> list[tuple[bytes, Address]]:
        """Return the datagrams that are due after a report, with their receivers.

        A receiver gets one if the requests or the state have changed, or if the next
        report would come too late to keep the maximum interval.

        Args:
            report: The engine's newest report.
            measured_at: Time before which the report wasn't made.
            now: Current time.
        """
        self.count_subscribers(now)
        state = (report.running, report.waiting, report.leaving)
        due = [
            (address, subscriber)
            for address, subscriber in self._subscribers.items()
            if state != subscriber.sent_state
            or now + POLL_INTERVAL_SECONDS > subscriber.sent_at + MAX_SILENT_SECONDS
        ]
        datagrams = []
        for address, subscriber in due:
            self._sequence += 1
            subscriber.sent_state = state
            subscriber.sent_at = now
            datagram = LoadDatagram(
                router_id=subscriber.router_id,
                relay_id=self._relay_id,
                sequence=self._sequence,
                sent_at=subscriber.compute_router_time(now),
                age=max(0.0, now - measured_at),
                report=report,
            )
            datagrams.append((encode_load(datagram), address))
        return datagrams

    def _find_subscriber(
        self, subscription: Subscription, source: Address, now: float
    ) -> _Subscriber | None:
        """Return the subscriber at an address; None if there is no room for it."""
        known = self._subscribers.get(source)
        if known is not None and known.router_id == subscription.router_id:
            return known
        if known is None and self.count_subscribers(now) >= MAX_SUBSCRIBERS:
            return None
        # Another process at the same address has another clock and got nothing yet.
        subscriber = _Subscriber(subscription.router_id, now)
        self._subscribers[source] = subscriber
        return subscriber
