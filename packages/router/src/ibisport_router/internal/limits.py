"""Limits of workspaces, as this router keeps them.

A limit holds for the whole fleet; each router keeps its share of it, the limit
divided by the number of routers that are alive.
"""

import threading
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from ibisport_core.catalogue import Catalogue
from ibisport_core.entries import RequestLimits
from ibisport_core.errors import LimitReached, StreamsFull
from ibisport_router.internal.orders import Order

_MINUTE = 60.0
_RETRY_SECONDS = 1.0
_FREE_SHARE = 2


@dataclass(slots=True)
class _Window:
    """What was admitted since a Unix time, at most a minute ago."""

    since: float = 0
    requests: int = 0
    tokens: int = 0


class Limits:
    """Counts what each workspace has in flight and was admitted a minute."""

    def __init__(
        self,
        room: int,
        read_catalogue: Callable[[], Catalogue],
        count_routers: Callable[[], int],
    ) -> None:
        """Start with nothing in flight.

        Args:
            room: Most requests in flight at this router.
            read_catalogue: Returns the catalogue as it is known now.
            count_routers: Returns how many routers share a limit.
        """
        self._room = room
        self._read_catalogue = read_catalogue
        self._count_routers = count_routers
        self._lock = threading.Lock()
        self._in_flight: dict[str, int] = defaultdict(int)
        self._windows: dict[str, _Window] = defaultdict(_Window)

    def enter(self, order: Order) -> None:
        """Count a request in.

        Raises:
            LimitReached: The workspace is over one of its limits.
            StreamsFull: It holds its share of this router's requests.
        """
        workspace = self._read_catalogue().find_workspace(order.workspace)
        limits = workspace.limits if workspace else RequestLimits()
        with self._lock:
            self._check_room(order.workspace)
            window = self._open_window(order.workspace)
            self._check(order, limits, window)
            self._in_flight[order.workspace] += 1
            window.requests += 1
            window.tokens += order.reserved_tokens

    def leave(self, order: Order) -> None:
        """Count a request out."""
        with self._lock:
            self._in_flight[order.workspace] -= 1

    def _check_room(self, workspace: str) -> None:
        """Leave room among the open requests for workspaces that come later.

        A workspace may hold at most twice what is still free, so one alone
        gets two thirds of the room, and however many large ones there are,
        some is left. This is the dynamic threshold of Choudhury and Hahne,
        "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches",
        IEEE/ACM Transactions on Networking 6(2), 1998.
        """
        held = self._in_flight[workspace]
        free = self._room - sum(self._in_flight.values())
        if held >= max(1, _FREE_SHARE * free):
            raise StreamsFull(
                'the workspace holds its share of this router',
                retry_at=time.time() + _RETRY_SECONDS,
            )

    def _check(self, order: Order, limits: RequestLimits, window: _Window) -> None:
        in_flight = self._in_flight[order.workspace]
        if in_flight >= self._share(limits.max_concurrent):
            raise LimitReached(
                'too many requests in flight', retry_at=time.time() + _RETRY_SECONDS
            )
        tokens = window.tokens + order.reserved_tokens
        over_requests = window.requests >= self._share(limits.requests_per_minute)
        if over_requests or tokens > self._share(limits.tokens_per_minute):
            raise LimitReached(
                'over the limit of a minute', retry_at=window.since + _MINUTE
            )

    def _share(self, limit: int | None) -> float:
        if limit is None:
            return float('inf')
        return max(1, limit / max(1, self._count_routers()))

    def _open_window(self, workspace: str) -> _Window:
        window = self._windows[workspace]
        now = time.time()
        if now >= window.since + _MINUTE:
            window = _Window(since=now)
            self._windows[workspace] = window
        return window
