"""One caller's request from its reservation to its last byte and its bill.

The exchange owns the charge. It ends it exactly once: at what the whole answer
cost, at what a stream had cost when its caller left, or at nothing.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
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
from ibisport_core.internal.clock import make_micros, make_seconds
from ibisport_core.messages import (
    Accepted,
    Chunk,
    Finished,
    Head,
    Header,
    Refused,
    Submit,
)
from ibisport_router.internal.bill import Bill
from ibisport_router.internal.calls import AgentReplaced, Call, LinkLost
from ibisport_router.internal.retries import GiveUp, Retry

if TYPE_CHECKING:
    from ibisport_router.internal.agentlink import AgentLink
    from ibisport_router.internal.claims import Claim
    from ibisport_router.internal.ledger import Charge
    from ibisport_router.internal.orders import Order
    from ibisport_router.router import Router

_SERVER_ERROR = 500
_ANSWER_MARGIN_SECONDS = 0.5
_RELINK_SECONDS = 5.0
_MOST_ATTEMPT_NUMBERS = 2**32
# One count for the process: two callers with one key must not share a number.
_ATTEMPT_NUMBERS = itertools.count(1)
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


class Exchange:
    """Carries out one order."""

    def __init__(self, router: Router, order: Order) -> None:
        """Prepare an exchange.

        Args:
            router: Who carries it out.
            order: The request.
        """
        self._router = router
        self._order = order
        # The charge, and so every attempt, belongs to the session of now.
        self._bank = router.bank
        self._bill: Bill | None = None
        self._known = Statement.did_not_run
        self._attempt = 0
        self._broken = False
        self._claim: Claim | None = None
        self._call: Call | None = None
        self._link: AgentLink | None = None
        self._tried: list[str] = []

    def open(self) -> Reply:
        """Run the request until the first byte of its answer is known.

        Returns:
            The answer.

        Raises:
            Refusal: It was given up; the statement says whether it ran.
        """
        order = self._order
        charge = self._bank.reserve(
            order.workspace, order.budget, order.reserved_tokens, order.deadline
        )
        self._bill = Bill(self._bank, charge)
        try:
            return self._open_attempts()
        except BaseException:
            self._abandon(paid=False)
            raise

    def close(self) -> None:
        """Give the request up if it has not ended: its caller is gone.

        A keyed request runs on, since its caller may come back for the answer;
        it is billed at its end.
        """
        self._abandon(paid=not self._broken)

    def _abandon(self, paid: bool) -> None:
        if self._bill is None:
            return
        self._bill.leave(paid)
        if not self._order.keyed:
            self._cancel_call(paid)

    def _cancel_call(self, paid: bool) -> None:
        call = self._call
        if call is not None and call.end is None and self._link is not None:
            self._link.cancel(call, paid)

    def _open_attempts(self) -> Reply:
        while True:
            self._attempt += 1
            try:
                return self._open_one()
            except Refusal as failure:
                self._decide_retry(failure)

    def _decide_retry(self, failure: Refusal) -> None:
        order = self._order
        self._remember(failure)
        budget = self._router.find_retry_budget(order.workspace)
        decision = budget.decide_retry(
            failure, order.idempotent, order.deadline, self._attempt, time.time()
        )
        match decision:
            case GiveUp(failure=final):
                self._drop_claim(final)
                raise final
            case Retry(earliest=earliest):
                log_event(
                    Event.request_retried,
                    workspace=order.workspace,
                    code=failure.code,
                    attempt=self._attempt,
                )
                self._router.count_retry(order.workspace, failure)
                self._cancel_call(paid=False)
                time.sleep(max(0, earliest - time.time()))

    def _remember(self, failure: Refusal) -> None:
        """Keep what any attempt may have done: the last one's word is not all."""
        if failure.statement == Statement.did_not_run:
            failure.statement = self._known
        else:
            self._known = failure.statement

    def _check_session(self, link: AgentLink) -> None:
        session = self._bank.session
        if not session.is_open or not session.is_listed(link.incarnation):
            raise TargetUnavailable(
                'the session that pays for it has ended', retry_at=time.time()
            )

    def _open_one(self) -> Reply:
        link = self._choose_link()
        self._tried.append(link.entry.name)
        if self._order.keyed:
            return self._open_claimed(link)
        return self._try_link(link, join_only=False)

    def _open_claimed(self, link: AgentLink) -> Reply:
        """Claim the request, or join it where another claim has put it."""
        try:
            claim = self._router.claims.claim(self._order, link, self._claim)
        except TargetUnavailable:
            if not self._order.idempotent:
                raise
            # Without the store every router sends it to the one same home.
            return self._try_link(self._find_home(), join_only=False)
        if not claim.own:
            return self._join(claim, link)
        self._claim = claim
        return self._try_link(link, join_only=False)

    def _join(self, claim: Claim, link: AgentLink) -> Reply:
        claims = self._router.claims
        try:
            return self._try_link(claims.find_link(claim), join_only=True)
        except NotKnown:
            # The agent holds no answer of it and takes nothing from the first
            # claimant any more, so the claim may be taken over.
            taken = claims.claim(self._order, link, claim)
        except OutcomeUnknown:
            if not self._order.idempotent or self._bill is None:
                raise
            # Its first claimant may have billed it, so this run is free.
            self._bill.waive()
            taken = claims.claim(self._order, link, claim)
        if not taken.own:
            raise TargetUnavailable('another router claims it', retry_at=time.time())
        self._claim = taken
        return self._try_link(link, join_only=False)

    def _find_home(self) -> AgentLink:
        home = self._router.targets.find_home(self._order)
        if home is None:
            raise TargetUnavailable(
                'its home takes no work now, and no other may without the store',
                retry_at=time.time() + 1,
            )
        return home

    def _drop_claim(self, failure: Refusal) -> None:
        if self._claim is not None and failure.statement == Statement.did_not_run:
            self._router.claims.drop(self._order, self._claim)

    def _try_link(self, link: AgentLink, join_only: bool) -> Reply:
        bill = self._bill
        if bill is None:
            raise TargetUnavailable('the exchange is closed')
        self._check_session(link)
        submit = replace(self._make_submit(bill.charge), join_only=join_only)
        call = Call(submit, bill.note_end, self._router.note_drop)
        link.submit(call)
        bill.expect(call)
        self._link = link
        self._call = call
        started = time.monotonic()
        try:
            reply = self._read_head(call)
        except Refusal as failure:
            failed = failure.code in {TargetFailed.code, DeadlinePassed.code}
            if failed:
                self._note_result(link, False, started)
            raise
        self._note_result(link, True, started)
        return reply

    def _note_result(self, link: AgentLink, ok: bool, started: float) -> None:
        seconds = time.monotonic() - started
        self._router.targets.chooser.note_result(link.entry.name, ok, seconds)

    def _choose_link(self) -> AgentLink:
        link = self._router.targets.choose(self._order, tuple(self._tried))
        if link is None:
            raise TargetUnavailable(
                f'no target of {self._order.pool} takes work now',
                retry_at=time.time() + 1,
            )
        return link

    def _make_submit(self, charge: Charge) -> Submit:
        order = self._order
        return Submit(
            request_id=order.request_id,
            attempt=next(_ATTEMPT_NUMBERS) % _MOST_ATTEMPT_NUMBERS,
            session=self._bank.session.name,
            workspace=order.workspace,
            budget=order.budget,
            charge=charge.number,
            class_name=order.class_name,
            priority=order.priority,
            weight=order.weight,
            deadline=make_micros(order.deadline),
            reserved_tokens=order.reserved_tokens,
            prompt_tokens=order.prompt_tokens,
            idempotent=order.idempotent,
            keyed=order.keyed,
            offset=0,
            method=order.method,
            path=order.path,
            headers=order.headers,
            body=order.body,
            service=order.service,
            join_only=False,
            catalogue_revision=self._router.catalogue.revision,
        )

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
            self._broken = True
            raise

    def _read_rest(
        self, call: Call, event: Chunk | Finished | Accepted | Head
    ) -> Iterator[bytes]:
        while True:
            match event:
                case Chunk(payload=payload):
                    yield payload
                case Finished(complete=True):
                    if self._link is not None:
                        self._link.release(call)
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
                    raise self._make_refusal(event)
                case AgentReplaced():
                    raise self._explain_loss(call)
                case LinkLost():
                    self._await_link(call)
                case _:
                    return event

    def _await_link(self, call: Call) -> None:
        """Give the link time to come back; its task resumes the call itself."""
        link = self._link
        until = min(time.time() + _RELINK_SECONDS, self._order.deadline)
        while link is not None and time.time() < until:
            if link.is_connected or call.end is not None:
                return
            time.sleep(0.02)
        raise self._explain_loss(call)

    def _explain_loss(self, call: Call) -> Refusal:
        if self._order.idempotent:
            return TargetFailed('the agent was lost', Statement.outcome_unknown)
        log_event(Event.request_unknown, workspace=self._order.workspace)
        return OutcomeUnknown(
            'the agent was lost with the request', Statement.outcome_unknown
        )

    def _make_refusal(self, refused: Refused) -> Refusal:
        kind = _REFUSALS.get(refused.code, TargetUnavailable)
        retry_at = make_seconds(refused.retry_at) if refused.retry_at else None
        return kind(refused.detail, refused.statement, retry_at)
