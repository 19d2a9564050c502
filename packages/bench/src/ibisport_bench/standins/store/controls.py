"""Test controls of the store, which injected faults do not affect."""

from typing import Any

from pydantic import ValidationError

from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.store.database import Database
from ibisport_bench.standins.store.faults import FaultControl
from ibisport_bench.standins.store.leases import Leases
from ibisport_bench.standins.store.limits import Counts
from ibisport_bench.standins.store.records import Change
from ibisport_bench.standins.web import Answer, Call, answer_json, read_json

ALL_LEASES = 'all'


class Controls:
    """Serves the paths for faults, history and call counts.

    Attributes:
        routes: Handlers by path.
    """

    def __init__(
        self,
        database: Database,
        leases: Leases,
        fault_control: FaultControl,
        counts: Counts,
    ) -> None:
        """Control the given parts of the store."""
        self._database = database
        self._leases = leases
        self._fault_control = fault_control
        self._counts = counts
        self.routes = {
            '/faults': self._serve_faults,
            '/history': self._show_history,
            '/counts': self._show_counts,
            '/reset_counts': self._reset_counts,
        }

    def _serve_faults(self, call: Call) -> Answer:
        if call.method == 'POST':
            self._apply_faults(read_json(call))
        return answer_json(self._fault_control.faults.model_dump())

    def _apply_faults(self, fields: dict[str, Any]) -> None:
        ends_watches = fields.pop('cut_watches', False)
        lease = str(fields.pop('expire_lease', ''))
        try:
            self._fault_control.change(fields)
        except ValidationError as error:
            raise CallRejected(str(error), 400, 3) from error
        if ends_watches:
            with self._database.lock:
                self._database.cut_watches()
        if lease:
            self._expire_leases(lease)

    def _expire_leases(self, lease: str) -> None:
        if lease == ALL_LEASES:
            self._leases.expire()
        elif lease.isdigit():
            self._leases.expire(int(lease))
        else:
            raise CallRejected(f'no lease id: {lease}', 400, 3)

    def _show_history(self, call: Call) -> Answer:
        after = int(call.query.get('after', 0))
        with self._database.lock:
            changes = list(self._database.changes)
        described = [
            _describe(change) for change in changes if change.pair.mod_revision > after
        ]
        return answer_json(described)

    def _show_counts(self, call: Call) -> Answer:
        return answer_json(self._counts.describe())

    def _reset_counts(self, call: Call) -> Answer:
        self._counts.reset()
        return answer_json({})


def _describe(change: Change) -> dict[str, object]:
    return {
        'revision': change.pair.mod_revision,
        'type': 'DELETE' if change.is_deletion else 'PUT',
        'key': change.pair.key.decode(errors='replace'),
        'value': change.pair.value.decode(errors='replace'),
        'time': change.committed_at,
    }
