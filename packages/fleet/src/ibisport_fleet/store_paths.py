"""Ranks the paths to the store: the direct path and the relays."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from ibisport_fleet.addresses import Address
from ibisport_fleet.rendezvous import compute_score

# A path that failed is ranked last for this time.
FAILED_PATH_BACKOFF_SECONDS = 2.0
# A relay that failed isn't used for shared watches for this time: while it doesn't
# respond, each watch costs the full timeout.
SHARED_BACKOFF_SECONDS = 10.0
# The backoff of a host on which no relay listens doubles up to this many times.
MAX_BACKOFF_DOUBLINGS = 6
# Paths that a call may try before it fails.
MAX_PATHS = 3


class CallKind(Enum):
    """Kind of a store call; the store's quota charges some kinds less than others."""

    read = 'read'
    list_all = 'list'
    list_stale = 'list stale'
    watch = 'watch'
    write = 'write'
    grant = 'grant lease'
    renew = 'renew lease'
    end = 'end lease'
    probe = 'probe'


@dataclass(frozen=True, slots=True)
class RelayEndpoint:
    """Address at which a relay may listen; only a connection attempt shows it."""

    address: Address
    domain: str


class StorePaths:
    """Paths to the store, best first.

    A partition often cuts a router off from the store but not from the hosts of
    its targets; relays on these hosts forward its calls. The direct path is used
    again as soon as a probe succeeds.

    Attributes:
        direct: Address of the store.
        direct_works: Whether the last call on the direct path was answered.
        on_direct_lost: Called when the direct path stops working, if set.
        attempt_counts: Attempts by kind of call and whether they went direct.
    """

    def __init__(
        self,
        direct: Address,
        domain: str,
        list_relays: Callable[[], Iterable[RelayEndpoint]],
    ) -> None:
        self.direct = direct
        self.direct_works = True
        self.on_direct_lost: Callable[[], None] | None = None
        self.attempt_counts: Counter[tuple[CallKind, bool]] = Counter()
        self._domain = domain
        self._list_relays = list_relays
        self._backoff_until: dict[Address, float] = {}
        self._shared_backoff_until: dict[Address, float] = {}
        self._missing_counts: Counter[Address] = Counter()
        self._working_relay: Address | None = None

    def list_shared_paths(self, prefix: str, now: float) -> list[Address]:
        """Return the addresses to try for a watch that routers share, best first.

        All routers of a failure domain rank its relays by the same hash, so they use
        the same relay. Where their lists differ, the store gets one more watch.

        Args:
            prefix: The watched prefix; different prefixes may map to different relays.
            now: Loop time.
        """
        usable = [
            endpoint.address
            for endpoint in self._list_relays()
            if endpoint.domain == self._domain
            and self._shared_backoff_until.get(endpoint.address, 0.0) <= now
        ]
        paths = self.list_paths(now)
        if not usable:
            return paths
        first = min(usable, key=lambda relay: compute_score(prefix, str(relay)))
        return [first, *(path for path in paths if path != first)][:MAX_PATHS]

    def list_paths(self, now: float) -> list[Address]:
        """Return the addresses to try for a call, best first."""
        relays = self._rank_relays(now)
        if self.direct_works:
            return [self.direct, *relays][:MAX_PATHS]
        # The direct path comes last, in case the relays are what fails.
        return [*relays[: MAX_PATHS - 1], self.direct]

    def count_attempt(self, kind: CallKind, address: Address) -> None:
        """Count an attempt of a call on a path."""
        self.attempt_counts[kind, address == self.direct] += 1

    def record_answer(self, address: Address) -> None:
        """Record that a call was answered on a path."""
        self._backoff_until.pop(address, None)
        self._missing_counts.pop(address, None)
        if address == self.direct:
            self.direct_works = True
        else:
            self._working_relay = address

    def record_shared_failure(self, address: Address, now: float) -> None:
        """Record that a shared watch failed on a path and succeeded on another."""
        self._shared_backoff_until[address] = now + SHARED_BACKOFF_SECONDS

    def record_missing_relay(self, address: Address, now: float) -> None:
        """Record that no relay listens at an address."""
        doublings = min(self._missing_counts[address], MAX_BACKOFF_DOUBLINGS)
        self._missing_counts[address] += 1
        self._shared_backoff_until[address] = (
            now + 2**doublings * SHARED_BACKOFF_SECONDS
        )

    def record_failure(self, address: Address, now: float) -> None:
        """Record that a call failed on a path."""
        self._backoff_until[address] = now + FAILED_PATH_BACKOFF_SECONDS
        if address == self._working_relay:
            self._working_relay = None
        if address == self.direct and self.direct_works:
            self.direct_works = False
            if self.on_direct_lost is not None:
                self.on_direct_lost()

    def _rank_relays(self, now: float) -> list[Address]:
        domains = {
            endpoint.address: endpoint.domain for endpoint in self._list_relays()
        }
        shuffled = random.sample(list(domains), len(domains))
        return sorted(
            shuffled,
            key=lambda relay: self._build_rank(relay, domains[relay], now),
        )

    def _build_rank(
        self, address: Address, domain: str, now: float
    ) -> tuple[bool, ...]:
        backing_off = self._backoff_until.get(address, 0) > now
        return (backing_off, address != self._working_relay, domain != self._domain)
