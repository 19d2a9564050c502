"""Which way a store call takes: straight, or through a relay."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import xxhash

from ibisport_fleet.addresses import Address

# A way that failed is tried last for so long.
AVOID_SECONDS = 2.0
# A relay that failed isn't asked for shared watches for so long: while it is silent,
# each costs its whole time-out.
UNSHARED_SECONDS = 10.0
# A host on which no relay listens is tried ever more rarely, up to so many doublings.
MOST_DOUBLINGS = 6
# Ways that one call may take before it is given up.
MOST_WAYS = 3


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
        self.on_straight_lost: Callable[[], None] | None = None
        self.attempt_counts: Counter[tuple[CallKind, bool]] = Counter()
        self._domain = domain
        self._list_relays = list_relays
        self._avoided_until: dict[Address, float] = {}
        self._unshared_until: dict[Address, float] = {}
        self._refusals: Counter[Address] = Counter()
        self._working: Address | None = None

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
            and self._unshared_until.get(place.address, 0.0) <= now
        ]
        usual = self.list_ways(now)
        if not usable:
            return usual
        first = min(usable, key=lambda one: _draw(f'{prefix}|{one}'))
        return [first, *(one for one in usual if one != first)][:MOST_WAYS]

    def list_ways(self, now: float) -> list[Address]:
        """Return the addresses to try for one call, best first."""
        relays = self._rank_relays(now)
        if self.direct_works:
            return [self.direct, *relays][:MOST_WAYS]
        # A last try straight, in case the relays are what is broken.
        return [*relays[: MOST_WAYS - 1], self.direct]

    def note_sent(self, kind: CallKind, address: Address) -> None:
        """Count a try of a call on a way."""
        self.attempt_counts[kind, address == self.direct] += 1

    def record_answer(self, address: Address) -> None:
        """Note that a call was answered on a way."""
        self._avoided_until.pop(address, None)
        self._refusals.pop(address, None)
        if address == self.direct:
            self.direct_works = True
        else:
            self._working = address

    def note_unshared(self, address: Address, now: float) -> None:
        """Note that a shared watch failed on a way, and then not on another one."""
        self._unshared_until[address] = now + UNSHARED_SECONDS

    def note_vacant(self, address: Address, now: float) -> None:
        """Note that no relay listens at an address."""
        doublings = min(self._refusals[address], MOST_DOUBLINGS)
        self._refusals[address] += 1
        self._unshared_until[address] = now + 2**doublings * UNSHARED_SECONDS

    def note_failure(self, address: Address, now: float) -> None:
        """Note that a call failed on a way."""
        self._avoided_until[address] = now + AVOID_SECONDS
        if address == self._working:
            self._working = None
        if address == self.direct and self.direct_works:
            self.direct_works = False
            if self.on_straight_lost is not None:
                self.on_straight_lost()

    def _rank_relays(self, now: float) -> list[Address]:
        places = {place.address: place.domain for place in self._list_relays()}
        shuffled = random.sample(list(places), len(places))
        return sorted(shuffled, key=lambda one: self._weigh(one, places[one], now))

    def _weigh(self, address: Address, domain: str, now: float) -> tuple[bool, ...]:
        avoided = self._avoided_until.get(address, 0) > now
        return (avoided, address != self._working, domain != self._domain)


def _draw(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
