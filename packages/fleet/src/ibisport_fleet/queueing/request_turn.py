"""The turn of one request at the targets of its service."""

import contextlib

from ibisport_fleet.calls import Call
from ibisport_fleet.queueing.request_gate import RequestGate
from ibisport_fleet.target_selection import TargetSelector


class RequestTurn:
    """Waits until a request may be sent; without a gate it may be sent at once."""

    def __init__(
        self, gate: RequestGate | None, selector: TargetSelector, call: Call
    ) -> None:
        self._gate = gate
        self._selector = selector
        self._call = call

    async def wait(self) -> None:
        """Return once the request may be sent to a target.

        Raises:
            RequestFailed: No target can start it in time, or too many requests wait.
        """
        if self._gate is None:
            return
        refusal = await self._gate.wait_for_turn(self._call)
        if refusal is not None:
            raise self._selector.build_failure(
                refusal.reason.value, refusal.retry_after
            )

    def count_running(self) -> contextlib.AbstractContextManager[None]:
        """Count the request as running while a target may work on it."""
        if self._gate is None:
            return contextlib.nullcontext()
        return self._gate.count_running(self._call)
