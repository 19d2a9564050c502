"""Admission queue of a target; each request waits in its own thread.

The policy chooses the next request under a lock and never blocks. Each request
waits on its own event, so a departure wakes only the threads that it starts or
drops.
"""

import threading
import time
from collections.abc import Callable

from ibisport_agent.internal.fairness_baseline import FifoOrder, PlainPolicy
from ibisport_agent.internal.fairness_policy import FairOptions, FairPolicy
from ibisport_agent.internal.fairness_ticket import (
    Dropped,
    QueueLoad,
    QueuePolicy,
    Started,
    Ticket,
    Turn,
)
from ibisport_core.errors import (
    DeadlinePassed,
    IdentityReused,
    Refusal,
    RequestCancelled,
)

__all__ = ('FairOptions', 'FairQueue', 'FifoQueue', 'QueueLoad', 'Ticket', 'TurnQueue')

# Maximum delay before a waiting thread sees its ``cancelled`` event. ``withdraw``
# takes effect at once, so a cancelled run also withdraws its ticket. At 0.1 s, 250
# waiting threads kept an agent at 0.95 of a core, and requests of small workspaces
# waited for seconds (MEASUREMENTS).
CANCEL_CHECK_SECONDS = 2.0


class TurnQueue:
    """A queue of threads in front of the slots of one target.

    A ticket is entered once. Its thread then calls ``wait_turn`` and, after that
    returns, calls ``leave`` exactly once. Every ticket ends with a slot, a refusal
    or a withdrawal.

    Args:
        policy: Chooses the next ticket.
        clock: Unix time in seconds.
    """

    def __init__(
        self, policy: QueuePolicy, clock: Callable[[], float] = time.time
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._lock = threading.Lock()
        self._waiters: dict[bytes, _Waiter] = {}

    def enter(self, ticket: Ticket) -> None:
        """Queue a ticket, or refuse it at once.

        Args:
            ticket: Request for a slot.

        Raises:
            Overloaded: The deadline cannot be met, or the queue is full; the
                request did not run and may be retried at ``retry_at``.
            DeadlinePassed: The deadline has already passed.
            IdentityReused: A request with this id is waiting or running.
        """
        with self._lock:
            if ticket.request_id in self._waiters:
                raise IdentityReused('a request of this id waits or runs')
            now = self._clock()
            if now >= ticket.deadline:
                raise DeadlinePassed('it came after its deadline')
            dropped = self._policy.enter(ticket, now)
            self._waiters[ticket.request_id] = _Waiter()
            for evicted in dropped:
                self._apply_turn(evicted)
            self._dispatch_turns(now)

    def wait_turn(self, ticket: Ticket, cancelled: threading.Event) -> None:
        """Block the calling thread until the ticket holds a slot.

        Args:
            ticket: A ticket that was entered.
            cancelled: Set when the request is cancelled.

        Raises:
            DeadlinePassed: The deadline passed first; the request did not run.
            RequestCancelled: The request was cancelled or withdrawn; it did not
                run.
            Overloaded: The ticket was dropped because its deadline can no longer
                be met or because a ticket of another workspace was queued in
                its place; the request did not run.
        """
        waiter = self._waiters.get(ticket.request_id)
        if waiter is None:
            raise RequestCancelled('it was withdrawn')
        while not waiter.decided.is_set() and not cancelled.is_set():
            remaining = ticket.deadline - self._clock()
            if remaining <= 0:
                break
            waiter.decided.wait(min(remaining, CANCEL_CHECK_SECONDS))
        with self._lock:
            self._end_wait(ticket, waiter, cancelled)
        if waiter.refusal is not None:
            raise waiter.refusal

    def leave(self, ticket: Ticket, used_tokens: int, seconds: float) -> None:
        """Free the slot after ``wait_turn`` has returned.

        Args:
            ticket: The ticket that holds the slot.
            used_tokens: Prompt and output tokens used; zero leaves the measured
                rates unchanged.
            seconds: Time that the target spent on the request.
        """
        with self._lock:
            self._free_slot(ticket, used_tokens, seconds)

    def withdraw(self, request_id: bytes) -> bool:
        """Remove a ticket that has no slot yet.

        Args:
            request_id: Identity of the request.

        Returns:
            Whether it was waiting; its thread then raises ``RequestCancelled``.
        """
        with self._lock:
            if not self._policy.withdraw(request_id):
                return False
            self._waiters.pop(request_id).decide(RequestCancelled('it was withdrawn'))
            self._dispatch_turns(self._clock())
            return True

    def measure(self) -> QueueLoad:
        """Return the current load."""
        with self._lock:
            return self._policy.measure()

    def resize(self, slots: int) -> None:
        """Change how many requests may run at once; running ones continue."""
        with self._lock:
            self._policy.resize(slots)
            self._dispatch_turns(self._clock())

    def _end_wait(
        self, ticket: Ticket, waiter: '_Waiter', cancelled: threading.Event
    ) -> None:
        if waiter.refusal is not None:
            self._waiters.pop(ticket.request_id, None)
            return
        if cancelled.is_set():
            refusal: Refusal = RequestCancelled('it was cancelled')
        elif waiter.decided.is_set():
            return
        else:
            refusal = DeadlinePassed('it waited until its deadline')
        if waiter.decided.is_set():
            self._free_slot(ticket, 0, 0)
        else:
            self._policy.withdraw(ticket.request_id)
            self._waiters.pop(ticket.request_id, None)
            self._dispatch_turns(self._clock())
        waiter.decide(refusal)

    def _free_slot(self, ticket: Ticket, used_tokens: int, seconds: float) -> None:
        now = self._clock()
        self._waiters.pop(ticket.request_id, None)
        self._policy.leave(ticket, used_tokens, seconds, now)
        self._dispatch_turns(now)

    def _dispatch_turns(self, now: float) -> None:
        turn = self._policy.take_turn(now)
        while turn is not None:
            self._apply_turn(turn)
            turn = self._policy.take_turn(now)

    def _apply_turn(self, turn: Turn) -> None:
        match turn:
            case Started(ticket):
                self._waiters[ticket.request_id].decide(None)
            case Dropped(ticket, refusal):
                # Its thread removes the waiter, even if ``wait_turn`` is called later.
                self._waiters[ticket.request_id].decide(refusal)


class FairQueue(TurnQueue):
    """A queue that shares tokens among workspaces by weight; see ``FairPolicy``.

    Args:
        slots: Requests that may run at once.
        clock: Unix time in seconds.
        options: Parameters of the policy.
    """

    def __init__(
        self,
        slots: int,
        clock: Callable[[], float] = time.time,
        options: FairOptions | None = None,
    ) -> None:
        super().__init__(FairPolicy(slots, options), clock)


class FifoQueue(TurnQueue):
    """First come, first served; the baseline for measurements.

    Args:
        slots: Requests that may run at once.
        clock: Unix time in seconds.
    """

    def __init__(self, slots: int, clock: Callable[[], float] = time.time) -> None:
        super().__init__(PlainPolicy(slots, FifoOrder()), clock)


class _Waiter:
    """The outcome that the thread of one ticket waits for."""

    def __init__(self) -> None:
        self.decided = threading.Event()
        self.refusal: Refusal | None = None

    def decide(self, refusal: Refusal | None) -> None:
        self.refusal = refusal
        self.decided.set()
