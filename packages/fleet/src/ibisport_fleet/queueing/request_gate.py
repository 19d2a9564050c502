"""Admits requests to the targets of services whose routes have different ranks."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import Catalogue
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.queueing.policy import PendingRequest, Refuse
from ibisport_fleet.queueing.service_gate import (
    QueueBounds,
    ServiceGate,
    ServiceSources,
)
from ibisport_fleet.queueing.start_estimates import StartEstimator
from ibisport_fleet.request_recorder import RequestRecorder
from ibisport_fleet.shutdown import Shutdown
from ibisport_fleet.target_choice import Candidate
from ibisport_fleet.target_holds import TargetHolds

# Bounds the time of a decision where a service has thousands of targets.
MAX_COMPARED_TARGETS = 128


@dataclass(frozen=True, slots=True)
class GateSources:
    """What the gate knows of services and targets.

    Attributes:
        catalogue: The current catalogue.
        targets: The known targets.
        holds: Reasons for which targets may not get requests.
        regions: The region of each failure domain.
        count_routers: Returns the number of routers, including this one.
        find_estimator: Returns the estimator of starts at a service's targets, or None.
    """

    catalogue: CatalogueView
    targets: TargetView
    holds: TargetHolds
    regions: Mapping[str, str]
    count_routers: Callable[[], int]
    find_estimator: Callable[[str], StartEstimator | None]


class RequestGate:
    """Decides when requests go to targets, for all services of a router."""

    def __init__(self, sources: GateSources, recorder: RequestRecorder) -> None:
        self._sources = sources
        self._recorder = recorder
        self._bounds = QueueBounds()
        self._gates: dict[str, ServiceGate] = {}
        self._waits_until: float | None = None
        self._catalogue: Catalogue | None = None
        self._ranked_services: frozenset[str] = frozenset()

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return self._bounds.count

    @property
    def queued_bytes(self) -> int:
        """Total size of their bodies in bytes."""
        return self._bounds.size

    async def wait_for_turn(self, call: Call) -> Refuse | None:
        """Return once a request may be sent to a target.

        Returns:
            None, or the refusal of the request.
        """
        # A request that may have run already holds a place at the targets.
        if call.may_have_run or not self._is_ranked(call.service):
            return None
        gate = self._find_gate(call.service)
        request = _describe_request(call)
        now = asyncio.get_running_loop().time()
        if not call.tried:
            objective = call.route.objective
            gate.demand.record_arrival(request.rank, request.tokens, objective, now)
        turn = await gate.wait_for_turn(request)
        waited = asyncio.get_running_loop().time() - now
        refusal = turn.decision if isinstance(turn.decision, Refuse) else None
        if turn.reason is not None:
            self._recorder.record_queued(call, waited, turn.reason.value)
        if refusal is not None:
            self._recorder.record_queue_refusal(
                call, refusal.reason.value, refusal.retry_after, self.queued
            )
        return refusal

    @contextlib.contextmanager
    def count_running(self, call: Call) -> Iterator[None]:
        """Count a request that is sent to a target until it has ended there."""
        if not self._is_ranked(call.service):
            yield
            return
        gate = self._find_gate(call.service)
        gate.begin_request(_name_workspace(call))
        try:
            yield
        finally:
            gate.end_request(_name_workspace(call), ran=call.may_have_run)

    def begin_shutdown(self, shutdown: Shutdown) -> None:
        """Let no request wait when the process answers its last ones."""
        self._waits_until = shutdown.accepts_until
        for gate in self._gates.values():
            gate.limit_waits(shutdown.accepts_until)

    def _is_ranked(self, service: str) -> bool:
        """Return whether routes of different ranks share a service."""
        catalogue = self._sources.catalogue.current
        if catalogue is not self._catalogue:
            self._catalogue = catalogue
            self._ranked_services = find_ranked_services(catalogue)
        return service in self._ranked_services

    def _find_gate(self, service: str) -> ServiceGate:
        gate = self._gates.get(service)
        if gate is None:
            sources = self._sources
            gate = ServiceGate(
                ServiceSources(
                    lambda regions: _list_candidates(sources, service, regions),
                    lambda: sources.find_estimator(service),
                    sources.count_routers,
                ),
                self._bounds,
            )
            if self._waits_until is not None:
                gate.limit_waits(self._waits_until)
            self._gates[service] = gate
        return gate


def find_ranked_services(catalogue: Catalogue | None) -> frozenset[str]:
    """Return the services that routes of different ranks share."""
    ranks: dict[str, set[int]] = {}
    routes = () if catalogue is None else catalogue.routes
    for route in routes:
        for share in route.shares:
            ranks.setdefault(share.service, set()).add(route.rank)
    return frozenset(service for service, found in ranks.items() if len(found) > 1)


def _list_candidates(
    sources: GateSources, service: str, regions: frozenset[str] | None
) -> list[Candidate]:
    """Return the targets of a service that nothing holds back.

    Args:
        sources: What the gate knows.
        service: Name of the service.
        regions: Regions whose targets a request allows; None: all.
    """
    now = asyncio.get_running_loop().time()
    allowed = [
        candidate
        for candidate in sources.targets.list_candidates(service)
        if regions is None or sources.regions.get(candidate.entry.domain) in regions
    ]
    if len(allowed) > MAX_COMPARED_TARGETS:
        allowed = random.sample(allowed, MAX_COMPARED_TARGETS)
    return [
        candidate for candidate in allowed if sources.holds.find(candidate, now) is None
    ]


def _describe_request(call: Call) -> PendingRequest:
    parts = call.metadata.parts
    received_at = call.request.received_at
    return PendingRequest(
        rank=call.urgency,
        workspace=_name_workspace(call),
        tokens=parts[-1].tokens if parts else call.metadata.prompt_tokens,
        size=len(call.request.body),
        received_at=received_at,
        objective_at=received_at + call.route.objective,
        deadline=call.deadline,
        regions=call.regions,
    )


def _name_workspace(call: Call) -> str | None:
    return None if call.workspace is None else call.workspace.name
