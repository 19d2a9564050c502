"""Writes a log line and a metric for each decision about a request."""

import asyncio
from dataclasses import asdict, dataclass

from ibisport_fleet.budgets import TokensUnavailable
from ibisport_fleet.calls import Call
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.metrics import Metrics
from ibisport_fleet.placing.change_log import ChangeLog
from ibisport_fleet.placing.pace import ServicePace
from ibisport_fleet.quarantine.keys import REASON_QUARANTINED
from ibisport_fleet.standby.policy import Begun, Ended, Transition
from ibisport_fleet.stream_versions.directory import Finding, Found, NotFound
from ibisport_fleet.target_choice import Candidate

OUTCOME_SERVED = 'served'
OUTCOME_CALLER_LEFT = 'caller_left'
OUTCOME_PROCESS_ENDED = 'process_ended'
OUTCOME_ERROR = 'error'
MAX_LOGGED_PARTS = 8


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run whose target ended, was cut off, or went silent.

    Attributes:
        target: Incarnation of the target.
        cause: What was observed.
        last_event_id: Id of the last event that the caller got, or None.
        heard_at: Loop time of that event, or of the send.
    """

    target: str
    cause: str
    last_event_id: int | None
    heard_at: float


class RequestRecorder:
    """Records requests in the log and in the metrics."""

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._pace_log = ChangeLog(log)

    def record_refused(
        self, request_id: str, status: int, reason: str, version: int | None
    ) -> None:
        """Record a request that was refused before it had a route."""
        self._log.write(
            Event.request_refused,
            request=request_id,
            status=status,
            reason=reason,
            version=version,
        )
        self._metrics.count_request(None, '', f'{status} {reason}')

    def record_budget_refusal(
        self, call: Call, status: int, error: TokensUnavailable
    ) -> None:
        """Record a request that its budget doesn't cover, with the budget's state."""
        name = _name_workspace(call)
        self._log.write(
            Event.request_refused,
            request=call.metadata.request_id,
            route=call.route.name,
            workspace=name,
            status=status,
            reason='budget',
            retry_after=error.retry_after,
            tokens=call.metadata.max_tokens,
            **error.details,
        )
        self._metrics.count_request(name, call.route.name, f'{status} budget')

    def record_queued(self, call: Call, waited: float, reason: str) -> None:
        """Record the end of a request's wait for its turn at the targets.

        Args:
            call: The request.
            waited: Seconds since it was queued.
            reason: Why it waited.
        """
        self._log.write(
            Event.request_queued,
            request=call.metadata.request_id,
            route=call.route.name,
            workspace=_name_workspace(call),
            rank=call.urgency,
            wait=round(waited, 4),
            reason=reason,
        )
        self._metrics.observe_queue(call.urgency, waited)

    def record_queue_refusal(
        self, call: Call, reason: str, retry_after: float, queued: int
    ) -> None:
        """Record a request that is refused instead of being queued or sent.

        Args:
            call: The request.
            reason: Why it is refused.
            retry_after: Seconds after which the caller may retry.
            queued: Number of requests that wait.
        """
        self._log.write(
            Event.request_not_queued,
            request=call.metadata.request_id,
            route=call.route.name,
            workspace=_name_workspace(call),
            rank=call.urgency,
            reason=reason,
            retry_after=round(retry_after, 3),
            queued=queued,
        )

    def record_sent(self, call: Call, candidate: Candidate) -> None:
        """Record which target was selected, and the load report behind it."""
        now = asyncio.get_running_loop().time()
        health = candidate.health
        self._log.write(
            Event.request_sent,
            request=call.metadata.request_id,
            **_describe_keys(call),
            route=call.route.name,
            version=call.version,
            workspace=_name_workspace(call),
            target=candidate.entry.incarnation,
            target_revision=candidate.entry.revision,
            software=candidate.entry.software_version,
            resumes=call.metadata.resumed_id,
            last_event=call.metadata.last_event_id,
            send=call.attempts,
            load=health.estimate_load(now),
            report_age=round(now - health.reported_at, 3),
            left=round(call.remaining_seconds(now), 3),
            caller_left=call.request.caller.peer_left,
        )

    def record_pace(self, service: str, pace: ServicePace) -> None:
        """Record changes of the paces of a service's engines since the last time."""
        if pace.changes or pace.shared_parts.changes:
            now = asyncio.get_running_loop().time()
            self._pace_log.write(service, pace, now)

    def record_first_byte(self, call: Call) -> None:
        """Record that the answer has begun."""
        elapsed = asyncio.get_running_loop().time() - call.request.received_at
        self._metrics.observe_first_byte(
            _name_workspace(call), call.route.name, elapsed
        )

    def record_resumed(self, call: Call, reason: str, last_event: int | None) -> None:
        """Record that a request is sent again after a broken answer."""
        self._log.write(
            Event.request_resumed,
            request=call.metadata.request_id,
            reason=reason,
            last_event=last_event,
            sends=call.attempts,
            **_describe_send(call),
        )

    def record_origin(self, call: Call, finding: Finding, begun_at: float) -> None:
        """Record whether the software is known that began a resumed stream.

        Args:
            call: The request that resumes it.
            finding: What is known.
            begun_at: Loop time from which on it was searched for.
        """
        seconds = asyncio.get_running_loop().time() - begun_at
        fields = {
            'request': call.metadata.request_id,
            'route': call.route.name,
            'resumes': call.metadata.resumed_id,
            'seconds': round(seconds, 4),
        }
        match finding:
            case Found(build=build, source=source, age=age):
                self._log.write(
                    Event.stream_origin_found,
                    **fields,
                    service=build.service,
                    software=build.version,
                    source=source,
                    age=round(age, 3),
                )
                self._metrics.count_resumed(source)
            case NotFound():
                self._log.write(
                    Event.stream_origin_unknown, **fields, **asdict(finding)
                )
                self._metrics.count_resumed(finding.reason)

    def record_copy(self, call: Call) -> None:
        """Count a copy that was requested for a run."""
        self._metrics.count_copy(call.service)

    def record_copied_tokens(self, call: Call, tokens: int) -> None:
        """Count the tokens of a run whose attempt has ended, with a copy."""
        self._metrics.count_copied_tokens(call.service, tokens)

    def record_continued(self, call: Call, broken: BrokenRun, gap: float) -> None:
        """Record that a stream goes on at the copy of its run.

        Args:
            call: The request.
            broken: The run that broke.
            gap: Time from the last event before to the first one after, seconds.
        """
        self._log.write(
            Event.stream_continued,
            request=call.metadata.request_id,
            route=call.route.name,
            cause=broken.cause,
            source=broken.target,
            target=call.target,
            last_event=broken.last_event_id,
            seconds=round(gap, 4),
        )
        self._metrics.count_continued(call.service)

    def record_copy_missing(self, call: Call, target: str, reason: str) -> None:
        """Record that a stream can't go on since its copy isn't there."""
        self._log.write(
            Event.copy_missing,
            request=call.metadata.request_id,
            route=call.route.name,
            target=target,
            reason=reason,
        )

    def record_silent(self, call: Call, seconds: float, events: int) -> None:
        """Record that a connection is closed since its target sends nothing.

        Args:
            call: The request.
            seconds: How long the target has sent nothing.
            events: Number of complete events that were forwarded.
        """
        self._log.write(
            Event.target_silent,
            request=call.metadata.request_id,
            route=call.route.name,
            target=call.target,
            seconds=round(seconds, 4),
            events=events,
        )

    def record_hedged(self, call: Call, second: Candidate, seconds: float) -> None:
        """Record that a second target gets a request beside the first one.

        Args:
            call: The request; its target is the first one.
            second: The second target.
            seconds: How long the first target hasn't answered.
        """
        self._log.write(
            Event.request_hedged,
            request=call.metadata.request_id,
            route=call.route.name,
            source=call.target,
            target=second.entry.incarnation,
            seconds=round(seconds, 4),
        )

    def record_hedge_end(self, call: Call, winner: str) -> None:
        """Count a request that had two targets at once, by whose answer was used."""
        self._metrics.count_hedged(call.service, winner)

    def record_served(self, call: Call, status: int, events: int) -> None:
        """Record an answer that was forwarded completely."""
        elapsed = asyncio.get_running_loop().time() - call.request.received_at
        self._log.write(
            Event.request_served,
            request=call.metadata.request_id,
            route=call.route.name,
            status=status,
            seconds=round(elapsed, 4),
            events=events,
        )
        name = _name_workspace(call)
        self._metrics.observe_duration(name, call.route.name, elapsed)
        self._metrics.count_request(name, call.route.name, OUTCOME_SERVED)

    def record_failed(self, call: Call, status: int, reason: str, begun: bool) -> None:
        """Record a request that failed."""
        self._log.write(
            Event.request_failed,
            request=call.metadata.request_id,
            route=call.route.name,
            workspace=_name_workspace(call),
            status=status,
            reason=reason,
            may_have_run=call.may_have_run,
            sends=call.attempts,
            begun=begun,
            **_describe_send(call),
            **(_describe_keys(call) if reason == REASON_QUARANTINED else {}),
        )
        self._metrics.count_request(
            _name_workspace(call), call.route.name, f'{status} {reason[:40]}'
        )

    def record_error(
        self, request_id: str, error: Exception, status: int | None
    ) -> None:
        """Record that an unforeseen error ended the work on a request.

        Args:
            request_id: The request's id; empty if it isn't known.
            error: The error.
            status: The status of the answer; None: the whole answer was written before.
        """
        self._log.write_error(
            Event.request_error, error, request=request_id, status=status
        )
        self._metrics.count_request(None, '', OUTCOME_ERROR)

    def record_caller_left(self, call: Call, events: int) -> None:
        """Record a caller that disconnected before its answer was complete."""
        elapsed = asyncio.get_running_loop().time() - call.request.received_at
        self._log.write(
            Event.request_left,
            request=call.metadata.request_id,
            route=call.route.name,
            seconds=round(elapsed, 4),
            events=events,
            sends=call.attempts,
            target=call.target,
            since_packet=call.request.caller.packet_age,
        )
        self._metrics.count_request(
            _name_workspace(call), call.route.name, OUTCOME_CALLER_LEFT
        )

    def record_interrupted(self, call: Call, events: int, stopping_at: float) -> None:
        """Record a request that was still running when the process ended.

        Args:
            call: The request.
            events: Number of complete events that were forwarded.
            stopping_at: Loop time at which the process was asked to stop.
        """
        now = asyncio.get_running_loop().time()
        received = call.request.received_at
        self._log.write(
            Event.request_cut,
            request=call.metadata.request_id,
            route=call.route.name,
            seconds=round(now - received, 4),
            since_stop=round(received - stopping_at, 4),
            may_have_run=call.may_have_run,
            events=events,
        )
        self._metrics.count_request(
            _name_workspace(call), call.route.name, OUTCOME_PROCESS_ENDED
        )

    def record_standby(self, transition: Transition) -> None:
        """Record that a standby of this router begins or ends."""
        match transition:
            case Begun(cause=cause, refused=refused, requests=requests):
                self._log.write(
                    Event.standby_begun,
                    cause=cause.value,
                    refused=refused,
                    requests=requests,
                )
            case Ended(cause=cause, seconds=seconds, regained=regained):
                self._log.write(
                    Event.standby_ended,
                    cause=cause.value,
                    seconds=round(seconds, 3),
                    regained=regained,
                )

    def record_charged(self, call: Call, tokens: int) -> None:
        """Record the tokens that a request has cost."""
        self._metrics.count_tokens(_name_workspace(call), tokens)


def _describe_send(call: Call) -> dict[str, object]:
    """Return the log fields for the last send: its target, and how long ago."""
    if call.target is None:
        return {}
    now = asyncio.get_running_loop().time()
    return {
        'digest': call.digest,
        'target': call.target,
        'since_send': round(now - call.sent_at, 4),
    }


def _describe_keys(call: Call) -> dict[str, object]:
    """Return the log fields by which a request may be quarantined."""
    return {'digest': call.digest, 'parts': call.shared_parts[:MAX_LOGGED_PARTS]}


def _name_workspace(call: Call) -> str | None:
    return None if call.workspace is None else call.workspace.name
