"""The queue of one service: ordered by rank, workspaces in turn, oldest first."""

import heapq
import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ibisport_fleet.queueing.policy import PendingRequest


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        ticket: Number in the order of arrival.
        request: The request.
        wait_until: Loop time from which it goes next within its rank.
    """

    ticket: int
    request: PendingRequest
    wait_until: float


class _RankQueue:
    """The requests of one rank that wait, by workspace."""

    def __init__(self) -> None:
        self.by_workspace: dict[str | None, dict[int, QueuedRequest]] = {}
        self._heap: list[tuple[float, int]] = []

    def push(self, queued: QueuedRequest) -> None:
        waiting = self.by_workspace.setdefault(queued.request.workspace, {})
        waiting[queued.ticket] = queued
        heapq.heappush(self._heap, (queued.wait_until, queued.ticket))

    def remove(self, queued: QueuedRequest) -> None:
        waiting = self.by_workspace[queued.request.workspace]
        waiting.pop(queued.ticket)
        if not waiting:
            self.by_workspace.pop(queued.request.workspace)

    def find_first_to_end(
        self, known: Mapping[int, QueuedRequest]
    ) -> QueuedRequest | None:
        """Return the request whose wait ends first.

        Args:
            known: All requests that still wait, by ticket.
        """
        while self._heap:
            found = known.get(self._heap[0][1])
            if found is not None:
                return found
            heapq.heappop(self._heap)
        return None

    def find_in_turn(self, in_use: Mapping[str | None, int]) -> QueuedRequest:
        """Return the oldest request of the workspace with the least in use."""
        oldest = [
            next(iter(waiting.values())) for waiting in self.by_workspace.values()
        ]
        return min(
            oldest,
            key=lambda queued: (in_use.get(queued.request.workspace, 0), queued.ticket),
        )


class RequestQueue:
    """Requests that wait for targets of one service.

    Attributes:
        size: Total size of the bodies that wait, in bytes.
    """

    def __init__(self) -> None:
        self.size = 0
        self._by_ticket: dict[int, QueuedRequest] = {}
        self._ranks: dict[int, _RankQueue] = {}
        self._latest_end = math.inf

    def __len__(self) -> int:
        return len(self._by_ticket)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._by_ticket.values())

    def push(self, queued: QueuedRequest) -> None:
        """Add a request."""
        self._by_ticket[queued.ticket] = queued
        self._ranks.setdefault(queued.request.rank, _RankQueue()).push(queued)
        self.size += queued.request.size

    def remove(self, ticket: int) -> QueuedRequest | None:
        """Remove a request; return None if it doesn't wait any more."""
        queued = self._by_ticket.pop(ticket, None)
        if queued is None:
            return None
        rank = self._ranks[queued.request.rank]
        rank.remove(queued)
        if not rank.by_workspace:
            self._ranks.pop(queued.request.rank)
        self.size -= queued.request.size
        return queued

    def limit_waits(self, until: float) -> None:
        """End all waits, also those of later requests, by a loop time."""
        self._latest_end = until

    def has_waiting(self, rank: int) -> bool:
        """Return whether requests of a rank or of a more urgent one wait."""
        return any(other <= rank for other in self._ranks)

    def find_next(
        self, in_use: Mapping[str | None, int], now: float
    ) -> QueuedRequest | None:
        """Return the request that goes next.

        Args:
            in_use: Requests that run for each workspace.
            now: Loop time.
        """
        if not self._ranks:
            return None
        rank = self._ranks[min(self._ranks)]
        first = rank.find_first_to_end(self._by_ticket)
        if first is not None and first.wait_until <= now:
            return first
        return rank.find_in_turn(in_use)

    def find_earliest_end(self) -> float:
        """Return the loop time at which the first wait ends; infinite if none waits."""
        ends = [
            first.wait_until
            for rank in self._ranks.values()
            if (first := rank.find_first_to_end(self._by_ticket)) is not None
        ]
        return min(*ends, self._latest_end) if ends else math.inf

    def find_displaceable(self, request: PendingRequest) -> QueuedRequest | None:
        """Return the request that gives up its place for another one, or None.

        It is the newest one of the workspace with the most requests in the least
        urgent rank. Requests of the same rank are displaced only where the workspaces'
        numbers of waiting requests come closer.
        """
        if not self._ranks:
            return None
        last_rank = max(self._ranks)
        by_workspace = self._ranks[last_rank].by_workspace
        largest = max(by_workspace.values(), key=len)
        own_count = len(by_workspace.get(request.workspace, ()))
        is_due = last_rank == request.rank and len(largest) > own_count + 1
        if last_rank > request.rank or is_due:
            return next(reversed(largest.values()))
        return None
