"""Decides which requests are no longer sent because they crash targets.

A crash breaks all requests that run at the target, and doesn't show which of them
caused it. The cause is identified over several crashes, by what their requests have in
common: the whole request, if it is repeated, or a part of the prompt. Targets that run
it crash, and it never gets an answer.
"""

import math
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ibisport_fleet.quarantine.answered_parts import AnsweredParts
from ibisport_fleet.quarantine.crashes import CrashHistory, Evidence, TargetCrash
from ibisport_fleet.quarantine.keys import is_part

# Different targets that crash under a key before it is quarantined.
CRASH_THRESHOLD = 3
# The same for a part that targets have survived before these crashes.
ANSWERED_CRASH_THRESHOLD = 5
# A part that only one request contains tells no more than the request itself.
MIN_REQUESTS = 2
# Targets that crash together for a common cause, such as a lost failure domain, say
# nothing about the requests that they run.
MIN_SPREAD_SECONDS = 0.25
MAX_QUARANTINED = 512
QUARANTINE_SECONDS = 86_400.0
# A quarantined part is sent once more after these times without a crash under it, which
# takes a wrong quarantine back. Two probes stay within the three requests that may
# reach targets after the fifth crash.
FIRST_PROBE_SECONDS = 2.0
NEXT_PROBE_SECONDS = 30.0
MAX_PROBES = 2
# How much later a request with several quarantined parts may be a probe: if one of them
# is sound, its own requests have shown so by then.
JOINT_PROBE_DELAY_SECONDS = 10.0
# Requests that are in flight when their part is quarantined crash targets within this.
IN_FLIGHT_SECONDS = 1.0


class LiftReason(Enum):
    """Why a key is no longer quarantined or suspected."""

    answered = 'answered'
    explained = 'explained'


@dataclass(slots=True)
class Findings:
    """What follows from a crash or an answer.

    Attributes:
        quarantined: Keys that are no longer sent.
        lifted: Keys that may be sent again, or are no longer suspected.
        answered: Loop times of the last answers to parts that other routers may
            quarantine.
    """

    quarantined: list[str] = field(default_factory=list)
    lifted: dict[str, LiftReason] = field(default_factory=dict)
    answered: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Entry:
    """A quarantined key.

    Attributes:
        until: Wall-clock time until which it isn't sent, seconds.
        since: Loop time of its quarantine.
        crashed_targets: Targets that crashed under it; empty if that isn't known here.
        probe_at: Loop time from which it may be sent once.
        probes: Number of times that it was sent once.
        is_probing: Whether the outcome of the last one isn't known yet.
    """

    until: float
    since: float
    crashed_targets: set[str]
    probe_at: float = math.inf
    probes: int = 0
    is_probing: bool = False

    def record_crash(self, target: str, now: float) -> None:
        """Count a crash since the quarantine."""
        self.crashed_targets.add(target)
        if now - self.since < IN_FLIGHT_SECONDS:
            self.probe_at = now + FIRST_PROBE_SECONDS
            return
        if not self.is_probing:
            self.probes += 1
        self.is_probing = False
        self.probe_at = now + NEXT_PROBE_SECONDS

    def may_probe(self, now: float) -> bool:
        """Return whether the key may be sent once."""
        return self.probes < MAX_PROBES and now >= self.probe_at

    def begin_probe(self, now: float) -> None:
        """Record that the key is sent once."""
        self.probes += 1
        self.is_probing = True
        self.probe_at = now + NEXT_PROBE_SECONDS


