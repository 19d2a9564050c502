"""The door of a target: requests wait here, each in its own thread.

The policy decides under a lock who is next and never blocks; a request waits on
an event of its own, so that a departure wakes only those whose turn came.
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

# How late a set ``cancelled`` event may be seen; ``withdraw`` is seen at once, so
# a run that is cancelled withdraws too. At 0.1 s, 250 waiting threads kept an
# agent at 0.95 of a core and small workspaces waited seconds (MEASUREMENTS).
CANCEL_CHECK_SECONDS = 2.0


class TurnQueue:
    """A queue of threads in front of the slots of one target.

    A ticket is entered once; then its thread calls ``wait_turn``, and after its
    return exactly one ``leave``. Every ticket ends in one of these: its turn, a
    refusal, a withdrawal.

    Args:
        policy: Decides who is next.
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
            ticket: What wants a slot.

        Raises:
            Overloaded: Its deadline cannot be met, or the queue is full; it did
                not run and may come back at ``retry_at``.
            DeadlinePassed: Its deadline is already over.
            IdentityReused: A request of this id waits or runs.
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
        """Block the request's own thread until it holds a slot.

        Args:
            ticket: A ticket that was entered.
            cancelled: Set when the request is wanted no more.

        Raises:
            DeadlinePassed: The deadline came first; it did not run.
            RequestCancelled: It was cancelled or withdrawn; it did not run.
            Overloaded: It was dropped, as its deadline cannot be met any more
                or as a better claim needed its place; it did not run.
        """
        place = self._waiters.get(ticket.request_id)
        if place is None:
            raise RequestCancelled('it was withdrawn')
        while not place.decided.is_set() and not cancelled.is_set():
            left = ticket.deadline - self._clock()
            if left <= 0:
                break
            place.decided.wait(min(left, CANCEL_CHECK_SECONDS))
        with self._lock:
            self._end_wait(ticket, place, cancelled)
        if place.refusal is not None:
            raise place.refusal

    def leave(self, ticket: Ticket, used_tokens: int, seconds: float) -> None:
        """Free the slot after ``wait_turn`` returned.

        Args:
            ticket: The ticket that holds the slot.
            used_tokens: Prompt and output tokens that were used; zero when
                nothing can be learned from it.
            seconds: How long the target worked on it.
        """
        with self._lock:
            self._free_slot(ticket, used_tokens, seconds)

    def withdraw(self, request_id: bytes) -> bool:
        """Take a ticket out that has no slot yet.

        Args:
            request_id: Identity of the request.

        Returns:
            Whether it was waiting; its thread then gets ``RequestCancelled``.
        """
        with self._lock:
            if not self._policy.withdraw(request_id):
                return False
            self._waiters.pop(request_id).decide(RequestCancelled('it was withdrawn'))
            self._dispatch_turns(self._clock())
            return True

    def measure(self) -> QueueLoad:
        """Return the load of now."""
        with self._lock:
            return self._policy.measure()

    def resize(self, slots: int) -> None:
        """Change how many requests may run at once; what runs goes on."""
        with self._lock:
            self._policy.resize(slots)
            self._dispatch_turns(self._clock())

    def _end_wait(
        self, ticket: Ticket, place: '_Waiter', cancelled: threading.Event
    ) -> None:
        if place.refusal is not None:
            self._waiters.pop(ticket.request_id, None)
            return
        if cancelled.is_set():
            refusal: Refusal = RequestCancelled('it was cancelled')
        elif place.decided.is_set():
            return
        else:
            refusal = DeadlinePassed('it waited until its deadline')
        if place.decided.is_set():
            self._free_slot(ticket, 0, 0)
        else:
            self._policy.withdraw(ticket.request_id)
            self._waiters.pop(ticket.request_id, None)
            self._dispatch_turns(self._clock())
        place.decide(refusal)

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
                # Its thread takes the place out, also if it comes later.
                self._waiters[ticket.request_id].decide(refusal)


class FairQueue(TurnQueue):
    """Fair to workspaces by weight in tokens; see ``FairPolicy``.

    Args:
        slots: Requests that may run at once.
        clock: Unix time in seconds.
        options: Constants of the policy.
    """

    def __init__(
        self,
        slots: int,
        clock: Callable[[], float] = time.time,
        options: FairOptions | None = None,
    ) -> None:
        super().__init__(FairPolicy(slots, options), clock)


class FifoQueue(TurnQueue):
    """First come, first served: the baseline.

    Args:
        slots: Requests that may run at once.
        clock: Unix time in seconds.
    """

    def __init__(self, slots: int, clock: Callable[[], float] = time.time) -> None:
        super().__init__(PlainPolicy(slots, FifoOrder()), clock)


class _Waiter:
    """Where the thread of one ticket waits."""

    def __init__(self) -> None:
        self.decided = threading.Event()
        self.refusal: Refusal | None = None

    def decide(self, refusal: Refusal | None) -> None:
        self.refusal = refusal
        self.decided.set()
