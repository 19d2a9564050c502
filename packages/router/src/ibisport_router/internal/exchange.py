"""One caller's request from its reservation to its last byte and its bill.

The exchange owns the charge. It ends it exactly once: at what the whole answer
cost, at what a stream had cost when its caller left, or at nothing.
"""

from __future__ import annotations

import itertools
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from ibisport_core.errors import (
    NotKnown,
    OutcomeUnknown,
    Refusal,
    Statement,
    TargetUnavailable,
)
from ibisport_core.events import Event, log_event
from ibisport_core.internal.clock import make_micros
from ibisport_core.messages import Submit
from ibisport_router.internal.attempt import Attempt, Reply
from ibisport_router.internal.bill import Bill
from ibisport_router.internal.retries import GiveUp, Retry

if TYPE_CHECKING:
    from ibisport_router.internal.agentlink import AgentLink
    from ibisport_router.internal.claims import Claim
    from ibisport_router.internal.ledger import Charge
    from ibisport_router.internal.orders import Order
    from ibisport_router.router import Router

_MOST_ATTEMPT_NUMBERS = 2**32
_PLACE_SECONDS = 3.0
_PLACE_CHECK_SECONDS = 0.05
# One count for the process: two callers with one key must not share a number.
_ATTEMPT_NUMBERS = itertools.count(1)


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
        self._attempts = 0
        self._attempt: Attempt | None = None
        self._claim: Claim | None = None
        self._tried: list[str] = []

    def open(self) -> Reply:
        """Run the request until the first byte of its answer is known.

        Returns:
            The answer.

        Raises:
            Refusal: It was given up; the statement says whether it ran.
        """
        order = self._order
        self._router.find_retry_budget(order.workspace).note_request()
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
        broken = self._attempt is not None and self._attempt.broken
        self._abandon(paid=not broken)

    def _abandon(self, paid: bool) -> None:
        if self._bill is None:
            return
        self._bill.leave(paid)
        if not self._order.keyed:
            self._cancel_call(paid)

    def _cancel_call(self, paid: bool) -> None:
        if self._attempt is not None:
            self._attempt.cancel(paid)

    def _open_attempts(self) -> Reply:
        while True:
            self._attempts += 1
            try:
                return self._open_one()
            except Refusal as failure:
                self._decide_retry(failure)

    def _decide_retry(self, failure: Refusal) -> None:
        order = self._order
        self._remember(failure)
        budget = self._router.find_retry_budget(order.workspace)
        decision = budget.decide_retry(
            failure, order.idempotent, order.deadline, self._attempts, time.time()
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
                    attempt=self._attempts,
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
        self._attempt = Attempt(self._router, self._order, link, bill)
        return self._attempt.open(submit)

    def _choose_link(self) -> AgentLink:
        """Return the link to send to, waiting a little for one that is away.

        A link that is being replaced is back within a second; to refuse for
        that would be a false refusal.
        """
        targets = self._router.targets
        until = min(time.time() + _PLACE_SECONDS, self._order.deadline)
        while True:
            link = targets.choose(self._order, tuple(self._tried))
            if link is not None:
                return link
            if time.time() >= until or not targets.may_return(self._order):
                raise TargetUnavailable(
                    f'no target of {self._order.pool} takes work now',
                    retry_at=time.time() + 1,
                )
            time.sleep(_PLACE_CHECK_SECONDS)

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
