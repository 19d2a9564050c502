"""Settings of the engine stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """How fast and how large the engine is.

    Attributes:
        models: Names of the models loaded at the start; empty to serve any.
        slots: Requests running at once.
        token_ms: Milliseconds of a decoding step.
        prefill_tokens_per_second: Prompt tokens processed a second, in all.
        cache_tokens: Prompt tokens kept in the prefix cache.
        load_lag_ms: Milliseconds by which the shown load is late.
        event_lag_ms: Milliseconds by which cache events are late.
        event_loss: Share of cache events that are never shown.
        seed: Seed of the losses and failures.
        check_fencing: Whether orders with an old fencing number are refused.
    """

    models: tuple[str, ...] = ()
    slots: int = 8
    token_ms: float = 20
    prefill_tokens_per_second: float = 20000
    cache_tokens: int = 65536
    load_lag_ms: float = 500
    event_lag_ms: float = 500
    event_loss: float = 0.1
    seed: int = 0
    check_fencing: bool = True
