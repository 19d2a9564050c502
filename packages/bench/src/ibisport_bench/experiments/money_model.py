"""Routers that spend one budget, in virtual time, over a store in memory.

The ledger, the account and the decisions are the shipped ones; the bank's calls
to the store are written down here without threads and without a network.
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
    """Virtual time; stands for the module ``time`` in the ledger."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now = 0.0

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens to the routers of one run.

    Attributes:
        name: What it shows.
        routers: Count of routers.
        budget: Tokens paid in at the start.
        seconds: Length of the run.
        rate: Requests a second at all routers together.
        skew: Share of the requests that comes to the first router; the rest is
            spread over the others.
        cut: Start and end of the partition from the store, in seconds.
        cut_off: Count of routers that are cut off, the first ones.
        shift: Time from which the last router has the first one's share.
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
    """Counts of one run.

    Attributes:
        asked: Requests.
        refused: Requests that were refused.
        falsely: Those refused while the budget as a whole had enough unspent.
        writes: Writes to the store.
        spent: Tokens spent by all routers.
        overspent: Tokens spent beyond what was paid in.
        idle: Tokens unspent and unreserved at routers, mean over the run's end
            of each settlement period.
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
    """The one budget as an onlooker sees it, and the store's counts."""

    paid: int
    spent: int = 0
    reserved: int = 0
    writes: int = 0
    cut_off: set[int] = field(default_factory=set)


class Strategy(Protocol):
    """A way to spend one budget from several routers."""

    def admit(self, router: int, tokens: int) -> Charge | None:
        """Reserve tokens at a router, or return None."""

    def may_free(self, router: int, tokens: int) -> bool:
        """Whether requests in flight may free enough."""

    def end(self, router: int, charge: Charge, tokens: int) -> None:
        """End a reservation at what it came to."""

    def tick(self, router: int) -> None:
        """Do what is done at each settlement period."""

    def count_idle(self) -> int:
        """Return the tokens held at routers, neither spent nor reserved."""


class FixedSplit:
    """Each router gets an equal part at the start; nothing is moved."""

    def __init__(self, scene: Scenario, book: Totals) -> None:
        """Split the budget."""
        part = scene.budget // scene.routers
        self._ledgers = [_make_ledger(part) for _ in range(scene.routers)]
        self._totals = book
        book.writes += scene.routers

    def admit(self, router: int, tokens: int) -> Charge | None:
        """Reserve tokens of the router's part."""
        return self._ledgers[router].reserve(tokens)

    def may_free(self, router: int, tokens: int) -> bool:
        """Whether the router's own requests in flight may free enough."""
        return self._ledgers[router].covers_soon(tokens)

    def end(self, router: int, charge: Charge, tokens: int) -> None:
        """End a reservation."""
        self._ledgers[router].end(charge, tokens)

    def tick(self, router: int) -> None:
        """Settle what changed."""
        ledger = self._ledgers[router]
        if not ledger.is_settled and router not in self._totals.cut_off:
            self._totals.writes += 1
            granted = ledger.view().granted
            ledger.adopt(ledger.make_grant(Grant(), granted))

    def count_idle(self) -> int:
        """Return the unspent rest of all parts."""
        return sum(ledger.view().available for ledger in self._ledgers)


class WriteEach:
    """Every request reserves and settles in the store."""

    def __init__(self, scene: Scenario, book: Totals) -> None:
        """Keep one ledger, in the store."""
        self._ledger = _make_ledger(scene.budget)
        self._totals = book
        self._deferred: list[tuple[int, Charge, int]] = []

    def admit(self, router: int, tokens: int) -> Charge | None:
        """Reserve in the store, if it is in reach."""
        if router in self._totals.cut_off:
            return None
        charge = self._ledger.reserve(tokens)
        self._totals.writes += charge is not None
        return charge

    def may_free(self, router: int, tokens: int) -> bool:
        """Whether any request in flight may free enough."""
        reachable = router not in self._totals.cut_off
        return reachable and self._ledger.covers_soon(tokens)

    def end(self, router: int, charge: Charge, tokens: int) -> None:
        """Settle in the store, at once or when it is in reach again."""
        if router in self._totals.cut_off:
            self._deferred.append((router, charge, tokens))
            return
        self._totals.writes += 1
        self._ledger.end(charge, tokens)

    def tick(self, router: int) -> None:
        """Settle what waited for the store."""
        late, self._deferred = self._deferred, []
        for one in late:
            self.end(*one)

    def count_idle(self) -> int:
        """Return nothing: routers hold no tokens."""
        return 0


