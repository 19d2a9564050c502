"""The sends of one request, until some target has answered it whole."""

import asyncio
import math
from collections.abc import Sequence
from dataclasses import dataclass

from ibisport_fleet.budgets import Budgets
from ibisport_fleet.calls import Call, draw_jittered_delay
from ibisport_fleet.catalogue import RouteKind
from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.errors import ConnectionBroken
from ibisport_fleet.fatal_requests import FatalRequests
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.metadata import Dialect
from ibisport_fleet.prompt_mix import PromptMix
from ibisport_fleet.recording import Recorder
from ibisport_fleet.response_writer import ResponseWriter
from ibisport_fleet.retry_budget import RetryBudget
from ibisport_fleet.sending import (
    FIRST_FAILURE_STATUS,
    Answered,
    Broken,
    NotRun,
    NotSent,
    Sender,
)
from ibisport_fleet.settings import HostSettings
from ibisport_fleet.sse import EventCutter
from ibisport_fleet.target_choice import Candidate, TargetHealth, choose_plain_target
from ibisport_fleet.target_limits import TargetLimits

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
# Targets that reject or can't be reached before a request is given up: beyond
# these few the service is full, and asking on only adds to its load.
MOST_REJECTIONS = 3
# A full service frees a slot within some 100 ms; the caller is told so.
FULL_PAUSE_S = 0.25
AWAY_PAUSE_S = 0.5


