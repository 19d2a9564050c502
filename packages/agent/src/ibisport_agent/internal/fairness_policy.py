"""Start-time fair queueing over workspaces, by tokens and weight.

Each workspace has a virtual start time that grows by the tokens it uses over
its weight; the smallest goes next. The virtual time of the queue is that of the
request started last, so that an idle workspace saves up no claim.
"""

from dataclasses import dataclass

from ibisport_agent.internal.fairness_flow import Entry, Flow
from ibisport_agent.internal.fairness_rates import ServiceRate
from ibisport_agent.internal.fairness_reserve import (
    HoldLimit,
    Reserve,
    Shares,
    TrunkReserve,
    is_active,
    compute_shares,
)
from ibisport_agent.internal.fairness_ticket import (
    Dropped,
    QueueLoad,
    Started,
    Ticket,
    Turn,
)
from ibisport_core.errors import DeadlinePassed, Overloaded

MIN_RETRY_AFTER_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 60
FLOW_CLEANUP_THRESHOLD = 1024
SHARES_INTERVAL_SECONDS = 0.1
DEFAULT_RESERVE = TrunkReserve()


@dataclass(frozen=True, slots=True)
class FairOptions:
    """Constants of the fair queue.

    Attributes:
        reserve: How slots are kept free.
        head_start: Requests of mean size by which one step of priority goes
            before its virtual time.
        max_queued: Bound on the waiting requests.
    """

    reserve: Reserve = DEFAULT_RESERVE
    head_start: float = 2
    max_queued: int = 1024


