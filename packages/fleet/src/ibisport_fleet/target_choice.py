"""Load and health of targets, and the choice of a target for plain services."""

import itertools
import math
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ibisport_fleet.metadata import PromptPart, TargetLoad
from ibisport_fleet.rate_shares.limit import RateLimit
from ibisport_fleet.rendezvous import compute_score
from ibisport_fleet.targets import TargetEntry
from ibisport_fleet.warm_up import WarmUpState

# A target with requests in flight that sends nothing on any connection for this long
# counts as silent, since further requests on its open connections would hang for
# seconds. Engines send an event every 25 ms; plain services answer within 450 ms.
SILENCE_TIMEOUT_SECONDS = 0.8
# A part counts as cached for this long after this router sent it; an engine's cache
# holds about thirty of the largest parts.
CACHE_LIFETIME_SECONDS = 10.0
MAX_CACHED_PARTS = 64
# Requests last 0.1 to 2 s, so an older report doesn't describe the current load.
MAX_REPORT_AGE_SECONDS = 2.0
# A host's slowdown changes many times a second.
MAX_SLOWDOWN_AGE_SECONDS = 0.15
# Own sends that are compared with the time of a fed report; these are the sends of a
# few tenths of a second.
MAX_RECENT_SENDS = 64
# Backoff after a failure; it doubles with each consecutive failure.
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
# Backoff after a rejection by a full target, which frees a slot within some 100 ms.
FULL_BACKOFF_SECONDS = 0.1
# Backoff after a rejection by a target that has free slots or doesn't report any. It
# grows by the factor with each further one, until the level is at its maximum.
REJECTION_BACKOFF_SECONDS = 0.25
REJECTION_BACKOFF_FACTOR = 4
MAX_REJECTION_LEVEL = 3.0
# An accepted request lowers the level by this part of a rejection, so the backoff grows
# at a target that rejects more than one request in five.
ACCEPTED_WEIGHT = 0.25
# After a pause, at most this many requests wait for the head of an answer; each answer
# raises the bound, and at the maximum it is lifted.
FIRST_RAMP_LIMIT = 1
MAX_RAMP_LIMIT = 16
# Cost of a target in another failure domain, as a share of its slots.
REMOTE_DOMAIN_COST = 0.34
# Cost of a rate-limited target: it is avoided while other targets have free slots.
RATE_LIMITED_COST = 1.0