class RequestFailed(Exception):
    """A request gets its final answer from this router.

    Attributes:
        status: The HTTP status; 503 only where the request has not run.
        reason: A word for logs and callers.
        pause: When to come back, seconds; None says nothing.
    """

    def __init__(self, status: int, reason: str, pause: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.pause = pause


@dataclass(frozen=True, slots=True)
class Parts:
    """What the handling of a request needs.

    Attributes:
        settings: Who this router is.
        dialect: Translates headers.
        catalogue: What operators say.
        targets: What there is to send to.
        sender: Sends to a target.
        budgets: What workspaces may still spend.
        recorder: Where decisions are written down.
        fatal: Which requests are not sent, since targets end under them.
        limits: How many requests targets take.
    """

    settings: HostSettings
    dialect: Dialect
    catalogue: CatalogueView
    targets: TargetView
    sender: Sender
    budgets: Budgets
    recorder: Recorder
    fatal: FatalRequests
    limits: TargetLimits


class RequestForwarder:
    """The sends of one request, one after the other, until it has its answer."""

    def __init__(
        self,
        parts: Parts,
        retries: RetryBudget,
        mix: PromptMix,
        call: Call,
        replies: ResponseWriter,
    ) -> None:
        self._parts = parts
        self._call = call
        self._replies = replies
        self._retries = retries
        self._mix = mix
        self._cutter = EventCutter(call.terms.last_event_id)
        self._rejections = 0
        self._unread = 0
        self._reader: TargetHealth | None = None

    @property
    def events(self) -> int:
        """Whole events of the answer that were passed on."""
        return self._cutter.events

    async def run(self) -> None:
        """Send until some target has answered whole.

        Raises:
            GivenUp: No target will.
        """
        self._retries.record_request(_now())
        while True:
            self.check_quarantine()
            candidate = self._choose()
            candidate.health.begin_request(_now())
            self._begin_reading(candidate.health)
            try:
                if await self._try(candidate):
                    return
            finally:
                candidate.health.end_request()
                self._end_reading()

    def check_quarantine(self) -> None:
        """Refuse a request under which targets end.

        Raises:
            GivenUp: Other ones may not be harmed by it.
        """
        pause = self._parts.fatal.find_remaining_seconds(self._call.digest)
        if pause is not None:
            raise self._refuse('quarantined', pause)

    def count_tokens(self) -> int:
        """Return the tokens that the request has cost.

        The prompt is paid for with the first event that the caller gets, and once
        for a stream that the caller takes up again after a broken connection.
        Charging it whenever a target may have begun counted up to 0.15 of a budget
        that nobody got anything for.
        """
        terms = self._call.terms
        events = self._cutter.events
        if not events:
            return 0
        generated = min(terms.max_output_tokens, events * self._tokens_per_event())
        resumed = terms.last_event_id is not None and self._call.route.resumable
        return generated if resumed else terms.prompt_tokens + generated

    def _begin_reading(self, health: TargetHealth) -> None:
        """Count the prompt as unread at its target."""
        parts = self._call.terms.parts
        self._unread = health.count_uncached_tokens(parts, _now())
        self._reader = health
        prompt = sum(part.tokens for part in parts)
        self._mix.record_prompt(prompt, self._unread, _now())
        health.pending_prompt_tokens += self._unread
        health.record_parts(parts, _now())

    def _end_reading(self) -> None:
        """Count the prompt as read: its first event has come, or none will."""
        if self._reader is not None:
            self._reader.pending_prompt_tokens -= self._unread
            self._reader = None

    def _tokens_per_event(self) -> int:
        catalogue = self._parts.catalogue.current
        if catalogue is None:
            return 1
        service = catalogue.services.get(self._call.service)
        if service is None or service.engine is None:
            return 1
        return service.engine.tokens_per_event

    def _choose(self) -> Candidate:
        call = self._call
        targets = self._parts.targets
        candidates = [
            one
            for one in targets.list_candidates(call.service)
            if one.entry.start_id not in call.tried
        ]
        now = _now()
        limits = self._parts.limits
        open_now = [one for one in candidates if limits.may_send(one, now)]
        if candidates and not open_now:
            raise self._refuse('limited', limits.compute_retry_after(candidates, now))
        chosen = limits.find_probe_target(open_now, now) or self._choose_best(
            open_now, now
        )
        if chosen is None:
            raise self._refuse('no_target', draw_jittered_delay(AWAY_PAUSE_S))
        limits.record_send(chosen, now)
        return chosen

    def _choose_best(
        self, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        call = self._call
        if call.route.kind is RouteKind.stream:
            return choose_engine(candidates, call.terms.parts, now, self._mix.split)
        return choose_plain_target(candidates, self._parts.settings.domain, now)

    async def _try(self, candidate: Candidate) -> bool:
        call = self._call
        call.tried.add(candidate.entry.start_id)
        call.sends += 1
        call.target = candidate.entry.incarnation
        call.sent_at = _now()
        self._parts.recorder.note_sent(call, candidate)
        call.may_have_run = True
        sent = await self._parts.sender.send(call, candidate, self._cutter.last_id)
        match sent:
            case Answered():
                return await self._pass_on(sent, candidate)
            case NotSent() | NotRun():
                self._note_rejection(sent)
            case Broken(reason=reason):
                self._note_break(candidate, reason)
        return False

    def _note_rejection(self, sent: NotSent | NotRun) -> None:
        call = self._call
        call.sends -= 1
        call.may_have_run = call.sends > 0
        self._rejections += 1
        if self._rejections >= MOST_REJECTIONS:
            raise self._refuse('full', draw_jittered_delay(FULL_PAUSE_S))
        if isinstance(sent, NotRun) and not self._take_retry():
            raise self._refuse('full', draw_jittered_delay(FULL_PAUSE_S))

    def _note_break(self, candidate: Candidate, reason: str) -> None:
        call = self._call
        self._parts.fatal.record_break(candidate.entry, call.digest)
        if not (call.route.repeatable and self._may_send_again()):
            raise RequestFailed(STATUS_BAD_GATEWAY, reason)
        self._parts.recorder.note_resumed(call, reason, self._cutter.last_id)

    def _take_retry(self) -> bool:
        return self._retries.try_acquire(_now(), self._parts.budgets.router_count)

    def _refuse(self, reason: str, pause: float) -> RequestFailed:
        if self._call.may_have_run:
            return RequestFailed(STATUS_BAD_GATEWAY, reason)
        return RequestFailed(STATUS_UNAVAILABLE, reason, pause)

    async def _pass_on(self, answered: Answered, candidate: Candidate) -> bool:
        try:
            if answered.succeeded and self._call.route.kind is RouteKind.stream:
                await self._pass_stream(answered)
            else:
                return await self._pass_whole(answered)
        except ConnectionBroken as error:
            answered.health.record_failure(_now())
            self._cutter.drop_piece()
            self._note_break(candidate, repr(error))
            return False
        finally:
            # Whatever was not read to its end must not run on.
            if not answered.exchange.reusable:
                answered.exchange.close()
        return True

    async def _pass_whole(self, answered: Answered) -> bool:
        body = await answered.exchange.read_body()
        self._parts.sender.finish(answered)
        call = self._call
        self._parts.fatal.record_answer(call.digest)
        failed = answered.head.status >= FIRST_FAILURE_STATUS
        if failed and call.route.repeatable and self._may_send_again():
            return False
        if not failed:
            answered.health.record_success()
        self._replies.pass_whole(answered.head, body)
        self._parts.recorder.note_served(
            self._call, answered.head.status, self._cutter.events
        )
        return True

    def _note_pauses(self, longest: float) -> None:
        accepted = self._call.route.max_pause_seconds
        if accepted and self._cutter.events > 1:
            tokens = sum(part.tokens for part in self._call.terms.parts)
            self._mix.record_answer(tokens, longest, accepted, _now())

    def _may_send_again(self) -> bool:
        call = self._call
        if call.sends >= call.route.max_targets:
            return False
        return self._take_retry()

    async def _pass_stream(self, answered: Answered) -> None:
        if not self._replies.begun:
            self._replies.begin_stream(answered.head)
            self._parts.recorder.note_first(self._call)
        exchange = answered.exchange
        pauses = _Pauses()
        while (part := await exchange.read_part()) is not None:
            answered.health.last_received_at = _now()
            whole = self._cutter.feed(part)
            if whole:
                self._end_reading()
                pauses.note_event(_now())
                await self._replies.pass_chunk(whole)
        if self._cutter.holds_piece:
            raise ConnectionBroken('the stream ended within an event')
        self._replies.end_stream()
        self._note_pauses(pauses.longest)
        self._parts.sender.finish(answered)
        self._parts.fatal.record_answer(self._call.digest)
        answered.health.record_success()
        self._parts.recorder.note_served(
            self._call, answered.head.status, self._cutter.events
        )


@dataclass(slots=True)
class _Pauses:
    """The longest pause between two events of a stream, seconds."""

    longest: float = 0.0
    _heard_at: float = math.inf

    def note_event(self, now: float) -> None:
        """Note an event; the first one ends no pause."""
        self.longest = max(self.longest, now - self._heard_at)
        self._heard_at = now


def _now() -> float:
    return asyncio.get_running_loop().time()
