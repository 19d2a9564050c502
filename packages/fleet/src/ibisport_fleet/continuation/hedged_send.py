"""Sends a plain request to a second target when the first is late."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import RouteKind
from ibisport_fleet.continuation.hedging import compute_hedge_delay
from ibisport_fleet.dependencies import Dependencies
from ibisport_fleet.errors import ConnectionBroken
from ibisport_fleet.overload.answer_charge import AnswerCharge
from ibisport_fleet.overload.memory_budget import MemoryExhausted
from ibisport_fleet.settings import Feature
from ibisport_fleet.target_choice import Candidate
from ibisport_fleet.target_client import (
    FIRST_FAILURE_STATUS,
    Answered,
    NotRun,
    NotSent,
    OutcomeUnknown,
)
from ibisport_fleet.target_selection import TargetSelector


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer."""

    answered: Answered
    body: bytes


@dataclass(frozen=True, slots=True)
class HedgeOutcome:
    """The outcome of one send, of one or two.

    Attributes:
        call: The request, with the target of this send.
        candidate: The target.
        outcome: What became of the send.
    """

    call: Call
    candidate: Candidate
    outcome: NotSent | NotRun | OutcomeUnknown | WholeAnswer

    @property
    def usable(self) -> bool:
        """Whether the answer can be passed on without another attempt."""
        match self.outcome:
            case WholeAnswer(answered=answered):
                return answered.head.status < FIRST_FAILURE_STATUS
            case _:
                return False


class HedgedSender:
    """Sends one plain request to one target, and to a second if that is late."""

    def __init__(
        self,
        dependencies: Dependencies,
        selector: TargetSelector,
        call: Call,
        may_retry: Callable[[], bool],
    ) -> None:
        """Create a sender.

        Args:
            dependencies: Components that all requests share.
            selector: Selects the second target.
            call: The request.
            may_retry: Takes a retry if the request may have another target.
        """
        self._dependencies = dependencies
        self._selector = selector
        self._call = call
        self._may_retry = may_retry
        self._times = dependencies.answer_times[call.service]

    @property
    def applies(self) -> bool:
        """Whether the request may have two targets at once."""
        return (
            Feature.hedging in self._dependencies.settings.features
            and self._call.route.kind is RouteKind.idempotent
        )

    async def send(self, first: Candidate) -> HedgeOutcome:
        """Send the request, and return the usable or else the last outcome.

        Args:
            first: The target of the first send, which is already counted there.
        """
        loop = asyncio.get_running_loop()
        late = self._times.find_late_seconds(loop.time())
        delay = compute_hedge_delay(self._call.route.objective, late)
        tasks = {loop.create_task(self._run(self._call, first))}
        try:
            done, _ = await asyncio.wait(tasks, timeout=delay)
            if not done and (second := self._select_second()) is not None:
                tasks.add(loop.create_task(self._run_second(second)))
            return await self._wait_for_usable(tasks)
        finally:
            await self._cancel(tasks)

    async def _wait_for_usable(
        self, tasks: set[asyncio.Task[HedgeOutcome]]
    ) -> HedgeOutcome:
        outcomes: list[HedgeOutcome] = []
        pending = tasks
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            outcomes += sorted((task.result() for task in done), key=_is_usable)
            if outcomes[-1].usable:
                break
        *others, last = outcomes
        for other in others:
            self._record_unused(other)
        if len(tasks) > 1:
            self._record_end(last, is_first_running=bool(pending))
        return last

    def _record_unused(self, unused: HedgeOutcome) -> None:
        """Record a send that has ended before the one that decides."""
        match unused.outcome:
            case NotSent() | NotRun():
                self._call.attempts -= 1
            case OutcomeUnknown():
                self._dependencies.fatal_requests.record_break(
                    unused.candidate.entry, self._call
                )

    def _record_end(self, last: HedgeOutcome, *, is_first_running: bool) -> None:
        winner = 'none'
        if last.usable:
            winner = 'first' if last.call is self._call else 'second'
        if winner == 'second' and is_first_running:
            # Without its time so far, late answers would not count at all.
            self._record_time(self._call)
        self._dependencies.recorder.record_hedge_end(self._call, winner)

    async def _cancel(self, tasks: set[asyncio.Task[HedgeOutcome]]) -> None:
        """Close the connections of the sends that are still running."""
        running = [task for task in tasks if not task.done()]
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running)

    def _select_second(self) -> Candidate | None:
        """Return the second target, and take a retry; None: it isn't sent there."""
        now = asyncio.get_running_loop().time()
        others = self._selector.list_sendable(now)
        if not any(other.health.is_available(now) for other in others):
            return None
        fatal_requests = self._dependencies.fatal_requests
        if fatal_requests.is_quarantined(self._call):
            return None
        if not self._may_retry():
            return None
        second = self._selector.select()
        self._call.tried.add(second.entry.start_id)
        self._call.attempts += 1
        self._dependencies.recorder.record_hedged(
            self._call, second, now - self._call.sent_at
        )
        return second

    async def _run_second(self, second: Candidate) -> HedgeOutcome:
        # What an answer says is recorded for the target of its own call.
        now = asyncio.get_running_loop().time()
        incarnation = second.entry.incarnation
        call = replace(self._call, target=incarnation, sent_at=now)
        self._dependencies.recorder.record_sent(call, second)
        second.health.begin_request(now)
        try:
            return await self._run(call, second)
        finally:
            second.health.end_request()

    async def _run(self, call: Call, candidate: Candidate) -> HedgeOutcome:
        dependencies = self._dependencies
        last_event_id = call.metadata.last_event_id
        sending = dependencies.target_client.send(call, candidate, last_event_id)
        outcome = await sending
        if candidate.health.leaving:
            dependencies.targets.record_leaving(candidate.entry)
        if isinstance(outcome, Answered):
            return HedgeOutcome(call, candidate, await self._read(call, outcome))
        return HedgeOutcome(call, candidate, outcome)

    def _record_time(self, call: Call) -> None:
        now = asyncio.get_running_loop().time()
        self._times.record(now - call.sent_at, now)

    async def _read(
        self, call: Call, answered: Answered
    ) -> WholeAnswer | OutcomeUnknown:
        loop = asyncio.get_running_loop()
        try:
            body = await answered.connection.read_body(
                AnswerCharge(call.request.memory)
            )
        except (asyncio.CancelledError, MemoryExhausted):
            answered.connection.close()
            raise
        except ConnectionBroken as error:
            answered.connection.close()
            answered.health.record_failure(loop.time())
            return OutcomeUnknown(repr(error))
        except Exception as error:
            # The other target's answer may be whole.
            answered.connection.close()
            return self._dependencies.target_client.record_error(call, error)
        self._dependencies.target_client.release(answered)
        if answered.succeeded:
            self._record_time(call)
        return WholeAnswer(answered, body)


def _is_usable(outcome: HedgeOutcome) -> bool:
    return outcome.usable
