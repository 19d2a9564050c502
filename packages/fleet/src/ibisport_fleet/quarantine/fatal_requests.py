"""Stops sending requests that crash targets.

A router notifies all others of the crashes and answers that it observes. The store
keeps the quarantine.
"""

import asyncio
import random
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from ibisport_fleet.calls import Call
from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.membership import Membership
from ibisport_fleet.notices import Notifier
from ibisport_fleet.peers import PeerHandler, decode_message
from ibisport_fleet.quarantine.crash_detection import CrashDetector
from ibisport_fleet.quarantine.crashes import TargetCrash
from ibisport_fleet.quarantine.keys import is_part
from ibisport_fleet.quarantine.page import QuarantineStore
from ibisport_fleet.quarantine.policy import Findings, LiftReason, Quarantine
from ibisport_fleet.rendezvous import compute_score
from ibisport_fleet.store import Store
from ibisport_fleet.targets import TargetEntry

CRASHES_PATH = b'/ends'
ANSWERS_PATH = b'/answers'
ACKNOWLEDGEMENT = b'{}'
# All routers count the same crashes. Those that know an answer to a suspected part wait
# up to this long, and the first one notifies all others.
MAX_NOTICE_DELAY_SECONDS = 0.1
# A later answer than now would clear all crashes to come.
_Age = Annotated[float, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class AnswerNotice:
    """Message to other routers: what targets have survived.

    Attributes:
        digest: A suspected request that got a complete answer, or an empty string.
        parts: Seconds since the last answer to each prompt part.
    """

    digest: str
    parts: dict[str, _Age] = field(default_factory=dict)


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
        self._quarantine = Quarantine(time.time, asyncio.get_running_loop().time)
        self._quarantine_store = QuarantineStore(self._quarantine, store, log)
        self._members = members
        self._notifier = notifier
        self._crash_detector = CrashDetector(pool, targets, log, self._report_crash)
        self._log = log
        # Quarantined by crashes that this router detected, so that it writes them.
        self._own_keys: set[str] = set()
        self._unsent_answers: dict[str, float] = {}
        members.listing_handlers.append(self._quarantine_store.apply_listing)

    @property
    def handlers(self) -> Mapping[bytes, PeerHandler]:
        """Handlers of other routers' notices, by path."""
        return {CRASHES_PATH: self._handle_crash, ANSWERS_PATH: self._handle_answer}

    @property
    def counts(self) -> Mapping[str, int]:
        """Numbers of suspected and quarantined keys, for the metrics."""
        entries = self._quarantine.entries
        return {
            'suspects': self._quarantine.suspects,
            'quarantined': len(entries),
            'quarantined_parts': sum(is_part(key) for key in entries),
        }

    async def run(self) -> None:
        """Write changes of the quarantine to the store until cancelled."""
        await self._quarantine_store.run()

    def find_remaining_seconds(self, call: Call) -> float | None:
        """Return how long a request stays quarantined; None: it may be sent."""
        blocked = self._find_blocked(call)
        if not blocked or self._may_probe(blocked):
            return None
        return max(blocked.values())

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request is quarantined, also if it may be a probe."""
        return bool(self._find_blocked(call))

    def begin_send(self, call: Call) -> float | None:
        """Return how long a request stays quarantined; None: it is sent now.

        A request with a quarantined part may be sent as a probe, and then no other one.
        """
        remaining = self.find_remaining_seconds(call)
        if remaining is None:
            for key in self._find_blocked(call):
                self._quarantine.begin_probe(key)
                self._log.write(
                    Event.part_probed, part=key, request=call.metadata.request_id
                )
        return remaining

    def record_break(
        self, entry: TargetEntry, call: Call, *, survived: bool = False
    ) -> None:
        """Record that a connection broke before the request's answer was complete.

        Args:
            entry: The target.
            call: The request.
            survived: Whether its answer had got past the beginning at this target.
        """
        parts = () if survived else call.shared_parts
        self._crash_detector.record_break(entry, call.digest, parts)

    def record_answer(self, call: Call, *, failed: bool = False) -> None:
        """Record a complete answer: the request doesn't crash its target.

        Args:
            call: The request.
            failed: Whether the answer is a failure, for which its target need not have
                read the prompt.
        """
        parts = () if failed else call.shared_parts
        findings = self._quarantine.record_answer(call.digest, parts)
        if call.digest in findings.lifted:
            notice = msgspec.json.encode(AnswerNotice(call.digest))
            self._notifier.notify(ANSWERS_PATH, notice)
        self._apply(findings, own=True)

    def record_survival(self, call: Call) -> None:
        """Record that the answer to a request got past its beginning."""
        findings = self._quarantine.record_survival(call.shared_parts)
        self._apply(findings, own=True)

    def _find_blocked(self, call: Call) -> dict[str, float]:
        """Return how long each quarantined key of a request stays so, in seconds."""
        find = self._quarantine.find_remaining_seconds
        remaining = {key: find(key) for key in (call.digest, *call.shared_parts)}
        return {key: left for key, left in remaining.items() if left is not None}

    def _may_probe(self, keys: Mapping[str, float]) -> bool:
        """Return whether this router sends a request with these parts as a probe.

        One router does so for each part, without a message.
        """
        if not self._quarantine.may_probe(keys):
            return False
        first = min(keys)
        prober = max(self._members.current, key=lambda host: compute_score(first, host))
        return prober == self._members.own.host

    def _report_crash(self, crash: TargetCrash) -> None:
        """Apply a crash that this router detected, and notify the other routers."""
        self._notifier.notify(CRASHES_PATH, msgspec.json.encode(crash))
        self._apply(self._quarantine.record_crash(crash), own=True)

    async def _handle_crash(self, content: bytes) -> bytes:
        crash = decode_message(content, TargetCrash)
        self._apply(self._quarantine.record_crash(crash), own=False)
        return ACKNOWLEDGEMENT

    async def _handle_answer(self, content: bytes) -> bytes:
        notice = decode_message(content, AnswerNotice)
        now = asyncio.get_running_loop().time()
        findings = self._quarantine.record_answer(notice.digest, ())
        answered = {part: now - age for part, age in notice.parts.items()}
        self._quarantine.apply_answers(answered, findings)
        for part in answered:
            self._unsent_answers.pop(part, None)
        self._apply(findings, own=False)
        return ACKNOWLEDGEMENT

    def _apply(self, findings: Findings, *, own: bool) -> None:
        """Log and store what follows from a crash or an answer.

        Args:
            findings: What follows.
            own: This router observed the crash or the answer.
        """
        for key, reason in findings.lifted.items():
            self._lift(key, reason, own=own)
        for key in findings.quarantined:
            self._quarantine_key(key, own=own)
        if findings.answered:
            self._schedule_notice(findings.answered)

    def _quarantine_key(self, key: str, *, own: bool) -> None:
        until = self._quarantine.entries.get(key)
        if until is None:
            return
        if own:
            # Keys that have expired are no longer written.
            self._own_keys &= self._quarantine.entries.keys()
            self._own_keys.add(key)
        targets = self._quarantine.list_targets(key)
        self._log.write(
            Event.request_quarantined, **_name_key(key), targets=targets, own=own
        )
        self._quarantine_store.save(key, until, own=own)

    def _lift(self, key: str, reason: LiftReason, *, own: bool) -> None:
        own = own or key in self._own_keys
        self._own_keys.discard(key)
        self._log.write(
            Event.quarantine_lifted, **_name_key(key), reason=reason.value, own=own
        )
        self._quarantine_store.save(key, None, own=own)

    def _schedule_notice(self, answered: Mapping[str, float]) -> None:
        """Notify the other routers of answers unless one of them does so first."""
        if not self._unsent_answers:
            delay = random.random() * MAX_NOTICE_DELAY_SECONDS
            asyncio.get_running_loop().call_later(delay, self._send_notice)
        self._unsent_answers.update(answered)

    def _send_notice(self) -> None:
        if not self._unsent_answers:
            return
        now = asyncio.get_running_loop().time()
        ages = {
            part: round(now - answered_at, 3)
            for part, answered_at in self._unsent_answers.items()
        }
        self._unsent_answers.clear()
        notice = msgspec.json.encode(AnswerNotice('', ages))
        self._notifier.notify(ANSWERS_PATH, notice)


def _name_key(key: str) -> dict[str, str]:
    return {'part' if is_part(key) else 'digest': key}
