"""Seeded changes that operators make from one version of the catalogue to the next."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from ibisport_bench.soak.evidence import Kind
from ibisport_fleet.catalogue import Limits

# The chance of each part of the catalogue to change with a version. Most stay, so that
# requests meet the older state of one part beside the newer state of another.
CHANGE_SHARE = 0.3
HEADER_BYTES = (2_000, 16_384)
BODY_BYTES = (2_000, 40_000, 4_194_304)
IDLE_SECONDS = (5.0, 15.0, 30.0)
# The shorter limit ends the longest streams that were sent under it.
TIME_LIMITS_SECONDS = (4.0, 20.0)
# Shares of the traffic of plain routes that go to engines.
ENGINE_SHARES = (0.0, 0.0, 0.4, 1.0)
BUDGET_SHARES = (0.4, 0.7, 1.0)
IDLE_ROUTES = (0, 0, 300, 1400)
ABSENT_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Variation:
    """The parts of the catalogue that differ between versions.

    Attributes:
        limits: The limits on requests.
        time_limit: The time limit of all routes, seconds.
        engine_share: The share of the traffic of plain routes that goes to engines.
        budget_share: The share of each workspace's highest budget that is paid for.
        idle_routes: The number of routes that get no requests.
        absent: Names of the routes and workspaces that are missing.
    """

    limits: Limits = field(default_factory=Limits)
    time_limit: float = TIME_LIMITS_SECONDS[-1]
    engine_share: float = 0.0
    budget_share: float = 1.0
    idle_routes: int = 0
    absent: frozenset[str] = frozenset()

    def vary(self, source: random.Random, workspaces: list[str]) -> 'Variation':
        """Return a variation in which some of the parts differ.

        Args:
            source: Source of the draws.
            workspaces: Names of the workspaces that may be missing.
        """
        names = [Kind.read.value, Kind.once.value, Kind.talk.value, *workspaces]
        draws: dict[str, Callable[[], Any]] = {
            'limits': lambda: Limits(
                source.choice(HEADER_BYTES),
                source.choice(BODY_BYTES),
                idle_seconds=source.choice(IDLE_SECONDS),
            ),
            'time_limit': lambda: source.choice(TIME_LIMITS_SECONDS),
            'engine_share': lambda: source.choice(ENGINE_SHARES),
            'budget_share': lambda: source.choice(BUDGET_SHARES),
            'idle_routes': lambda: source.choice(IDLE_ROUTES),
            'absent': lambda: frozenset(
                name for name in names if source.random() < ABSENT_SHARE
            ),
        }
        changed = [name for name in draws if source.random() < CHANGE_SHARE]
        return replace(self, **{name: draws[name]() for name in changed})
