"""The way of one request: admit, reserve, serve, charge."""

import asyncio

from ibisport_fleet.budgets import Short
from ibisport_fleet.calls import Call
from ibisport_fleet.errors import RequestInvalid
from ibisport_fleet.intake import Refused, admit
from ibisport_fleet.ledger import Reservation
from ibisport_fleet.messages import Request
from ibisport_fleet.promptmix import PromptMix
from ibisport_fleet.replies import Replies
from ibisport_fleet.retries import RetryBudget
from ibisport_fleet.serving import GivenUp, Parts, Serving
from ibisport_fleet.settings import Bounds

STATUS_PAYMENT_REQUIRED = 402
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504


class CallHandler:
    """Serves requests of callers, one call of ``handle`` each.

    Attributes:
        in_flight: Requests that have come and have no final answer yet.
        stopping_at: Loop time at which the process was asked to stop, or None.
        ended: The process ends now, whatever is still served.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._bounds = parts.settings.bounds
        self._retries: dict[str, RetryBudget] = {}
        self._mixes: dict[str, PromptMix] = {}
        self._started = asyncio.get_running_loop().time()
        self.in_flight = 0
        self.stopping_at: float | None = None
        self.ended = False

    async def handle(self, request: Request, replies: Replies) -> None:
        """Answer one request; the answer is written before this returns."""
        # One that waits for tokens counts as well: a leaving router ended under it.
        self.in_flight += 1
        try:
            await self._handle(request, replies)
        finally:
            self.in_flight -= 1

    async def _handle(self, request: Request, replies: Replies) -> None:
        parts = self._parts
        try:
            terms = parts.dialect.read_call(request)
        except RequestInvalid as error:
            replies.refuse(error.status, 'invalid', None, None)
            return
        try:
            call = admit(request, terms, parts.catalogue.current)
        except Refused as refused:
            self._note_refused(terms.request_id, refused)
            replies.refuse(
                refused.status, refused.reason, terms.request_id, refused.pause
            )
            return
        try:
            reservation = await parts.budgets.reserve(call.workspace, terms.most_tokens)
        except Short as short:
            spent = short.pause is None
            status = STATUS_PAYMENT_REQUIRED if spent else STATUS_UNAVAILABLE
            parts.recorder.note_short(call, status, short)
            replies.refuse(status, 'budget', terms.request_id, short.pause)
            return
        try:
            await self._serve_in_time(call, replies, reservation)
        finally:
            parts.budgets.settle(reservation)

    async def _serve_in_time(
        self, call: Call, replies: Replies, reservation: Reservation
    ) -> None:
        retries = self.find_retries(call.service)
        mix = self._mixes.setdefault(call.service, PromptMix())
        serving = Serving(self._parts, retries, mix, call, replies)
        try:
            async with asyncio.timeout_at(call.until):
                await serving.run()
        except TimeoutError:
            status = STATUS_TIMEOUT if call.may_have_run else STATUS_UNAVAILABLE
            self._give_up(call, replies, GivenUp(status, 'timeout'))
        except GivenUp as given_up:
            self._give_up(call, replies, given_up)
        except asyncio.CancelledError:
            self._note_ended(call, serving.events)
            raise
        finally:
            reservation.spent = serving.count_tokens()
            self._parts.recorder.note_charged(call, reservation.spent)

    def _give_up(self, call: Call, replies: Replies, given_up: GivenUp) -> None:
        self._parts.recorder.note_failed(
            call, given_up.status, given_up.reason, replies.begun
        )
        if replies.begun:
            replies.break_off()
            return
        replies.refuse(
            given_up.status, given_up.reason, call.terms.request_id, given_up.pause
        )

    def _note_ended(self, call: Call, events: int) -> None:
        """Tell a caller that left from a process that ended under its request."""
        recorder = self._parts.recorder
        if self.ended and self.stopping_at is not None:
            recorder.note_cut(call, events, self.stopping_at)
        else:
            recorder.note_left(call, events)

    def _note_refused(self, request_id: str, refused: Refused) -> None:
        catalogue = self._parts.catalogue.current
        version = None if catalogue is None else catalogue.version
        self._parts.recorder.note_refused(
            request_id, refused.status, refused.reason, version
        )

    def take_bounds(self, bounds: Bounds) -> None:
        """Take changed figures; budgets of second sends begin with a new window."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._started = asyncio.get_running_loop().time()
            self._retries.clear()

    def find_retries(self, service: str) -> RetryBudget:
        """Return the budget of second sends to a service."""
        found = self._retries.get(service)
        if found is None:
            bounds = self._bounds
            found = RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                self._started,
            )
            self._retries[service] = found
        return found
