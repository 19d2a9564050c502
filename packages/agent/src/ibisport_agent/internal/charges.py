"""What each router session's charges come to at this agent.

These records are the proof of what ran under a session that died: whoever
recovers its grants fences the session here, and then reads them. They are kept
until the session says that a charge is settled in the store.
"""

import threading
from dataclasses import dataclass, replace

from ibisport_core.messages import ChargeRecord, Settled


@dataclass(frozen=True, slots=True)
class ChargeKey:
    """Names one charge of one session."""

    session: str
    workspace: str
    budget: str
    charge: int


class ChargeBook:
    """The charges of every session, and which sessions are fenced."""

    def __init__(self) -> None:
        """Start with no record."""
        self._lock = threading.Lock()
        self._records: dict[str, dict[ChargeKey, ChargeRecord]] = {}
        self._fenced: set[str] = set()

    def open_charge(self, key: ChargeKey, request_id: bytes) -> bool:
        """Record a charge as running.

        Args:
            key: The charge.
            request_id: The request it pays for.

        Returns:
            False when the session is fenced: the request must not run.
        """
        record = ChargeRecord(
            key.workspace, key.budget, key.charge, request_id, 0, False, True
        )
        with self._lock:
            if key.session in self._fenced:
                return False
            self._records.setdefault(key.session, {})[key] = record
            return True

    def close_charge(self, key: ChargeKey, tokens: int, complete: bool) -> None:
        """Record what a charge came to; zero tokens that are not complete go.

        Args:
            key: The charge.
            tokens: What is to be billed.
            complete: Whether the answer is whole.
        """
        with self._lock:
            records = self._records.get(key.session, {})
            record = records.get(key)
            if record is None:
                return
            if not tokens and not complete:
                records.pop(key)
                return
            records[key] = replace(
                record, tokens=tokens, complete=complete, running=False
            )

    def settle(self, settled: Settled) -> None:
        """Forget the charges that the store knows."""
        floors = {(one.workspace, one.budget): one.floor for one in settled.floors}
        with self._lock:
            records = self._records.get(settled.session, {})
            for key in tuple(records):
                floor = floors.get((key.workspace, key.budget), 0)
                if key.charge < floor and not records[key].running:
                    records.pop(key)

    def fence(self, session: str) -> tuple[ChargeRecord, ...]:
        """Take no more charges of a session.

        Args:
            session: The session that may spend no more.

        Returns:
            Its charges that are not known to be settled.
        """
        with self._lock:
            self._fenced.add(session)
            return tuple(self._records.get(session, {}).values())

    def count(self) -> int:
        """Return how many charges are kept."""
        with self._lock:
            return sum(len(records) for records in self._records.values())