class FairPolicy:
    """Order, bounds and refusals of one target's queue.

    Args:
        slots: Requests that may run at once.
        options: Constants.
    """

    def __init__(self, slots: int, options: FairOptions | None = None) -> None:
        self._slots = slots
        self._options = options or FairOptions()
        self._virtual_time = 0.0
        self._entered = 0
        self._flows: dict[str, Flow] = {}
        self._queued: dict[bytes, Entry] = {}
        self._running: dict[bytes, Entry] = {}
        self._rate = ServiceRate()
        self._shares = Shares()

    def enter(self, ticket: Ticket, now: float) -> list[Dropped]:
        """Queue a ticket, or refuse it when its deadline cannot be met.

        Args:
            ticket: What wants a slot; its request id is not known yet.
            now: Unix time in seconds.

        Returns:
            Tickets of the largest queue that made room.

        Raises:
            Overloaded: It did not run; come back at ``retry_at``.
        """
        flow = self._record_arrival(ticket, now)
        self._refresh_shares(now)
        entry = flow.make_entry(ticket, self._entered, now)
        wait = self._estimate_wait(flow, entry, now)
        ends = now + wait + self._rate.predict_max_seconds(entry.expected_tokens)
        if wait > 0 and ends > ticket.deadline:
            raise self._make_refusal(flow, now, 'its deadline cannot be met')
        dropped = self._make_room(flow, now)
        self._entered += 1
        flow.push(entry)
        self._queued[ticket.request_id] = entry
        return dropped

    def take_turn(self, now: float) -> Turn | None:
        """Start or drop the next ticket.

        Args:
            now: Unix time in seconds.

        Returns:
            What happened; None when no slot is free or nobody may take it.
        """
        if len(self._running) >= self._slots or not self._queued:
            return None
        flow = self._choose_flow(now)
        if flow is None:
            return None
        entry = flow.queued[0]
        del self._queued[entry.ticket.request_id]
        late = self._check_deadline(flow, entry, now)
        if late is not None:
            flow.remove(entry)
            return late
        self._virtual_time = max(self._virtual_time, flow.virtual_start)
        flow.start(entry)
        self._running[entry.ticket.request_id] = entry
        return Started(entry.ticket)

    def leave(
        self, ticket: Ticket, used_tokens: int, seconds: float, now: float
    ) -> None:
        """Free the slot, charge the actual tokens and learn the rates.

        Args:
            ticket: A started ticket; an unknown one changes nothing.
            used_tokens: Tokens that were used; zero teaches nothing.
            seconds: How long the slot was held.
            now: Unix time in seconds.
        """
        entry = self._running.pop(ticket.request_id, None)
        if entry is None:
            return
        self._flows[ticket.workspace].finish(entry, used_tokens, seconds, now)
        self._rate.add(used_tokens, seconds)
        if not self._running and not self._queued:
            # The busy period ends: what was used in it counts no more.
            tags = (flow.virtual_start for flow in self._flows.values())
            self._virtual_time = max(self._virtual_time, *tags)

    def withdraw(self, request_id: bytes) -> bool:
        """Remove a waiting ticket and tell whether it was waiting."""
        entry = self._queued.pop(request_id, None)
        if entry is None:
            return False
        self._flows[entry.ticket.workspace].remove(entry)
        return True

    def measure(self) -> QueueLoad:
        """Return the load of now."""
        tokens = sum(flow.queued_tokens for flow in self._flows.values())
        return QueueLoad(
            running=len(self._running),
            queued=len(self._queued),
            queued_tokens=max(round(tokens), 0),
            slots=self._slots,
            token_rate=self._rate.tokens_per_second * self._slots,
        )

    def resize(self, slots: int) -> None:
        """Change how many requests may run at once; what runs goes on."""
        self._slots = max(slots, 1)

    def _record_arrival(self, ticket: Ticket, now: float) -> Flow:
        if len(self._flows) > FLOW_CLEANUP_THRESHOLD:
            self._remove_idle_flows(now)
        flow = self._flows.setdefault(ticket.workspace, Flow(ticket.weight))
        flow.weight = ticket.weight
        flow.active_at = now
        flow.arrivals.add(1, now)
        if not flow.queued:
            flow.virtual_start = max(flow.virtual_start, self._virtual_time)
        return flow

    def _remove_idle_flows(self, now: float) -> None:
        kept = {
            workspace: flow
            for workspace, flow in self._flows.items()
            if is_active(flow, now) or flow.virtual_start > self._virtual_time
        }
        if len(kept) > FLOW_CLEANUP_THRESHOLD:
            kept = {
                workspace: flow for workspace, flow in kept.items() if not flow.idle
            }
        self._flows = kept

    def _compute_rank(self, flow: Flow, entry: Entry) -> float:
        step = self._options.head_start * self._rate.request_tokens
        return flow.virtual_start + entry.ticket.priority * step

    def _choose_flow(self, now: float) -> Flow | None:
        self._refresh_shares(now)
        ranked = [
            (self._compute_rank(flow, flow.queued[0]), flow.queued[0], flow)
            for flow in self._flows.values()
            if flow.queued and self._may_start(flow)
        ]
        if not ranked:
            return None
        return min(ranked, key=_get_sort_key)[2]

    def _may_start(self, flow: Flow) -> bool:
        if self._shares.may_always_start(flow):
            return True
        match self._options.reserve:
            case HoldLimit():
                return flow.running < self._slots - self._shares.reserved
            case _:
                return self._slots - len(self._running) > self._shares.reserved

    def _refresh_shares(self, now: float) -> None:
        if now - self._shares.computed_at < SHARES_INTERVAL_SECONDS:
            return
        self._shares = compute_shares(
            self._options.reserve,
            self._slots,
            self._rate.hold_seconds,
            self._flows.values(),
            now,
        )

    def _estimate_wait(self, flow: Flow, entry: Entry, now: float) -> float:
        capacity = self._rate.tokens_per_second * self._slots
        if capacity <= 0:
            return 0
        free = self._slots - len(self._running)
        if free > 0 and not flow.queued and self._may_start(flow):
            return 0
        own = flow.sum_tokens_ahead(entry)
        rank = self._compute_rank(flow, entry) + own / flow.weight
        others = 0.0
        for other in self._flows.values():
            if other.queued and other is not flow:
                ahead = (
                    rank - self._compute_rank(other, other.queued[0])
                ) * other.weight
                others += min(max(ahead, 0), other.queued_tokens)
        departure = self._rate.hold_seconds / self._slots
        drained = flow.served_tokens.rate(now)
        if flow.heavy and drained > 0:
            # What is kept free is no capacity for it.
            departure = max(departure, own / drained - (own + others) / capacity)
        return (own + others) / capacity + departure

    def _make_room(self, flow: Flow, now: float) -> list[Dropped]:
        if len(self._queued) < self._options.max_queued:
            return []
        largest = max(self._flows.values(), key=_compute_weighted_backlog)
        if largest is flow or not largest.queued:
            raise self._make_refusal(flow, now, 'its queue is full')
        last = largest.queued[-1]
        self.withdraw(last.ticket.request_id)
        refusal = self._make_refusal(
            largest, now, 'others have a better claim to the queue'
        )
        return [Dropped(last.ticket, refusal)]

    def _check_deadline(self, flow: Flow, entry: Entry, now: float) -> Dropped | None:
        ticket = entry.ticket
        if now >= ticket.deadline:
            return Dropped(ticket, DeadlinePassed('it waited until its deadline'))
        ends = now + self._rate.predict_max_seconds(entry.expected_tokens)
        if ends > ticket.deadline and self._queued:
            refusal = self._make_refusal(flow, now, 'its deadline cannot be met')
            return Dropped(ticket, refusal)
        return None

    def _make_refusal(self, flow: Flow, now: float, reason: str) -> Overloaded:
        drained = flow.served_tokens.rate(now)
        if drained <= 0:
            drained = self._rate.tokens_per_second
        wait = flow.queued_tokens / drained if drained > 0 else 1
        wait = min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        return Overloaded(reason, retry_at=now + wait)


def _get_sort_key(ranked: tuple[float, Entry, Flow]) -> tuple[float, Entry]:
    return ranked[0], ranked[1]


def _compute_weighted_backlog(flow: Flow) -> float:
    return flow.queued_tokens / flow.weight
