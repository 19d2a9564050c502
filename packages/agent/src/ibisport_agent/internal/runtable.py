"""The table of all requests known to an agent, and its retention rules."""

import hashlib
import threading
import time

from ibisport_agent.internal.runs import Run, RunResources
from ibisport_core.errors import (
    AnswerGone,
    IdentityReused,
    NotKnown,
    SessionRefused,
    Statement,
    TargetDraining,
)
from ibisport_core.link import Link
from ibisport_core.messages import Cancel, Submit

_UNKEYED_RETENTION_SECONDS = 30.0
_MAX_FORGOTTEN = 200_000


class RunTable:
    """Starts runs, subscribes routers to known runs, and expires old ones.

    A request id starts at most one run here, however often it is submitted,
    unless the run is restartable. Because the agent remembers the requests that
    it received, a non-idempotent request runs at most once at this agent.
    """

    def __init__(
        self, resources: RunResources, keep_answers: float, answer_bytes: int
    ) -> None:
        """Create an empty table.

        Args:
            resources: The objects that all runs share.
            keep_answers: Seconds that the finished answer of a keyed or
                non-idempotent request is kept for routers to join.
            answer_bytes: Maximum total size of the finished answers kept.
        """
        self.draining = False
        self._resources = resources
        self._keep_answers = keep_answers
        self._answer_bytes = answer_bytes
        self._lock = threading.Lock()
        self._runs: dict[bytes, Run] = {}
        self._bodies: dict[bytes, bytes] = {}
        self._forgotten: dict[bytes, float] = {}
        self._allowed_sessions: dict[bytes, str] = {}

    def submit(self, submit: Submit, link: Link) -> None:
        """Start a request, or subscribe the router to its known run.

        Args:
            submit: The request.
            link: The router's link, which receives the answer.

        Raises:
            Refusal: The request was not started; the statement tells whether it
                ran before.
        """
        with self._lock:
            run = self._find(submit)
            is_new = run is None
            if run is None:
                run = self._make_run(submit)
        run.subscribe(link, submit)
        if is_new:
            run.start()

    def find(self, request_id: bytes) -> Run | None:
        """Return the run of a request, or None if it is unknown."""
        return self._runs.get(request_id)

    def drop_link(self, link: Link) -> None:
        """Unsubscribe a router whose link ended."""
        for run in self._list_runs():
            run.feed.unsubscribe(link)

    def cancel(self, cancel: Cancel) -> None:
        """Stop a run whose caller has disconnected for good.

        A keyed run continues, since its caller may retry, and so does a run
        that is not idempotent, since its effect may be partly applied.
        """
        run = self._runs.get(cancel.request_id)
        if run is not None and not run.submit.keyed and run.submit.idempotent:
            run.cancel(cancel.billed)

    def withdraw_session(self, session: str) -> None:
        """Withdraw the queued requests of a fenced session."""
        for run in self._list_runs():
            if run.submit.session == session and not run.ended_at:
                self._resources.queue.withdraw(run.submit.request_id)

    def count_open(self) -> int:
        """Return the number of runs that have not ended."""
        return sum(not run.ended_at for run in self._list_runs())

    def sweep(self, resume_within: float) -> None:
        """Cancel orphaned runs and drop expired answers.

        Args:
            resume_within: Seconds that a router has to resume an unkeyed request
                without subscribers before the request is cancelled.
        """
        now = time.time()
        ended = []
        for run in self._list_runs():
            if run.ended_at:
                ended.append(run)
            elif not run.submit.keyed and run.feed.is_orphaned(now - resume_within):
                run.cancel(billed=False)
        self._forget(self._select_expired(ended, now))

    def _find(self, submit: Submit) -> Run | None:
        run = self._runs.get(submit.request_id)
        if run is None:
            if submit.request_id in self._forgotten:
                raise AnswerGone(statement=Statement.ran)
            return None
        if self._bodies[submit.request_id] != _digest(submit):
            raise IdentityReused(statement=Statement.did_not_run)
        is_new_attempt = (submit.session, submit.attempt) != (
            run.submit.session,
            run.submit.attempt,
        )
        if is_new_attempt and run.restartable:
            self._discard_run(submit)
            return None
        return run

    def _discard_run(self, submit: Submit) -> None:
        """Drop a restartable run, unless the router only wants to join it."""
        if submit.join_only:
            self._restrict_to_session(submit)
            raise NotKnown()
        self._runs.pop(submit.request_id)

    def _make_run(self, submit: Submit) -> Run:
        if submit.join_only:
            self._restrict_to_session(submit)
            raise NotKnown()
        if (
            self._allowed_sessions.get(submit.request_id, submit.session)
            != submit.session
        ):
            raise NotKnown('another router has taken the claim over')
        if self.draining:
            raise TargetDraining()
        run = Run(submit, self._resources)
        if not self._resources.charges.open_charge(run.charge, submit.request_id):
            raise SessionRefused()
        self._runs[submit.request_id] = run
        self._bodies[submit.request_id] = _digest(submit)
        return run

    def _restrict_to_session(self, submit: Submit) -> None:
        """Accept the request only from the joining session from now on.

        The router that first claimed the request and hasn't sent it can no
        longer do so, so the claim can safely be taken over.
        """
        self._allowed_sessions[submit.request_id] = submit.session

    def _select_expired(self, ended: list[Run], now: float) -> list[Run]:
        ended.sort(key=_get_ended_at)
        kept_bytes = sum(run.feed.length for run in ended)
        expired = []
        for run in ended:
            if kept_bytes > self._answer_bytes or self._is_expired(run, now):
                expired.append(run)
                kept_bytes -= run.feed.length
        return expired

    def _is_expired(self, run: Run, now: float) -> bool:
        if run.submit.keyed or not run.submit.idempotent:
            return run.ended_at < now - self._keep_answers
        if run.released:
            return True
        return run.ended_at < now - _UNKEYED_RETENTION_SECONDS

    def _forget(self, expired: list[Run]) -> None:
        with self._lock:
            for run in expired:
                request_id = run.submit.request_id
                if self._runs.get(request_id) is not run:
                    continue
                self._runs.pop(request_id)
                self._bodies.pop(request_id, None)
                if run.submit.keyed and not run.restartable:
                    self._forgotten[request_id] = run.ended_at
            while len(self._forgotten) > _MAX_FORGOTTEN:
                self._forgotten.pop(next(iter(self._forgotten)))
            while len(self._allowed_sessions) > _MAX_FORGOTTEN:
                self._allowed_sessions.pop(next(iter(self._allowed_sessions)))

    def _list_runs(self) -> list[Run]:
        with self._lock:
            return list(self._runs.values())


def _digest(submit: Submit) -> bytes:
    identity = b'\n'.join((submit.method.encode(), submit.path.encode(), submit.body))
    return hashlib.blake2b(identity, digest_size=16).digest()


def _get_ended_at(run: Run) -> float:
    return run.ended_at
