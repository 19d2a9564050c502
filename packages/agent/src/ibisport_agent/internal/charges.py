"""Records of the charges that each router session has made at this agent.

The records prove what ran under a session that died: the peer that recovers its
grants fences the session here, then reads the records. A record is kept until
the session reports that the charge is settled in the store.
"""

import threading
from dataclasses import dataclass, replace

from ibisport_core.messages import ChargeRecord, Settled


@dataclass(frozen=True, slots=True)
class ChargeKey:
    """Identifies one charge of one session."""

    session: str
    workspace: str
    budget: str
    charge: int


class ChargeBook:
    """Charges not known to be settled, by session, and the fenced sessions."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._lock = threading.Lock()
        self._records: dict[str, dict[ChargeKey, ChargeRecord]] = {}
        self._fenced: set[str] = set()

    def open_charge(self, key: ChargeKey, request_id: bytes) -> bool:
        """Record a charge as running.

        Args:
            key: The charge.
            request_id: The request that the charge pays for.

        Returns:
            False if the session is fenced; the request must not run then.
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
        """Record the result of a charge, or drop it if nothing is to be billed.

        A charge of zero tokens for an incomplete answer is dropped.

        Args:
            key: The charge.
            tokens: Number of tokens to bill.
            complete: Whether the answer is complete.
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
        """Drop ended charges below the floors settled in the store."""
        floors = {
            (entry.workspace, entry.budget): entry.floor for entry in settled.floors
        }
        with self._lock:
            records = self._records.get(settled.session, {})
            for key in tuple(records):
                floor = floors.get((key.workspace, key.budget), 0)
                if key.charge < floor and not records[key].running:
                    records.pop(key)

    def fence(self, session: str) -> tuple[ChargeRecord, ...]:
        """Refuse all further charges of a session.

        Args:
            session: The session that must not spend any more.

        Returns:
            The charges of the session that are not known to be settled.
        """
        with self._lock:
            self._fenced.add(session)
            return tuple(self._records.get(session, {}).values())

    def count(self) -> int:
        """Return the number of charges not known to be settled."""
        with self._lock:
            return sum(len(records) for records in self._records.values())
