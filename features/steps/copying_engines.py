"""Shared figures: engines that copy runs, and the objective of their streams."""

from ibisport_fleet.catalogue import Engine

TOKENS_PER_EVENT = 5
ENGINE = Engine(64, 100_000, TOKENS_PER_EVENT, 1e-5, True, 5.0)
OBJECTIVE_SECONDS = 0.5
