"""Simulation of routers that spend one budget, in virtual time.

The ledger, the account and the decisions on grants are the shipped ones. The calls of
the shipped bank to the store are reimplemented here in memory, without threads and
without a network.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ibisport_core.internal.account import Account, Grant
from ibisport_router.internal.grants import (
    Draw,
    choose_draw,
    choose_refill,
    choose_return,
)
from ibisport_router.internal.ledger import Charge, Ledger

MAX_WAIT_SECONDS = 10.0
RETRY_BACKOFF_SECONDS = 0.5
SETTLE_INTERVAL_SECONDS = 2.0
IDLE_AFTER_SECONDS = 60.0
PROMPT_TOKENS = 60
MAX_ANSWER_TOKENS = 200
MIN_ANSWER_TOKENS = 20


class Clock:
    """Virtual clock that replaces the module ``time`` in the ledger."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now = 0.0

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and faults of one simulation.

    Attributes:
        name: Label in the printed table.
        routers: Number of routers.
        budget: Tokens paid in at the start.
        seconds: Duration of the arrivals.
        rate: Requests per second over all routers.
        skew: Share of the requests that goes to the first router; the rest is spread
            over the other routers.
        cut: Start and end of the partition from the store, in seconds.
        cut_off: Number of routers that the partition affects, from the first on.
        shift: Seconds after which the last router takes over the first one's share.
    """

    name: str
    routers: int
    budget: int
    seconds: float = 900
    rate: float = 4
    skew: float = 0.6
    cut: tuple[float, float] = (0, 0)
    cut_off: int = 0
    shift: float = 1e9


@dataclass(slots=True)
class Outcome:
    """Counts of one simulation.

    Attributes:
        asked: Requests.
        refused: Refused requests.
        falsely: Requests refused although the budget as a whole had enough tokens,
            neither spent nor reserved.
        writes: Writes to the store.
        spent: Tokens spent by all routers.
        overspent: Tokens spent beyond the tokens paid in.
        idle: Tokens at routers that are neither spent nor reserved, as a mean of one
            sample per settlement interval.
    """

    asked: int = 0
    refused: int = 0
    falsely: int = 0
    writes: int = 0
    spent: int = 0
    overspent: int = 0
    idle: float = 0


@dataclass(slots=True)
class Totals:
    """True state of the budget over all routers, and counts of the store.

    Attributes:
        paid: Tokens paid in.
        spent: Tokens spent by all routers.
        reserved: Tokens reserved for requests in flight.
        writes: Writes to the store.
        cut_off: Routers that can't reach the store now.
    """

    paid: int
    spent: int = 0
    reserved: int = 0
    writes: int = 0
    cut_off: set[int] = field(default_factory=set)


class Strategy(Protocol):
    """Strategy for spending one budget from several routers."""

    def admit(self, router: int, tokens: int) -> Charge | None:
        """Reserve tokens at a router, or return None."""

    def may_free(self, router: int, tokens: int) -> bool:
        """Return whether requests in flight may free enough tokens."""

    def end(self, router: int, charge: Charge, tokens: int) -> None:
        """End a reservation with the tokens actually spent."""

    def tick(self, router: int) -> None:
        """Do the periodic work of a settlement interval."""

    def count_idle(self) -> int:
        """Return the tokens at routers that are neither spent nor reserved."""


class FixedSplit:
    """Gives each router an equal part at the start and moves no tokens later."""

    def __init__(self, scenario: Scenario, totals: Totals) -> None:
        """Split the budget.

        Args:
            scenario: The simulated scenario.
            totals: Totals of the simulation.
        """
        part = scenario.budget // scenario.routers
        self._ledgers = [_make_ledger(part) for _ in range(scenario.routers)]
        self._totals = totals
        totals.writes += scenario.routers

    def admit(self, router: int, tokens: int) -> Charge | None:
        """Reserve tokens from the router's part."""
        return self._ledgers[router].reserve(tokens)

    def may_free(self, router: int, tokens: int) -> bool:
        """Whether the router's own requests in flight may free enough."""
        return self._ledgers[router].covers_soon(tokens)

    def end(self, router: int, charge: Charge, tokens: int) -> None:
        """End a reservation."""
        self._ledgers[router].end(charge, tokens)

    def tick(self, router: int) -> None:
        """Settle unsettled spending in the store, unless the router is cut off."""
        ledger = self._ledgers[router]
        if not ledger.is_settled and router not in self._totals.cut_off:
            self._totals.writes += 1
            granted = ledger.view().granted
            ledger.adopt(ledger.make_grant(Grant(), granted))

    def count_idle(self) -> int:
        """Return the available tokens of all parts."""
        return sum(ledger.view().available for ledger in self._ledgers)


