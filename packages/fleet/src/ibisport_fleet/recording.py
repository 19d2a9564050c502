"""Writes down what was decided about each request: a log line and a figure each."""

import asyncio

from ibisport_fleet.budgets import TokensUnavailable
from ibisport_fleet.calls import Call
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.metrics import Metrics
from ibisport_fleet.target_choice import Candidate

SERVED = 'served'
LEFT = 'caller_left'
CUT = 'process_ended'


class Recorder:
    """The log and the metrics of requests."""

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics

    def note_refused(
        self, request_id: str, status: int, reason: str, version: int | None
    ) -> None:
        """Note a request that was refused before it had a route."""
        self._log.write(
            Event.request_refused,
            request=request_id,
            status=status,
            reason=reason,
            version=version,
        )
        self._metrics.count_request(None, '', f'{status} {reason}')

    def note_short(self, call: Call, status: int, short: TokensUnavailable) -> None:
        """Note a request that a budget doesn't cover, and what was known of it."""
        name = _name_workspace(call)
        self._log.write(
            Event.request_refused,
            request=call.terms.request_id,
            route=call.route.name,
            workspace=name,
            status=status,
            reason='budget',
            retry_after=short.retry_after,
            tokens=call.terms.max_tokens,
            **short.details,
        )
        self._metrics.count_request(name, call.route.name, f'{status} budget')

    def note_sent(self, call: Call, candidate: Candidate) -> None:
        """Note which target was chosen, and by what."""
        now = asyncio.get_running_loop().time()
        health = candidate.health
        self._log.write(
            Event.request_sent,
            request=call.terms.request_id,
            digest=call.digest,
            route=call.route.name,
            version=call.version,
            workspace=_name_workspace(call),
            target=candidate.entry.incarnation,
            target_revision=candidate.entry.revision,
            send=call.sends,
            load=health.estimate_load(now),
            report_age=round(now - health.reported_at, 3),
            left=round(call.left(now), 3),
        )

    def note_first(self, call: Call) -> None:
        """Note that the answer has begun."""
        passed = asyncio.get_running_loop().time() - call.request.received_at
        self._metrics.observe_first(_name_workspace(call), call.route.name, passed)

    def note_resumed(self, call: Call, reason: str, last_event: int | None) -> None:
        """Note that a request is sent again after a break."""
        self._log.write(
            Event.request_resumed,
            request=call.terms.request_id,
            reason=reason,
            last_event=last_event,
            sends=call.sends,
            **_describe_send(call),
        )

    def note_served(self, call: Call, status: int, events: int) -> None:
        """Note an answer that was passed on whole."""
        passed = asyncio.get_running_loop().time() - call.request.received_at
        self._log.write(
            Event.request_served,
            request=call.terms.request_id,
            route=call.route.name,
            status=status,
            seconds=round(passed, 4),
            events=events,
        )
        name = _name_workspace(call)
        self._metrics.observe_whole(name, call.route.name, passed)
        self._metrics.count_request(name, call.route.name, SERVED)

    def note_failed(self, call: Call, status: int, reason: str, begun: bool) -> None:
        """Note a request that was given up."""
        self._log.write(
            Event.request_failed,
            request=call.terms.request_id,
            route=call.route.name,
            workspace=_name_workspace(call),
            status=status,
            reason=reason,
            may_have_run=call.may_have_run,
            sends=call.sends,
            begun=begun,
            **_describe_send(call),
        )
        self._metrics.count_request(
            _name_workspace(call), call.route.name, f'{status} {reason[:40]}'
        )

    def note_left(self, call: Call, events: int) -> None:
        """Note a caller that left before its answer had ended."""
        passed = asyncio.get_running_loop().time() - call.request.received_at
        self._log.write(
            Event.request_left,
            request=call.terms.request_id,
            route=call.route.name,
            seconds=round(passed, 4),
            events=events,
        )
        self._metrics.count_request(_name_workspace(call), call.route.name, LEFT)

    def note_cut(self, call: Call, events: int, stopping_at: float) -> None:
        """Note a request that was still served when the process ended.

        Args:
            call: The request.
            events: Whole events of the answer that were passed on.
            stopping_at: Loop time at which the process was asked to stop.
        """
        now = asyncio.get_running_loop().time()
        received = call.request.received_at
        self._log.write(
            Event.request_cut,
            request=call.terms.request_id,
            route=call.route.name,
            seconds=round(now - received, 4),
            since_stop=round(received - stopping_at, 4),
            may_have_run=call.may_have_run,
            events=events,
        )
        self._metrics.count_request(_name_workspace(call), call.route.name, CUT)

    def note_charged(self, call: Call, tokens: int) -> None:
        """Note what a request has cost."""
        self._metrics.count_tokens(_name_workspace(call), tokens)


def _describe_send(call: Call) -> dict[str, object]:
    """Return where a request was last sent, and how long ago."""
    if call.target is None:
        return {}
    now = asyncio.get_running_loop().time()
    return {
        'digest': call.digest,
        'target': call.target,
        'since_send': round(now - call.sent_at, 4),
    }


def _name_workspace(call: Call) -> str | None:
    return None if call.workspace is None else call.workspace.name
