"""When a router that was told to stop takes its last request and ends.

What is taken must be answered before the platform kills the process. Callers whose
request can't be answered in time are told so at once, while they can still be served
by another router.
"""

from dataclasses import dataclass

# The balancer asks once a second and takes a host out after two misses; the
# listener stays open that long and a bit more.
LISTENING_SECONDS = 3.2
# The balancer has had its two misses by then. Who comes later, on an open connection or
# since too many routers leave at once, is taken only if the answer is due before the
# end.
ACCEPTING_SECONDS = 2.8
# The others' lists are up to 1.5 s old. A lender that leaves stays on them at first, so
# that of many routers that stop one after another few are missing, and lends as long as
# it may still be asked.
LISTED_SECONDS = 1.3
LENDING_SECONDS = 3.0
# The first of many routers that stopped together have ended by then, with what they had
# taken last, and started again.
RESTART_SECONDS = 5.0
# Before the kill: the first account of what was spent, which may meet a slow store.
SETTLEMENT_MARGIN_SECONDS = 1.0
# Before the kill: final answers, the last account and what slow links still carry.
ANSWER_MARGIN_SECONDS = 0.6
# Before the kill: the end of the process itself.
EXIT_MARGIN_SECONDS = 0.25
# The grace that these figures are made for; with a shorter one all of them shrink, so
# that answers still run until its last sixth.
REFERENCE_GRACE_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The moments of a planned stop, all of them loop times.

    Attributes:
        begun_at: The process was told to stop.
        listed_until: It is on the list of lenders.
        lends_until: It lends to other routers.
        accepts_until: Requests are taken however long they may last.
        listening_until: New connections are accepted.
        restarts_at: The first routers that were told to stop together start again.
        accounts_at: What was spent is written for the first time.
        answers_until: What still runs gets its final answer.
        ends_at: The process ends.
    """

    begun_at: float
    listed_until: float
    lends_until: float
    accepts_until: float
    listening_until: float
    restarts_at: float
    settlement_at: float
    answers_until: float
    ends_at: float

    def admits(self, received: float, until: float) -> bool:
        """Whether a request can be taken that has its answer by a given time.

        Args:
            received: When the request came.
            until: When it has its final answer at the latest.
        """
        return received <= self.accepts_until or until <= self.answers_until


def plan_shutdown(begun_at: float, grace: float) -> Shutdown:
    """Return the moments of a stop.

    Args:
        begun_at: Loop time of the signal.
        grace: Seconds from the signal to the kill.
    """
    killed_at = begun_at + grace
    scale = min(1.0, grace / REFERENCE_GRACE_SECONDS)
    return Shutdown(
        begun_at=begun_at,
        listed_until=begun_at + LISTED_SECONDS * scale,
        lends_until=begun_at + LENDING_SECONDS * scale,
        accepts_until=begun_at + ACCEPTING_SECONDS * scale,
        listening_until=begun_at + LISTENING_SECONDS * scale,
        restarts_at=begun_at + RESTART_SECONDS * scale,
        settlement_at=killed_at - SETTLEMENT_MARGIN_SECONDS * scale,
        answers_until=killed_at - ANSWER_MARGIN_SECONDS * scale,
        ends_at=killed_at - EXIT_MARGIN_SECONDS * scale,
    )