class Grants:
    """The shipped way: grants drawn, spent locally, settled and returned."""

    def __init__(self, scene: Scenario, book: Totals, horizon: float = 5.0) -> None:
        """Start without grants.

        Args:
            scene: The run.
            book: Its counts.
            horizon: Seconds of demand that a grant should cover.
        """
        self._account = Account(topped_up=scene.budget)
        self._ledgers = [Ledger('w', 'b') for _ in range(scene.routers)]
        self._totals = book
        self._horizon = horizon

    def admit(self, router: int, tokens: int) -> Charge | None:
        """Reserve of the grant; draw, and recall from peers, when it is short."""
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
        """Settle, and give back what lies idle."""
        if router in self._totals.cut_off:
            return
        ledger = self._ledgers[router]
        now = ledger_clock().now
        idle = ledger.idle_since < now - IDLE_AFTER_SECONDS
        surplus = choose_return(ledger.view(), self._horizon, idle, False)
        if surplus > 0:
            self._return_tokens(router, surplus)
        elif not ledger.is_settled:
            name = f'session-{router}'
            view = ledger.view()
            self._write(router, choose_refill(self._account, name, view, self._horizon))

    def count_idle(self) -> int:
        """Return what routers hold, neither spent nor reserved."""
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
        name = f'session-{router}'
        grant = self._ledgers[router].make_grant(self._find_grant(router), granted)
        self._account = self._account.with_grant(name, grant)
        self._ledgers[router].adopt(grant)
        self._totals.writes += 1

    def _find_grant(self, router: int) -> Grant:
        return self._account.grants.get(f'session-{router}', Grant())


StrategyFactory = Callable[[Scenario, Totals], Strategy]
_CLOCK = Clock()


def ledger_clock() -> Clock:
    """Return the one virtual clock, which the ledgers read too."""
    return _CLOCK


class Simulation:
    """One run of a scene."""

    def __init__(self, scene: Scenario, make_way: StrategyFactory, seed: int) -> None:
        """Prepare a run.

        Args:
            scene: What happens.
            make_way: Makes the way that is measured.
            seed: Seed of arrivals and lengths; equal for all ways.
        """
        _CLOCK.now = 0
        self._scene = scene
        self._totals = Totals(scene.budget)
        self._strategy = make_way(scene, self._totals)
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._outcome = Outcome()
        self._idle_samples: list[int] = []

    def run(self) -> Outcome:
        """Run to the end of all requests and return the counts."""
        self._schedule_all()
        while self._events:
            at, _, act = heapq.heappop(self._events)
            _CLOCK.now = at
            act()
        outcome = self._outcome
        outcome.writes = self._totals.writes
        outcome.spent = self._totals.spent
        outcome.overspent = max(0, self._totals.spent - self._totals.paid)
        outcome.idle = sum(self._idle_samples) / len(self._idle_samples)
        return outcome

    def _schedule_all(self) -> None:
        scene = self._scene
        at = 0.0
        while at < scene.seconds:
            at += self._random.expovariate(scene.rate)
            self._schedule(at, self._make_request(at))
        for number in range(int(scene.seconds / SETTLE_INTERVAL_SECONDS)):
            self._schedule(number * SETTLE_INTERVAL_SECONDS, self._tick)
        start, end = scene.cut
        cut = set(range(scene.cut_off))
        self._schedule(start, lambda: self._totals.cut_off.update(cut))
        self._schedule(end, self._totals.cut_off.clear)

    def _schedule(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act))

    def _make_request(self, at: float) -> Callable[[], None]:
        router = self._choose_router(at)
        answer = self._random.randint(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS)
        seconds = self._random.uniform(0.5, 4)
        spent = PROMPT_TOKENS + answer

        def ask() -> None:
            self._outcome.asked += 1
            self._admit(router, spent, seconds, at + MAX_WAIT_SECONDS)

        return ask

    def _choose_router(self, at: float) -> int:
        scene = self._scene
        first = self._random.random() < scene.skew
        other = self._random.randrange(1, scene.routers)
        if not first:
            return other
        return 0 if at < scene.shift else scene.routers - 1

    def _admit(self, router: int, spent: int, seconds: float, until: float) -> None:
        wanted = PROMPT_TOKENS + MAX_ANSWER_TOKENS
        charge = self._strategy.admit(router, wanted)
        if charge is not None:
            self._totals.reserved += wanted
            self._schedule(
                _CLOCK.now + seconds, lambda: self._end(router, charge, spent)
            )
        elif _CLOCK.now + RETRY_BACKOFF_SECONDS < until and self._strategy.may_free(
            router, wanted
        ):
            self._schedule(
                _CLOCK.now + RETRY_BACKOFF_SECONDS,
                lambda: self._admit(router, spent, seconds, until),
            )
        else:
            book = self._totals
            unspent = book.paid - book.spent - book.reserved
            self._outcome.refused += 1
            self._outcome.falsely += unspent >= wanted

    def _end(self, router: int, charge: Charge, spent: int) -> None:
        self._totals.reserved -= PROMPT_TOKENS + MAX_ANSWER_TOKENS
        self._totals.spent += spent
        self._strategy.end(router, charge, spent)

    def _tick(self) -> None:
        for router in range(self._scene.routers):
            self._strategy.tick(router)
        self._idle_samples.append(self._strategy.count_idle())


def _make_ledger(granted: int) -> Ledger:
    ledger = Ledger('w', 'b')
    ledger.adopt(Grant(granted=granted))
    return ledger
