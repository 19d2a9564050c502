"""The waiting and running requests of one workspace at one target."""

import bisect
from dataclasses import dataclass, field

from ibisport_agent.internal.fairness_rates import DecayedSum, MovingMean
from ibisport_agent.internal.fairness_ticket import Ticket

RATE_TIME_CONSTANT_SECONDS = 30
MIN_SAMPLE_WEIGHT = 0.05
# A request goes ahead of one that is one priority step better and arrives later by
# more than this.
PRIORITY_STEP_SECONDS = 10


@dataclass(frozen=True, slots=True, order=True)
class Entry:
    """A waiting ticket, ordered by its arrival time plus a delay for its priority."""

    order: float
    number: int
    ticket: Ticket = field(compare=False)
    expected_tokens: float = field(compare=False)


class Flow:
    """Queue, virtual time and measured rates of one workspace.

    Attributes:
        weight: Weight of the workspace.
        virtual_start: Virtual start time of the next request, in tokens divided by
            the weight.
        running: Requests that hold a slot.
        queued: Waiting entries in the order of service.
        queued_tokens: Expected tokens of the waiting entries.
        active_at: Unix time of the last arrival or departure.
        arrivals: Decayed count of arrivals, including refused requests.
        served_tokens: Decayed sum of the tokens used.
        demand: Slots that the arrivals would hold, as last measured.
        heavy: Whether that demand exceeded the fair level of the workspace.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual_start = 0.0
        self.running = 0
        self.queued: list[Entry] = []
        self.queued_tokens = 0.0
        self.active_at = 0.0
        self.arrivals = DecayedSum(RATE_TIME_CONSTANT_SECONDS)
        self.served_tokens = DecayedSum(RATE_TIME_CONSTANT_SECONDS)
        self.demand = 0.0
        self.heavy = False
        self._hold_seconds = MovingMean(MIN_SAMPLE_WEIGHT)
        self._usage_ratio = MovingMean(MIN_SAMPLE_WEIGHT, initial=1)

    def estimate_tokens(self, ticket: Ticket) -> float:
        """Return the tokens that the ticket is expected to use.

        The estimate scales the cost by the mean of used tokens to cost.
        """
        return max(ticket.cost * self._usage_ratio.mean, 1)

    def make_entry(self, ticket: Ticket, number: int, now: float) -> Entry:
        """Return a queue entry for the ticket."""
        order = now + ticket.priority * PRIORITY_STEP_SECONDS
        return Entry(order, number, ticket, self.estimate_tokens(ticket))

    def push(self, entry: Entry) -> None:
        """Insert an entry in order."""
        bisect.insort(self.queued, entry)
        self.queued_tokens += entry.expected_tokens

    def remove(self, entry: Entry) -> None:
        """Remove a queued entry."""
        self.queued.pop(bisect.bisect_left(self.queued, entry))
        self.queued_tokens -= entry.expected_tokens

    def sum_tokens_ahead(self, entry: Entry) -> float:
        """Return the expected tokens of the entries ahead of this one."""
        index = bisect.bisect_left(self.queued, entry)
        if index == len(self.queued):
            return self.queued_tokens
        return sum(ahead.expected_tokens for ahead in self.queued[:index])

    def start(self, entry: Entry) -> None:
        """Move the head of the queue to running and charge its expected tokens."""
        self.remove(entry)
        self.running += 1
        self.virtual_start += entry.expected_tokens / self.weight

    def finish(
        self, entry: Entry, used_tokens: int, seconds: float, now: float
    ) -> None:
        """Free the slot, correct the charge and update the measured means."""
        self.running -= 1
        self.active_at = now
        self.virtual_start += (used_tokens - entry.expected_tokens) / self.weight
        if used_tokens > 0:
            self.served_tokens.add(used_tokens, now)
            self._usage_ratio.add(used_tokens / max(entry.ticket.cost, 1))
            self._hold_seconds.add(seconds)

    def measure_demand(self, default_hold_seconds: float, now: float) -> None:
        """Measure how many slots the recent arrivals would hold.

        Args:
            default_hold_seconds: Time that a request holds a slot, used until this
                workspace has a measurement.
            now: Unix time in seconds.
        """
        hold_seconds = (
            self._hold_seconds.mean
            if self._hold_seconds.samples
            else default_hold_seconds
        )
        self.demand = self.arrivals.rate(now) * hold_seconds

    @property
    def idle(self) -> bool:
        """Whether the workspace has no waiting or running request."""
        return not self.queued and not self.running