@dataclass(slots=True)
class TargetHealth:
    """Load and failures of one incarnation of a target, as this router observes them.

    Attributes:
        running: Requests of this router that are in flight at the target.
        reported_load: The last load that the target reported, or None.
        reported_at: Loop time of that report.
        running_at_report: Value of ``running`` at that time.
        failures: Consecutive failures.
        backoff_until: Loop time until which the target is avoided.
        failed_at: Loop time of the last failure.
        replaced: Another incarnation has answered at the target's address.
        pending_prompt_tokens: Tokens that the target has yet to read, of prompts
            that this router has sent.
        last_received_at: Loop time at which data last arrived from the target, or at
            which the first of the requests in flight was sent.
        limit: The target's rate limit, or None.
        paused_until: Loop time until which the target has asked for no requests.
        awaiting: Requests of this router that wait for the head of an answer.
        rejected_until: Loop time until which the target is avoided after a rejection.
        leaving: The target has said that it accepts no new requests.
        warm_up: What is known about its warm-up.
        memory_use: Share of its memory in use, 0 to 1; None without a load feed.
    """

    running: int = 0
    reported_load: TargetLoad | None = None
    reported_at: float = 0.0
    running_at_report: int = 0
    failures: int = 0
    backoff_until: float = 0.0
    failed_at: float = -math.inf
    replaced: bool = False
    pending_prompt_tokens: int = 0
    last_received_at: float = 0.0
    limit: RateLimit | None = None
    paused_until: float = 0.0
    awaiting: int = 0
    rejected_until: float = 0.0
    leaving: bool = False
    warm_up: WarmUpState = field(default_factory=WarmUpState)
    _slowdown: float = 1.0
    _slowdown_at: float = -math.inf
    _rejection_level: float = 0.0
    memory_use: float | None = None
    _ramp_limit: int | None = None
    # Times of the last sends, kept from the first fed report on.
    _recent_sends: deque[float] | None = None
    _sent_parts: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def count_uncached_tokens(self, parts: Sequence[PromptPart], now: float) -> int:
        """Return how many tokens of a prompt the target probably hasn't cached."""
        return sum(
            part.tokens for part in parts if not self.has_cached(part.part_id, now)
        )

    def count_cached_prefix(self, parts: Sequence[PromptPart], now: float) -> int:
        """Return the tokens of the first parts that the target probably has cached.

        A part counts only if all parts before it are cached too.
        """
        cached = itertools.takewhile(
            lambda part: self.has_cached(part.part_id, now), parts
        )
        return sum(part.tokens for part in cached)

    def has_cached(self, part_id: str, now: float) -> bool:
        """Return whether this router sent a prompt part to the target recently."""
        sent_at = self._sent_parts.get(part_id)
        return sent_at is not None and now - sent_at < CACHE_LIFETIME_SECONDS

    def record_parts(self, parts: Sequence[PromptPart], now: float) -> None:
        """Record that the target caches the shared parts of a prompt."""
        for part in parts[:-1]:
            self._sent_parts[part.part_id] = now
            self._sent_parts.move_to_end(part.part_id)
        while len(self._sent_parts) > MAX_CACHED_PARTS:
            self._sent_parts.popitem(last=False)

    def record_load(self, load: TargetLoad, now: float) -> None:
        """Store the load that the target reports."""
        self.reported_load = load
        self.reported_at = now
        self.running_at_report = self.running
        # Feeds don't report it, so it outlasts their newer reports.
        self._slowdown, self._slowdown_at = load.slowdown, now

    def find_slowdown(self, now: float) -> float:
        """Return how long work takes on the target's host, relative to usual.

        Without a fresh report it is 1.
        """
        if now - self._slowdown_at > MAX_SLOWDOWN_AGE_SECONDS:
            return 1.0
        return self._slowdown

    def record_fed_load(self, load: TargetLoad, measured_at: float) -> None:
        """Store the load that a feed reports, unless a newer report is known.

        Requests that this router has sent since the report was made aren't part of it.

        Args:
            load: Requests at the target.
            measured_at: Loop time before which the report wasn't made.
        """
        if self._recent_sends is None:
            self._recent_sends = deque(maxlen=MAX_RECENT_SENDS)
        if self.reported_load is not None and measured_at <= self.reported_at:
            return
        unreported = sum(sent_at > measured_at for sent_at in self._recent_sends)
        self.reported_load = load
        self.reported_at = measured_at
        self.running_at_report = max(0, self.running - unreported)

    def record_success(self, sent_at: float | None = None) -> None:
        """Reset the backoff, and the failure count or a part of it.

        Args:
            sent_at: Loop time at which the request was sent. A request that was sent
                before the last failure doesn't show that the target works again. A
                later one takes back one failure, so the backoff grows at a target that
                fails every second request. None: the count starts anew.
        """
        if sent_at is not None and sent_at <= self.failed_at:
            return
        self.failures = 0 if sent_at is None else max(0, self.failures - 1)
        self.backoff_until = 0.0

    def record_failure(self, now: float) -> None:
        """Avoid the target for a backoff that doubles with consecutive failures."""
        backoff = MIN_BACKOFF_SECONDS * 2**self.failures
        self.failures = min(self.failures + 1, 8)
        self.backoff_until = now + min(backoff, MAX_BACKOFF_SECONDS)
        self.failed_at = now

    def pause_until(self, until: float) -> None:
        """Send no requests before a loop time, and few at once afterwards."""
        self.paused_until = max(self.paused_until, until)
        self._ramp_limit = FIRST_RAMP_LIMIT

    def is_paused(self, now: float) -> bool:
        """Return whether the target has asked for no requests at this time."""
        return now < self.paused_until

    def record_rejection(self, now: float) -> None:
        """Avoid the target for a short time after an answer without a result.

        Such an answer comes at once and leaves no load, which makes the target look
        better than those that do the work. Answers to other requests don't shorten the
        time.
        """
        backoff = FULL_BACKOFF_SECONDS
        if not self._is_full:
            self._rejection_level = min(MAX_REJECTION_LEVEL, self._rejection_level + 1)
            growth = REJECTION_BACKOFF_FACTOR ** (self._rejection_level - 1)
            backoff = REJECTION_BACKOFF_SECONDS * growth
        self.rejected_until = max(self.rejected_until, now + backoff)

    @property
    def _is_full(self) -> bool:
        """Whether the target reports that all of its slots are in use."""
        load = self.reported_load
        return load is not None and load.running >= load.slots

    def record_accepted(self, now: float) -> None:
        """Record the head of an answer with a result."""
        self._rejection_level = max(0.0, self._rejection_level - ACCEPTED_WEIGHT)
        if self._ramp_limit is None or self.is_paused(now):
            return
        self._ramp_limit += 1
        if self._ramp_limit > MAX_RAMP_LIMIT:
            self._ramp_limit = None

    def begin_request(self, now: float) -> None:
        """Count a request that is sent to the target."""
        if not self.running:
            self.last_received_at = now
        self.running += 1
        if self._recent_sends is not None:
            self._recent_sends.append(now)

    def end_request(self) -> None:
        """Count the end of a request at the target."""
        self.running -= 1

    def is_silent(self, now: float) -> bool:
        """Return whether requests are in flight and no data has arrived lately."""
        return (
            self.running > 0 and now - self.last_received_at > SILENCE_TIMEOUT_SECONDS
        )

    @property
    def is_current(self) -> bool:
        """Whether this incarnation still has its address and isn't leaving."""
        return not (self.replaced or self.leaving)

    def is_available(self, now: float) -> bool:
        """Return whether the target is neither silent, in backoff nor held back."""
        held_back = self._ramp_limit is not None and self.awaiting >= self._ramp_limit
        is_backing_off = now < max(self.backoff_until, self.rejected_until)
        return not is_backing_off and not self.is_silent(now) and not held_back

    def mark_replaced(self) -> None:
        """Stop using this incarnation, since another one has its address."""
        self.replaced = True

    def estimate_load(self, now: float) -> int:
        """Return how many requests probably run or wait at the target.

        The estimate is the reported load, corrected by the requests that this router
        has started or finished since the report. Without a recent report only the
        requests of this router count.
        """
        if (
            self.reported_load is None
            or now - self.reported_at > MAX_REPORT_AGE_SECONDS
        ):
            return self.running
        reported = self.reported_load.running + self.reported_load.waiting
        return max(self.running, reported + self.running - self.running_at_report)


