"""One request at the agent: its wait for a slot, its call and its answer.

Each run has its own thread. Routers subscribe to it; a router that subscribes
later, after a lost connection or because the caller retried at another router,
reads the same answer from the offset it requests.
"""

import threading
import time
from dataclasses import dataclass

from ibisport_agent.internal.charges import ChargeBook, ChargeKey
from ibisport_agent.internal.fairness import Ticket, TurnQueue
from ibisport_agent.internal.feed import Feed
from ibisport_agent.internal.runmetrics import RunMetrics
from ibisport_agent.internal.target import TargetAnswer, TargetClient
from ibisport_agent.internal.usage import Usage, UsageReader
from ibisport_core.errors import (
    IbisportError,
    Refusal,
    RequestCancelled,
    Statement,
    TargetFailed,
)
from ibisport_core.internal.clock import MICROS, make_micros, make_seconds
from ibisport_core.link import Link
from ibisport_core.messages import (
    Accepted,
    Finished,
    Head,
    Refused,
    Submit,
)

_PIECE_BYTES = 1024 * 1024
_OK = 200
_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class RunResources:
    """The objects that all runs of an agent share."""

    queue: TurnQueue
    target: TargetClient
    charges: ChargeBook
    observer: RunMetrics


class Run:
    """A request submitted to this agent, from the queue to its last byte."""

    def __init__(self, submit: Submit, resources: RunResources) -> None:
        """Create a run; ``start`` begins it.

        Args:
            submit: The first submission of the request; its session pays.
            resources: The objects that all runs share.
        """
        self.submit = submit
        self.charge = ChargeKey(
            submit.session, submit.workspace, submit.budget, submit.charge
        )
        self.feed = Feed(submit.request_id)
        self.released = False
        self._resources = resources
        self._cancelled = threading.Event()
        self._billed = False
        self._target_answer: TargetAnswer | None = None

    def __repr__(self) -> str:
        """Show the request id and the bytes received so far."""
        return f'Run({self.submit.request_id.hex()}, {self.feed.length} bytes)'

    @property
    def ended_at(self) -> float:
        """Unix time of the end; zero while the run is open."""
        return self.feed.ended_at

    @property
    def restartable(self) -> bool:
        """Whether a new attempt may run the request again.

        It may if the request provably did not run, or if it is idempotent and
        gave no complete answer. Nothing was billed for the run then.
        """
        match self.feed.end:
            case Refused(statement=Statement.did_not_run):
                return True
            case Refused():
                return self.submit.idempotent
            case Finished(complete=complete):
                head = self.feed.head
                failed = head is None or head.status >= _SERVER_ERROR
                return self.submit.idempotent and (failed or not complete)
            case _:
                return False

    def start(self) -> None:
        """Execute the run in its own thread."""
        name = f'run-{self.submit.request_id.hex()[:8]}'
        threading.Thread(target=self._execute, name=name, daemon=True).start()

    def subscribe(self, link: Link, submit: Submit) -> None:
        """Send the answer to a router, starting at the offset it requests.

        Args:
            link: The router's link.
            submit: The router's message, with its attempt and offset.
        """
        accepted = Accepted(
            submit.request_id, submit.attempt, self.charge.session, self.charge.charge
        )
        self.feed.subscribe(link, submit, accepted)

    def cancel(self, billed: bool) -> None:
        """Stop the run as soon as possible.

        Args:
            billed: Whether to bill the tokens generated so far.
        """
        self._billed = billed
        self._cancelled.set()
        self._resources.queue.withdraw(self.submit.request_id)
        answer = self._target_answer
        if answer is not None:
            answer.abort()

    def _execute(self) -> None:
        started_at = time.time()
        try:
            self._wait_for_slot()
        except Refusal as refusal:
            self._refuse(refusal)
            return
        slot_at = time.time()
        queue_micros = int((slot_at - started_at) * MICROS)
        used = Usage(0, 0)
        try:
            used = self._call_target(queue_micros)
        except Refusal as refusal:
            self._handle_target_failure(refusal)
        finally:
            self._resources.queue.leave(
                self._make_ticket(), used.total, time.time() - slot_at
            )

    def _wait_for_slot(self) -> None:
        ticket = self._make_ticket()
        self._resources.queue.enter(ticket)
        self._resources.queue.wait_turn(ticket, self._cancelled)

    def _make_ticket(self) -> Ticket:
        submit = self.submit
        return Ticket(
            request_id=submit.request_id,
            workspace=submit.workspace,
            class_name=submit.class_name,
            priority=submit.priority,
            weight=submit.weight,
            cost=submit.reserved_tokens,
            deadline=make_seconds(submit.deadline),
        )

    def _call_target(self, queue_micros: int) -> Usage:
        if self._cancelled.is_set():
            raise RequestCancelled()
        answer = self._resources.target.call(self.submit)
        self._target_answer = answer
        try:
            return self._forward_answer(answer, queue_micros)
        finally:
            answer.close()

    def _forward_answer(self, answer: TargetAnswer, queue_micros: int) -> Usage:
        if self._cancelled.is_set():
            answer.abort()
        request_id = self.submit.request_id
        self.feed.set_head(Head(request_id, 0, answer.status, answer.headers))
        streamed = any('event-stream' in header.content for header in answer.headers)
        reader = UsageReader(streamed)
        broken = False
        try:
            for chunk in answer.read_chunks():
                reader.feed(chunk)
                self.feed.append(chunk)
        except TargetFailed:
            broken = True
        reader.finish()
        usage, complete = self._compute_billing(reader, answer.status, broken)
        self._finish(usage, complete, queue_micros)
        return usage

    def _compute_billing(
        self, reader: UsageReader, status: int, broken: bool
    ) -> tuple[Usage, bool]:
        """Return the usage to bill and whether the answer is complete."""
        cancelled = self._cancelled.is_set()
        if self.submit.service:
            return Usage(self.submit.prompt_tokens, 0), not broken and not cancelled
        if status != _OK:
            return Usage(0, 0), not broken and not cancelled
        whole = reader.done and not broken and reader.usage is not None
        if whole and reader.usage is not None:
            return reader.usage, True
        if cancelled and self._billed:
            # The prompt's token count is unknown: there is only an upper bound.
            return reader.usage or Usage(0, reader.events), False
        return Usage(0, 0), False

    def _finish(self, usage: Usage, complete: bool, queue_micros: int) -> None:
        cap = self.submit.reserved_tokens
        billed = min(usage.total, cap)
        self._resources.charges.close_charge(self.charge, billed, complete)
        finished = Finished(
            self.submit.request_id,
            0,
            self.feed.length,
            min(usage.prompt_tokens, cap),
            max(0, billed - usage.prompt_tokens),
            complete,
            queue_micros,
        )
        self.feed.finish(finished)
        self._resources.observer.record_finished(self.submit, finished)

    def _handle_target_failure(self, refusal: Refusal) -> None:
        """End a run whose target failed before it sent an answer's head."""
        if refusal.statement == Statement.did_not_run:
            self._refuse(refusal)
            return
        self._resources.charges.close_charge(self.charge, 0, False)
        self._publish_refusal(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        self._resources.charges.close_charge(self.charge, 0, False)
        self._publish_refusal(refusal)

    def _publish_refusal(self, refusal: Refusal) -> None:
        self.feed.finish(make_refused(self.submit, refusal))
        self._resources.observer.record_refused(self.submit, refusal)


def make_refused(submit: Submit, refusal: IbisportError) -> Refused:
    """Return the message that reports a refusal to a router."""
    retry_at = getattr(refusal, 'retry_at', None)
    return Refused(
        request_id=submit.request_id,
        attempt=submit.attempt,
        code=refusal.code,
        statement=getattr(refusal, 'statement', Statement.outcome_unknown),
        retry_at=make_micros(retry_at) if retry_at else 0,
        detail=str(refusal),
    )
