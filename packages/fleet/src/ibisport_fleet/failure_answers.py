"""Answers requests that can't be served, each with a status that is true."""

from ibisport_fleet.admission import Refused
from ibisport_fleet.budgets import TokensUnavailable
from ibisport_fleet.calls import Call, draw_jittered_delay
from ibisport_fleet.overload.memory_budget import MemoryExhausted
from ibisport_fleet.request_recorder import RequestRecorder
from ibisport_fleet.response_writer import ResponseWriter
from ibisport_fleet.standby.monitor import Standby
from ibisport_fleet.target_selection import STATUS_BAD_GATEWAY, RequestFailed

STATUS_PAYMENT_REQUIRED = 402
STATUS_UNAVAILABLE = 503
REASON_ERROR = 'internal_error'
# The next attempt probably reaches another router.
ERROR_RETRY_AFTER_SECONDS = 0.25

ExpectedFailure = TokensUnavailable | RequestFailed | MemoryExhausted


class FailureAnswers:
    """Writes and records the answers to requests that failed."""

    def __init__(self, recorder: RequestRecorder, standby: Standby) -> None:
        self._recorder = recorder
        self._standby = standby

    def answer(
        self, call: Call, response: ResponseWriter, failure: ExpectedFailure
    ) -> None:
        """Answer a request that failed in one of the expected ways."""
        match failure:
            case TokensUnavailable():
                self._refuse_for_budget(call, response, failure)
            case RequestFailed():
                self._answer_failed(call, response, failure)
            case MemoryExhausted():
                self._answer_failed(
                    call, response, RequestFailed(STATUS_BAD_GATEWAY, 'no_memory')
                )

    def answer_unforeseen(
        self, call: Call, response: ResponseWriter, error: Exception
    ) -> None:
        """Answer a request whose handling raised an error of no expected type."""
        request_id = call.metadata.request_id
        if response.complete:
            self._recorder.record_error(request_id, error, None)
        elif call.may_have_run:
            self._recorder.record_error(request_id, error, STATUS_BAD_GATEWAY)
            failure = RequestFailed(STATUS_BAD_GATEWAY, REASON_ERROR)
            self._answer_failed(call, response, failure)
        else:
            refusal = self.refuse_unforeseen(request_id, error)
            failure = RequestFailed(refusal.status, refusal.reason, refusal.retry_after)
            self._answer_failed(call, response, failure)

    def refuse_unforeseen(self, request_id: str, error: Exception) -> Refused:
        """Record an unforeseen error, and return the refusal of its request.

        Args:
            request_id: Id of the request, which no target has got; empty if unknown.
            error: The error.
        """
        self._recorder.record_error(request_id, error, STATUS_UNAVAILABLE)
        delay = draw_jittered_delay(ERROR_RETRY_AFTER_SECONDS)
        return Refused(STATUS_UNAVAILABLE, REASON_ERROR, delay)

    def _refuse_for_budget(
        self, call: Call, response: ResponseWriter, error: TokensUnavailable
    ) -> None:
        spent = error.retry_after is None
        status = STATUS_PAYMENT_REQUIRED if spent else STATUS_UNAVAILABLE
        self._recorder.record_budget_refusal(call, status, error)
        self._standby.record_refusal(error, call)
        response.refuse(status, 'budget', call.metadata.request_id, error.retry_after)

    def _answer_failed(
        self, call: Call, response: ResponseWriter, failure: RequestFailed
    ) -> None:
        self._recorder.record_failed(
            call, failure.status, failure.reason, response.head_sent
        )
        if response.head_sent:
            response.abort()
            return
        response.refuse(
            failure.status,
            failure.reason,
            call.metadata.request_id,
            failure.retry_after,
        )
