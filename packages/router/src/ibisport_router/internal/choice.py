"""Choosing a target: by prompt prefix while load allows, else by few choices.

The load is the last report, corrected by what this router sent since. Only the
targets that this router chose least recently are compared: that spreads its
work as evenly as round robin, and as each router has an order of its own, those
that see the same old report do not all choose one target.
"""

import random
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from ibisport_router.internal.choice_cache import CacheTable
from ibisport_router.internal.choice_candidate import (
    Candidate,
    Chooser,
    is_available,
)
from ibisport_router.internal.choice_health import HealthTable
from ibisport_router.internal.choice_load import has_free_slot, measure_occupancy
from ibisport_router.internal.choice_rendezvous import order_targets, rank_homes
from ibisport_router.internal.choice_turns import TurnTable

__all__ = ('Candidate', 'ChoiceOptions', 'Chooser', 'TargetChooser', 'rank_homes')


@dataclass(frozen=True, slots=True)
class ChoiceOptions:
    """Constants of the choice.

    Attributes:
        load_bound: A prefix's target may hold so many times the mean load.
        domain_margin: Occupancy by which a target of another failure domain
            must be better.
        homes: Targets in rendezvous order that a prefix may go to.
        imbalance: Occupancy by which the least loaded target of all must be better
            than those compared to be chosen instead.
        draws: Targets that are compared, those chosen least recently.
    """

    load_bound: float = 1.25
    domain_margin: float = 0.1
    homes: int = 2
    draws: int = 3
    imbalance: float = 0.5


class TargetChooser:
    """Ranks the targets of a pool for one router; safe for threads.

    Args:
        failure_domain: Where the router is.
        random: Source of the first order and of jitter.
        clock: Unix time in seconds.
        options: Constants.
    """

    def __init__(
        self,
        failure_domain: str,
        random: random.Random,
        clock: Callable[[], float] = time.time,
        options: ChoiceOptions | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._clock = clock
        self._options = options or ChoiceOptions()
        self._lock = threading.Lock()
        self._health = HealthTable(random)
        self._cache = CacheTable()
        self._turns = TurnTable(random)

    def rank(
        self, candidates: Sequence[Candidate], affinity: bytes | None, now: float
    ) -> list[str]:
        """Return the usable targets, the best first.

        Args:
            candidates: All targets of the pool, as last known.
            affinity: Identity of the prompt's prefix, or None.
            now: Unix time in seconds.

        Returns:
            Names of targets; a retry takes the next. Draining and disconnected
            targets are never in it, those set aside only when no other is left.
        """
        available = [one for one in candidates if is_available(one)]
        with self._lock:
            usable = [
                one for one in available if self._health.is_usable(one.target, now)
            ]
            ranked = self._rank_usable(usable or available, affinity)
            if ranked:
                self._health.note_chosen(ranked[0], now)
        return ranked

    def note_result(self, target: str, ok: bool, seconds: float) -> None:
        """Learn how a request ended, to set failing targets aside.

        Args:
            target: Name of the target.
            ok: False when the target or its link failed; a refusal for load,
                draining or the caller's fault is no failure of the target.
            seconds: How long it took; not used yet.
        """
        with self._lock:
            self._health.note_result(target, ok, self._clock())

    def note_cache(
        self, target: str, prefix_hashes: Iterable[bytes], held: bool = True
    ) -> None:
        """Learn from a cache event; late or lost ones only cost cache hits.

        Args:
            target: Name of the target.
            prefix_hashes: Identities as given to ``rank``.
            held: False when the target dropped them.
        """
        with self._lock:
            self._cache.note(target, prefix_hashes, held)

    def _rank_usable(
        self, usable: Sequence[Candidate], affinity: bytes | None
    ) -> list[str]:
        if not usable:
            return []
        first = None
        if affinity is not None:
            first = self._find_home(usable, affinity)
        if first is None:
            first = self._choose_by_load(usable)
        others = [one for one in usable if one is not first]
        others.sort(key=self._score)
        return [first.target, *(one.target for one in others)]

    def _find_home(
        self, usable: Sequence[Candidate], affinity: bytes
    ) -> Candidate | None:
        by_name = {one.target: one for one in usable}
        homes = order_targets(by_name, affinity)[: self._options.homes]
        holders = [one for one in self._cache.find(affinity) if one in by_name]
        mean = sum(measure_occupancy(one) for one in usable) / len(usable)
        bound = mean * self._options.load_bound
        for target in (*holders, *homes):
            home = by_name[target]
            if has_free_slot(home) or measure_occupancy(home) <= bound:
                return home
        return None

    def _choose_by_load(self, usable: Sequence[Candidate]) -> Candidate:
        ordered = sorted(usable, key=self._turns.read)
        near = [one for one in ordered if self._is_near(one)]
        drawn = [*ordered[: self._options.draws], *near[:1]]
        chosen = min(drawn, key=self._score)
        least = min(ordered, key=self._score)
        if self._score(chosen) - self._score(least) > self._options.imbalance:
            chosen = least
        self._turns.note(chosen)
        return chosen

    def _is_near(self, candidate: Candidate) -> bool:
        return candidate.failure_domain == self._failure_domain

    def _score(self, candidate: Candidate) -> float:
        margin = 0 if self._is_near(candidate) else self._options.domain_margin
        return measure_occupancy(candidate) + margin