@dataclass(frozen=True, slots=True)
class Origin:
    """The router that chooses a target.

    Attributes:
        host: Name of its host.
        domain: Its failure domain.
    """

    host: str
    domain: str


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that a request can be sent to, with its health."""

    entry: TargetEntry
    health: TargetHealth


def choose_plain_target(
    candidates: Sequence[Candidate], origin: Origin, now: float
) -> Candidate | None:
    """Choose a target of a plain service, one that runs no model engines.

    Targets in the router's own failure domain come first while they have free slots.

    Args:
        candidates: Targets to choose from.
        origin: The router that chooses.
        now: Loop time.
    """
    available = filter_available(candidates, now)
    if not available:
        return None

    def compute_cost(candidate: Candidate) -> tuple[float, int]:
        # Routers with the same list would all choose the first of equal targets.
        spread = compute_score(origin.host, candidate.entry.incarnation)
        return _compute_plain_cost(candidate, origin.domain, now), spread

    return min(available, key=compute_cost)


def _compute_plain_cost(candidate: Candidate, domain: str, now: float) -> float:
    domain_cost = 0.0 if candidate.entry.domain == domain else REMOTE_DOMAIN_COST
    limit_cost = 0.0 if candidate.health.limit is None else RATE_LIMITED_COST
    return _compute_utilization(candidate, now) + domain_cost + limit_cost


def _compute_utilization(candidate: Candidate, now: float) -> float:
    slots = max(1, candidate.entry.slots)
    return candidate.health.estimate_load(now) / slots


def filter_unlimited(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the targets without a rate limit, or all targets if each has one."""
    return [
        candidate for candidate in candidates if candidate.health.limit is None
    ] or candidates


def filter_available(candidates: Sequence[Candidate], now: float) -> list[Candidate]:
    """Return the available targets, or all if none is.

    Args:
        candidates: Targets to choose from.
        now: Loop time.
    """
    available = [
        candidate for candidate in candidates if candidate.health.is_available(now)
    ]
    # A target that failed recently is still better than no target at all.
    return available or list(candidates)
