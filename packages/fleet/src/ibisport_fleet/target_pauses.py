"""Pauses that targets ask for when they reject requests.

A target that rejects requests answers at once and reports few running requests, so
without the pause it looks better than any other target.
"""

from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.metadata import RequestedPause
from ibisport_fleet.target_choice import TargetHealth

# Longer pauses count as unreadable.
MAX_PAUSE_SECONDS = 600.0
# Applies where the value can't be meant.
DEFAULT_PAUSE_SECONDS = 5.0


def apply_pause(
    pause: RequestedPause | None,
    target: str,
    health: TargetHealth,
    now: float,
    log: EventLog,
) -> None:
    """Pause a target if its answer asks for it; a pause never becomes shorter.

    Args:
        pause: What the answer asks for.
        target: The target's incarnation.
        health: Its health.
        now: Loop time at which the answer arrived.
        log: The event log; one event for each pause.
    """
    if pause is None:
        return
    seconds = pause.seconds
    readable = seconds is not None and 0 <= seconds <= MAX_PAUSE_SECONDS
    if seconds is None or not readable:
        seconds = DEFAULT_PAUSE_SECONDS
    if not seconds:
        return
    if not health.is_paused(now):
        log.write(
            Event.target_paused, target=target, seconds=seconds, readable=readable
        )
    health.pause_until(now + seconds)
