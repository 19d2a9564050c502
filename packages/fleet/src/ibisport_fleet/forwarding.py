"""Forwards a request to targets until one of them has answered completely."""

import asyncio
import math
from contextlib import ExitStack
from dataclasses import dataclass

from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import RouteKind
from ibisport_fleet.continuation.hedged_send import (
    HedgedSender,
    HedgeOutcome,
    WholeAnswer,
)
from ibisport_fleet.continuation.request import RequestContinuation
from ibisport_fleet.continuation.waiting import (
    SilenceLimit,
    read_part,
    wait_for_outcome,
)
from ibisport_fleet.dependencies import Dependencies, ServiceState
from ibisport_fleet.errors import ConnectionBroken
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.http_connection import HttpConnection
from ibisport_fleet.overload.answer_charge import AnswerCharge, PartCharge
from ibisport_fleet.overload.memory_budget import Part
from ibisport_fleet.placing.pace import GapRecorder
from ibisport_fleet.placing.prefill import Prefill
from ibisport_fleet.quarantine.request_guard import RequestGuard
from ibisport_fleet.queueing.request_turn import RequestTurn
from ibisport_fleet.response_writer import ResponseWriter
from ibisport_fleet.settings import Feature
from ibisport_fleet.sse import EventSplitter
from ibisport_fleet.stream_versions.origin import Begun, NotBegun
from ibisport_fleet.target_choice import Candidate
from ibisport_fleet.target_client import (
    FIRST_FAILURE_STATUS,
    Answered,
    NotRun,
    NotSent,
    OutcomeUnknown,
    SendOutcome,
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
        self._guard = RequestGuard(dependencies.fatal_requests, self._selector, call)
        self._turn = RequestTurn(service_state.gate, self._selector, call)
        self._continuation = RequestContinuation(
            dependencies, service_state, self._selector, call
        )
        self._splitter = self._continuation.splitter
        self._rejections = 0
        self._absent_targets = 0
        self._prefill = Prefill(call, service_state)
        # Newer versions of the catalogue may lack the service.
        self._tokens_per_event = dependencies.find_tokens_per_event(call.service)
        # Whether the next attempt is planned before the present one is given up.
        self._next_planned = False
        self._received_at = 0.0

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
            await self._turn.wait()
            with ExitStack() as releases:
                releases.callback(self._splitter.drop_partial_event)
                releases.callback(self._continuation.end_attempt)
                candidate = self._continuation.select()
                self._guard.begin_send()
                candidate.health.begin_request(_now())
                releases.callback(candidate.health.end_request)
                releases.callback(self._prefill.end)
                # A run that continues reads only what its copy lacks.
                if self._call.continued_from is None:
                    self._prefill.begin(candidate, _now())
                releases.enter_context(self._turn.count_running())
                if await self._attempt(candidate):
                    self._dependencies.streams.record_end(self._call)
                    return

    def check_quarantine(self) -> None:
        """Refuse a request that crashes targets.

        Raises:
            RequestFailed: The request is quarantined to protect other targets.
        """
        self._guard.check()

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
        newest = self._dependencies.find_tokens_per_event(self._call.service)
        most = max(self._tokens_per_event, newest)
        generated = min(metadata.max_output_tokens, event_count * most)
        resumed = metadata.last_event_id is not None and self._call.route.resumable
        return generated if resumed else metadata.prompt_tokens + generated

    async def _attempt(self, candidate: Candidate) -> bool:
        call = self._call
        call.tried.add(candidate.entry.start_id)
        # A continuation takes the place of the target that no longer runs the request.
        if call.continued_from is None:
            call.attempts += 1
        call.target = candidate.entry.incarnation
        call.sent_at = _now()
        self._dependencies.recorder.record_sent(call, candidate)
        call.may_have_run = True
        # Not an attribute: the two would refer to each other, and keep the request.
        hedged_sender = HedgedSender(
            self._dependencies, self._selector, call, self._may_retry
        )
        if hedged_sender.applies:
            return self._handle_hedged(await hedged_sender.send(candidate))
        try:
            outcome = await self._send(candidate)
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

    async def _send(self, candidate: Candidate) -> SendOutcome:
        sending = self._dependencies.target_client.send(
            self._call, candidate, self._splitter.last_event_id
        )
        limit = self._find_silence_limit(candidate, begun=False)
        if limit is None:
            return await sending
        outcome = await wait_for_outcome(
            sending, limit, lambda: self._may_give_up(candidate)
        )
        if outcome is None:
            candidate.health.record_failure(_now())
            return OutcomeUnknown('the target is silent')
        return outcome

    def _handle_hedged(self, hedged: HedgeOutcome) -> bool:
        """Handle the outcome of an attempt that may have had two targets."""
        call = self._call
        call.target, call.sent_at = hedged.call.target, hedged.call.sent_at
        match hedged.outcome:
            case WholeAnswer(answered=answered, body=body):
                return self._pass_on(answered, body)
            case NotSent() | NotRun():
                self._handle_rejection(hedged.outcome)
            case OutcomeUnknown(reason=reason):
                self._handle_unknown_outcome(hedged.candidate, reason)
        return False

    async def _read_part(
        self, connection: HttpConnection, candidate: Candidate, *, begun: bool
    ) -> bytes | None:
        limit = self._find_silence_limit(candidate, begun=begun)
        if limit is None:
            return await connection.read_part()
        return await read_part(connection, limit, lambda: self._may_give_up(candidate))

    def _find_silence_limit(
        self, candidate: Candidate, *, begun: bool
    ) -> SilenceLimit | None:
        return self._continuation.find_limit(
            candidate, self._prefill.uncached_tokens, begun=begun
        )

    def _may_give_up(self, candidate: Candidate) -> bool:
        """Return whether the request goes on elsewhere than at a silent target."""
        now = _now()
        others = self._selector.list_sendable(now)
        if not any(other.health.is_available(now) for other in others):
            return False
        self._next_planned = self._plan_next(candidate, 'silent')
        if self._next_planned:
            seconds = now - max(self._received_at, self._call.sent_at)
            events = self._splitter.event_count
            self._dependencies.recorder.record_silent(self._call, seconds, events)
            self._continuation.record_silent()
        return self._next_planned

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
        if call.continued_from is not None:
            self._handle_missing_copy(outcome)
            return
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

    def _handle_missing_copy(self, outcome: NotSent | NotRun) -> None:
        """Repeat a request that no copy continues, if it may run more than once."""
        reason = 'not reached' if isinstance(outcome, NotSent) else 'not there'
        self._continuation.record_missing(reason)
        if not (self._call.route.repeatable and self._may_retry()):
            raise RequestFailed(STATUS_BAD_GATEWAY, 'the copy of the run is missing')

    def _handle_unknown_outcome(self, candidate: Candidate, reason: str) -> None:
        call = self._call
        self._guard.record_break(candidate.entry)
        planned = self._next_planned or self._plan_next(candidate, reason)
        self._next_planned = False
        if not planned:
            raise RequestFailed(STATUS_BAD_GATEWAY, reason)
        self._dependencies.recorder.record_resumed(
            call, reason, self._splitter.last_event_id
        )

    def _plan_next(self, candidate: Candidate, reason: str) -> bool:
        """Return whether another attempt follows after an unknown outcome."""
        if self._continuation.plan_next(candidate, reason, self._take_retry):
            return True
        # Without a copy, a run that continued is never repeated at a third target.
        continued = self._call.continued_from is not None
        return self._call.route.repeatable and not continued and self._may_retry()

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
            # The target must no longer work on the request when it is sent again.
            answered.connection.close()
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
        charge = AnswerCharge(self._call.request.memory)
        body = await answered.connection.read_body(charge)
        self._dependencies.target_client.release(answered)
        return self._pass_on(answered, body)

    def _pass_on(self, answered: Answered, body: bytes) -> bool:
        """Pass a complete answer on; return whether no other attempt follows."""
        call = self._call
        failed = answered.head.status >= FIRST_FAILURE_STATUS
        self._guard.record_answer(failed=failed)
        if failed and call.route.repeatable and self._may_retry():
            return False
        if not failed:
            answered.health.record_success(self._find_success_time())
        if self._response.head_sent:
            # A second head within a stream that has begun would pass for its content.
            raise RequestFailed(STATUS_BAD_GATEWAY, 'no stream at the next target')
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
        charge = PartCharge(self._call.request.memory, Part.answer)
        gaps = _EventGaps()
        gap_recorder = GapRecorder(self._pace, candidate.entry.start_id)
        while (
            part := await self._read_part(connection, candidate, begun=gaps.begun)
        ) is not None:
            self._received_at = answered.health.last_received_at = _now()
            _check_software(self._dependencies.targets, candidate)
            known = self._splitter.event_count
            events = _split(self._splitter, part, charge)
            if events:
                self._record_events(candidate)
                gap_recorder.record_events(self._splitter.event_count - known, _now())
                gaps.record_event(_now())
                await self._response.write_chunk(events)
            if self._continuation.disordered:
                raise ConnectionBroken('an event does not follow the last one')
        if self._splitter.has_partial_event:
            raise ConnectionBroken('the stream ended within an event')
        self._response.end_stream()
        self._continuation.record_events()
        self._record_event_gaps(gaps.max_gap)
        self._dependencies.target_client.release(answered)
        self._guard.record_answer()
        answered.health.record_success(self._find_success_time())
        self._dependencies.recorder.record_served(
            self._call, answered.head.status, self._splitter.event_count
        )

    def _record_events(self, candidate: Candidate) -> None:
        """Record that complete events arrived, of which the first ends the prefill."""
        if isinstance(self._call.origin, NotBegun):
            build = candidate.entry.build
            self._call.origin = Begun(build)
            self._dependencies.streams.record_begin(self._call, build)
        self._guard.record_events(_now())
        self._prefill.end()
        self._prefill.record_first_event(candidate, _now())
        self._continuation.record_events()


@dataclass(slots=True)
class _EventGaps:
    """Measures the longest gap between two events of a stream, in seconds."""

    max_gap: float = 0.0
    _last_event_at: float = math.inf

    @property
    def begun(self) -> bool:
        """Whether an event was recorded."""
        return self._last_event_at < math.inf

    def record_event(self, now: float) -> None:
        """Record an event; no gap precedes the first one."""
        self.max_gap = max(self.max_gap, now - self._last_event_at)
        self._last_event_at = now


def _split(splitter: EventSplitter, part: bytes, charge: PartCharge) -> bytes:
    """Return the events that some bytes complete.

    Raises:
        AnswerInvalid: An event is too long.
        MemoryExhausted: There is no room for them.
    """
    events = splitter.feed(part)
    # An event that is written is held here and by the transport.
    charge.update(splitter.partial_bytes + 2 * len(events))
    return events


def _check_software(targets: TargetView, candidate: Candidate) -> None:
    """Check that the bytes of a target are of the software that was chosen.

    Raises:
        ConnectionBroken: The target has restarted under its id.
    """
    if targets.targets.is_superseded(candidate.entry):
        raise ConnectionBroken('the target has restarted')


def _now() -> float:
    return asyncio.get_running_loop().time()
