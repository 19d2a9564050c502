"""Records when a process was held up: suspended, or short of processor time."""

import asyncio

from ibisport_fleet.event_log import Event, EventLog

INTERVAL_SECONDS = 0.25
# Callers that left meanwhile count as having left long before.
MIN_DELAY_SECONDS = 0.25


async def record_delays(log: EventLog) -> None:
    """Log each time for which the event loop ran nothing, until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + INTERVAL_SECONDS
        await asyncio.sleep(INTERVAL_SECONDS)
        delay = loop.time() - due
        if delay >= MIN_DELAY_SECONDS:
            log.write(Event.process_held, seconds=round(delay, 3))
