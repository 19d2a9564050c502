"""The waiting and running requests of one workspace at one target."""

import bisect
from dataclasses import dataclass, field

from ibisport_agent.internal.fairness_rates import DecayedSum, MovingMean
from ibisport_agent.internal.fairness_ticket import Ticket

RATE_TIME_CONSTANT_SECONDS = 30
MIN_SAMPLE_WEIGHT = 0.05
# A request passes one of the next better priority after this wait.
PRIORITY_STEP_SECONDS = 10


@dataclass(frozen=True, slots=True, order=True)
class Entry:
    """A waiting ticket, ordered by arrival with a head start by priority."""

    order: float
    number: int
    ticket: Ticket = field(compare=False)
    expected_tokens: float = field(compare=False)


class Flow:
    """One workspace: its queue, its virtual time and its measured rates.

    Attributes:
        weight: Weight of the workspace.
        virtual_start: Virtual start time of the next request, tokens over weight.
        running: Requests that hold a slot.
        queued: Waiting entries, the next first.
        queued_tokens: Expected tokens of the waiting entries.
        active_at: Unix time of the last arrival or departure.
        arrivals: Requests that came, also refused ones.
        served_tokens: Tokens that were used.
        demand: Slots that the arrivals would hold, as last measured.
        heavy: Whether the demand was above the workspace's level then.
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
        """Return the tokens the ticket will use, by what earlier ones used."""
        return max(ticket.cost * self._usage_ratio.mean, 1)

    def make_entry(self, ticket: Ticket, number: int, now: float) -> Entry:
        """Return the entry that the ticket would wait as."""
        order = now + ticket.priority * PRIORITY_STEP_SECONDS
        return Entry(order, number, ticket, self.estimate_tokens(ticket))

    def push(self, entry: Entry) -> None:
        """Queue an entry at its place."""
        bisect.insort(self.queued, entry)
        self.queued_tokens += entry.expected_tokens

    def remove(self, entry: Entry) -> None:
        """Take a queued entry out."""
        self.queued.pop(bisect.bisect_left(self.queued, entry))
        self.queued_tokens -= entry.expected_tokens

    def sum_tokens_ahead(self, entry: Entry) -> float:
        """Return the expected tokens of what goes before the entry."""
        place = bisect.bisect_left(self.queued, entry)
        if place == len(self.queued):
            return self.queued_tokens
        return sum(ahead.expected_tokens for ahead in self.queued[:place])

    def start(self, entry: Entry) -> None:
        """Charge the head of the queue and let it run."""
        self.remove(entry)
        self.running += 1
        self.virtual_start += entry.expected_tokens / self.weight

    def finish(
        self, entry: Entry, used_tokens: int, seconds: float, now: float
    ) -> None:
        """Free the slot, put the charge right and learn from it."""
        self.running -= 1
        self.active_at = now
        self.virtual_start += (used_tokens - entry.expected_tokens) / self.weight
        if used_tokens > 0:
            self.served_tokens.add(used_tokens, now)
            self._usage_ratio.add(used_tokens / max(entry.ticket.cost, 1))
            self._hold_seconds.add(seconds)

    def measure_demand(self, usual_hold: float, now: float) -> None:
        """Work out how many slots the arrivals of late would hold.

        Args:
            usual_hold: Seconds a request holds a slot, where this workspace has
                none measured yet.
            now: Unix time in seconds.
        """
        hold = self._hold_seconds.mean if self._hold_seconds.samples else usual_hold
        self.demand = self.arrivals.rate(now) * hold

    @property
    def idle(self) -> bool:
        """Whether nothing of the workspace waits or runs."""
        return not self.queued and not self.running
