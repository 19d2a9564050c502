"""Shared fixture: a model engine that may be chosen."""

from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.targets import TargetEntry


def build_engine(number):
    """Return the engine of a number; nothing is known of it yet."""
    entry = TargetEntry(f'i-{number}', 'svc', ('10.0.0.1', number), 'd', 64, False, 1)
    return Candidate(entry, TargetHealth())
