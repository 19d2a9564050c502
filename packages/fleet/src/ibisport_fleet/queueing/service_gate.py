"""Lets the requests of one service go to targets in the order of their ranks."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ibisport_fleet.queueing.demand import ServiceDemand
from ibisport_fleet.queueing.policy import (
    Decision,
    PendingRequest,
    Refuse,
    Send,
    Wait,
    WaitReason,
    decide,
    plan_wait,
    refuse_for_space,
    refuse_if_too_late,
)
from ibisport_fleet.queueing.request_queue import QueuedRequest, RequestQueue
from ibisport_fleet.queueing.start_estimates import Capacity, StartEstimator
from ibisport_fleet.target_choice import Candidate

# Reports of load arrive without a notification, so the head of the queue is decided
# anew after this time; it is short against the objectives of some 0.2 to 2 s.
RECHECK_SECONDS = 0.025
# A list of targets is reused for this long, so that its cost doesn't grow with the
# number of requests. Their load is read anew for each decision.
LISTING_SECONDS = 0.1
MAX_QUEUED_REQUESTS = 1_024
MAX_QUEUED_BYTES = 16 * 1_024 * 1_024


@dataclass(frozen=True, slots=True)
class ServiceSources:
    """What a gate knows of its service.

    Attributes:
        list_candidates: Returns the targets that may get a request now, by the regions
            that it allows.
        find_estimator: Returns the estimator of starts, or None.
        count_routers: Returns the number of routers, including this one.
    """

    list_candidates: Callable[[frozenset[str] | None], Sequence[Candidate]]
    find_estimator: Callable[[], StartEstimator | None]
    count_routers: Callable[[], int]


class QueueBounds:
    """The bounds of all queues of a router together.

    Attributes:
        queues: The queues of all services.
    """

    def __init__(self) -> None:
        self.queues: list[RequestQueue] = []

    @property
    def count(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue) for queue in self.queues)

    @property
    def size(self) -> int:
        """Total size of their bodies in bytes."""
        return sum(queue.size for queue in self.queues)

    def fits(self, size: int) -> bool:
        """Return whether a request with a body of this size may wait as well."""
        return self.count < MAX_QUEUED_REQUESTS and self.size + size <= MAX_QUEUED_BYTES


@dataclass(frozen=True, slots=True)
class Turn:
    """The end of a request's wait.

    Attributes:
        decision: Whether it is sent or refused.
        reason: Why it waited, or None if it didn't.
    """

    decision: Send | Refuse
    reason: WaitReason | None = None


SENT_AT_ONCE = Turn(Send())


class ServiceGate:
    """Decides when the requests of one service go to its targets.

    Attributes:
        demand: The observed demand.
        queue: The requests that wait.
    """

    def __init__(self, sources: ServiceSources, bounds: QueueBounds) -> None:
        self.demand = ServiceDemand()
        self.queue = RequestQueue()
        self._sources = sources
        self._bounds = bounds
        bounds.queues.append(self.queue)
        self._in_use: Counter[str | None] = Counter()
        self._turns: dict[int, asyncio.Future[Send | Refuse]] = {}
        self._tickets = itertools.count()
        self._next_decision: asyncio.Handle | None = None
        self._capacities: dict[frozenset[str] | None, Capacity] = {}
        self._listed_until = 0.0

    async def wait_for_turn(self, request: PendingRequest) -> Turn:
        """Return once a request may be sent or is refused.

        A request whose caller disconnects meanwhile leaves the queue at once.
        """
        now = _now()
        capacity = self._observe_capacity(request, now)
        decision = self._decide(request, capacity, now)
        if isinstance(decision, Send) and self.queue.has_waiting(request.rank):
            if not capacity.candidates:
                return SENT_AT_ONCE
            wait_until = plan_wait(request, capacity, now)
            decision = Wait(wait_until, WaitReason.behind)
        match decision:
            case Wait(until=until, reason=reason):
                return await self._wait(request, until, reason)
            case Send():
                return SENT_AT_ONCE
            case Refuse():
                return Turn(decision)

    def begin_request(self, workspace: str | None) -> None:
        """Count a request that is sent to a target."""
        self._in_use[workspace] += 1

    def end_request(self, workspace: str | None, *, ran: bool) -> None:
        """Count a request that has ended at a target, and let others go.

        Args:
            workspace: Its workspace, or None.
            ran: Whether it may have run; a rejected one leaves no capacity free.
        """
        self._in_use[workspace] -= 1
        if not self._in_use[workspace]:
            self._in_use.pop(workspace)
        if ran:
            self.demand.record_end(_now())
        if self.queue:
            self._decide_soon()

    def limit_waits(self, until: float) -> None:
        """End all waits by a loop time, since the process stops."""
        self.queue.limit_waits(until)
        if self.queue:
            self._decide_soon()

    async def _wait(
        self, request: PendingRequest, until: float, reason: WaitReason
    ) -> Turn:
        refusal = self._make_space(request)
        if refusal is not None:
            return Turn(refusal)
        ticket = next(self._tickets)
        turn = asyncio.get_running_loop().create_future()
        self._turns[ticket] = turn
        self.queue.push(QueuedRequest(ticket, request, until))
        self._decide_soon()
        try:
            return Turn(await turn, reason)
        finally:
            self.queue.remove(ticket)
            self._turns.pop(ticket, None)

    def _make_space(self, request: PendingRequest) -> Refuse | None:
        """Displace requests for a new one; return its refusal if there is no space."""
        while not self._bounds.fits(request.size):
            displaced = self.queue.find_displaceable(request)
            refusal = refuse_for_space(
                self._bounds.count, self.demand.measure_release_rate(_now())
            )
            if displaced is None:
                return refusal
            self._end_wait(displaced, refusal)
        return None

    def _observe_capacity(self, request: PendingRequest, now: float) -> Capacity:
        if now >= self._listed_until:
            self._listed_until = now + LISTING_SECONDS
            self._capacities.clear()
        capacity = self._capacities.get(request.regions)
        if capacity is None:
            sources = self._sources
            capacity = Capacity(
                sources.list_candidates(request.regions),
                sources.find_estimator(),
                sources.count_routers(),
                self.demand.measure_release_rate(now),
            )
            self._capacities[request.regions] = capacity
        return capacity

    def _decide(
        self, request: PendingRequest, capacity: Capacity, now: float
    ) -> Decision:
        urgent = self.demand.list_more_urgent(request.rank, now)
        return decide(request, capacity, urgent, now)

    def _decide_soon(self) -> None:
        if self._next_decision is not None:
            self._next_decision.cancel()
        self._next_decision = asyncio.get_running_loop().call_soon(self._decide_next)

    def _decide_at(self, when: float) -> None:
        loop = asyncio.get_running_loop()
        self._next_decision = loop.call_at(when, self._decide_next)

    def _decide_next(self) -> None:
        """Decide on the request that goes next, and plan the next decision.

        One request goes at a time: its send changes the load on which the next
        decision rests. A request whose wait has ended goes even if there is no room,
        after all more urgent ones.
        """
        self._next_decision = None
        now = _now()
        queued: QueuedRequest | None = None
        try:
            queued = self.queue.find_next(self._in_use, now)
            if queued is not None:
                self._decide_on(queued, now)
        except Exception as error:
            self._handle_error(queued, error, now)

    def _decide_on(self, queued: QueuedRequest, now: float) -> None:
        capacity = self._observe_capacity(queued.request, now)
        decision: Decision
        if self.queue.find_earliest_end() <= now:
            decision = refuse_if_too_late(queued.request, capacity, now) or Send()
        else:
            decision = self._decide(queued.request, capacity, now)
        match decision:
            case Wait():
                end = self.queue.find_earliest_end()
                self._decide_at(min(now + RECHECK_SECONDS, end))
            case Send() | Refuse():
                self._end_wait(queued, decision)
                # Scheduled behind the task that sends this request.
                self._decide_soon()

    def _handle_error(
        self, queued: QueuedRequest | None, error: Exception, now: float
    ) -> None:
        """Let an error concern the request decided on; the others go on waiting."""
        if queued is None:
            self._decide_at(now + RECHECK_SECONDS)
            return
        self.queue.remove(queued.ticket)
        turn = self._turns.pop(queued.ticket, None)
        if turn is not None and not turn.done():
            turn.set_exception(error)
        self._decide_soon()

    def _end_wait(self, queued: QueuedRequest, decision: Send | Refuse) -> None:
        self.queue.remove(queued.ticket)
        turn = self._turns.pop(queued.ticket, None)
        if turn is not None and not turn.done():
            turn.set_result(decision)


def _now() -> float:
    return asyncio.get_running_loop().time()
