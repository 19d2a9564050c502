"""Whether long prompts get engines of their own, for which sizes, and how many.

An engine reads prompts in pieces between the steps of the answers that it generates,
so answers beside a long prompt get their events late. Where that brings pauses near
the longest one that callers accept, long prompts are kept apart: size-based assignment
(Harchol-Balter, JACM 49(2), 2002). Where engines read fast enough for it, a prompt is
served best by any engine. Both follow from what a router sees of its own requests;
routers see the same engines and agree closely enough.

Measured on calm days with nothing apart: engines that read 42.8 tokens a ms and emit 4
in an event gave 61 of 806 short answers a pause over the accepted 300 ms; engines that
read 56.6 tokens a ms gave none of 669 one over 400 ms.
"""

import math
from dataclasses import dataclass

# Long enough for a small site's router to see a hundred long prompts, so that routers
# divide engines alike; short enough to follow a change of the mix.
DECAY_SECONDS = 60.0
# A pause that takes so much of the accepted one shows the harm before it is done.
# In the experiment on placing, engines that read slowly show it for 4 to 12 % of a
# router's long answers, those that read fast for none.
NEAR_LIMIT_SHARE = 0.7
# Long prompts are kept apart from so many answers with such a pause on, and from this
# part of all: a single one may be an engine's failure.
MIN_NEAR_LIMIT_ANSWERS = 1.9
SPLIT_THRESHOLD = 0.05
# They are mixed below this part, seen over so many answers.
MERGE_THRESHOLD = 0.02
MIN_ANSWERS_TO_MERGE = 25.0
# Each router sees a sample of its own: with steps of a quarter they divide engines
# alike, while with finer ones one engine in eight was both kinds at some routers and
# 1.5 % of the short answers paused too long.
SHARE_STEPS = 4


@dataclass(frozen=True, slots=True)
class EngineSplit:
    """How engines are divided among prompts.

    Attributes:
        long_tokens: Prompts of so many tokens and more are long.
        share: Part of the engines that take long prompts first.
    """

    min_long_tokens: float
    share: float


class PromptMix:
    """What a router has lately seen of a service's prompts and answers."""

    def __init__(self) -> None:
        # Until enough is seen: to mix wrongly costs more than to keep apart wrongly.
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
        """How engines are divided now; None: any engine takes any prompt."""
        if not (self._is_split and self._uncached_tokens):
            return None
        steps = round(self._uncached_long_tokens / self._uncached_tokens * SHARE_STEPS)
        return EngineSplit(self.min_long_tokens, steps / SHARE_STEPS)

    @property
    def min_long_tokens(self) -> float:
        """Prompts of so many tokens and more are long: the mean length."""
        return self._prompt_tokens / self._prompt_count if self._prompt_count else 0.0

    def record_prompt(self, tokens: int, unread: int, now: float) -> None:
        """Count a prompt that is sent.

        Args:
            tokens: Its length.
            unread: Tokens of it that its engine has to read.
            now: Loop time.
        """
        self._decay(now)
        self._prompt_count += 1
        self._prompt_tokens += tokens
        self._uncached_tokens += unread
        if tokens >= self.min_long_tokens:
            self._uncached_long_tokens += unread

    def record_answer(
        self, tokens: int, longest_pause: float, accepted: float, now: float
    ) -> None:
        """Count an answer by its longest pause between events.

        While long prompts are apart only the answers to them run beside others.

        Args:
            tokens: Length of its prompt.
            longest_pause: Seconds.
            accepted: The longest pause that its caller accepts, seconds.
            now: Loop time.
        """
        if self._is_split and tokens < self.min_long_tokens:
            return
        self._decay(now)
        self._answer_count += 1
        self._near_limit_count += longest_pause > NEAR_LIMIT_SHARE * accepted
        share = self._near_limit_count / self._answer_count
        if (
            self._near_limit_count >= MIN_NEAR_LIMIT_ANSWERS
            and share >= SPLIT_THRESHOLD
        ):
            self._is_split = True
        elif self._answer_count >= MIN_ANSWERS_TO_MERGE and share < MERGE_THRESHOLD:
            self._is_split = False

    def _decay(self, now: float) -> None:
        kept = math.exp((self._updated_at - now) / DECAY_SECONDS)
        self._updated_at = now
        self._prompt_count *= kept
        self._prompt_tokens *= kept
        self._uncached_tokens *= kept
        self._uncached_long_tokens *= kept
        self._answer_count *= kept
        self._near_limit_count *= kept
