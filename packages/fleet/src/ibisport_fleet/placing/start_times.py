"""Learns what the time to the first event consists of: a start cost and the prompt."""

from collections import deque
from dataclasses import dataclass
from operator import itemgetter
from statistics import fmean

# The time to read 12,000 tokens counts as 0.3 s until a rate was observed.
DEFAULT_SECONDS_PER_TOKEN = 25e-6
MAX_SAMPLES = 96
MIN_SAMPLES = 24
# Busy routers would otherwise keep the samples of a second only.
MIN_SAMPLE_INTERVAL_SECONDS = 0.1
FIT_INTERVAL_SECONDS = 1.0
# Engines send the first event with the end of a step, which takes as long as reading
# some hundred tokens. A smaller spread of the sizes wouldn't show the reading rate.
MIN_SPREAD_TOKENS = 500
# Rates outside these bounds come from waiting times and not from reading.
MIN_SECONDS_PER_TOKEN = 1e-6
MAX_SECONDS_PER_TOKEN = 1e-3
# Share of the shortest times in a group of samples, which waited least.
FASTEST_SHARE = 0.25
# Weight of a new fit. Rates hardly change while a service runs the same engines.
FIT_WEIGHT = 0.3


@dataclass(frozen=True, slots=True)
class StartModel:
    """Time to the first event of an engine of usual pace without other work.

    Attributes:
        start_seconds: The time that doesn't depend on the prompt.
        seconds_per_token: The time for each token that is read.
    """

    start_seconds: float
    seconds_per_token: float


DEFAULT_MODEL = StartModel(0.0, DEFAULT_SECONDS_PER_TOKEN)


class StartTimes:
    """Times to the first event of recent requests to the engines of a service.

    Attributes:
        model: What the times consist of; None until enough was observed.
    """

    def __init__(self) -> None:
        self.model: StartModel | None = None
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self._next_sample_at = 0.0
        self._next_fit_at = 0.0

    def record(self, tokens: float, seconds: float, now: float) -> None:
        """Record a request.

        Args:
            tokens: The fewest tokens that the engine has read for it.
            seconds: Time to the first event, divided by the engine's pace.
            now: Loop time.
        """
        if now < self._next_sample_at:
            return
        self._next_sample_at = now + MIN_SAMPLE_INTERVAL_SECONDS
        self._samples.append((tokens, seconds))
        if len(self._samples) >= MIN_SAMPLES and now >= self._next_fit_at:
            self._next_fit_at = now + FIT_INTERVAL_SECONDS
            self._fit()

    def _fit(self) -> None:
        """Fit a line through the fastest of the short and of the long prompts.

        Waiting and tokens that weren't cached only make a request slower, so the
        fastest ones show what the prompt alone takes.
        """
        ranked = sorted(self._samples)
        size = len(ranked) // 3
        few_tokens, few_seconds = _average_fastest(ranked[:size])
        many_tokens, many_seconds = _average_fastest(ranked[-size:])
        spread = many_tokens - few_tokens
        if spread < MIN_SPREAD_TOKENS:
            return
        rate = (many_seconds - few_seconds) / spread
        if MIN_SECONDS_PER_TOKEN <= rate <= MAX_SECONDS_PER_TOKEN:
            start = max(0.0, few_seconds - rate * few_tokens)
            self.model = _blend(self.model, StartModel(start, rate))


def _average_fastest(samples: list[tuple[float, float]]) -> tuple[float, float]:
    fastest = sorted(samples, key=itemgetter(1))
    fastest = fastest[: max(2, int(len(samples) * FASTEST_SHARE))]
    return (
        fmean(tokens for tokens, _ in fastest),
        fmean(seconds for _, seconds in fastest),
    )


def _blend(known: StartModel | None, fitted: StartModel) -> StartModel:
    if known is None:
        return fitted
    start = known.start_seconds
    rate = known.seconds_per_token
    return StartModel(
        start + FIT_WEIGHT * (fitted.start_seconds - start),
        rate + FIT_WEIGHT * (fitted.seconds_per_token - rate),
    )
