"""Handles requests: admission, token reservation, forwarding and charging."""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import AsyncIterator

from ibisport_fleet.admission import STOPPING_RETRY_AFTER_SECONDS, Refused, admit
from ibisport_fleet.budgets import TokensUnavailable
from ibisport_fleet.calls import Call, draw_jittered_delay
from ibisport_fleet.dependencies import Dependencies, ServiceState
from ibisport_fleet.errors import CallerLeft, RequestInvalid
from ibisport_fleet.failure_answers import FailureAnswers
from ibisport_fleet.forwarding import RequestForwarder
from ibisport_fleet.http_messages import Request
from ibisport_fleet.ledger import Reservation
from ibisport_fleet.metadata import RequestMetadata
from ibisport_fleet.overload.memory_budget import MemoryExhausted
from ibisport_fleet.placing.pace import ServicePace
from ibisport_fleet.prompt_mix import PromptMix
from ibisport_fleet.queueing.request_gate import GateSources, RequestGate
from ibisport_fleet.response_writer import ResponseWriter
from ibisport_fleet.retry_budget import RetryBudget
from ibisport_fleet.settings import Bounds, Feature
from ibisport_fleet.shutdown import Shutdown
from ibisport_fleet.standby.monitor import Standby, Surroundings
from ibisport_fleet.stream_versions.directory import Found, NotFound
from ibisport_fleet.stream_versions.origin import Begun, Unknown
from ibisport_fleet.target_selection import RequestFailed

STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
UNANSWERED_RETRY_AFTER_SECONDS = 0.25


