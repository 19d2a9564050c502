"""Forwards a request to targets until one of them has answered completely."""

import asyncio
import math
from dataclasses import dataclass

from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import RouteKind
from ibisport_fleet.dependencies import Dependencies, ServiceState
from ibisport_fleet.errors import ConnectionBroken
from ibisport_fleet.placing.backlog import is_crowded
from ibisport_fleet.placing.pace import GapRecorder
from ibisport_fleet.response_writer import ResponseWriter
from ibisport_fleet.settings import Feature
from ibisport_fleet.sse import EventSplitter
from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.target_client import (
    FIRST_FAILURE_STATUS,
    Answered,
    NotRun,
    NotSent,
    OutcomeUnknown,
)
from ibisport_fleet.target_selection import (
    STATUS_BAD_GATEWAY,
    RequestFailed,
    TargetSelector,
)

# Targets that reject a request or are unreachable before it fails: by then the
# service is full, and more attempts only add to its load.
MAX_REJECTIONS = 3
# Targets that are found to be gone before it fails. Each costs a round trip, and says
# nothing about the load of the service.
MAX_ABSENT_TARGETS = 8
# The event loop runs timers up to its clock's resolution early.
TIMER_TOLERANCE_SECONDS = 0.005


class RequestForwarder:
    """Sends one request to one target after another until it is answered."""

    def __init__(
        self,
        dependencies: Dependencies,
        service_state: ServiceState,
        call: Call,
        response: ResponseWriter,
    ) -> None:
        self._dependencies = dependencies
        self._call = call
        self._response = response
        self._retry_budget = service_state.retry_budget
        self._prompt_mix = service_state.prompt_mix
        self._pace = service_state.pace
        self._avoids_failing = Feature.pace in dependencies.settings.features
        self._selector = TargetSelector(dependencies, service_state, call)
        self._splitter = EventSplitter(call.metadata.last_event_id)
        self._rejections = 0
        self._absent_targets = 0
        self._uncached_tokens = 0
        self._prefilling: TargetHealth | None = None
        self._shows_start_time = False
        self._copy: tuple[tuple[str, int], int] | None = None

    @property
    def forwarded_events(self) -> int:
        """Number of complete events that were forwarded to the caller."""
        return self._splitter.event_count

    async def run(self) -> None:
        """Send the request until a target has answered completely.

        Raises:
            RequestFailed: No target can answer it.
        """
        self._retry_budget.record_request(_now())
        while True:
            self.check_quarantine()
            candidate = self._selector.select()
            candidate.health.begin_request(_now())
            self._begin_prefill(candidate)
            try:
                if await self._attempt(candidate):
                    return
            finally:
                candidate.health.end_request()
                self._end_prefill()

    def check_quarantine(self) -> None:
        """Refuse a request that crashes targets.

        Raises:
            RequestFailed: The request is quarantined to protect other targets.
        """
        retry_after = self._dependencies.fatal_requests.find_remaining_seconds(
            self._call.digest
        )
        if retry_after is not None:
            raise self._selector.build_failure('quarantined', retry_after)

    def count_tokens(self) -> int:
        """Return the tokens to charge for the request.

        The prompt is charged with the first event that the caller gets, and only once
        for a stream that the caller resumes after a broken connection. Charging it
        whenever a target might have started spent up to 0.15 of a budget on requests
        whose callers got nothing.
        """
        metadata = self._call.metadata
        event_count = self._splitter.event_count
        if not event_count:
            return 0
        generated = min(
            metadata.max_output_tokens, event_count * self._tokens_per_event()
        )
        resumed = metadata.last_event_id is not None and self._call.route.resumable
        return generated if resumed else metadata.prompt_tokens + generated

    def _begin_prefill(self, candidate: Candidate) -> None:
        """Count the prompt's uncached tokens as pending at its target."""
        parts = self._call.metadata.parts
        health = candidate.health
        # Copies and waiting behind other work hide how long the prompt itself takes.
        self._shows_start_time = bool(parts) and not (
            health.pending_prompt_tokens
            or self._call.cache_source
            or is_crowded(candidate, _now())
        )
        self._uncached_tokens = health.count_uncached_tokens(parts, _now())
        self._prefilling = health
        prompt_tokens = sum(part.tokens for part in parts)
        if self._call.copied_from is not None:
            copied = health.count_uncached_tokens(parts[:-1], _now())
            self._copy = self._call.copied_from, copied
            self._pace.begin_copy(*self._copy)
        part_id = parts[-2].part_id if len(parts) > 1 else None
        self._pace.shared_parts.record_prompt(part_id, prompt_tokens, _now())
        self._prompt_mix.record_prompt(prompt_tokens, self._uncached_tokens, _now())
        health.pending_prompt_tokens += self._uncached_tokens
        health.record_parts(parts, _now())

    def _end_prefill(self) -> None:
        """Stop counting the prompt as pending, after its first event or a failure."""
        if self._prefilling is not None:
            self._prefilling.pending_prompt_tokens -= self._uncached_tokens
            self._prefilling = None
        if self._copy is not None:
            self._pace.end_copy(*self._copy)
            self._copy = None

    def _record_start_time(self, candidate: Candidate) -> None:
        """Record the time to the first event if it shows what the prompt takes."""
        if self._shows_start_time:
            self._shows_start_time = False
            # Shared parts are usually cached, also those that other routers sent.
            tokens = self._call.metadata.parts[-1].tokens
            seconds = _now() - self._call.sent_at
            self._pace.record_first_event(
                candidate.entry.start_id, tokens, seconds, _now()
            )

    def _tokens_per_event(self) -> int:
        engine = self._dependencies.find_engine(self._call.service)
        return 1 if engine is None else engine.tokens_per_event

    async def _attempt(self, candidate: Candidate) -> bool:
        call = self._call
        call.tried.add(candidate.entry.start_id)
        call.attempts += 1
        call.target = candidate.entry.incarnation
        call.sent_at = _now()
        self._dependencies.recorder.record_sent(call, candidate)
        call.may_have_run = True
        try:
            outcome = await self._dependencies.target_client.send(
                call, candidate, self._splitter.last_event_id
            )
        except asyncio.CancelledError:
            self._record_timeout(candidate)
            raise
        if candidate.health.leaving:
            self._dependencies.targets.record_leaving(candidate.entry)
        match outcome:
            case Answered():
                return await self._forward_answer(outcome, candidate)
            case NotSent() | NotRun():
                self._handle_rejection(outcome)
            case OutcomeUnknown(reason=reason):
                self._handle_unknown_outcome(candidate, reason)
        return False

    def _record_timeout(self, candidate: Candidate) -> None:
        """Record a failure of a target that has sent nothing by the deadline.

        Its request ends then, which would make a target that loses answers look idle.
        """
        due = self._call.deadline - TIMER_TOLERANCE_SECONDS
        if self._avoids_failing and _now() >= due:
            candidate.health.record_failure(_now())

    def _find_success_time(self) -> float | None:
        """Return when the request was sent if that decides what its success shows."""
        return self._call.sent_at if self._avoids_failing else None

    def _handle_rejection(self, outcome: NotSent | NotRun) -> None:
        call = self._call
        call.attempts -= 1
        call.may_have_run = call.attempts > 0
        match outcome:
            case NotSent(absent=True) | NotRun(misdirected=True):
                self._absent_targets += 1
            case _:
                self._rejections += 1
        if (
            self._rejections >= MAX_REJECTIONS
            or self._absent_targets >= MAX_ABSENT_TARGETS
        ):
            raise self._selector.build_full()
        if isinstance(outcome, NotRun) and not self._take_retry():
            raise self._selector.build_full()

    def _handle_unknown_outcome(self, candidate: Candidate, reason: str) -> None:
        call = self._call
        self._dependencies.fatal_requests.record_break(candidate.entry, call.digest)
        if not (call.route.repeatable and self._may_retry()):
            raise RequestFailed(STATUS_BAD_GATEWAY, reason)
        self._dependencies.recorder.record_resumed(
            call, reason, self._splitter.last_event_id
        )

    def _take_retry(self) -> bool:
        return self._retry_budget.try_acquire(
            _now(), self._dependencies.budgets.router_count
        )

    async def _forward_answer(self, answered: Answered, candidate: Candidate) -> bool:
        try:
            if answered.succeeded and self._call.route.kind is RouteKind.stream:
                await self._forward_stream(answered, candidate)
            else:
                return await self._forward_whole(answered)
        except ConnectionBroken as error:
            answered.health.record_failure(_now())
            self._splitter.drop_partial_event()
            self._handle_unknown_outcome(candidate, repr(error))
            return False
        finally:
            # Closing the connection cancels an answer that was not read to its end.
            if not answered.connection.reusable:
                answered.connection.close()
        return True

    async def _forward_whole(self, answered: Answered) -> bool:
        body = await answered.connection.read_body()
        self._dependencies.target_client.release(answered)
        call = self._call
        self._dependencies.fatal_requests.record_answer(call.digest)
        failed = answered.head.status >= FIRST_FAILURE_STATUS
        if failed and call.route.repeatable and self._may_retry():
            return False
        if not failed:
            answered.health.record_success(self._find_success_time())
        self._response.write_whole(answered.head, body)
        self._dependencies.recorder.record_served(
            self._call, answered.head.status, self._splitter.event_count
        )
        return True

    def _record_event_gaps(self, max_gap: float) -> None:
        allowed_gap = self._call.route.max_pause_seconds
        if allowed_gap and self._splitter.event_count > 1:
            tokens = sum(part.tokens for part in self._call.metadata.parts)
            self._prompt_mix.record_answer(tokens, max_gap, allowed_gap, _now())

    def _may_retry(self) -> bool:
        call = self._call
        if call.attempts >= call.route.max_targets:
            return False
        return self._take_retry()

    async def _forward_stream(self, answered: Answered, candidate: Candidate) -> None:
        if not self._response.head_sent:
            self._response.begin_stream(answered.head)
            self._dependencies.recorder.record_first_byte(self._call)
        connection = answered.connection
        gaps = _EventGaps()
        gap_recorder = GapRecorder(self._pace, candidate.entry.start_id)
        while (part := await connection.read_part()) is not None:
            answered.health.last_received_at = _now()
            known = self._splitter.event_count
            events = self._splitter.feed(part)
            if events:
                self._end_prefill()
                self._record_start_time(candidate)
                gap_recorder.record_events(self._splitter.event_count - known, _now())
                gaps.record_event(_now())
                await self._response.write_chunk(events)
        if self._splitter.has_partial_event:
            raise ConnectionBroken('the stream ended within an event')
        self._response.end_stream()
        self._record_event_gaps(gaps.max_gap)
        self._dependencies.target_client.release(answered)
        self._dependencies.fatal_requests.record_answer(self._call.digest)
        answered.health.record_success(self._find_success_time())
        self._dependencies.recorder.record_served(
            self._call, answered.head.status, self._splitter.event_count
        )


@dataclass(slots=True)
class _EventGaps:
    """Measures the longest gap between two events of a stream, in seconds."""

    max_gap: float = 0.0
    _last_event_at: float = math.inf

    def record_event(self, now: float) -> None:
        """Record an event; no gap precedes the first one."""
        self.max_gap = max(self.max_gap, now - self._last_event_at)
        self._last_event_at = now


def _now() -> float:
    return asyncio.get_running_loop().time()
