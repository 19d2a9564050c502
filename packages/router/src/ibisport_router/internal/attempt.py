"""One attempt of a request at one target: its call, and the answer it brings."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisport_core import errors
from ibisport_core.errors import (
    DeadlinePassed,
    NotKnown,
    OutcomeUnknown,
    Refusal,
    Statement,
    TargetFailed,
    TargetUnavailable,
)
from ibisport_core.events import Event, log_event
from ibisport_core.internal.clock import make_seconds
from ibisport_core.messages import (
    Accepted,
    Cancel,
    Chunk,
    Finished,
    Head,
    Header,
    Refused,
    Release,
    Submit,
)
from ibisport_router.internal.calls import AgentReplaced, Call, LinkLost

if TYPE_CHECKING:
    from ibisport_router.internal.agentlink import AgentLink
    from ibisport_router.internal.bill import Bill
    from ibisport_router.internal.orders import Order
    from ibisport_router.router import Router

_SERVER_ERROR = 500
_ANSWER_MARGIN_SECONDS = 0.5
_RELINK_SECONDS = 5.0
_RELINK_CHECK_SECONDS = 0.02
_FAILURES = frozenset((TargetFailed.code, DeadlinePassed.code))
_REFUSALS = {
    kind.code: kind
    for kind in vars(errors).values()
    if isinstance(kind, type) and issubclass(kind, Refusal)
}


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer whose head is known.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller.
        pieces: The body; raises a ``Refusal`` when it breaks off.
    """

    status: int
    headers: tuple[Header, ...]
    pieces: Iterator[bytes]


class Attempt:
    """Sends an order to one target and reads the answer.

    Attributes:
        broken: Whether the answer broke off after its head.
    """

    def __init__(
        self, router: Router, order: Order, link: AgentLink, bill: Bill
    ) -> None:
        """Prepare an attempt.

        Args:
            router: Who carries it out.
            order: The request.
            link: The link to the target's agent.
            bill: What the attempt's end settles.
        """
        self.broken = False
        self._router = router
        self._order = order
        self._link = link
        self._bill = bill
        self._call: Call | None = None

    def open(self, submit: Submit) -> Reply:
        """Send the request and wait for the first byte of its answer.

        Args:
            submit: The message that starts or joins it.

        Returns:
            The answer.

        Raises:
            Refusal: The attempt failed; the statement says whether it ran.
        """
        call = Call(submit, self._bill.note_end, self._router.note_drop)
        self._link.submit(call)
        self._bill.expect(call)
        self._call = call
        started = time.monotonic()
        try:
            reply = self._read_head(call)
        except Refusal as failure:
            if failure.code in _FAILURES:
                self._note_result(False, started)
            raise
        self._note_result(True, started)
        return reply

    def cancel(self, paid: bool) -> None:
        """Tell the agent that nobody waits, if the call has not ended."""
        call = self._call
        if call is not None and call.end is None:
            submit = call.submit
            self._link.send(Cancel(submit.request_id, submit.attempt, paid))

    def _note_result(self, ok: bool, started: float) -> None:
        seconds = time.monotonic() - started
        chooser = self._router.targets.chooser
        chooser.note_result(self._link.entry.name, ok, seconds)

    def _read_head(self, call: Call) -> Reply:
        """Wait until the status and the first byte, or the end, are known."""
        head: Head | None = None
        while True:
            event = self._wait(call)
            match event:
                case Head():
                    self._check_status(event)
                    head = event
                case Chunk() | Finished() if head is not None:
                    return self._make_reply(call, head, event)
                case Finished():
                    raise TargetFailed('the target broke off', Statement.ran)

    def _check_status(self, head: Head) -> None:
        if head.status >= _SERVER_ERROR and self._order.idempotent:
            raise TargetFailed(f'the target answered {head.status}', Statement.ran)

    def _make_reply(self, call: Call, head: Head, event: Chunk | Finished) -> Reply:
        pieces = self._read_pieces(call, event)
        if self._order.streamed:
            return Reply(head.status, head.headers, pieces)
        # A whole answer goes out only when it is whole.
        body = b''.join(pieces)
        return Reply(head.status, head.headers, iter((body,)))

    def _read_pieces(
        self, call: Call, event: Chunk | Finished | Accepted | Head
    ) -> Iterator[bytes]:
        try:
            yield from self._read_rest(call, event)
        except Refusal:
            self.broken = True
            raise

    def _read_rest(
        self, call: Call, event: Chunk | Finished | Accepted | Head
    ) -> Iterator[bytes]:
        while True:
            match event:
                case Chunk(payload=payload):
                    yield payload
                case Finished(complete=True):
                    self._link.send(Release(call.submit.request_id))
                    return
                case Finished():
                    raise TargetFailed('the target broke off', Statement.ran)
            event = self._wait(call)

    def _wait(self, call: Call) -> Accepted | Head | Chunk | Finished:
        """Return the next event that is no failure."""
        while True:
            left = self._order.deadline - time.time() + _ANSWER_MARGIN_SECONDS
            event = call.wait_event(left)
            match event:
                case Refused():
                    raise _make_refusal(event, call.submit)
                case AgentReplaced():
                    raise self._explain_loss(call)
                case LinkLost():
                    self._await_link(call)
                case _:
                    return event

    def _await_link(self, call: Call) -> None:
        """Give the link time to come back; its task resumes the call itself."""
        until = min(time.time() + _RELINK_SECONDS, self._order.deadline)
        while time.time() < until:
            if self._link.is_connected or call.end is not None:
                return
            time.sleep(_RELINK_CHECK_SECONDS)
        raise self._explain_loss(call)

    def _explain_loss(self, call: Call) -> Refusal:
        if self._order.idempotent:
            return TargetFailed('the agent was lost', Statement.outcome_unknown)
        log_event(Event.request_unknown, workspace=self._order.workspace)
        return OutcomeUnknown(
            'the agent was lost with the request', Statement.outcome_unknown
        )


def _make_refusal(refused: Refused, submit: Submit) -> Refusal:
    kind = _REFUSALS.get(refused.code, TargetUnavailable)
    if kind is NotKnown and not submit.join_only:
        # Another router has taken the claim over: the next attempt joins it.
        kind = TargetUnavailable
    retry_at = make_seconds(refused.retry_at) if refused.retry_at else None
    return kind(refused.detail, refused.statement, retry_at)
