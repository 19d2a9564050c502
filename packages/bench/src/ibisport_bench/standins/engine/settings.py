"""Settings of the engine stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Speed, size and imperfections of the engine.

    Attributes:
        models: Names of the initially loaded models; empty to serve any name.
        slots: Number of requests that run at once.
        token_ms: Duration of a decoding step in milliseconds.
        prefill_tokens_per_second: Prefill rate, shared by all requests.
        cache_tokens: Size of the prefix cache in prompt tokens.
        load_lag_ms: Milliseconds by which the reported load is delayed.
        event_lag_ms: Milliseconds by which cache events are delayed.
        event_loss: Share of the cache events that are lost.
        seed: Seed of the random draws of lost events and failures.
        check_fencing: Whether orders with an outdated fencing number are refused.
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
