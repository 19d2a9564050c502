"""Steps on routers that leave the balancer's rotation: the policy and whole fleets."""

import asyncio
import random
from dataclasses import dataclass, replace
from itertools import pairwise

from behave import given, then, when
from fleet_targets import REJECTED
from running_fleet import CATALOGUE, run_fleet
from running_router import KEY, Caller

from ibisport_bench.memory_transport import Link
from ibisport_bench.virtual_network import run_on_net
from ibisport_fleet.catalogue import Workspace
from ibisport_fleet.lenders import rank_lenders
from ibisport_fleet.settings import Feature
from ibisport_fleet.standby.contact import TokenContact

SILENT = Link(delay=1_000_000.0)
CHECK_SECONDS = 1.0
CALLERS = 40
CALLER_PAUSE_SECONDS = 0.1
CUT_AFTER_SECONDS = 3.0
AFTERWARDS_SECONDS = 2.0
SAMPLE_SECONDS = 0.01
TOKENS = 500
BUDGET = 10_000_000
FAILED = b'HTTP/1.1 500 Failed\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\n'


class _Balancer:
    """Checks routers once a second, as the platform's balancer does."""

    def __init__(self, fleet):
        self._routers = fleet.routers
        self._missed = dict.fromkeys(fleet.routers, 0)

    async def run(self):
        """Check all routers; never returns."""
        while True:
            for router in self._routers:
                self._missed[router] = 0 if router.ready else self._missed[router] + 1
            await asyncio.sleep(CHECK_SECONDS)

    def choose(self, domain):
        """Return the router of a domain that gets a new connection."""
        routers = self._routers[domain::2]
        used = [router for router in routers if self._missed[router] < 2]
        if len(used) < len(routers) / 2:
            used = routers
        return random.choice(used)


@dataclass(frozen=True, slots=True)
class _Answer:
    """What a caller got.

    Attributes:
        at: Loop time of the answer.
        router: The router that answered.
        status: The status, or None without an answer.
        closes: Whether the answer closes the connection.
        was_ready: Whether the router was ready just before.
    """

    at: float
    router: object
    status: int | None
    closes: bool
    was_ready: bool


class _Run:
    """A fleet with callers, and what was seen of it.

    Attributes:
        answers: What callers got.
        readiness: Loop time and the hosts that were ready, every 10 ms.
        cut: The routers that are cut off.
        cut_at: Loop time of the cut.
        healed_at: Loop time at which it ends.
    """

    def __init__(self):
        self.answers = []
        self.readiness = []
        self.cut = []
        self.cut_at = self.healed_at = 0.0

    async def act(self, fleet, seconds, apply, heal):
        """Send requests; apply a fault for some seconds."""
        balancer = _Balancer(fleet)
        tasks = [asyncio.create_task(balancer.run())]
        tasks.append(asyncio.create_task(self._sample(fleet)))
        for number in range(CALLERS):
            tasks.append(fleet.call(self._call(fleet, balancer, number)))
        await asyncio.sleep(CUT_AFTER_SECONDS)
        self.cut_at = fleet.now
        apply(fleet, self)
        await asyncio.sleep(seconds)
        heal(fleet)
        self.healed_at = fleet.now
        await asyncio.sleep(AFTERWARDS_SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _sample(self, fleet):
        while True:
            ready = {router for router in fleet.routers if router.ready}
            self.readiness.append((fleet.now, ready))
            await asyncio.sleep(SAMPLE_SECONDS)

    async def _call(self, fleet, balancer, number):
        router = None
        sent = 0
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) * CALLER_PAUSE_SECONDS)
            if router is None:
                router = balancer.choose(number % 2)
                caller = Caller(fleet, router.address)
            sent += 1
            answer = await caller.ask(_encode_request(f'{number}-{sent}'))
            closes = answer.headers.get(b'connection') == b'close'
            self.answers.append(
                _Answer(fleet.now, router, answer.status, closes, router.ready)
            )
            if closes or answer.status is None:
                router = None

    def list_refused(self, since=0.0):
        """Return the refusals after a loop time."""
        return [
            answer
            for answer in self.answers
            if answer.at >= since and answer.status in {402, 503, None}
        ]

    def find_first(self, since, is_ready):
        """Return when the routers that were cut off first were ready, or weren't."""
        cut = set(self.cut)
        for at, ready in self.readiness:
            found = cut <= ready if is_ready else not cut & ready
            if at >= since and found:
                return at
        raise AssertionError(f'never ready={is_ready} after {since}')


def _encode_request(name):
    return (
        f'POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {name}\r\n'
        f'Authorization: Bearer {KEY}\r\nToken-Usage: {TOKENS},0\r\n'
        f'Content-Length: 2\r\n\r\nab'
    ).encode()


def _cut_links(fleet, router, *, one_way=False):
    for other in fleet.routers:
        if other is not router:
            fleet.net.links[router.host, other.host] = SILENT
            if not one_way:
                fleet.net.links[other.host, router.host] = SILENT


def _cut_store(fleet, router):
    fleet.service.faults.cut.add(router.host)


def _list_borrowers(fleet):
    hosts = [router.host for router in fleet.routers]
    lenders = rank_lenders(hosts, 'acme')
    return [router for router in fleet.routers if router.host not in lenders]


def _heal(fleet):
    fleet.net.links.clear()
    faults = fleet.service.faults
    faults.cut, faults.down = set(), False


def _play(context, seconds, apply, *, budget=BUDGET, features=None):
    run = _Run()

    def change_catalogue(catalogue):
        return replace(catalogue, workspaces={'acme': Workspace('acme', 1, budget)})

    run_fleet(
        lambda fleet: run.act(fleet, seconds, apply, _heal),
        change_catalogue=change_catalogue,
        features=context.features if features is None else features,
    )
    return run


