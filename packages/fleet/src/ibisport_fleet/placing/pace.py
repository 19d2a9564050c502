"""Learns how slow each engine is, compared with the others of its service.

The time between two events of a stream is the cleanest signal: each event holds the
same number of tokens, and the shortest times hardly depend on the engine's load.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from statistics import median

from ibisport_fleet.placing.backlog import estimate_backlog
from ibisport_fleet.placing.shared_parts import SharedParts
from ibisport_fleet.placing.start_times import DEFAULT_MODEL, StartTimes
from ibisport_fleet.target_choice import Candidate

StartId = tuple[str, int]

# A gap is averaged over this many events, since a router that is late with one event
# is early with the next.
EVENTS_PER_GAP = 2
# More would hide for longer that an engine has become slow: three in four gaps of the
# history have to be slow until that shows.
MAX_GAPS = 32
MIN_GAPS = 8
# Gaps above this quantile contain the reading of other prompts.
LOW_QUANTILE = 0.25
REFRESH_INTERVAL_SECONDS = 0.25
# An engine that was avoided for being slow is tried again after this time.
MAX_GAP_AGE_SECONDS = 60.0
# The pace is rounded to tenths, so that noise doesn't order engines of equal pace. It
# changes only once it is clearly nearer to another tenth.
PACE_DIGITS = 1
PACE_HYSTERESIS = 0.08
MIN_PACE = 0.1
USUAL_PACE = 1.0
# Weights of preferred engines are powers of this factor. Routers measure slightly
# different paces, and with finer steps they would prefer different engines.
WEIGHT_FACTOR = 1.5
MAX_WEIGHT_STEPS = 4
# A step changes only if the pace is further from it than this; 0.5 is half-way.
WEIGHT_HYSTERESIS = 0.65


@dataclass(slots=True)
class _EngineGaps:
    """Recent gaps between events of one engine, and what follows from them.

    Attributes:
        gaps: Seconds for one event each.
        recorded_at: Loop time of the last gap.
        low: A low quantile of the gaps; None: too few were observed.
        usual: Their median.
        pace: The pace relative to the service.
        weight_steps: Steps by which shared parts are rather preferred elsewhere.
    """

    gaps: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_GAPS))
    recorded_at: float = 0.0
    low: float | None = None
    usual: float | None = None
    pace: float = USUAL_PACE
    weight_steps: int = 0
    _is_measured: bool = True

    def record(self, seconds: float, now: float) -> None:
        self.gaps.append(seconds)
        self.recorded_at = now
        self._is_measured = False

    def measure(self) -> None:
        """Compute the quantiles if gaps were recorded since the last time."""
        if self._is_measured or len(self.gaps) < MIN_GAPS:
            return
        self._is_measured = True
        ranked = sorted(self.gaps)
        self.low = ranked[int(len(ranked) * LOW_QUANTILE)]
        self.usual = median(ranked)

    def compare(self, usual: float) -> bool:
        """Compute the pace and the weight; return whether the weight has changed.

        Args:
            usual: The usual gap of the service, seconds.
        """
        if self.low is None or self.low <= 0:
            return False
        measured = self.low / usual
        if abs(measured - self.pace) > PACE_HYSTERESIS:
            self.pace = max(MIN_PACE, round(measured, PACE_DIGITS))
        steps = math.log(measured, WEIGHT_FACTOR)
        bounded = min(MAX_WEIGHT_STEPS, max(-MAX_WEIGHT_STEPS, steps))
        if abs(bounded - self.weight_steps) <= WEIGHT_HYSTERESIS:
            return False
        self.weight_steps = round(bounded)
        return True


class ServicePace:
    """Paces of the engines of one service, as this router observes them.

    All is kept in memory only. Without observations each engine has the usual pace.

    Attributes:
        shared_parts: Demand for the shared parts of the service's prompts.
        changes: Starts whose weight for shared parts has changed.
    """

    def __init__(self) -> None:
        self.shared_parts = SharedParts()
        self.changes: set[StartId] = set()
        self._engines: dict[StartId, _EngineGaps] = {}
        self._start_times = StartTimes()
        self._copied_tokens: Counter[StartId] = Counter()
        self._next_refresh_at = 0.0

    @property
    def known_engines(self) -> int:
        """Number of engines whose pace is known."""
        return sum(engine.low is not None for engine in self._engines.values())

    @property
    def knows_reading(self) -> bool:
        """Whether the time in which engines read a prompt was observed."""
        return self._start_times.model is not None

    def record_gap(self, start_id: StartId, seconds: float, now: float) -> None:
        """Record the time between two events of a stream.

        Args:
            start_id: The start of the engine.
            seconds: The time for each event.
            now: Loop time.
        """
        self._engines.setdefault(start_id, _EngineGaps()).record(seconds, now)
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_INTERVAL_SECONDS
            self._refresh(now)

    def record_first_event(
        self, start_id: StartId, tokens: float, seconds: float, now: float
    ) -> None:
        """Record the time to the first event of a request.

        Args:
            start_id: The start of the engine.
            tokens: The fewest tokens that the engine has read for the request.
            seconds: Time from sending the request to its first event.
            now: Loop time.
        """
        pace = self.find_relative_pace(start_id)
        self._start_times.record(tokens, seconds / pace, now)

    def find_relative_pace(self, start_id: StartId) -> float:
        """Return how long an engine takes compared with the median of the service.

        An unknown engine has the pace 1, also one that has restarted.
        """
        engine = self._engines.get(start_id)
        return USUAL_PACE if engine is None else engine.pace

    def find_weight(self, start_id: StartId) -> float:
        """Return the weight of an engine for shared parts, 1 for the usual pace."""
        engine = self._engines.get(start_id)
        return 1.0 if engine is None else float(WEIGHT_FACTOR**-engine.weight_steps)

    def find_usual_gap(self, start_id: StartId) -> float | None:
        """Return the usual time between events of a start, seconds; None: unknown."""
        engine = self._engines.get(start_id)
        return None if engine is None else engine.usual

    def estimate_start_seconds(
        self, candidate: Candidate, uncached_tokens: float, now: float
    ) -> float | None:
        """Return the seconds until the first event if a request were sent now.

        Args:
            candidate: The engine.
            uncached_tokens: Tokens of the prompt that the engine hasn't cached.
            now: Loop time.

        Returns:
            None until enough requests of the service were observed.
        """
        if self._start_times.model is None:
            return None
        tokens = estimate_backlog(candidate, now) + uncached_tokens
        return self.compute_start_cost(candidate, tokens, now)

    def compute_start_cost(
        self, candidate: Candidate, tokens: float, now: float
    ) -> float:
        """Return the seconds until the first event, with defaults if not observed.

        Running requests count by the tokens that could be read instead, as without
        observations, so engines of equal pace are in the same order.

        Args:
            candidate: The engine.
            tokens: Tokens that it reads until then.
            now: Loop time.
        """
        model = self._start_times.model or DEFAULT_MODEL
        seconds = model.start_seconds + tokens * model.seconds_per_token
        pace = self.find_relative_pace(candidate.entry.start_id)
        return seconds * pace * candidate.health.find_slowdown(now)

    def estimate_reading_seconds(
        self, candidate: Candidate, tokens: float, now: float
    ) -> float | None:
        """Return the time in which an engine reads tokens; None: not observed.

        Args:
            candidate: The engine.
            tokens: Number of tokens.
            now: Loop time.
        """
        model = self._start_times.model
        if model is None:
            return None
        pace = self.find_relative_pace(candidate.entry.start_id)
        slowdown = candidate.health.find_slowdown(now)
        return tokens * model.seconds_per_token * pace * slowdown

    def begin_copy(self, source: StartId, tokens: int) -> None:
        """Count tokens that another engine begins to fetch from a source."""
        self._copied_tokens[source] += tokens

    def end_copy(self, source: StartId, tokens: int) -> None:
        """Count the end of a copy."""
        self._copied_tokens[source] -= tokens
        if not self._copied_tokens[source]:
            self._copied_tokens.pop(source)

    def count_copied_tokens(self, source: StartId) -> int:
        """Return the tokens of the copies from a source that are in progress."""
        return self._copied_tokens[source]

    def _refresh(self, now: float) -> None:
        """Forget engines without recent gaps, and compare the others."""
        oldest = now - MAX_GAP_AGE_SECONDS
        self._engines = {
            start_id: engine
            for start_id, engine in self._engines.items()
            if engine.recorded_at >= oldest
        }
        self.changes &= self._engines.keys()
        for engine in self._engines.values():
            engine.measure()
        lows = [
            engine.low for engine in self._engines.values() if engine.low is not None
        ]
        usual = median(lows) if lows else 0.0
        # Events that arrive at once have no gap between them.
        if usual > 0:
            for start_id, engine in self._engines.items():
                if engine.compare(usual):
                    self.changes.add(start_id)


@dataclass(slots=True)
class GapRecorder:
    """Records the gaps between the events of one stream."""

    pace: ServicePace
    start_id: StartId
    _begun_at: float = -math.inf
    _events: int = 0

    def record_events(self, count: int, now: float) -> None:
        """Record complete events that arrived together.

        Args:
            count: Their number.
            now: Loop time.
        """
        if self._begun_at >= 0:
            self._events += count
            if self._events < EVENTS_PER_GAP:
                return
            seconds = (now - self._begun_at) / self._events
            self.pace.record_gap(self.start_id, seconds, now)
        self._begun_at, self._events = now, 0
