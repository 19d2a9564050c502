"""Times at which a stopping router accepts its last requests and exits.

Accepted requests must be answered before the platform kills the process. Requests
that can't be answered in time are refused immediately, while another router can still
serve them.
"""

from dataclasses import dataclass

# The load balancer checks once per second and removes a host after two failures. The
# listener stays open slightly longer than that.
LISTENING_SECONDS = 3.2
# The load balancer has seen two failed checks by then. Requests that arrive later, on
# an open connection or because too many routers stop at once, are accepted only if
# their answer is due before the end.
ACCEPTING_SECONDS = 2.8
# Member lists of other routers are up to 1.5 s old. A leaving lender stays listed at
# first, so that few lenders are missing while many routers stop one after another, and
# lends for as long as it may still receive loan requests.
LISTED_SECONDS = 1.3
LENDING_SECONDS = 3.0
# By then, the first of many routers that stopped together have answered their last
# requests, exited and started again.
RESTART_SECONDS = 5.0
# Before the kill: the first write of the final spending, which a slow store may delay.
SETTLEMENT_MARGIN_SECONDS = 1.0
# Before the kill: final answers, the last write of the spending and data in flight on
# slow links.
ANSWER_MARGIN_SECONDS = 0.6
# Before the kill: the exit of the process.
EXIT_MARGIN_SECONDS = 0.25
# Grace period that the durations above assume. A shorter grace period scales all of
# them down, so that answers still run until its last sixth.
REFERENCE_GRACE_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The schedule of a shutdown; all times are loop times.

    Attributes:
        begun_at: The process received the signal to stop.
        listed_until: End of the router's listing as a lender.
        lends_until: End of lending to other routers.
        accepts_until: End of accepting requests regardless of their duration.
        listening_until: End of accepting connections.
        restarts_at: Earliest time at which routers that stopped together run again.
        settlement_at: First write of the final spending.
        answers_until: Running requests get their final answer.
        ends_at: The process exits.
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

    def admits(self, received_at: float, deadline: float) -> bool:
        """Return whether a request can be accepted.

        Args:
            received_at: Loop time at which the request was received.
            deadline: Loop time by which it has its final answer.
        """
        return received_at <= self.accepts_until or deadline <= self.answers_until


def plan_shutdown(begun_at: float, grace: float) -> Shutdown:
    """Return the schedule of a shutdown.

    Args:
        begun_at: Loop time of the signal to stop.
        grace: Seconds between the signal and the kill.
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