class Quarantine:
    """Suspected and quarantined requests and prompt parts, by key."""

    def __init__(
        self,
        read_wall_clock: Callable[[], float],
        read_loop_time: Callable[[], float],
    ) -> None:
        """Create an empty quarantine.

        Args:
            read_wall_clock: Returns the wall-clock time, seconds.
            read_loop_time: Returns the loop time, seconds.
        """
        self._read_wall_clock = read_wall_clock
        self._read_loop_time = read_loop_time
        self._crashes = CrashHistory()
        self._entries: dict[str, _Entry] = {}
        # Answers that this router has seen, and those of which all routers know.
        self._own_answers = AnsweredParts()
        self._known_answers = AnsweredParts()

    @property
    def suspects(self) -> int:
        """Number of suspected keys."""
        return self._crashes.suspects

    @property
    def entries(self) -> Mapping[str, float]:
        """Wall-clock times, in seconds, until which keys are quarantined."""
        return {key: entry.until for key, entry in self._entries.items()}

    def find_remaining_seconds(self, key: str) -> float | None:
        """Return how long a key stays quarantined; None: it isn't quarantined."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        remaining = entry.until - self._read_wall_clock()
        return remaining if remaining > 0 else None

    def record_crash(self, crash: TargetCrash) -> Findings:
        """Count a target's crash."""
        now = self._read_loop_time()
        self._drop_expired()
        reported = self._crashes.record(crash, now)
        findings = Findings()
        for key in reported & self._entries.keys():
            self._entries[key].record_crash(crash.target, now)
        for key in reported & self._entries.keys():
            self._lift_explained(key, findings)
        self._judge(reported, findings)
        return findings

    def record_answer(self, digest: str, parts: Iterable[str]) -> Findings:
        """Record the complete answer to a request, which clears it and its parts."""
        findings = self.record_survival(parts)
        suspected = self._crashes.forget(digest)
        quarantined = self._entries.pop(digest, None) is not None
        if suspected or quarantined:
            findings.lifted[digest] = LiftReason.answered
        return findings

    def record_survival(self, parts: Iterable[str]) -> Findings:
        """Record that an answer got past its beginning: its parts crash no target."""
        now = self._read_loop_time()
        findings = Findings()
        for part in parts:
            self._own_answers.record(part, now)
            if part in self._entries:
                findings.answered[part] = now
        self.apply_answers(findings.answered, findings)
        return findings

    def apply_answers(self, answered: Mapping[str, float], findings: Findings) -> None:
        """Clear parts of the crashes before answers, here or at other routers.

        Args:
            answered: Loop times of the last answers, by part.
            findings: Gets what follows.
        """
        for part, answered_at in answered.items():
            self._known_answers.record(part, answered_at)
            if part in self._entries and not self._is_convincing(part):
                related = self._crashes.list_related_keys(part)
                self._entries.pop(part)
                findings.lifted[part] = LiftReason.answered
                # Its crashes have another cause.
                self._judge(related - {part}, findings)

    def put(self, key: str, until: float) -> None:
        """Quarantine a key until a wall-clock time in seconds.

        Beyond ``MAX_QUARANTINED`` keys, those that end earliest are dropped.
        """
        entry = self._entries.get(key)
        if entry is not None:
            entry.until = until
            return
        self._entries[key] = _Entry(until, self._read_loop_time(), set())
        if len(self._entries) > MAX_QUARANTINED:
            self._entries.pop(
                min(self._entries, key=lambda known: self._entries[known].until)
            )

    def lift(self, key: str) -> None:
        """Allow a key to be sent again."""
        self._entries.pop(key, None)

    def list_targets(self, key: str) -> list[str]:
        """Return the targets that are known to have crashed under a quarantined key."""
        return sorted(self._entries[key].crashed_targets)

    def may_probe(self, keys: Collection[str]) -> bool:
        """Return whether a request with these quarantined keys may be sent once.

        Requests with a single one go first: the answer to a sound part must not depend
        on the parts that are quarantined with it.
        """
        now = self._read_loop_time()
        if len(keys) > 1:
            now -= JOINT_PROBE_DELAY_SECONDS
        return all(is_part(key) and self._entries[key].may_probe(now) for key in keys)

    def begin_probe(self, key: str) -> None:
        """Record that a quarantined part is sent once."""
        self._entries[key].begin_probe(self._read_loop_time())

    def _judge(self, keys: Iterable[str], findings: Findings) -> None:
        """Quarantine the keys that explain enough crashes, the best one first."""
        evidence = {
            key: self._gather(key)
            for key in keys
            if key not in self._entries and self._is_convincing(key)
        }
        order = sorted(
            evidence,
            key=lambda key: (
                -len(evidence[key].targets),
                len(evidence[key].requests),
                key,
            ),
        )
        for key in order:
            if self._is_convincing(key) and not self._has_own_answer(key, findings):
                self._quarantine(key, evidence[key].targets, findings)

    def _has_own_answer(self, key: str, findings: Findings) -> bool:
        """Return whether an answer of which others don't know clears a key."""
        now = self._read_loop_time()
        answered_at = self._own_answers.find(key, now)
        if answered_at is None or answered_at == self._known_answers.find(key, now):
            return False
        self._known_answers.record(key, answered_at)
        findings.answered[key] = answered_at
        return not self._is_convincing(key)

    def _quarantine(
        self, key: str, targets: frozenset[str], findings: Findings
    ) -> None:
        until = self._read_wall_clock() + QUARANTINE_SECONDS
        self.put(key, until)
        entry = self._entries.get(key)
        if entry is None:
            return
        entry.crashed_targets |= targets
        entry.probe_at = entry.since + FIRST_PROBE_SECONDS
        findings.quarantined.append(key)
        self._lift_explained(key, findings)

    def _lift_explained(self, cause: str, findings: Findings) -> None:
        """Lift the quarantined keys whose crashes a quarantined key explains."""
        if cause not in self._entries:
            return
        for key in tuple(self._entries):
            if key != cause and self._is_explained(key, cause):
                self._entries.pop(key)
                findings.lifted[key] = LiftReason.explained

    def _drop_expired(self) -> None:
        now = self._read_wall_clock()
        for key, entry in tuple(self._entries.items()):
            if entry.until <= now:
                self._entries.pop(key)

    def _gather(self, key: str) -> Evidence:
        """Return the crashes that speak against a key since its last known answer."""
        answered_at = self._known_answers.find(key, self._read_loop_time())
        return self._crashes.gather(key, answered_at)

    def _is_convincing(self, key: str) -> bool:
        """Return whether crashes that nothing else explains suffice against a key."""
        answered_at = self._known_answers.find(key, self._read_loop_time())
        if len(self._gather(key).targets) < CRASH_THRESHOLD:
            return False
        explained: set[str] = set()
        for other, entry in self._entries.items():
            if other != key and self._explains_better(other, key):
                explained |= entry.crashed_targets
        evidence = self._crashes.gather(key, answered_at, explained)
        if not is_part(key):
            return len(evidence.targets) >= CRASH_THRESHOLD
        answered = answered_at is not None
        threshold = ANSWERED_CRASH_THRESHOLD if answered else CRASH_THRESHOLD
        return (
            len(evidence.targets) >= threshold
            and len(evidence.requests) >= MIN_REQUESTS
            and evidence.last_at - evidence.first_at >= MIN_SPREAD_SECONDS
        )

    def _is_explained(self, key: str, cause: str) -> bool:
        """Return whether a cause explains all known crashes under a quarantined key."""
        targets = self._entries[key].crashed_targets
        cause_targets = self._entries[cause].crashed_targets
        known = bool(targets) and targets <= cause_targets
        return known and self._explains_better(cause, key)

    def _explains_better(self, cause: str, key: str) -> bool:
        """Return whether a quarantined key explains the crashes under another better.

        It does if it explains more of them, or the same ones with fewer requests: the
        parts of the cause's requests are at all of its crashes. Of a part and a request
        with the same crashes, the part explains them: several requests had it.
        """
        if is_part(cause) and not is_part(key):
            return True
        cause_targets = self._entries[cause].crashed_targets
        evidence = self._gather(key)
        if cause_targets != evidence.targets:
            return len(cause_targets) > len(evidence.targets)
        return self._crashes.gather(cause).requests < evidence.requests
