"""Decides whether long prompts get a pool of engines of their own, and how large.

An engine reads a prompt in chunks between the steps of the answers that it generates,
so a long prompt delays the events of the answers beside it. Where that causes pauses
near the longest one that callers accept, long prompts are kept apart: size-based
assignment (Harchol-Balter, JACM 49(2), 2002). Where engines read fast enough, any
engine serves a prompt best. A router decides from its own requests only; all routers
observe the same engines, so their decisions agree closely enough.

Without a split and without faults, engines that read 42.8 tokens per ms and emit 4
tokens per event paused 61 of 806 short answers for more than the accepted 300 ms;
engines that read 56.6 tokens per ms paused none of 669 for more than 400 ms.
"""

import math
from dataclasses import dataclass

# Time constant of the exponential decay. A router of a small site sees about a hundred
# long prompts in this time, enough for routers to divide engines alike; a longer time
# would follow changes of the mix too slowly.
DECAY_SECONDS = 60.0
# A pause longer than this share of the accepted one counts as near the limit, so that
# a harmful mix shows before pauses exceed the limit. In the placing experiment 4 to
# 12 % of a router's long answers have such a pause on engines that read slowly, and
# none on engines that read fast.
NEAR_LIMIT_SHARE = 0.7
# Long prompts are kept apart once both the decayed count and the share of answers near
# the limit reach these values; a single such answer may be due to an engine's failure.
MIN_NEAR_LIMIT_ANSWERS = 1.9
SPLIT_THRESHOLD = 0.05
# Prompts are mixed again below this share, given at least this many answers.
MERGE_THRESHOLD = 0.02
MIN_ANSWERS_TO_MERGE = 25.0
# Each router sees its own sample of the prompts. With shares rounded to quarters the
# routers divide engines alike; with finer steps they disagreed about one engine in
# eight, and 1.5 % of the short answers paused too long.
SHARE_STEPS = 4


@dataclass(frozen=True, slots=True)
class EngineSplit:
    """How engines are divided into pools for long and short prompts.

    Attributes:
        min_long_tokens: Prompts of at least this length are long.
        share: Share of the engines that take long prompts first.
    """

    min_long_tokens: float
    share: float


class PromptMix:
    """Decaying statistics of a service's prompts and answers at this router."""

    def __init__(self) -> None:
        # Starts split: mixing prompts wrongly costs more than splitting wrongly.
        self._is_split = True
        self._updated_at = 0.0
        self._prompt_count = 0.0
        self._prompt_tokens = 0.0
        self._uncached_tokens = 0.0
        self._uncached_long_tokens = 0.0
        self._answer_count = 0.0
        self._near_limit_count = 0.0

    @property
    def split(self) -> EngineSplit | None:
        """The current division of engines; None: any engine takes any prompt."""
        if not (self._is_split and self._uncached_tokens):
            return None
        steps = round(self._uncached_long_tokens / self._uncached_tokens * SHARE_STEPS)
        return EngineSplit(self.min_long_tokens, steps / SHARE_STEPS)

    @property
    def min_long_tokens(self) -> float:
        """Length from which a prompt counts as long: the mean length of prompts."""
        return self._prompt_tokens / self._prompt_count if self._prompt_count else 0.0

    def record_prompt(self, tokens: int, uncached: int, now: float) -> None:
        """Count a prompt that is sent to an engine.

        Args:
            tokens: Length of the prompt.
            uncached: Tokens of it that the engine has to read.
            now: Loop time.
        """
        self._decay(now)
        self._prompt_count += 1
        self._prompt_tokens += tokens
        self._uncached_tokens += uncached
        if tokens >= self.min_long_tokens:
            self._uncached_long_tokens += uncached

    def record_answer(
        self, tokens: int, max_pause: float, accepted_pause: float, now: float
    ) -> None:
        """Count an answer by its longest pause between two events.

        While engines are split only answers to long prompts count, since only they
        run beside other long prompts.

        Args:
            tokens: Length of the prompt.
            max_pause: The longest pause of the answer, seconds.
            accepted_pause: The longest pause that the caller accepts, seconds.
            now: Loop time.
        """
        if self._is_split and tokens < self.min_long_tokens:
            return
        self._decay(now)
        self._answer_count += 1
        self._near_limit_count += max_pause > NEAR_LIMIT_SHARE * accepted_pause
        share = self._near_limit_count / self._answer_count
        if (
            self._near_limit_count >= MIN_NEAR_LIMIT_ANSWERS
            and share >= SPLIT_THRESHOLD
        ):
            self._is_split = True
        elif self._answer_count >= MIN_ANSWERS_TO_MERGE and share < MERGE_THRESHOLD:
            self._is_split = False

    def _decay(self, now: float) -> None:
        factor = math.exp((self._updated_at - now) / DECAY_SECONDS)
        self._updated_at = now
        self._prompt_count *= factor
        self._prompt_tokens *= factor
        self._uncached_tokens *= factor
        self._uncached_long_tokens *= factor
        self._answer_count *= factor
        self._near_limit_count *= factor
