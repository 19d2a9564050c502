"""Selects the target of a request, or says why no target may get it."""

import asyncio
from collections.abc import Sequence

from ibisport_fleet.addresses import Address
from ibisport_fleet.cache_sources import can_copy, find_cache_source
from ibisport_fleet.calls import Call, draw_jittered_delay
from ibisport_fleet.catalogue import Engine, RouteKind
from ibisport_fleet.dependencies import Dependencies, ServiceState
from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.placing.copies import CopyTimes
from ibisport_fleet.settings import Feature
from ibisport_fleet.stream_versions.origin import Begun, NotBegun, permits
from ibisport_fleet.target_choice import Candidate, Origin, choose_plain_target
from ibisport_fleet.target_holds import Hold, describe_unavailable

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
# A full service frees a slot within some 100 ms.
FULL_RETRY_AFTER_SECONDS = 0.25


class RequestFailed(Exception):
    """A request fails, and this router writes its final answer.

    Attributes:
        status: The HTTP status; 503 only if the request was not executed.
        reason: A short description for logs and callers.
        retry_after: Seconds after which the caller may retry, or None to suggest none.
    """

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class TargetSelector:
    """Selects the targets of one request."""

    def __init__(
        self, dependencies: Dependencies, service_state: ServiceState, call: Call
    ) -> None:
        self._dependencies = dependencies
        self._prompt_mix = service_state.prompt_mix
        used = Feature.pace in dependencies.settings.features
        self._pace = service_state.pace if used else None
        self._call = call

    def select(self) -> Candidate:
        """Return the target of the next attempt, and count the send there.

        Raises:
            RequestFailed: No target may get the request now.
        """
        dependencies = self._dependencies
        listed = self._list_targets()
        now = _now()
        holds = [dependencies.holds.find(candidate, now) for candidate in listed]
        sendable = [
            candidate
            for candidate, hold in zip(listed, holds, strict=True)
            if hold is None and candidate.entry.start_id not in self._call.tried
        ]
        probed = dependencies.holds.limits.find_probe_target(sendable, now)
        chosen = probed or self._choose_best(sendable, now)
        if chosen is None:
            raise self._build_unavailable(listed, holds, now)
        dependencies.holds.record_send(chosen, now)
        self._call.cache_source = self._find_cache_source(chosen, sendable, now)
        return chosen

    def list_sendable(self, now: float) -> list[Candidate]:
        """Return the targets that may get the request and haven't got it yet."""
        find_hold = self._dependencies.holds.find
        return [
            candidate
            for candidate in self._list_targets()
            if candidate.entry.start_id not in self._call.tried
            and find_hold(candidate, now) is None
        ]

    def build_full(self) -> RequestFailed:
        """Return the failure of a request that enough targets have rejected."""
        dependencies = self._dependencies
        listed = self._list_targets()
        now = _now()
        holds = [dependencies.holds.find(candidate, now) for candidate in listed]
        if listed and None not in holds:
            return self._build_unavailable(listed, holds, now)
        return self.build_failure('full', draw_jittered_delay(FULL_RETRY_AFTER_SECONDS))

    def build_failure(self, reason: str, retry_after: float | None) -> RequestFailed:
        """Return the failure of the request: 503 only if no target may have run it.

        Args:
            reason: A short description for logs and callers.
            retry_after: Seconds after which the caller may retry, if it didn't run;
                None to suggest none.
        """
        if self._call.may_have_run:
            return RequestFailed(STATUS_BAD_GATEWAY, reason)
        return RequestFailed(STATUS_UNAVAILABLE, reason, retry_after)

    def _list_targets(self) -> list[Candidate]:
        """Return the targets of the service that the request allows.

        Its regions and the software that began its stream limit them.
        """
        call, dependencies = self._call, self._dependencies
        allowed, regions = call.regions, dependencies.settings.regions
        listed = [
            candidate
            for candidate in dependencies.targets.list_candidates(call.service)
            if (allowed is None or regions.get(candidate.entry.domain) in allowed)
            and permits(call.origin, candidate.entry)
        ]
        if call.route.resumable and isinstance(call.origin, NotBegun):
            return self._prefer_recorded(listed)
        return listed

    def _prefer_recorded(self, listed: list[Candidate]) -> list[Candidate]:
        """Return the targets at which a stream that callers may resume can begin.

        A router that starts later takes the builds on the store's page for all that may
        have begun streams. A build is on it within a second of its appearance.
        """
        builds = self._dependencies.streams.builds
        recorded = [
            candidate
            for candidate in listed
            if builds.is_recorded(candidate.entry.build)
        ]
        return recorded or listed

    def _build_unavailable(
        self, listed: Sequence[Candidate], holds: Sequence[Hold | None], now: float
    ) -> RequestFailed:
        """Return the failure of a request that no target may get now.

        Args:
            listed: All targets of the service, also those that were tried.
            holds: Why each of them may not get a request; None: it may.
            now: Loop time.
        """
        if not listed and isinstance(self._call.origin, Begun):
            # Nothing tells whether targets with this software will serve again.
            return self.build_failure('version_gone', None)
        self._dependencies.holds.record_refusal(listed, holds, now)
        tried = [candidate.entry.start_id in self._call.tried for candidate in listed]
        unavailable = describe_unavailable(holds, tried, now)
        return self.build_failure(unavailable.reason, unavailable.retry_after)

    def _choose_best(
        self, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        settings = self._dependencies.settings
        origin = Origin(settings.host, settings.domain)
        if self._call.route.kind is not RouteKind.stream:
            return choose_plain_target(candidates, origin, now)
        parts = self._call.metadata.parts
        split = self._prompt_mix.split
        pace = self._pace
        if pace is not None:
            self._dependencies.recorder.record_pace(self._call.service, pace)
        return choose_engine(candidates, parts, now, split, origin, pace)

    def _find_cache_source(
        self, chosen: Candidate, candidates: Sequence[Candidate], now: float
    ) -> Address | None:
        self._call.copied_from = None
        engine = self._dependencies.find_engine(self._call.service)
        times = self._build_copy_times(engine)
        if times is None and not can_copy(engine):
            return None
        parts = self._call.metadata.parts
        source = find_cache_source(chosen, candidates, parts, now, times)
        if source is None:
            return None
        if times is not None:
            self._call.copied_from = source.entry.start_id
        return source.entry.address

    def _build_copy_times(self, engine: Engine | None) -> CopyTimes | None:
        """Return how long copies take; None: the limit of their speed applies."""
        pace = self._pace
        if pace is None or engine is None or not engine.copy_seconds_per_token:
            return None
        if not (pace.knows_reading or can_copy(engine)):
            return None
        return CopyTimes(pace, engine.copy_seconds_per_token)


def _now() -> float:
    return asyncio.get_running_loop().time()
