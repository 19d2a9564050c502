"""Decides which engines all routers prefer for a shared part of a prompt."""

import heapq
import math
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ibisport_fleet.rendezvous import compute_score
from ibisport_fleet.target_choice import Candidate

# A router of a small site sees two hundred prompts in this time; a part that becomes
# hot shows within it. Shorter times make the number of engines change too often.
DECAY_SECONDS = 30.0
MAX_PARTS = 512
# Fewer prompts of a part don't tell its share of the demand.
MIN_PROMPTS = 12.0
# The number of engines grows if the demand exceeds it by this much of an engine, and
# shrinks if so much of one would still be free without it.
GROWTH_HYSTERESIS = 0.5
SHRINK_HYSTERESIS = 0.75
SCORE_RANGE = 2.0**64

WeighEngine = Callable[[tuple[str, int]], float]


@dataclass(slots=True)
class _PartDemand:
    """Decaying demand for one part, and the number of engines that it has."""

    prompts: float = 0.0
    tokens: float = 0.0
    updated_at: float = 0.0
    engines: int = 1


class SharedParts:
    """Demand for the shared parts of a service's prompts at this router.

    Attributes:
        changes: Ids of parts whose number of engines has changed, with that number.
    """

    def __init__(self) -> None:
        self.changes: dict[str, int] = {}
        self._total = _PartDemand()
        self._parts: OrderedDict[str, _PartDemand] = OrderedDict()

    def record_prompt(self, part_id: str | None, tokens: int, now: float) -> None:
        """Count a prompt.

        Args:
            part_id: Its last shared part; None: it has no shared part.
            tokens: Length of the whole prompt.
            now: Loop time.
        """
        _add(self._total, tokens, now)
        if part_id is None:
            return
        part = self._parts.setdefault(part_id, _PartDemand(updated_at=now))
        self._parts.move_to_end(part_id)
        _add(part, tokens, now)
        if len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)

    def count_spread(self, now: float) -> int:
        """Return how many parts of recent prompts are preferred at several engines."""
        oldest = now - DECAY_SECONDS
        return sum(
            part.engines > 1 and part.updated_at >= oldest
            for part in self._parts.values()
        )

    def count_engines(self, part_id: str, engines: int, now: float) -> int:
        """Return at how many engines a part is preferred.

        An engine serves its share of the service's tokens. A part with a larger share
        needs several.

        Args:
            part_id: The part.
            engines: Number of engines of the service.
            now: Loop time.
        """
        part = self._parts.get(part_id)
        if part is None:
            return 1
        _decay(part, now)
        _decay(self._total, now)
        needed = 1.0
        if part.prompts >= MIN_PROMPTS and self._total.tokens > 0:
            needed = part.tokens / self._total.tokens * engines
        least = part.engines - 1 - SHRINK_HYSTERESIS
        if not least < needed <= part.engines + GROWTH_HYSTERESIS:
            part.engines = max(1, min(engines, math.ceil(needed)))
            self.changes[part_id] = part.engines
        return part.engines


def find_preferred_engines(
    candidates: Sequence[Candidate],
    part_id: str,
    count: int,
    weigh: WeighEngine | None = None,
) -> list[Candidate]:
    """Return the engines that all routers prefer for a part, the first one first.

    The choice is weighted rendezvous hashing, so a router that wants more engines
    prefers those of the other routers too.

    Args:
        candidates: Engines to choose from.
        part_id: The part.
        count: Number of engines.
        weigh: Returns the weight of a start; None: all have the same weight.
    """

    def score(candidate: Candidate) -> float:
        entry = candidate.entry
        points = compute_score(part_id, entry.incarnation)
        if weigh is None:
            return points
        # Of two engines, the one with twice the weight wins two parts in three.
        return weigh(entry.start_id) / -math.log((points + 1) / (SCORE_RANGE + 1))

    if count == 1:
        return [max(candidates, key=score)]
    return heapq.nlargest(count, candidates, key=score)


def _add(demand: _PartDemand, tokens: int, now: float) -> None:
    _decay(demand, now)
    demand.prompts += 1
    demand.tokens += tokens


def _decay(demand: _PartDemand, now: float) -> None:
    factor = math.exp((demand.updated_at - now) / DECAY_SECONDS)
    demand.updated_at = now
    demand.prompts *= factor
    demand.tokens *= factor
