"""Which way a store call takes: straight, or through a relay."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import xxhash

from ibisport_fleet.addresses import Address

# A way that failed is tried last for so long.
FAILED_PATH_BACKOFF_SECONDS = 2.0
# A relay that failed isn't asked for shared watches for so long: while it is silent,
# each costs its whole time-out.
SHARED_BACKOFF_SECONDS = 10.0
# A host on which no relay listens is tried ever more rarely, up to so many doublings.
MAX_BACKOFF_DOUBLINGS = 6
# Ways that one call may take before it is given up.
MAX_PATHS = 3


class CallKind(Enum):
    """What a call asks of the store; the store counts them, some for less."""

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
    """Where a relay may listen; whether one does shows when it is tried."""

    address: Address
    domain: str


class StorePaths:
    """The ways to the store, best first.

    A partition often cuts a router off from the store but not from the hosts of
    its targets; relays there pass its calls on. The straight way is taken up
    again as soon as a probe succeeds.

    Attributes:
        straight: The store's own address.
        straight_works: The last call on the straight way was answered.
        on_straight_lost: Called when the straight way stops to work, if set.
        sent: Tries of calls by kind, and whether they went straight.
    """

    def __init__(
        self,
        straight: Address,
        domain: str,
        list_relays: Callable[[], Iterable[RelayEndpoint]],
    ) -> None:
        self.direct = straight
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

        All routers of a domain rank its relays alike, so they ask the same one. Where
        they don't, the store is asked once more.

        Args:
            prefix: What is watched; prefixes lie at different relays.
            now: Loop time.
        """
        usable = [
            place.address
            for place in self._list_relays()
            if place.domain == self._domain
            and self._shared_backoff_until.get(place.address, 0.0) <= now
        ]
        usual = self.list_paths(now)
        if not usable:
            return usual
        first = min(usable, key=lambda one: _hash_text(f'{prefix}|{one}'))
        return [first, *(one for one in usual if one != first)][:MAX_PATHS]

    def list_paths(self, now: float) -> list[Address]:
        """Return the addresses to try for one call, best first."""
        relays = self._rank_relays(now)
        if self.direct_works:
            return [self.direct, *relays][:MAX_PATHS]
        # A last try straight, in case the relays are what is broken.
        return [*relays[: MAX_PATHS - 1], self.direct]

    def count_attempt(self, kind: CallKind, address: Address) -> None:
        """Count a try of a call on a way."""
        self.attempt_counts[kind, address == self.direct] += 1

    def record_answer(self, address: Address) -> None:
        """Note that a call was answered on a way."""
        self._backoff_until.pop(address, None)
        self._missing_counts.pop(address, None)
        if address == self.direct:
            self.direct_works = True
        else:
            self._working_relay = address

    def record_shared_failure(self, address: Address, now: float) -> None:
        """Note that a shared watch failed on a way, and then not on another one."""
        self._shared_backoff_until[address] = now + SHARED_BACKOFF_SECONDS

    def record_missing_relay(self, address: Address, now: float) -> None:
        """Note that no relay listens at an address."""
        doublings = min(self._missing_counts[address], MAX_BACKOFF_DOUBLINGS)
        self._missing_counts[address] += 1
        self._shared_backoff_until[address] = (
            now + 2**doublings * SHARED_BACKOFF_SECONDS
        )

    def record_failure(self, address: Address, now: float) -> None:
        """Note that a call failed on a way."""
        self._backoff_until[address] = now + FAILED_PATH_BACKOFF_SECONDS
        if address == self._working_relay:
            self._working_relay = None
        if address == self.direct and self.direct_works:
            self.direct_works = False
            if self.on_direct_lost is not None:
                self.on_direct_lost()

    def _rank_relays(self, now: float) -> list[Address]:
        places = {place.address: place.domain for place in self._list_relays()}
        shuffled = random.sample(list(places), len(places))
        return sorted(shuffled, key=lambda one: self._build_rank(one, places[one], now))

    def _build_rank(
        self, address: Address, domain: str, now: float
    ) -> tuple[bool, ...]:
        avoided = self._backoff_until.get(address, 0) > now
        return (avoided, address != self._working_relay, domain != self._domain)


def _hash_text(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
