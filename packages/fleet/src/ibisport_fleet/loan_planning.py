"""Plans when a second lender is asked, and how many tokens are lent ahead of demand.

The functions do no input or output.
"""

import math
from dataclasses import dataclass

# A second lender is asked after this share of the objective, so that a request whose
# first lender is silent still meets it. The bounds keep a loan that needs a write of
# the store from always reaching two lenders, and long objectives from long waits.
SECOND_LENDER_FRACTION = 0.25
MIN_SECOND_LENDER_SECONDS = 0.06
MAX_SECOND_LENDER_SECONDS = 0.25
# Demand that a borrower covers ahead. A borrower that dies strands at most this much.
AHEAD_SECONDS = 0.5
# Time constant of a borrower's demand: long enough to average over some requests,
# short enough that a workspace that went quiet has its tokens returned.
DEMAND_TIME_CONSTANT_SECONDS = 2.0
# Without a request for this time, a borrower holds no tokens ahead.
QUIET_SECONDS = 1.0
# A lender keeps the larger part of its reserve for requests that other borrowers have.
MAX_AHEAD_FRACTION = 0.25
# In the last tenth of a budget, tokens that wait at one router are missing at another.
SCARCE_FRACTION = 0.9


@dataclass(slots=True)
class BorrowerDemand:
    """Recent demand of one workspace at a borrower.

    Attributes:
        scarce: Whether a lender reported last that the budget is nearly spent.
    """

    scarce: bool = False
    _recent_tokens: float = 0.0
    _decayed_at: float = 0.0
    _requested_at: float = -math.inf

    def add(self, tokens: int, now: float) -> None:
        """Add the maximum cost of a request."""
        self._decay(now)
        self._recent_tokens += tokens
        self._requested_at = now

    def plan_ahead(self, now: float) -> int:
        """Return the tokens that should be held ahead of requests."""
        if self.scarce or now - self._requested_at > QUIET_SECONDS:
            return 0
        self._decay(now)
        rate = self._recent_tokens / DEMAND_TIME_CONSTANT_SECONDS
        return int(AHEAD_SECONDS * rate)

    def _decay(self, now: float) -> None:
        elapsed_seconds = now - self._decayed_at
        decay_factor = math.exp(-elapsed_seconds / DEMAND_TIME_CONSTANT_SECONDS)
        self._recent_tokens *= decay_factor
        self._decayed_at = now


def compute_second_lender_delay(objective: float) -> float:
    """Return after how many seconds without an answer a second lender is asked.

    Args:
        objective: Target for the time to the first byte of the answer, seconds.
    """
    delay = objective * SECOND_LENDER_FRACTION
    return min(MAX_SECOND_LENDER_SECONDS, max(MIN_SECOND_LENDER_SECONDS, delay))


def is_scarce(used: int, budget: int) -> bool:
    """Return whether a budget is in its last tenth."""
    return used > SCARCE_FRACTION * budget


def limit_ahead(asked: int, reserve: int) -> int:
    """Return the tokens that a lender lends ahead of demand.

    Args:
        asked: Tokens that the borrower asks for.
        reserve: Tokens that the lender may still spend and that nobody waits for.
    """
    return max(0, min(asked, int(reserve * MAX_AHEAD_FRACTION)))
