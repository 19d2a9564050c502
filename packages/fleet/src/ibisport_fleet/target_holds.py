"""Why a target may not get a request now, and from when it may.

Choice, refusal and the Retry-After time of a service all follow from these reasons.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.evacuations import Evacuations
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.rate_shares.target_limits import TargetLimits
from ibisport_fleet.router_links import RouterLinks
from ibisport_fleet.target_choice import Candidate
from ibisport_fleet.target_warm_ups import TargetWarmUps

NO_TARGET_RETRY_AFTER_SECONDS = 0.5
# The end of an evacuation isn't known in advance.
EVACUATED_RETRY_AFTER_SECONDS = 1.0
# Spreads callers over a time after the end of a pause.
RETURN_JITTER_SECONDS = 0.1
# Bounds of the Retry-After time where targets take a limited rate.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Evacuated:
    """Operators have evacuated the failure domain of the target."""


@dataclass(frozen=True, slots=True)
class Paused:
    """The target has asked for no requests until a loop time."""

    until: float


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The target reports a rate limit.

    Attributes:
        until: Loop time of this router's next send; infinite: it has no share.
        rate: Requests per second from all routers together.
    """

    until: float
    rate: float


@dataclass(frozen=True, slots=True)
class WarmingUp:
    """The target has just started; the attributes are those of a rate limit."""

    until: float
    rate: float


Hold = Evacuated | Paused | RateLimited | WarmingUp


@dataclass(frozen=True, slots=True)
class UnavailableService:
    """No target may get a request now.

    Attributes:
        reason: A short code for logs and callers.
        retry_after: Seconds after which the caller may retry.
    """

    reason: str
    retry_after: float


class TargetHolds:
    """Finds the reason for which a target may not get a request of this router.

    Attributes:
        evacuations: The domains that operators have evacuated.
        limits: The rate limits of targets.
    """

    def __init__(
        self, evacuations: Evacuations, limits: TargetLimits, warm_ups: TargetWarmUps
    ) -> None:
        """Create an instance from the components that know a reason."""
        self.evacuations = evacuations
        self.limits = limits
        self._warm_ups = warm_ups

    def find(self, candidate: Candidate, now: float) -> Hold | None:
        """Return why a target may not get a request now; None: it may."""
        health = candidate.health
        if self.evacuations.covers(candidate.entry.domain):
            return Evacuated()
        if health.is_paused(now):
            return Paused(health.paused_until)
        if not self.limits.may_send(candidate, now) and health.limit is not None:
            next_send_at = self.limits.find_next_send(candidate)
            return RateLimited(next_send_at, health.limit.rate)
        next_send_at = self._warm_ups.find_next_send(candidate, now)
        rate = health.warm_up.rate
        if rate is None or next_send_at <= now:
            return None
        return WarmingUp(next_send_at, rate)

    def record_send(self, candidate: Candidate, now: float) -> None:
        """Count a request that is sent to a target."""
        self.limits.record_send(candidate, now)
        self._warm_ups.record_send(candidate, now)

    def record_refusal(
        self,
        candidates: Sequence[Candidate],
        holds: Sequence[Hold | None],
        now: float,
    ) -> None:
        """Record a request that no target may get now.

        Args:
            candidates: The targets of its service.
            holds: Why each of them may not get it; None: it got it before.
            now: Loop time.
        """
        limited = [
            candidate
            for candidate, hold in zip(candidates, holds, strict=True)
            if isinstance(hold, RateLimited)
        ]
        if limited:
            self.limits.record_refusal(limited, now)


def build_target_holds(
    links: RouterLinks,
    views: tuple[CatalogueView, TargetView],
    evacuation_prefix: str,
    log: EventLog,
) -> TargetHolds:
    """Assemble the components that know why targets may not get requests.

    Args:
        links: The routers that share rates, and the ways to reach them.
        views: This router's copies of the catalogue and of the list of targets.
        evacuation_prefix: Prefix of the keys of evacuations.
        log: Receives changes.
    """
    catalogue, targets = views
    evacuations = Evacuations(evacuation_prefix, log)
    return TargetHolds(
        evacuations,
        TargetLimits(links, targets, log),
        TargetWarmUps(links.members, catalogue, evacuations),
    )


def describe_unavailable(
    holds: Sequence[Hold | None], tried: Sequence[bool], now: float
) -> UnavailableService:
    """Return what to tell a caller whose request no target may get now.

    The first target that may be used again decides. Where this router has no share of
    any rate, the time follows from the total rate, since the caller may reach another
    router that has one.

    Args:
        holds: Why each target of the service may not get a request; None: it may.
        tried: Whether each of them has got this request.
        now: Loop time.
    """
    reachable = [
        (hold, was_tried)
        for hold, was_tried in zip(holds, tried, strict=True)
        if not isinstance(hold, Evacuated)
    ]
    untried = [hold for hold, was_tried in reachable if hold and not was_tried]
    # Where each target was tried, it may get the caller's next request.
    timed = untried or [hold for hold, _ in reachable if hold]
    if not timed:
        return _describe_no_target(evacuated=bool(holds) and not reachable)
    first = min(timed, key=lambda hold: hold.until)
    match first:
        case Paused(until=until):
            delay = until - now + draw_jittered_delay(RETURN_JITTER_SECONDS)
            return UnavailableService('paused', delay)
        case RateLimited():
            return UnavailableService('limited', _draw_rate_delay(timed, now))
        case WarmingUp():
            return UnavailableService('warming_up', _draw_rate_delay(timed, now))


def _describe_no_target(*, evacuated: bool) -> UnavailableService:
    if evacuated:
        delay = draw_jittered_delay(EVACUATED_RETRY_AFTER_SECONDS)
        return UnavailableService('evacuated', delay)
    delay = draw_jittered_delay(NO_TARGET_RETRY_AFTER_SECONDS)
    return UnavailableService('no_target', delay)


def _draw_rate_delay(
    holds: Sequence[Paused | RateLimited | WarmingUp], now: float
) -> float:
    delay = min(hold.until for hold in holds) - now
    if delay == inf:
        total = sum(hold.rate for hold in holds if not isinstance(hold, Paused))
        delay = 1 / total if total else MAX_RETRY_AFTER_SECONDS
    return draw_jittered_delay(
        min(max(MIN_RETRY_AFTER_SECONDS, delay), MAX_RETRY_AFTER_SECONDS)
    )