class WriteEach:
    """Reserves and settles every request in the store."""

    def __init__(self, scenario: Scenario, totals: Totals) -> None:
        """Create the one ledger, which is in the store.

        Args:
            scenario: The simulated scenario.
            totals: Totals of the simulation.
        """
        self._ledger = _make_ledger(scenario.budget)
        self._totals = totals
        self._deferred: list[tuple[int, Charge, int]] = []

    def admit(self, router: int, tokens: int) -> Charge | None:
        """Reserve in the store, if the router can reach it."""
        if router in self._totals.cut_off:
            return None
        charge = self._ledger.reserve(tokens)
        self._totals.writes += charge is not None
        return charge

    def may_free(self, router: int, tokens: int) -> bool:
        """Return whether any request in flight may free enough tokens."""
        reachable = router not in self._totals.cut_off
        return reachable and self._ledger.covers_soon(tokens)

    def end(self, router: int, charge: Charge, tokens: int) -> None:
        """Settle in the store, or defer it until the store is reachable again."""
        if router in self._totals.cut_off:
            self._deferred.append((router, charge, tokens))
            return
        self._totals.writes += 1
        self._ledger.end(charge, tokens)

    def tick(self, router: int) -> None:
        """Retry the deferred settlements."""
        deferred, self._deferred = self._deferred, []
        for settlement in deferred:
            self.end(*settlement)

    def count_idle(self) -> int:
        """Return 0, as routers hold no tokens."""
        return 0


class Grants:
    """The shipped strategy: draws grants, spends them locally, settles and returns."""

    def __init__(
        self, scenario: Scenario, totals: Totals, horizon: float = 5.0
    ) -> None:
        """Create the account and ledgers without grants.

        Args:
            scenario: The simulated scenario.
            totals: Totals of the simulation.
            horizon: Seconds of demand that a grant covers.
        """
        self._account = Account(topped_up=scenario.budget)
        self._ledgers = [Ledger('w', 'b') for _ in range(scenario.routers)]
        self._totals = totals
        self._horizon = horizon

    def admit(self, router: int, tokens: int) -> Charge | None:
        """Reserve from the grant; if it is short, draw more or recall from peers."""
        ledger = self._ledgers[router]
        ledger.note_demand(tokens)
        charge = ledger.reserve(tokens)
        if charge is not None or router in self._totals.cut_off:
            return charge
        if not self._draw(router, tokens):
            for peer in range(len(self._ledgers)):
                self._recall(router, peer)
            self._draw(router, tokens)
        return ledger.reserve(tokens)

    def may_free(self, router: int, tokens: int) -> bool:
        """Whether the router's own requests in flight may free enough."""
        return self._ledgers[router].covers_soon(tokens)

    def end(self, router: int, charge: Charge, tokens: int) -> None:
        """End a reservation."""
        self._ledgers[router].end(charge, tokens)

    def tick(self, router: int) -> None:
        """Return surplus tokens, or else settle the spending."""
        if router in self._totals.cut_off:
            return
        ledger = self._ledgers[router]
        now = ledger_clock().now
        idle = ledger.idle_since < now - IDLE_AFTER_SECONDS
        surplus = choose_return(ledger.view(), self._horizon, idle, False)
        if surplus > 0:
            self._return_tokens(router, surplus)
        elif not ledger.is_settled:
            session = f'session-{router}'
            view = ledger.view()
            self._write(
                router, choose_refill(self._account, session, view, self._horizon)
            )

    def count_idle(self) -> int:
        """Return the tokens of the grants that are neither spent nor reserved."""
        return sum(ledger.view().available for ledger in self._ledgers)

    def _draw(self, router: int, tokens: int) -> bool:
        view = self._ledgers[router].view()
        session = f'session-{router}'
        chosen = choose_draw(self._account, session, view, tokens, self._horizon)
        if isinstance(chosen, Draw):
            self._write(router, chosen.granted)
        return isinstance(chosen, Draw)

    def _recall(self, router: int, peer: int) -> None:
        if peer == router or peer in self._totals.cut_off:
            return
        view = self._ledgers[peer].view()
        spare = choose_return(view, self._horizon, False, True)
        if spare:
            self._return_tokens(peer, spare)

    def _return_tokens(self, router: int, tokens: int) -> None:
        ledger = self._ledgers[router]
        kept = ledger.view().granted - tokens
        if ledger.withhold(kept):
            self._write(router, kept)

    def _write(self, router: int, granted: int) -> None:
        session = f'session-{router}'
        grant = self._ledgers[router].make_grant(self._find_grant(router), granted)
        self._account = self._account.with_grant(session, grant)
        self._ledgers[router].adopt(grant)
        self._totals.writes += 1

    def _find_grant(self, router: int) -> Grant:
        return self._account.grants.get(f'session-{router}', Grant())


