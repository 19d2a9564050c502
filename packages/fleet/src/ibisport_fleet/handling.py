"""The way of one request: admit, reserve, serve, charge."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from ibisport_fleet.budgets import TokensUnavailable
from ibisport_fleet.calls import Call, draw_jittered_delay
from ibisport_fleet.errors import RequestInvalid
from ibisport_fleet.forwarding import Parts, RequestFailed, RequestForwarder
from ibisport_fleet.http_messages import Request
from ibisport_fleet.intake import LEAVING_PAUSE_S, Refused, admit
from ibisport_fleet.prompt_mix import PromptMix
from ibisport_fleet.response_writer import ResponseWriter
from ibisport_fleet.retry_budget import RetryBudget
from ibisport_fleet.settings import Bounds
from ibisport_fleet.shutdown import Shutdown

STATUS_PAYMENT_REQUIRED = 402
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504


class CallHandler:
    """Serves requests of callers, one call of ``handle`` each.

    Attributes:
        in_flight: Requests that have come and have no final answer yet.
        ended: The process ends now, whatever is still served.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._bounds = parts.settings.bounds
        self._retries: dict[str, RetryBudget] = {}
        self._mixes: dict[str, PromptMix] = {}
        self._started = asyncio.get_running_loop().time()
        self.in_flight = 0
        self.ended = False
        self._shutdown: Shutdown | None = None
        self._received_by_timer: dict[asyncio.Timeout, float] = {}

    async def handle(self, request: Request, replies: ResponseWriter) -> None:
        """Answer one request; the answer is written before this returns."""
        # One that waits for tokens counts as well: a leaving router ended under it.
        self.in_flight += 1
        try:
            await self._handle(request, replies)
        finally:
            self.in_flight -= 1

    async def _handle(self, request: Request, replies: ResponseWriter) -> None:
        parts = self._parts
        try:
            terms = parts.dialect.decode_request(request)
        except RequestInvalid as error:
            replies.refuse(error.status, 'invalid', None, None)
            return
        try:
            call = admit(request, terms, parts.catalogue.current, self._shutdown)
        except Refused as refused:
            self._note_refused(terms.request_id, refused)
            replies.refuse(
                refused.status, refused.reason, terms.request_id, refused.pause
            )
            return
        await self._serve_in_time(call, replies)

    async def _serve_in_time(self, call: Call, replies: ResponseWriter) -> None:
        retries = self.find_retries(call.service)
        mix = self._mixes.setdefault(call.service, PromptMix())
        serving = RequestForwarder(self._parts, retries, mix, call, replies)
        try:
            async with self._limit(call):
                await self._pay_and_serve(call, serving)
        except (TokensUnavailable, RequestFailed) as refused:
            self._conclude(call, replies, refused)
        except TimeoutError:
            self._give_up(call, replies, self._explain_timeout(call))
        except asyncio.CancelledError:
            self._note_ended(call, serving.events)
            raise

    async def _pay_and_serve(self, call: Call, serving: RequestForwarder) -> None:
        serving.check_quarantine()
        budgets = self._parts.budgets
        reservation = await budgets.reserve(call.workspace, call.terms.max_tokens)
        try:
            await serving.run()
        finally:
            reservation.spent = serving.count_tokens()
            self._parts.recorder.note_charged(call, reservation.spent)
            budgets.settle(reservation)

    @contextlib.asynccontextmanager
    async def _limit(self, call: Call) -> AsyncIterator[None]:
        """Bound a request's time; a shutdown may bring its end forward."""
        async with asyncio.timeout_at(call.until) as timer:
            self._received_by_timer[timer] = call.request.received_at
            try:
                yield
            finally:
                self._received_by_timer.pop(timer)

    def _explain_timeout(self, call: Call) -> RequestFailed:
        status = STATUS_TIMEOUT if call.may_have_run else STATUS_UNAVAILABLE
        shutdown = self._shutdown
        now = asyncio.get_running_loop().time()
        if shutdown is None or now < shutdown.answers_until:
            return RequestFailed(status, 'timeout')
        pause = None if call.may_have_run else draw_jittered_delay(LEAVING_PAUSE_S)
        return RequestFailed(status, 'leaving', pause)

    def _conclude(
        self,
        call: Call,
        replies: ResponseWriter,
        refused: TokensUnavailable | RequestFailed,
    ) -> None:
        match refused:
            case TokensUnavailable():
                self._refuse_short(call, replies, refused)
            case RequestFailed():
                self._give_up(call, replies, refused)

    def _refuse_short(
        self, call: Call, replies: ResponseWriter, short: TokensUnavailable
    ) -> None:
        spent = short.retry_after is None
        status = STATUS_PAYMENT_REQUIRED if spent else STATUS_UNAVAILABLE
        self._parts.recorder.note_short(call, status, short)
        replies.refuse(status, 'budget', call.terms.request_id, short.retry_after)

    def _give_up(
        self, call: Call, replies: ResponseWriter, given_up: RequestFailed
    ) -> None:
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
        if self.ended and self._shutdown is not None:
            recorder.note_cut(call, events, self._shutdown.begun_at)
        else:
            recorder.note_left(call, events)

    def _note_refused(self, request_id: str, refused: Refused) -> None:
        catalogue = self._parts.catalogue.current
        version = None if catalogue is None else catalogue.version
        self._parts.recorder.note_refused(
            request_id, refused.status, refused.reason, version
        )

    def leave(self, shutdown: Shutdown) -> None:
        """Answer everything in time before the process ends.

        Args:
            shutdown: When it ends.
        """
        self._shutdown = shutdown
        now = asyncio.get_running_loop().time()
        for timer in self._received_by_timer:
            when = timer.when()
            # One that has run out already can't be set any more.
            if when is not None and when > max(now, shutdown.answers_until):
                timer.reschedule(shutdown.answers_until)

    def serves_any_from(self, moment: float) -> bool:
        """Whether a request still runs that came by a loop time."""
        return any(received <= moment for received in self._received_by_timer.values())

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
