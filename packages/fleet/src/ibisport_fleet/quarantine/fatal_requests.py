"""Stops sending requests that crash targets.

A router notifies all others of the crashes and answers that it observes. The store
keeps the quarantine.
"""

import time
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.membership import Membership
from ibisport_fleet.notices import Notifier
from ibisport_fleet.peers import PeerHandler, decode_message
from ibisport_fleet.quarantine.crash_detection import CrashDetector
from ibisport_fleet.quarantine.page import QuarantineStore
from ibisport_fleet.quarantine.policy import Quarantine, TargetCrash
from ibisport_fleet.store import Store
from ibisport_fleet.targets import TargetEntry

CRASHES_PATH = b'/ends'
ANSWERS_PATH = b'/answers'
ACKNOWLEDGEMENT = b'{}'


@dataclass(frozen=True, slots=True)
class AnswerNotice:
    """Message to other routers: a suspected request got a complete answer."""

    digest: str


class FatalRequests:
    """Tracks requests that crash targets, together with the other routers."""

    def __init__(
        self,
        members: Membership,
        store: Store,
        notifier: Notifier,
        pool: ConnectionPool,
        targets: TargetView,
        log: EventLog,
    ) -> None:
        """Create an instance with an empty quarantine.

        Args:
            members: The other routers; its listings contain the quarantine page.
            store: Keeps the quarantine page.
            notifier: Sends notices to the other routers.
            pool: Connections to targets.
            targets: Listed targets.
            log: Receives changes of the quarantine.
        """
        self._quarantine = Quarantine(time.time)
        self._quarantine_store = QuarantineStore(self._quarantine, store, log)
        self._notifier = notifier
        self._crash_detector = CrashDetector(pool, targets, log, self._report_crash)
        self._log = log
        members.on_listing = self._quarantine_store.apply_listing

    @property
    def handlers(self) -> Mapping[bytes, PeerHandler]:
        """Handlers of other routers' notices, by path."""
        return {CRASHES_PATH: self._handle_crash, ANSWERS_PATH: self._handle_answer}

    @property
    def counts(self) -> Mapping[str, int]:
        """Numbers of suspected and quarantined requests, for the metrics."""
        quarantine = self._quarantine
        return {
            'suspects': quarantine.suspects,
            'quarantined': len(quarantine.entries),
        }

    async def run(self) -> None:
        """Write changes of the quarantine to the store until cancelled."""
        await self._quarantine_store.run()

    def find_remaining_seconds(self, digest: str) -> float | None:
        """Return how long a request stays quarantined; None: it may be sent."""
        return self._quarantine.find_remaining_seconds(digest)

    def record_break(self, entry: TargetEntry, digest: str) -> None:
        """Record that a connection broke before the request's answer was complete."""
        self._crash_detector.record_break(entry, digest)

    def record_answer(self, digest: str) -> None:
        """Record a complete answer: the request doesn't crash its target."""
        if self._quarantine.record_answer(digest):
            self._lift(digest, own=True)
            notice = msgspec.json.encode(AnswerNotice(digest))
            self._notifier.notify(ANSWERS_PATH, notice)

    def _report_crash(self, crash: TargetCrash) -> None:
        """Apply a crash that this router detected, and notify the other routers."""
        self._notifier.notify(CRASHES_PATH, msgspec.json.encode(crash))
        self._apply_crash(crash, own=True)

    async def _handle_crash(self, content: bytes) -> bytes:
        self._apply_crash(decode_message(content, TargetCrash), own=False)
        return ACKNOWLEDGEMENT

    async def _handle_answer(self, content: bytes) -> bytes:
        digest = decode_message(content, AnswerNotice).digest
        if self._quarantine.record_answer(digest):
            self._lift(digest, own=False)
        return ACKNOWLEDGEMENT

    def _apply_crash(self, crash: TargetCrash, *, own: bool) -> None:
        for digest in self._quarantine.record_crash(crash):
            self._log.write(
                Event.request_quarantined, digest=digest, target=crash.target, own=own
            )
            self._quarantine_store.save(
                digest, self._quarantine.entries[digest], own=own
            )

    def _lift(self, digest: str, *, own: bool) -> None:
        self._log.write(Event.quarantine_lifted, digest=digest, own=own)
        self._quarantine_store.save(digest, None, own=own)
