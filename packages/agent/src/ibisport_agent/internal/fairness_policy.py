"""Start-time fair queueing over workspaces, by tokens and weight.

Each workspace has a virtual start time that grows by the tokens it uses divided
by its weight; the smallest goes next. The virtual time of the queue is that of
the request started last, so an idle workspace accumulates no credit.
"""

from dataclasses import dataclass

from ibisport_agent.internal.fairness_flow import Entry, Flow
from ibisport_agent.internal.fairness_rates import ServiceRate
from ibisport_agent.internal.fairness_reserve import (
    HoldLimit,
    Reserve,
    Shares,
    TrunkReserve,
    compute_shares,
    is_active,
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
    """Parameters of the fair queue.

    Attributes:
        reserve: How slots are reserved for light workspaces.
        head_start: Advance in virtual time of one priority step over the next,
            in requests of mean size.
        max_queued: Bound on the number of waiting requests.
    """

    reserve: Reserve = DEFAULT_RESERVE
    head_start: float = 2
    max_queued: int = 1024


class FairPolicy:
    """Fair ordering, bounds and refusals for the queue of one target.

    Args:
        slots: Requests that may run at once.
        options: Parameters of the policy.
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
            ticket: Request for a slot; its request id must not be in use.
            now: Unix time in seconds.

        Returns:
            Tickets evicted from the largest queue to make room.

        Raises:
            Overloaded: The request did not run; retry at ``retry_at``.
        """
        flow = self._record_arrival(ticket, now)
        self._refresh_shares(now)
        entry = flow.make_entry(ticket, self._entered, now)
        wait = self._estimate_wait(flow, entry, now)
        ends_at = now + wait + self._rate.predict_max_seconds(entry.expected_tokens)
        if wait > 0 and ends_at > ticket.deadline:
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
            The ticket started or dropped; None when no ticket waits, no slot is free
            or no workspace may take one.
        """
        if len(self._running) >= self._slots or not self._queued:
            return None
        flow = self._choose_flow(now)
        if flow is None:
            return None
        entry = flow.queued[0]
        del self._queued[entry.ticket.request_id]
        dropped = self._check_deadline(flow, entry, now)
        if dropped is not None:
            flow.remove(entry)
            return dropped
        self._virtual_time = max(self._virtual_time, flow.virtual_start)
        flow.start(entry)
        self._running[entry.ticket.request_id] = entry
        return Started(entry.ticket)

    def leave(
        self, ticket: Ticket, used_tokens: int, seconds: float, now: float
    ) -> None:
        """Free the slot, charge the actual tokens and update the rates.

        Args:
            ticket: A started ticket; an unknown one is ignored.
            used_tokens: Tokens used; zero leaves the measured rates unchanged.
            seconds: Time that the slot was held.
            now: Unix time in seconds.
        """
        entry = self._running.pop(ticket.request_id, None)
        if entry is None:
            return
        self._flows[ticket.workspace].finish(entry, used_tokens, seconds, now)
        self._rate.add(used_tokens, seconds)
        if not self._running and not self._queued:
            # The busy period ends: usage within it no longer counts.
            starts = (flow.virtual_start for flow in self._flows.values())
            self._virtual_time = max(self._virtual_time, *starts)

    def withdraw(self, request_id: bytes) -> bool:
        """Remove a waiting ticket; return whether it was waiting."""
        entry = self._queued.pop(request_id, None)
        if entry is None:
            return False
        self._flows[entry.ticket.workspace].remove(entry)
        return True

    def measure(self) -> QueueLoad:
        """Return the current load."""
        tokens = sum(flow.queued_tokens for flow in self._flows.values())
        return QueueLoad(
            running=len(self._running),
            queued=len(self._queued),
            queued_tokens=max(round(tokens), 0),
            slots=self._slots,
            token_rate=self._rate.tokens_per_second * self._slots,
        )

    def resize(self, slots: int) -> None:
        """Change how many requests may run at once; running ones continue."""
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
        retained = {
            workspace: flow
            for workspace, flow in self._flows.items()
            if is_active(flow, now) or flow.virtual_start > self._virtual_time
        }
        if len(retained) > FLOW_CLEANUP_THRESHOLD:
            retained = {
                workspace: flow for workspace, flow in retained.items() if not flow.idle
            }
        self._flows = retained

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
        free_slots = self._slots - len(self._running)
        if free_slots > 0 and not flow.queued and self._may_start(flow):
            return 0
        own_tokens = flow.sum_tokens_ahead(entry)
        rank = self._compute_rank(flow, entry) + own_tokens / flow.weight
        other_tokens = 0.0
        for other in self._flows.values():
            if other.queued and other is not flow:
                ahead = (
                    rank - self._compute_rank(other, other.queued[0])
                ) * other.weight
                other_tokens += min(max(ahead, 0), other.queued_tokens)
        departure_seconds = self._rate.hold_seconds / self._slots
        token_rate = flow.served_tokens.rate(now)
        if flow.heavy and token_rate > 0:
            # Reserved slots are not available to a heavy workspace, so its queue drains
            # at the rate at which its own requests are served.
            departure_seconds = max(
                departure_seconds,
                own_tokens / token_rate - (own_tokens + other_tokens) / capacity,
            )
        return (own_tokens + other_tokens) / capacity + departure_seconds

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
        ends_at = now + self._rate.predict_max_seconds(entry.expected_tokens)
        if ends_at > ticket.deadline and self._queued:
            refusal = self._make_refusal(flow, now, 'its deadline cannot be met')
            return Dropped(ticket, refusal)
        return None

    def _make_refusal(self, flow: Flow, now: float, reason: str) -> Overloaded:
        token_rate = flow.served_tokens.rate(now)
        if token_rate <= 0:
            token_rate = self._rate.tokens_per_second
        wait = flow.queued_tokens / token_rate if token_rate > 0 else 1
        wait = min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        return Overloaded(reason, retry_at=now + wait)


def _get_sort_key(ranked: tuple[float, Entry, Flow]) -> tuple[float, Entry]:
    return ranked[0], ranked[1]


def _compute_weighted_backlog(flow: Flow) -> float:
    return flow.queued_tokens / flow.weight
