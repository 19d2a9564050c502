"""Applies the standby policy to a running router."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ibisport_fleet.calls import Call
from ibisport_fleet.standby.policy import (
    ATTEMPT_INTERVAL_SECONDS,
    Begun,
    Cause,
    StandbyPolicy,
    Transition,
    find_local_cause,
)


@dataclass(frozen=True, slots=True)
class Surroundings:
    """The parts of a router that its standby uses.

    Attributes:
        knows_catalogue: Returns whether the router has a catalogue.
        try_contact: Asks lenders and the store for tokens of a workspace until a
            deadline in loop time. Answers are reported to ``Standby.record_contact``.
        record: Records that a standby begins or ends.
    """

    knows_catalogue: Callable[[], bool]
    try_contact: Callable[[str, float], Awaitable[None]]
    record: Callable[[Transition], None]


class Standby:
    """Whether this router is on standby: out of the balancer's rotation.

    Without the feature, nothing is counted and the router is never on standby.
    """

    def __init__(self, surroundings: Surroundings, *, enabled: bool) -> None:
        self._surroundings = surroundings
        self._enabled = enabled
        self._policy = StandbyPolicy()
        self._workspace: str | None = None
        self._begun = asyncio.Event()

    @property
    def is_active(self) -> bool:
        """Whether the router is on standby."""
        return self._policy.cause is not None

    def record_request(self) -> None:
        """Count a request that arrived."""
        if self._enabled:
            self._policy.record_request(_now())

    def record_refusal(self, error: Exception, call: Call | None = None) -> None:
        """Count a refused request.

        Args:
            error: Why it was refused.
            call: The request, or None if it was refused before it had a route.
        """
        cause = find_local_cause(error)
        if cause is None or not self._enabled:
            return
        if call is not None and call.workspace is not None:
            self._workspace = call.workspace.name
        self._apply(self._policy.record_refusal(cause, _now()))

    def record_contact(self) -> None:
        """Record an answer of a lender, or of the store to a write."""
        if self._enabled:
            self._apply(self._policy.record_contact(Cause.no_contact, _now()))

    async def run(self) -> None:
        """Try to regain contact while on standby; never returns."""
        while True:
            await self._begun.wait()
            self._begun.clear()
            while (until := self._policy.until) is not None:
                deadline = min(until, _now() + ATTEMPT_INTERVAL_SECONDS)
                await self._look_for_cause(deadline)
                await asyncio.sleep(deadline - _now())
                self._apply(self._policy.end_if_due(_now()))

    async def _look_for_cause(self, deadline: float) -> None:
        if self._surroundings.knows_catalogue():
            self._apply(self._policy.record_contact(Cause.no_catalogue, _now()))
        if self._policy.cause is Cause.no_contact and self._workspace is not None:
            await self._surroundings.try_contact(self._workspace, deadline)

    def _apply(self, transition: Transition | None) -> None:
        if transition is None:
            return
        if isinstance(transition, Begun):
            self._begun.set()
        self._surroundings.record(transition)


def _now() -> float:
    return asyncio.get_running_loop().time()
