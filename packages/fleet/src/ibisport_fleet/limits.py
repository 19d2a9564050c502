"""Rate limits that targets name."""

from ibisport_fleet.calls import Call
from ibisport_fleet.choice import TargetHealth
from ibisport_fleet.eventlog import Event, EventLog


class TargetLimits:
    """What targets said of how many requests they take."""

    def __init__(self, log: EventLog) -> None:
        self._log = log

    def note_answer(self, call: Call, health: TargetHealth, rate: float | None) -> None:
        """Take what an answer says.

        Args:
            call: The request that it answers.
            health: What is known of its target.
            rate: Requests a second for all routers together; None: no limit.
        """
        if rate == health.rate:
            return
        health.rate = rate
        self._log.write(
            Event.target_limited,
            target=call.target,
            rate=rate,
            request=call.terms.request_id,
        )
