"""The bill of one request: its charge ends exactly once, at what is due.

A whole answer costs what the target counted. A stream whose caller left costs
what had been generated. An answer that broke off, or that another charge pays
for since this request joined it, costs nothing here.
"""

import threading

from ibisport_core.messages import Finished
from ibisport_router.internal.bank import Bank
from ibisport_router.internal.calls import Call, CallEnd
from ibisport_router.internal.ledger import Charge


class Bill:
    """Ends a charge when the attempt that counts has ended."""

    def __init__(self, bank: Bank, charge: Charge) -> None:
        """Take a charge over.

        Args:
            bank: Where it was reserved.
            charge: The reservation.
        """
        self.charge = charge
        self._bank = bank
        self._lock = threading.Lock()
        self._call: Call | None = None
        self._left = False
        self._paid = False
        self._waived = False

    def waive(self) -> None:
        """Charge nothing: another charge may pay for this request already."""
        with self._lock:
            self._waived = True

    def expect(self, call: Call) -> None:
        """Note the attempt that counts from now on."""
        with self._lock:
            self._call = call

    def note_end(self, call: Call, end: CallEnd) -> None:
        """Take an attempt's end, on the thread of its link."""
        with self._lock:
            if call is not self._call:
                return
            if self._left or is_whole(end):
                self._bank.end(self.charge, self._find_cost(call, end))

    def leave(self, paid: bool) -> None:
        """Note that nobody waits any more: the attempt's end is the last.

        Args:
            paid: Whether an answer that is not whole costs what was generated,
                since it was the caller who left.
        """
        with self._lock:
            self._left = True
            self._paid = paid
            call = self._call
            if call is None or (not paid and not call.submit.keyed):
                # Nobody can get this answer any more: it costs nothing.
                self._bank.end(self.charge, 0)
            elif call.end is not None:
                self._bank.end(self.charge, self._find_cost(call, call.end))

    def _find_cost(self, call: Call, end: CallEnd) -> int:
        if self._waived:
            return 0
        accepted = call.accepted
        own = (call.submit.session, self.charge.number)
        if accepted is not None and own != (
            accepted.owner_session,
            accepted.owner_charge,
        ):
            return 0
        if isinstance(end, Finished) and (end.complete or self._paid):
            return end.prompt_tokens + end.completion_tokens
        return 0


def is_whole(end: CallEnd) -> bool:
    """Whether an end is that of a whole answer."""
    return isinstance(end, Finished) and end.complete
