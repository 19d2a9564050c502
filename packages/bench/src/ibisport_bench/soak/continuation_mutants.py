"""Faults of routers that continue streams at the wrong event or run."""

from collections import defaultdict
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
    """Continue streams with the copy of another run at the same engine, if any.

    The copy of a run that has ended is gone, and the engine refuses to continue it.
    """
    select_original = RequestContinuation.select
    end_original = RequestContinuation.end_attempt
    runs: defaultdict[Address, list[str]] = defaultdict(list)

    def select(self: RequestContinuation) -> Candidate:
        candidate = select_original(self)
        call = self._call
        copy = call.continued_from
        if copy is not None:
            others = [run for run in runs[copy.address] if run != copy.run_id]
            if others:
                call.continued_from = replace(copy, run_id=others[-1])
        if call.backup is not None:
            runs[call.backup].append(call.metadata.request_id)
        return candidate

    def end_attempt(self: RequestContinuation) -> None:
        run_id = self._call.metadata.request_id
        if self._call.backup is not None and run_id in runs[self._call.backup]:
            runs[self._call.backup].remove(run_id)
        end_original(self)

    patch(RequestContinuation, 'select', select)
    patch(RequestContinuation, 'end_attempt', end_attempt)
