"""Chooses the target of a request from what is known of their load and health."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from ibisport_fleet.targets import TargetEntry
from ibisport_fleet.terms import TargetLoad

# A home may be this much busier than the mean, as a share of its slots, before a
# request goes elsewhere; measured against 0 and 0.3 on heavy days of six engines.
HOME_SLACK = 0.08
# A report older than this says nothing of a target whose requests last 0.1 to 2 s.
REPORT_SECONDS = 2.0
# After a failure a target is avoided so long; doubled with each further one.
FIRST_AVOIDANCE_S = 0.5
LONGEST_AVOIDANCE_S = 4.0
# Another failure domain costs a plain request as much as this share of the slots.
FOREIGN_DOMAIN_COST = 0.34


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
    """

    running: int = 0
    reported: TargetLoad | None = None
    reported_at: float = 0.0
    running_at_report: int = 0
    failures: int = 0
    avoided_until: float = 0.0
    replaced: bool = False

    def note_load(self, load: TargetLoad, now: float) -> None:
        """Keep what the target told of its load."""
        self.reported = load
        self.reported_at = now
        self.running_at_report = self.running

    def note_success(self) -> None:
        """Trust the target again."""
        self.failures = 0
        self.avoided_until = 0.0

    def note_failure(self, now: float) -> None:
        """Avoid the target for a while, longer with each failure in a row."""
        pause = FIRST_AVOIDANCE_S * 2**self.failures
        self.failures = min(self.failures + 1, 8)
        self.avoided_until = now + min(pause, LONGEST_AVOIDANCE_S)

    def note_replaced(self) -> None:
        """Give the incarnation up: another one has its address."""
        self.replaced = True

    def estimate_load(self, now: float) -> int:
        """Return how many requests probably run or wait there."""
        if self.reported is None or now - self.reported_at > REPORT_SECONDS:
            return self.running
        told = self.reported.running + self.reported.waiting
        return max(self.running, told + self.running - self.running_at_report)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may take a request."""

    entry: TargetEntry
    health: TargetHealth


def choose_engine(
    candidates: Sequence[Candidate], shared_part: str | None, now: float
) -> Candidate | None:
    """Choose a model engine: its cache first, its load second.

    Args:
        candidates: Targets that may be chosen.
        shared_part: Id of the prompt's longest shared chain, or None.
        now: Loop time.
    """
    trusted = _keep_trusted(candidates, now)
    if not trusted:
        return None
    shares = {id(one): _share(one, now) for one in trusted}
    if shared_part is None:
        return min(trusted, key=lambda one: shares[id(one)])
    bound = sum(shares.values()) / len(trusted) + HOME_SLACK
    homes = sorted(trusted, key=lambda one: _rank_home(one, shared_part), reverse=True)
    for home in homes:
        if shares[id(home)] <= bound:
            return home
    return min(trusted, key=lambda one: shares[id(one)])


def choose_plain(
    candidates: Sequence[Candidate], domain: str, now: float
) -> Candidate | None:
    """Choose a plain service's target: near ones first while they have room.

    Args:
        candidates: Targets that may be chosen.
        domain: The router's own failure domain.
        now: Loop time.
    """
    trusted = _keep_trusted(candidates, now)
    if not trusted:
        return None
    return min(trusted, key=lambda one: _weigh_plain(one, domain, now))


def _weigh_plain(candidate: Candidate, domain: str, now: float) -> float:
    far = 0.0 if candidate.entry.domain == domain else FOREIGN_DOMAIN_COST
    return _share(candidate, now) + far


def _share(candidate: Candidate, now: float) -> float:
    slots = max(1, candidate.entry.slots)
    return candidate.health.estimate_load(now) / slots


def _keep_trusted(candidates: Sequence[Candidate], now: float) -> list[Candidate]:
    trusted = [one for one in candidates if one.health.avoided_until <= now]
    # With none left that is trusted, one that failed lately is better than none.
    return trusted or list(candidates)


def _rank_home(candidate: Candidate, shared_part: str) -> int:
    named = f'{shared_part}|{candidate.entry.incarnation}'.encode()
    return xxhash.xxh3_64_intdigest(named)
