"""Limits what this router sends to targets that warm up after a start."""

from math import inf

from ibisport_fleet.evacuations import Evacuations
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.membership import Membership
from ibisport_fleet.target_choice import Candidate
from ibisport_fleet.warm_up import compute_rate, compute_send_interval


class TargetWarmUps:
    """Applies this router's share of the rate that warming targets bear."""

    def __init__(
        self, members: Membership, catalogue: CatalogueView, evacuations: Evacuations
    ) -> None:
        """Create an instance.

        Args:
            members: The routers that share a rate.
            catalogue: Says how the targets of a service warm up.
            evacuations: Targets of a domain may be cold after its evacuation.
        """
        self._members = members
        self._catalogue = catalogue
        self._evacuations = evacuations

    def find_next_send(self, candidate: Candidate, now: float) -> float:
        """Return the loop time from which this router may send.

        The time is infinite if the rate is left to other routers. The health of the
        target tells afterwards which rate applies.
        """
        state = candidate.health.warm_up
        state.rate = self._compute_rate(candidate, now)
        if state.rate is None:
            return now
        interval = self._compute_interval(candidate, state.rate)
        return inf if interval == inf else state.next_send_at

    def record_send(self, candidate: Candidate, now: float) -> None:
        """Count a request that is sent to a target."""
        state = candidate.health.warm_up
        if state.rate is not None:
            state.next_send_at = now + self._compute_interval(candidate, state.rate)

    def _compute_rate(self, candidate: Candidate, now: float) -> float | None:
        catalogue = self._catalogue.current
        entry, state = candidate.entry, candidate.health.warm_up
        service = None if catalogue is None else catalogue.services.get(entry.service)
        if service is None or service.warm_up is None:
            return None
        warm_up = service.warm_up
        started_at = max(state.appeared_at, self._evacuations.find_end(entry.domain))
        warm_at = max(state.cold_until, started_at + warm_up.seconds)
        return compute_rate(warm_up, warm_at, now)

    def _compute_interval(self, candidate: Candidate, rate: float) -> float:
        members = self._members
        if not members.settled:
            return inf
        return compute_send_interval(
            rate, candidate.entry.incarnation, members.own.host, members.hosts
        )
