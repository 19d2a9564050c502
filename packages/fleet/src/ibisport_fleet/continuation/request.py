"""Continues one request at the engine that holds a copy of its run."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import RouteKind
from ibisport_fleet.continuation.copies import (
    CopyPlan,
    may_need_copy,
    plan_copy,
    select_backup,
)
from ibisport_fleet.continuation.event_sequence import SequencedSplitter
from ibisport_fleet.continuation.silence import compute_gap_limit, compute_start_limit
from ibisport_fleet.continuation.waiting import SilenceLimit
from ibisport_fleet.dependencies import Dependencies, ServiceState
from ibisport_fleet.metadata import RunCopy
from ibisport_fleet.request_recorder import BrokenRun
from ibisport_fleet.settings import Feature
from ibisport_fleet.sse import EventSplitter
from ibisport_fleet.stream_versions.origin import Begun, permits
from ibisport_fleet.target_choice import Candidate
from ibisport_fleet.target_selection import TargetSelector

# Each continuation may fail by the same cause as the run before, such as a domain that
# fails target by target.
MAX_CONTINUATIONS = 2


@dataclass(frozen=True, slots=True)
class _Copy:
    plan: CopyPlan
    source: Candidate
    backup: Candidate


class RequestContinuation:
    """The copies of one request, and where it goes on after a break.

    Attributes:
        splitter: Splits the answers of all attempts into events.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        service_state: ServiceState,
        selector: TargetSelector,
        call: Call,
    ) -> None:
        self._dependencies = dependencies
        self._pace = service_state.pace
        self._selector = selector
        self._call = call
        self._enabled = Feature.copies in dependencies.settings.features
        self._sequence: SequencedSplitter | None = None
        last_event_id = call.metadata.last_event_id
        if self._enabled:
            self._sequence = SequencedSplitter(
                last_event_id, resumed=call.route.resumable
            )
        self.splitter: EventSplitter = self._sequence or EventSplitter(last_event_id)
        self._copy: _Copy | None = None
        self._holder: Candidate | None = None
        self._broken: BrokenRun | None = None
        self._continuations = 0
        self._missing = ''
        self._heard_at = 0.0
        self._begun = False

    @property
    def disordered(self) -> bool:
        """Whether an event arrived that doesn't follow the last one."""
        return self._sequence is not None and self._sequence.disordered

    def select(self) -> Candidate:
        """Return the target of the next attempt.

        Raises:
            RequestFailed: No target may get the request now.
        """
        call, holder = self._call, self._holder
        call.continued_from = None
        call.backup = None
        if holder is None:
            candidate = self._selector.select()
        else:
            candidate = holder
            self._holder = None
            address = holder.entry.address
            call.continued_from = RunCopy(address, call.metadata.request_id)
            call.cache_source = None
            self._dependencies.holds.record_send(holder, _now())
        self._heard_at = _now()
        self._begun = False
        self._begin_copy(candidate)
        return candidate

    def end_attempt(self) -> None:
        """Stop counting the copy of an attempt that has ended."""
        copy = self._copy
        if copy is None:
            return
        self._copy = None
        self._dependencies.copies.end(copy.plan, copy.source, copy.backup)
        engine = self._dependencies.find_engine(self._call.service)
        stride = 1 if engine is None else engine.tokens_per_event
        generated = self.splitter.event_count * stride
        tokens = min(self._call.metadata.prompt_tokens + generated, copy.plan.tokens)
        self._dependencies.recorder.record_copied_tokens(self._call, tokens)

    def plan_next(
        self, broken: Candidate, cause: str, take_retry: Callable[[], bool]
    ) -> bool:
        """Plan to go on at the copy of a run that broke; return whether that is so.

        Args:
            broken: The target of the run, whose outcome is unknown.
            cause: What was observed.
            take_retry: Takes a retry from the budget; returns whether there was one.
        """
        if self._continuations >= MAX_CONTINUATIONS:
            return False
        holder = self._find_holder()
        if holder is None or not take_retry():
            return False
        self._continuations += 1
        self._holder = holder
        self._broken = BrokenRun(
            broken.entry.incarnation,
            cause,
            self.splitter.last_event_id,
            self._heard_at,
        )
        return True

    def record_events(self) -> None:
        """Record that events, or the end of the stream, came from the last target."""
        now = _now()
        if not self._begun:
            self._begun = True
            self._record_start_time(now)
        broken = self._broken
        if broken is not None and self._call.continued_from is not None:
            gap = now - broken.heard_at
            self._dependencies.recorder.record_continued(self._call, broken, gap)
            self._broken = None
        self._heard_at = now

    def record_silent(self) -> None:
        """Record that a silent target is given up."""
        if not self._begun:
            self._record_start_time(_now())

    def record_missing(self, reason: str) -> None:
        """Record that the engine of the last send holds no copy."""
        call = self._call
        target = call.target or ''
        self._dependencies.recorder.record_copy_missing(call, target, reason)

    def find_limit(
        self, candidate: Candidate, uncached_tokens: int, *, begun: bool
    ) -> SilenceLimit | None:
        """Return when a target counts as silent; None: it is waited for.

        Args:
            candidate: The target of the present attempt.
            uncached_tokens: Tokens of the prompt that it hasn't cached.
            begun: Whether it has sent an event.
        """
        call, now = self._call, _now()
        if not self._enabled or call.route.kind is not RouteKind.stream:
            return None
        resumable = call.route.resumable
        if begun and (resumable or self._copy is not None):
            usual_gap = self._pace.find_usual_gap(candidate.entry.start_id)
            limit = compute_gap_limit(call.route, usual_gap)
            return None if limit is None else SilenceLimit(now + limit, limit)
        if begun or not resumable:
            return None
        estimate = self._pace.estimate_start_seconds(candidate, uncached_tokens, now)
        late = self._dependencies.start_times[call.service].find_late_seconds(now)
        limit = compute_start_limit(call.route, estimate, late)
        sent_at = call.sent_at
        return None if limit is None else SilenceLimit(sent_at + limit, limit)

    def _record_start_time(self, now: float) -> None:
        """Record the time to the first event, or until the target is given up."""
        start_times = self._dependencies.start_times[self._call.service]
        start_times.record(now - self._call.sent_at, now)

    def _begin_copy(self, source: Candidate) -> None:
        dependencies, call = self._dependencies, self._call
        engine = dependencies.find_engine(call.service)
        # Listing the targets takes longest, so streams without need are left out first.
        if engine is None or not self._enabled or not may_need_copy(call, engine):
            return
        # Only an engine with the same software may continue the run.
        origin = Begun(source.entry.build)
        candidates = [
            candidate
            for candidate in self._selector.list_sendable(_now())
            if permits(origin, candidate.entry)
        ]
        usual_gap = self._pace.find_usual_gap(source.entry.start_id)
        routers = max(1, dependencies.budgets.router_count)
        plan = plan_copy(call, engine, usual_gap, len(candidates) / routers)
        if plan is None:
            return
        copies = dependencies.copies
        backup = select_backup(plan, source, candidates, copies, engine, _now())
        if backup is None:
            return
        copies.begin(plan, source, backup)
        call.backup = backup.entry.address
        self._copy = _Copy(plan, source, backup)
        dependencies.recorder.record_copy(call)

    def _find_holder(self) -> Candidate | None:
        """Return the engine that probably holds the copy of the last attempt."""
        copy, sequence = self._copy, self._sequence
        if copy is None or sequence is None or not sequence.continuable:
            return None
        now = _now()
        engine = self._dependencies.find_engine(self._call.service)
        lifetime = 0.0 if engine is None else engine.copy_lifetime_seconds
        # An engine sends parts of a run only once it has begun. Another engine that is
        # asked for a copy that never was might run the request a second time.
        if not self._begun or (lifetime and now - self._heard_at > lifetime):
            return None
        wanted = copy.backup.entry
        for candidate in self._selector.list_sendable(now):
            if candidate.entry.start_id == wanted.start_id:
                return candidate
        if self._missing != wanted.incarnation:
            self._missing = wanted.incarnation
            self._dependencies.recorder.record_copy_missing(
                self._call, wanted.incarnation, 'not listed, or held'
            )
        return None


def _now() -> float:
    return asyncio.get_running_loop().time()
