"""Baseline queue policies, to measure the fair queue against."""

from collections import OrderedDict, deque
from typing import Protocol

from ibisport_agent.internal.fairness_rates import ServiceRate
from ibisport_agent.internal.fairness_ticket import (
    Dropped,
    QueueLoad,
    Started,
    Ticket,
    Turn,
)
from ibisport_core.errors import DeadlinePassed, Overloaded

MAX_QUEUED = 1024


class _Order(Protocol):
    def add(self, ticket: Ticket) -> None: ...

    def remove_first(self) -> Ticket: ...

    def remove(self, ticket: Ticket) -> None: ...


class FifoOrder:
    """First come, first served across all workspaces."""

    def __init__(self) -> None:
        self._tickets: OrderedDict[bytes, Ticket] = OrderedDict()

    def add(self, ticket: Ticket) -> None:
        """Queue a ticket."""
        self._tickets[ticket.request_id] = ticket

    def remove_first(self) -> Ticket:
        """Remove and return the next ticket."""
        return self._tickets.popitem(last=False)[1]

    def remove(self, ticket: Ticket) -> None:
        """Remove a queued ticket."""
        del self._tickets[ticket.request_id]


class RoundRobinOrder:
    """One request of each workspace in turn, regardless of its size."""

    def __init__(self) -> None:
        self._queues: OrderedDict[str, deque[Ticket]] = OrderedDict()

    def add(self, ticket: Ticket) -> None:
        """Queue a ticket."""
        self._queues.setdefault(ticket.workspace, deque()).append(ticket)

    def remove_first(self) -> Ticket:
        """Remove and return the next ticket; its workspace goes last."""
        workspace, queue = self._queues.popitem(last=False)
        ticket = queue.popleft()
        if queue:
            self._queues[workspace] = queue
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a queued ticket."""
        queue = self._queues[ticket.workspace]
        queue.remove(ticket)
        if not queue:
            del self._queues[ticket.workspace]


class PlainPolicy:
    """A bounded queue that refuses only when full or at the deadline.

    Args:
        slots: Requests that may run at once.
        order: Chooses the next ticket.
    """

    def __init__(self, slots: int, order: _Order) -> None:
        self._slots = slots
        self._order = order
        self._queued: dict[bytes, Ticket] = {}
        self._running: set[bytes] = set()
        self._rate = ServiceRate()

    def enter(self, ticket: Ticket, now: float) -> list[Dropped]:
        """Queue a ticket.

        Raises:
            Overloaded: The queue is full.
        """
        if len(self._queued) >= MAX_QUEUED:
            raise Overloaded('its queue is full', retry_at=now + 1)
        self._queued[ticket.request_id] = ticket
        self._order.add(ticket)
        return []

    def take_turn(self, now: float) -> Turn | None:
        """Start or drop the next ticket; None when no slot is free or none waits."""
        if len(self._running) >= self._slots or not self._queued:
            return None
        ticket = self._order.remove_first()
        del self._queued[ticket.request_id]
        if now >= ticket.deadline:
            return Dropped(ticket, DeadlinePassed('it waited until its deadline'))
        self._running.add(ticket.request_id)
        return Started(ticket)

    def leave(
        self, ticket: Ticket, used_tokens: int, seconds: float, now: float
    ) -> None:
        """Free the slot of a started ticket."""
        self._running.discard(ticket.request_id)
        self._rate.add(used_tokens, seconds)

    def withdraw(self, request_id: bytes) -> bool:
        """Remove a waiting ticket; return whether it was waiting."""
        ticket = self._queued.pop(request_id, None)
        if ticket is None:
            return False
        self._order.remove(ticket)
        return True

    def measure(self) -> QueueLoad:
        """Return the current load."""
        return QueueLoad(
            running=len(self._running),
            queued=len(self._queued),
            queued_tokens=sum(ticket.cost for ticket in self._queued.values()),
            slots=self._slots,
            token_rate=self._rate.tokens_per_second * self._slots,
        )

    def resize(self, slots: int) -> None:
        """Change how many requests may run at once; running ones continue."""
        self._slots = max(slots, 1)
