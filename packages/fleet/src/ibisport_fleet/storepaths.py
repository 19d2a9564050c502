"""Which way a store call takes: straight, or through a relay."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ibisport_fleet.addresses import Address

# A way that failed is tried last for so long.
AVOID_SECONDS = 2.0
# Ways that one call may take before it is given up.
MOST_WAYS = 3


@dataclass(frozen=True, slots=True)
class RelayPlace:
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
    """

    def __init__(
        self,
        straight: Address,
        domain: str,
        list_relays: Callable[[], Iterable[RelayPlace]],
    ) -> None:
        self.straight = straight
        self.straight_works = True
        self.on_straight_lost: Callable[[], None] | None = None
        self._domain = domain
        self._list_relays = list_relays
        self._avoided_until: dict[Address, float] = {}
        self._working: Address | None = None

    def list_ways(self, now: float) -> list[Address]:
        """Return the addresses to try for one call, best first."""
        relays = self._rank_relays(now)
        if self.straight_works:
            return [self.straight, *relays][:MOST_WAYS]
        # A last try straight, in case the relays are what is broken.
        return [*relays[: MOST_WAYS - 1], self.straight]

    def note_answer(self, address: Address) -> None:
        """Note that a call was answered on a way."""
        self._avoided_until.pop(address, None)
        if address == self.straight:
            self.straight_works = True
        else:
            self._working = address

    def note_failure(self, address: Address, now: float) -> None:
        """Note that a call failed on a way."""
        self._avoided_until[address] = now + AVOID_SECONDS
        if address == self._working:
            self._working = None
        if address == self.straight and self.straight_works:
            self.straight_works = False
            if self.on_straight_lost is not None:
                self.on_straight_lost()

    def _rank_relays(self, now: float) -> list[Address]:
        places = {place.address: place.domain for place in self._list_relays()}
        shuffled = random.sample(list(places), len(places))
        return sorted(shuffled, key=lambda one: self._weigh(one, places[one], now))

    def _weigh(self, address: Address, domain: str, now: float) -> tuple[bool, ...]:
        avoided = self._avoided_until.get(address, 0) > now
        return (avoided, address != self._working, domain != self._domain)