StrategyFactory = Callable[[Scenario, Totals], Strategy]
_CLOCK = Clock()


def ledger_clock() -> Clock:
    """Return the virtual clock shared by the simulation and the ledgers."""
    return _CLOCK


class Simulation:
    """Discrete-event simulation of a scenario with one strategy."""

    def __init__(
        self, scenario: Scenario, make_strategy: StrategyFactory, seed: int
    ) -> None:
        """Reset the clock and create the strategy.

        Args:
            scenario: Load and faults.
            make_strategy: Creates the strategy to measure.
            seed: Seed of arrivals, durations and answer lengths; with the same seed,
                every strategy gets the same requests.
        """
        _CLOCK.now = 0
        self._scenario = scenario
        self._totals = Totals(scenario.budget)
        self._strategy = make_strategy(scenario, self._totals)
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._outcome = Outcome()
        self._idle_samples: list[int] = []

    def run(self) -> Outcome:
        """Run until all requests have ended and return the counts."""
        self._schedule_all()
        while self._events:
            at, _, action = heapq.heappop(self._events)
            _CLOCK.now = at
            action()
        outcome = self._outcome
        outcome.writes = self._totals.writes
        outcome.spent = self._totals.spent
        outcome.overspent = max(0, self._totals.spent - self._totals.paid)
        outcome.idle = sum(self._idle_samples) / len(self._idle_samples)
        return outcome

    def _schedule_all(self) -> None:
        scenario = self._scenario
        at = 0.0
        while at < scenario.seconds:
            at += self._random.expovariate(scenario.rate)
            self._schedule(at, self._make_request(at))
        for number in range(int(scenario.seconds / SETTLE_INTERVAL_SECONDS)):
            self._schedule(number * SETTLE_INTERVAL_SECONDS, self._tick)
        start, end = scenario.cut
        cut = set(range(scenario.cut_off))
        self._schedule(start, lambda: self._totals.cut_off.update(cut))
        self._schedule(end, self._totals.cut_off.clear)

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _make_request(self, at: float) -> Callable[[], None]:
        router = self._choose_router(at)
        answer_tokens = self._random.randint(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS)
        seconds = self._random.uniform(0.5, 4)
        spent = PROMPT_TOKENS + answer_tokens

        def send() -> None:
            self._outcome.asked += 1
            self._admit(router, spent, seconds, at + MAX_WAIT_SECONDS)

        return send

    def _choose_router(self, at: float) -> int:
        scenario = self._scenario
        first = self._random.random() < scenario.skew
        other = self._random.randrange(1, scenario.routers)
        if not first:
            return other
        return 0 if at < scenario.shift else scenario.routers - 1

    def _admit(self, router: int, spent: int, seconds: float, deadline: float) -> None:
        wanted = PROMPT_TOKENS + MAX_ANSWER_TOKENS
        charge = self._strategy.admit(router, wanted)
        if charge is not None:
            self._totals.reserved += wanted
            self._schedule(
                _CLOCK.now + seconds, lambda: self._end(router, charge, spent)
            )
        elif _CLOCK.now + RETRY_BACKOFF_SECONDS < deadline and self._strategy.may_free(
            router, wanted
        ):
            self._schedule(
                _CLOCK.now + RETRY_BACKOFF_SECONDS,
                lambda: self._admit(router, spent, seconds, deadline),
            )
        else:
            totals = self._totals
            unspent = totals.paid - totals.spent - totals.reserved
            self._outcome.refused += 1
            self._outcome.falsely += unspent >= wanted

    def _end(self, router: int, charge: Charge, spent: int) -> None:
        self._totals.reserved -= PROMPT_TOKENS + MAX_ANSWER_TOKENS
        self._totals.spent += spent
        self._strategy.end(router, charge, spent)

    def _tick(self) -> None:
        for router in range(self._scenario.routers):
            self._strategy.tick(router)
        self._idle_samples.append(self._strategy.count_idle())


def _make_ledger(granted: int) -> Ledger:
    ledger = Ledger('w', 'b')
    ledger.adopt(Grant(granted=granted))
    return ledger
