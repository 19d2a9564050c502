"""Failure domains that operators have evacuated."""

import asyncio
from collections.abc import Iterable
from math import inf

from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.store import Change, Item, Listing


class Evacuations:
    """The domains whose targets get no requests until the operators say otherwise."""

    def __init__(self, prefix: str, log: EventLog) -> None:
        """Create an instance without evacuations.

        Args:
            prefix: Prefix of the keys; the rest of a key is the name of a domain.
            log: Receives the begin and the end of evacuations.
        """
        self._prefix = prefix
        self._log = log
        self._evacuated: frozenset[str] = frozenset()
        self._ended_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._evacuated)

    def covers(self, domain: str) -> bool:
        """Return whether a domain is evacuated."""
        return domain in self._evacuated

    def find_end(self, domain: str) -> float:
        """Return the loop time at which a domain's last evacuation ended, or -inf."""
        return self._ended_at.get(domain, -inf)

    def apply_listing(self, listing: Listing, doubtful_until: float) -> None:
        """Apply all orders that stand; operators' keys don't lapse."""
        keys = [item.key for item in listing.items]
        self._replace(
            key.removeprefix(self._prefix)
            for key in keys
            if key.startswith(self._prefix)
        )

    def apply_change(self, change: Change, doubtful_until: float) -> None:
        """Apply an order or its end."""
        if not change.key.startswith(self._prefix):
            return
        domain = change.key.removeprefix(self._prefix)
        if isinstance(change, Item):
            self._replace(self._evacuated | {domain})
        else:
            self._replace(self._evacuated - {domain})

    def _replace(self, domains: Iterable[str]) -> None:
        evacuated = frozenset(domains)
        now = asyncio.get_running_loop().time()
        for domain in evacuated ^ self._evacuated:
            ended = domain in self._evacuated
            if ended:
                self._ended_at[domain] = now
            self._log.write(Event.domain_evacuated, domain=domain, ended=ended)
        self._evacuated = evacuated