@given('4 routers behind a balancer, {word} the standby feature')
def prepare_fleet(context, word):
    assert CATALOGUE.needs_keys
    context.features = frozenset({Feature.standby} if word == 'with' else ())


def _cut_off_one(fleet, run):
    run.cut = _list_borrowers(fleet)[:1]
    _cut_links(fleet, run.cut[0])
    _cut_store(fleet, run.cut[0])


@when(
    'one router is cut off from the other routers and the store for {seconds:g} s',
)
def cut_off_one(context, seconds):
    context.seconds = seconds
    context.run = _play(context, seconds, _cut_off_one)


@when(
    "one router's messages to the other routers and the store are lost "
    'for {seconds:g} s'
)
def cut_off_one_way(context, seconds):
    def apply(fleet, run):
        run.cut = _list_borrowers(fleet)[:1]
        _cut_links(fleet, run.cut[0], one_way=True)
        _cut_store(fleet, run.cut[0])

    context.run = _play(context, seconds, apply)


@when(
    'both routers of a domain are cut off from the others and the store '
    'for {seconds:g} s'
)
def cut_off_domain(context, seconds):
    def apply(fleet, run):
        run.cut = fleet.routers[::2]
        for router in run.cut:
            _cut_links(fleet, router)
            _cut_store(fleet, router)

    context.run = _play(context, seconds, apply)


def _apply_cut_store(fleet, run):
    _cut_store(fleet, _list_borrowers(fleet)[0])


def _apply_cut_links(fleet, run):
    _cut_links(fleet, _list_borrowers(fleet)[0])


def _apply_store_down(fleet, run):
    fleet.service.faults.down = True


def _apply_rejections(fleet, run):
    for target in fleet.targets:
        target.rejects = True
        target.rejection = REJECTED


def _apply_failures(fleet, run):
    for target in fleet.targets:
        target.rejects = True
        target.rejection = FAILED + b'Content-Length: 0\r\n\r\n'


FAULTS = {
    'one router is cut off from the store': _apply_cut_store,
    'one router is cut off from the other routers': _apply_cut_links,
    'the store is down': _apply_store_down,
    'all targets reject all requests': _apply_rejections,
    'all targets fail all requests': _apply_failures,
    'the budget is spent': lambda fleet, run: None,
}


@when('for {seconds:d} s {fault}')
def apply_fault(context, fault, seconds):
    budget = TOKENS - 1 if fault == 'the budget is spent' else BUDGET
    context.run = _play(context, seconds, FAULTS[fault], budget=budget)


@then("it isn't ready at most {seconds:g} s later")
def check_left(context, seconds):
    run = context.run
    context.left_at = run.find_first(run.cut_at, is_ready=False)
    assert context.left_at - run.cut_at <= seconds, context.left_at - run.cut_at


@then('its refusals close connections only while it is on standby')
def check_closing(context):
    refused = context.run.list_refused()
    closing = [answer for answer in refused if answer.closes]
    assert closing
    assert {answer.router for answer in closing} == set(context.run.cut)
    # Readiness is sampled, and an answer takes a moment to its caller.
    before, after = context.left_at - 2 * SAMPLE_SECONDS, context.left_at + 0.01
    on_standby = [answer for answer in refused if answer.at > after]
    assert all(answer.closes for answer in on_standby), on_standby
    assert not any(answer.closes for answer in refused if answer.at < before)


@then('from {seconds:g} s after that no caller is refused')
def check_moved(context, seconds):
    refused = context.run.list_refused(context.left_at + seconds)
    assert not refused, refused


@then('it is ready again within {seconds:g} s of regained contact')
@then('they are ready again within {seconds:g} s of regained contact')
def check_returned(context, seconds):
    run = context.run
    # It was out when contact returned, so the check is not trivial.
    was_out_at = run.find_first(run.healed_at, is_ready=False)
    assert was_out_at < run.healed_at + 2 * SAMPLE_SECONDS
    back_at = run.find_first(run.healed_at, is_ready=True)
    assert back_at - run.healed_at <= seconds, back_at - run.healed_at


@then('fewer callers are refused than without the standby feature')
def check_fewer_refused(context):
    without = _play(context, context.seconds, _cut_off_one, features=frozenset())
    counts = len(context.run.list_refused()), len(without.list_refused())
    assert counts[0] * 2 < counts[1], counts


@then('they answer every request of their callers')
def check_all_answered(context):
    answers = [answer for answer in context.run.answers if answer.status is None]
    assert not answers, answers
    served = [answer for answer in context.run.answers if answer.status == 200]
    assert {answer.router for answer in served} >= set(context.run.cut)


@then('every router was ready all the time')
def check_ready(context):
    counts = {len(ready) for _, ready in context.run.readiness}
    assert counts == {4}, counts
    gaps = [later - at for (at, _), (later, _) in pairwise(context.run.readiness)]
    assert max(gaps) < 10 * SAMPLE_SECONDS, max(gaps)


@then('callers got the statuses {statuses}')
def check_statuses(context, statuses):
    found = {answer.status for answer in context.run.answers}
    assert found == {int(status) for status in statuses.split(', ')}, found


@then('no refusal closes a connection')
def check_none_closes(context):
    refused = context.run.list_refused()
    assert refused
    assert not any(answer.closes for answer in refused)


@when('a lender answers {seconds:g} s after it was asked')
def answer_late(context, seconds):
    async def ask(net):
        contact = TokenContact()
        asked_at = net.time()
        await asyncio.sleep(seconds)
        contact.record_answer(asked_at)
        return contact.is_lost_since(asked_at)

    context.contact_lost = run_on_net(ask)


@then('contact since the question is {contact}')
def check_contact(context, contact):
    assert context.contact_lost == (contact == 'lost')
