"""Shared fixture: a model engine as a candidate."""

from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.targets import TargetEntry


def build_engine(number):
    """Return the engine with a number, without load or failures."""
    entry = TargetEntry(f'i-{number}', 'svc', ('10.0.0.1', number), 'd', 64, False, 1)
    return Candidate(entry, TargetHealth())