class CallHandler:
    """Handles callers' requests, one call of ``handle`` each.

    Attributes:
        in_flight: Number of received requests without a final answer.
        process_ended: Whether the process ends now, with or without running requests.
        standby: Whether this router is out of the balancer's rotation.
        gate: Decides when requests go to targets; None: they go at once.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._bounds = dependencies.settings.bounds
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._prompt_mixes: dict[str, PromptMix] = {}
        self._paces: defaultdict[str, ServicePace] = defaultdict(ServicePace)
        self._started_at = asyncio.get_running_loop().time()
        self.in_flight = 0
        self.process_ended = False
        self._shutdown: Shutdown | None = None
        self._received_at_by_timer: dict[asyncio.Timeout, float] = {}
        self.standby = Standby(
            Surroundings(
                lambda: dependencies.catalogue.current is not None,
                dependencies.budgets.try_contact,
                dependencies.recorder.record_standby,
            ),
            enabled=Feature.standby in dependencies.settings.features,
        )
        dependencies.budgets.contact.on_answer = self.standby.record_contact
        self._failures = FailureAnswers(dependencies.recorder, self.standby)
        self.gate = self._build_gate()

    @property
    def copies_in_flight(self) -> int:
        """Number of runs with a copy at another engine."""
        return self._dependencies.copies.count

    async def handle(self, request: Request, response: ResponseWriter) -> None:
        """Handle one request and return once its answer is written.

        Raises:
            CallerLeft: Nobody waits for the answer any more.
        """
        # Requests that wait for tokens count as well; otherwise a stopping router ends
        # before they are answered.
        self.in_flight += 1
        self.standby.record_request()
        try:
            await self._handle(request, response)
        finally:
            self.in_flight -= 1

    def identify(self, head: Request) -> str | None:
        """Return the workspace of a request whose body is still arriving.

        Raises:
            RequestInvalid: The request would be refused as soon as it is complete.
        """
        request_id = ''
        try:
            metadata = self._dependencies.dialect.decode_request(head)
            request_id = metadata.request_id
            call = self._admit(head, metadata)
        except RequestInvalid:
            raise
        except Exception as error:
            refusal = self._find_refusal(request_id, error)
            raise RequestInvalid(
                refusal.status,
                refusal.reason,
                refusal.reason,
                refusal.retry_after,
                request_id,
            ) from None
        return None if call.workspace is None else call.workspace.name

    async def _handle(self, request: Request, response: ResponseWriter) -> None:
        request_id = ''
        try:
            metadata = self._dependencies.dialect.decode_request(request)
            request_id = metadata.request_id
            call = self._admit(request, metadata)
        except RequestInvalid as invalid:
            self.record_refusal(request_id, invalid.status, invalid.code)
            response.refuse(invalid.status, invalid.code, None, None)
        except Exception as error:
            refusal = self._find_refusal(request_id, error)
            self.record_refusal(request_id, refusal.status, refusal.reason)
            response.refuse(
                refusal.status, refusal.reason, request_id or None, refusal.retry_after
            )
        else:
            await self._serve_before_deadline(call, response)

    def _find_refusal(self, request_id: str, error: Exception) -> Refused:
        """Return the refusal of a request that wasn't admitted."""
        match error:
            case Refused():
                self.standby.record_refusal(error)
                return error
            case _:
                return self._failures.refuse_unforeseen(request_id, error)

    def _admit(self, request: Request, metadata: RequestMetadata) -> Call:
        catalogue = self._dependencies.catalogue.current
        return admit(request, metadata, catalogue, self._shutdown)

    async def _serve_before_deadline(
        self, call: Call, response: ResponseWriter
    ) -> None:
        forwarder: RequestForwarder | None = None
        try:
            async with self._limit_time(call):
                call.check_caller()
                await self._resolve_origin(call)
                forwarder = self._build_forwarder(call, response)
                await self._reserve_and_forward(call, forwarder)
        except (asyncio.CancelledError, CallerLeft):
            events = 0 if forwarder is None else forwarder.forwarded_events
            self._record_interruption(call, events)
            raise
        except Exception as error:
            self._answer_error(call, response, error)

    def _answer_error(
        self, call: Call, response: ResponseWriter, error: Exception
    ) -> None:
        match error:
            case TokensUnavailable() | RequestFailed() | MemoryExhausted():
                self._failures.answer(call, response, error)
            case TimeoutError():
                failure = self._build_timeout_failure(call)
                self._failures.answer(call, response, failure)
            case _:
                self._failures.answer_unforeseen(call, response, error)

    async def _resolve_origin(self, call: Call) -> None:
        """Bind a request that resumes a stream to the software that began it.

        Raises:
            RequestFailed: That isn't known, or the route doesn't lead there any more.
        """
        if not isinstance(call.origin, Unknown):
            return
        begun_at = asyncio.get_running_loop().time()
        finding = await self._dependencies.streams.find(call)
        self._dependencies.recorder.record_origin(call, finding, begun_at)
        match finding:
            case Found(build=build):
                if build.service not in {share.service for share in call.route.shares}:
                    raise RequestFailed(STATUS_UNAVAILABLE, 'version_gone')
                call.origin, call.service = Begun(build), build.service
            case NotFound(reason='unanswered' | 'unread'):
                # Another router may know, or this one soon.
                delay = draw_jittered_delay(UNANSWERED_RETRY_AFTER_SECONDS)
                raise RequestFailed(STATUS_UNAVAILABLE, 'version_unknown', delay)
            case NotFound():
                raise RequestFailed(STATUS_UNAVAILABLE, 'version_unknown')

    def _build_forwarder(
        self, call: Call, response: ResponseWriter
    ) -> RequestForwarder:
        service_state = ServiceState(
            retry_budget=self.find_retry_budget(call.service),
            prompt_mix=self._prompt_mixes.setdefault(call.service, PromptMix()),
            pace=self._paces[call.service],
            gate=self.gate,
        )
        return RequestForwarder(self._dependencies, service_state, call, response)

    async def _reserve_and_forward(
        self, call: Call, forwarder: RequestForwarder
    ) -> None:
        forwarder.check_quarantine()
        budgets = self._dependencies.budgets
        reservation = await budgets.reserve(
            call.workspace, call.metadata.max_tokens, call.route.objective
        )
        try:
            await forwarder.run()
        finally:
            self._settle(call, forwarder, reservation)

    def _settle(
        self, call: Call, forwarder: RequestForwarder, reservation: Reservation
    ) -> None:
        """Charge a request, in full if its tokens can't be counted."""
        recorder = self._dependencies.recorder
        reservation.spent = reservation.tokens
        try:
            reservation.spent = forwarder.count_tokens()
            recorder.record_charged(call, reservation.spent)
        except Exception as error:
            # It must not take the place of what ended the request.
            recorder.record_error(call.metadata.request_id, error, None)
        self._dependencies.budgets.settle(reservation)

    @contextlib.asynccontextmanager
    async def _limit_time(self, call: Call) -> AsyncIterator[None]:
        """Enforce a request's deadline, which a shutdown may bring forward."""
        async with asyncio.timeout_at(call.deadline) as timer:
            self._received_at_by_timer[timer] = call.request.received_at
            try:
                yield
            finally:
                self._received_at_by_timer.pop(timer)

    def _build_timeout_failure(self, call: Call) -> RequestFailed:
        status = STATUS_TIMEOUT if call.may_have_run else STATUS_UNAVAILABLE
        shutdown = self._shutdown
        now = asyncio.get_running_loop().time()
        if shutdown is None or now < shutdown.answers_until:
            return RequestFailed(status, 'timeout')
        retry_after = (
            None
            if call.may_have_run
            else draw_jittered_delay(STOPPING_RETRY_AFTER_SECONDS)
        )
        return RequestFailed(status, 'leaving', retry_after)

    def _record_interruption(self, call: Call, events: int) -> None:
        """Record that the caller disconnected, or that the process ended first."""
        recorder = self._dependencies.recorder
        if self.process_ended and self._shutdown is not None:
            recorder.record_interrupted(call, events, self._shutdown.begun_at)
        else:
            recorder.record_caller_left(call, events)

    def record_refusal(self, request_id: str, status: int, reason: str) -> None:
        """Record a request that was refused before it had a route."""
        catalogue = self._dependencies.catalogue.current
        version = None if catalogue is None else catalogue.version
        self._dependencies.recorder.record_refused(request_id, status, reason, version)

    def begin_shutdown(self, shutdown: Shutdown) -> None:
        """Bring the deadlines of running requests forward to before the process ends.

        Args:
            shutdown: The planned stop.
        """
        self._shutdown = shutdown
        if self.gate is not None:
            self.gate.begin_shutdown(shutdown)
        now = asyncio.get_running_loop().time()
        for timer in self._received_at_by_timer:
            when = timer.when()
            # An expired timer can't be rescheduled.
            if when is not None and when > max(now, shutdown.answers_until):
                timer.reschedule(shutdown.answers_until)

    def _build_gate(self) -> RequestGate | None:
        dependencies = self._dependencies
        if Feature.queueing not in dependencies.settings.features:
            return None
        sources = GateSources(
            catalogue=dependencies.catalogue,
            targets=dependencies.targets,
            holds=dependencies.holds,
            regions=dependencies.settings.regions,
            count_routers=lambda: dependencies.budgets.router_count,
            find_estimator=self._paces.get,
        )
        return RequestGate(sources, dependencies.recorder)

    def serves_any_received_by(self, moment: float) -> bool:
        """Whether a request that was received by a loop time is still running."""
        return any(
            received <= moment for received in self._received_at_by_timer.values()
        )

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply changed settings; retry budgets restart with a new window."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._started_at = asyncio.get_running_loop().time()
            self._retry_budgets.clear()

    @property
    def paced_engines(self) -> int:
        """Number of engines whose pace is known."""
        return sum(pace.known_engines for pace in self._paces.values())

    @property
    def spread_parts(self) -> int:
        """Number of shared parts that are preferred at several engines."""
        now = asyncio.get_running_loop().time()
        return sum(pace.shared_parts.count_spread(now) for pace in self._paces.values())

    def find_retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        found = self._retry_budgets.get(service)
        if found is None:
            bounds = self._bounds
            found = RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                self._started_at,
            )
            self._retry_budgets[service] = found
        return found
