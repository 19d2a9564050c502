"""Counts the prompt of a request as pending at its engine until its first event."""

from ibisport_fleet.calls import Call
from ibisport_fleet.dependencies import ServiceState
from ibisport_fleet.placing.backlog import is_crowded
from ibisport_fleet.target_choice import Candidate

StartId = tuple[str, int]


class Prefill:
    """The prompt of one request, at the engine of its present attempt.

    Attributes:
        uncached_tokens: Tokens of it that the engine has to read.
    """

    def __init__(self, call: Call, service_state: ServiceState) -> None:
        """Prepare for a request that isn't sent yet."""
        self.uncached_tokens = 0
        self._call = call
        self._pace = service_state.pace
        self._prompt_mix = service_state.prompt_mix
        self._engine: Candidate | None = None
        self._shows_start_time = False
        self._copy: tuple[StartId, int] | None = None

    def begin(self, candidate: Candidate, now: float) -> None:
        """Count the prompt's uncached tokens as pending at its engine.

        Args:
            candidate: The engine.
            now: Loop time.
        """
        parts = self._call.metadata.parts
        health = candidate.health
        # Copies and waiting behind other work hide how long the prompt itself takes.
        self._shows_start_time = bool(parts) and not (
            health.pending_prompt_tokens
            or self._call.cache_source
            or is_crowded(candidate, now)
        )
        self.uncached_tokens = health.count_uncached_tokens(parts, now)
        self._engine = candidate
        if self._call.copied_from is not None:
            copied = health.count_uncached_tokens(parts[:-1], now)
            self._copy = self._call.copied_from, copied
            self._pace.begin_copy(*self._copy)
        prompt_tokens = sum(part.tokens for part in parts)
        part_id = parts[-2].part_id if len(parts) > 1 else None
        self._pace.shared_parts.record_prompt(part_id, prompt_tokens, now)
        self._prompt_mix.record_prompt(prompt_tokens, self.uncached_tokens, now)
        health.pending_prompt_tokens += self.uncached_tokens
        health.record_parts(parts, now)

    def end(self) -> None:
        """Stop counting the prompt, after its first event or a failure."""
        if self._engine is not None:
            self._engine.health.pending_prompt_tokens -= self.uncached_tokens
            self._engine = None
        if self._copy is not None:
            self._pace.end_copy(*self._copy)
            self._copy = None

    def record_first_event(self, candidate: Candidate, now: float) -> None:
        """Record the time to the first event if it shows what the prompt takes.

        Args:
            candidate: The engine that sent the event.
            now: Loop time.
        """
        if not self._shows_start_time:
            return
        self._shows_start_time = False
        # Shared parts are usually cached, also those that other routers sent.
        tokens = self._call.metadata.parts[-1].tokens
        seconds = now - self._call.sent_at
        self._pace.record_first_event(candidate.entry.start_id, tokens, seconds, now)
