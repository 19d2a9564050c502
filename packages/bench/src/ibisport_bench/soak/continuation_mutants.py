"""Faults of routers that continue streams at the wrong event or run."""

from dataclasses import replace

from ibisport_bench.soak.patching import patch
from ibisport_fleet.addresses import Address
from ibisport_fleet.calls import Call
from ibisport_fleet.continuation.event_sequence import SequencedSplitter
from ibisport_fleet.continuation.request import RequestContinuation
from ibisport_fleet.sse import EventSplitter
from ibisport_fleet.target_choice import Candidate
from ibisport_fleet.target_client import SendOutcome, TargetClient


def shift_continuations(offset: int) -> None:
    """Continue streams after another event than the last one, without a check.

    Args:
        offset: Added to the id of the last event.
    """
    send_original = TargetClient.send

    async def send(
        self: TargetClient, call: Call, candidate: Candidate, last_event_id: int | None
    ) -> SendOutcome:
        if call.continued_from is not None:
            last_event_id = max(0, (last_event_id or 0) + offset)
        return await send_original(self, call, candidate, last_event_id)

    patch(TargetClient, 'send', send)
    patch(SequencedSplitter, 'select_valid', EventSplitter.select_valid)


def continue_other_run() -> None:
    """Continue streams with the copy of the last other run at the same engine."""
    select_original = RequestContinuation.select
    last_runs: dict[Address, str] = {}

    def select(self: RequestContinuation) -> Candidate:
        candidate = select_original(self)
        call = self._call
        copy = call.continued_from
        if copy is not None:
            other = last_runs.get(copy.address, copy.run_id)
            call.continued_from = replace(copy, run_id=other)
        if call.backup is not None:
            last_runs[call.backup] = call.metadata.request_id
        return candidate

    patch(RequestContinuation, 'select', select)
