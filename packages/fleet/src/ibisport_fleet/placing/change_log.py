"""Logs changes of the paces of engines and of the engines of hot parts."""

from collections import OrderedDict

from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.placing.pace import ServicePace
from ibisport_fleet.rendezvous import hash_text

LINE_INTERVAL_SECONDS = 10.0
MAX_SUBJECTS = 1_024


class ChangeLog:
    """Writes at most one line for each engine and part in 10 s."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._written_at: OrderedDict[str, float] = OrderedDict()

    def write(self, service: str, pace: ServicePace, now: float) -> None:
        """Write the changes since the last call.

        A change that comes too soon after the last line is left out.

        Args:
            service: Name of the service.
            pace: What was observed of it.
            now: Loop time.
        """
        for start_id in pace.changes:
            if self._may_write(start_id[0], now):
                self._log.write(
                    Event.engine_paced,
                    service=service,
                    target=start_id[0],
                    pace=pace.find_relative_pace(start_id),
                    gap=pace.find_usual_gap(start_id),
                )
        pace.changes.clear()
        changes = pace.shared_parts.changes
        for part_id, engines in changes.items():
            name = f'{hash_text(part_id):016x}'
            if self._may_write(name, now):
                self._log.write(
                    Event.part_spread, service=service, part=name, engines=engines
                )
        changes.clear()

    def _may_write(self, subject: str, now: float) -> bool:
        written_at = self._written_at.get(subject)
        if written_at is not None and now - written_at < LINE_INTERVAL_SECONDS:
            return False
        self._written_at[subject] = now
        self._written_at.move_to_end(subject)
        while len(self._written_at) > MAX_SUBJECTS:
            self._written_at.popitem(last=False)
        return True
