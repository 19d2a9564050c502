"""Estimates the work of an engine before it can begin with another prompt."""

from ibisport_fleet.target_choice import Candidate

# Cost of a running request to the next one: it slows each step by a thousandth, and
# also stands for prompts that other routers have sent.
TOKENS_PER_RUNNING_REQUEST = 60
# Above this utilization an engine may soon run out of slots, so each further request
# costs as much as a prompt of 30 ms.
CROWDED_UTILIZATION = 0.5
TOKENS_PER_CROWDED_REQUEST = 1_200


def is_crowded(candidate: Candidate, now: float) -> bool:
    """Return whether an engine may soon run out of slots."""
    return _count_excess(candidate, now) > 0


def estimate_backlog(candidate: Candidate, now: float) -> float:
    """Return how many tokens an engine could read before it begins with a prompt.

    Args:
        candidate: The engine.
        now: Loop time.
    """
    health = candidate.health
    return (
        health.pending_prompt_tokens
        + TOKENS_PER_RUNNING_REQUEST * health.estimate_load(now)
        + TOKENS_PER_CROWDED_REQUEST * _count_excess(candidate, now)
    )


def _count_excess(candidate: Candidate, now: float) -> float:
    load = candidate.health.estimate_load(now)
    return max(0.0, load - CROWDED_UTILIZATION * candidate.entry.slots)
