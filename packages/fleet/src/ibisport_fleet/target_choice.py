"""What is known of targets' load and health, and the choice of a plain one."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ibisport_fleet.metadata import PromptPart, TargetLoad
from ibisport_fleet.rate_limit import RateLimit
from ibisport_fleet.targets import TargetEntry

# A target that owes bytes and sends none on any connection for so long has fallen
# silent: kept connections to it would swallow requests for seconds. Engines send an
# event each 25 ms and plain services answer within 450 ms.
SILENCE_TIMEOUT_SECONDS = 0.8
# A part counts as cached where this router sent it within this time; engines hold
# some thirty of the largest parts.
CACHE_LIFETIME_SECONDS = 10.0
MAX_CACHED_PARTS = 64
# A report older than this says nothing of a target whose requests last 0.1 to 2 s.
MAX_REPORT_AGE_SECONDS = 2.0
# After a failure a target is avoided so long; doubled with each further one.
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
# Another failure domain costs a plain request as much as this share of the slots.
REMOTE_DOMAIN_COST = 0.34
# One that names a limit is spared as long as others have room.
RATE_LIMITED_COST = 1.0


@dataclass(slots=True)
class TargetHealth:
    """What this router has seen of one incarnation of a target.

    Attributes:
        running: Requests of this router that run there now.
        reported: The last load that it told, or None.
        reported_at: Loop time of that report.
        running_at_report: ``running`` at that time.
        failures: Failures in a row.
        avoided_until: Loop time up to which it is avoided.
        replaced: Another incarnation answered at its address.
        unread: Tokens of prompts on their way there that it has yet to read.
        heard_at: Loop time at which it last sent something, or was first asked.
        limit: How many requests it takes; None: it names no limit.
    """

    running: int = 0
    reported_load: TargetLoad | None = None
    reported_at: float = 0.0
    running_at_report: int = 0
    failures: int = 0
    backoff_until: float = 0.0
    replaced: bool = False
    pending_prompt_tokens: int = 0
    last_received_at: float = 0.0
    limit: RateLimit | None = None
    _sent_parts: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def count_uncached_tokens(self, parts: Sequence[PromptPart], now: float) -> int:
        """Return the tokens of a prompt that it probably hasn't cached."""
        return sum(
            part.tokens for part in parts if not self.has_cached(part.part_id, now)
        )

    def has_cached(self, part_id: str, now: float) -> bool:
        """Whether a part was sent there lately."""
        sent = self._sent_parts.get(part_id)
        return sent is not None and now - sent < CACHE_LIFETIME_SECONDS

    def record_parts(self, parts: Sequence[PromptPart], now: float) -> None:
        """Note that it reads a prompt's shared parts."""
        for part in parts[:-1]:
            self._sent_parts[part.part_id] = now
            self._sent_parts.move_to_end(part.part_id)
        while len(self._sent_parts) > MAX_CACHED_PARTS:
            self._sent_parts.popitem(last=False)

    def record_load(self, load: TargetLoad, now: float) -> None:
        """Keep what the target told of its load."""
        self.reported_load = load
        self.reported_at = now
        self.running_at_report = self.running

    def record_success(self) -> None:
        """Trust the target again."""
        self.failures = 0
        self.backoff_until = 0.0

    def record_failure(self, now: float) -> None:
        """Avoid the target for a while, longer with each failure in a row."""
        pause = MIN_BACKOFF_SECONDS * 2**self.failures
        self.failures = min(self.failures + 1, 8)
        self.backoff_until = now + min(pause, MAX_BACKOFF_SECONDS)

    def begin_request(self, now: float) -> None:
        """Count a request that is sent there."""
        if not self.running:
            self.last_received_at = now
        self.running += 1

    def end_request(self) -> None:
        """Count a request that has ended there."""
        self.running -= 1

    def is_silent(self, now: float) -> bool:
        """Whether it owes answers and has sent nothing for a while."""
        return (
            self.running > 0 and now - self.last_received_at > SILENCE_TIMEOUT_SECONDS
        )

    def is_available(self, now: float) -> bool:
        """Whether it neither failed lately nor fell silent."""
        return self.backoff_until <= now and not self.is_silent(now)

    def mark_replaced(self) -> None:
        """Give the incarnation up: another one has its address."""
        self.replaced = True

    def estimate_load(self, now: float) -> int:
        """Return how many requests probably run or wait there."""
        if (
            self.reported_load is None
            or now - self.reported_at > MAX_REPORT_AGE_SECONDS
        ):
            return self.running
        told = self.reported_load.running + self.reported_load.waiting
        return max(self.running, told + self.running - self.running_at_report)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may take a request."""

    entry: TargetEntry
    health: TargetHealth


def choose_plain_target(
    candidates: Sequence[Candidate], domain: str, now: float
) -> Candidate | None:
    """Choose a plain service's target: near ones first while they have room.

    Args:
        candidates: Targets that may be chosen.
        domain: The router's own failure domain.
        now: Loop time.
    """
    trusted = filter_available(candidates, now)
    if not trusted:
        return None
    return min(trusted, key=lambda one: _compute_plain_cost(one, domain, now))


def _compute_plain_cost(candidate: Candidate, domain: str, now: float) -> float:
    far = 0.0 if candidate.entry.domain == domain else REMOTE_DOMAIN_COST
    limited = 0.0 if candidate.health.limit is None else RATE_LIMITED_COST
    return _compute_utilization(candidate, now) + far + limited


def _compute_utilization(candidate: Candidate, now: float) -> float:
    slots = max(1, candidate.entry.slots)
    return candidate.health.estimate_load(now) / slots


def filter_unlimited(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the targets that name no limit, or all if each names one."""
    return [one for one in candidates if one.health.limit is None] or candidates


def filter_available(candidates: Sequence[Candidate], now: float) -> list[Candidate]:
    """Return the targets that neither failed lately nor fell silent.

    Args:
        candidates: Targets that may be chosen.
        now: Loop time.
    """
    trusted = [one for one in candidates if one.health.is_available(now)]
    # With none left that is trusted, one that failed lately is better than none.
    return trusted or list(candidates)
