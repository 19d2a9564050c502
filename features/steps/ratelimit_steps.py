"""Steps on the shares of a rate limit and on notices of other routers."""

import asyncio
from math import isfinite
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from engines import build_engine
from followers import open_null_log
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as forall

from ibisport_bench.virtual_time import run_virtually
from ibisport_fleet.engine_choice import choose_engine
from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.membership import Member
from ibisport_fleet.metadata import PromptPart
from ibisport_fleet.rate_shares.borrower import ShareBorrower
from ibisport_fleet.rate_shares.limit import RateLimit, compute_send_interval
from ibisport_fleet.rate_shares.messages import (
    LEASE_SECONDS,
    LentShare,
    ShareAnswer,
)
from ibisport_fleet.rate_shares.target_limits import (
    LIMIT_LIFETIME_SECONDS,
    LIMITS_PATH,
    LimitNotice,
    TargetLimits,
)

QUIET = settings(
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
WINDOW_SECONDS = 4.0
MAX_SENDS = 100
TARGET = 'i-1'
RATE = 2.4
HOSTS = frozenset(f'router-{number}' for number in range(30))
PARTS = (PromptPart('shared', 6_000), PromptPart('own', 10))


@when('{count:d} generated limits are divided among up to 200 routers')
def divide(context, count):
    context.divided = 0

    @settings(QUIET, max_examples=count)
    @forall(strategies.floats(0, 500), strategies.integers(1, 200))
    def divide_one(rate, routers):
        hosts = frozenset(f'router-{number}' for number in range(routers))
        intervals = [compute_send_interval(rate, TARGET, host, hosts) for host in hosts]
        sending = [interval for interval in intervals if isfinite(interval)]
        # A closed window can contain one send more than it has intervals.
        max_sends = sum(WINDOW_SECONDS / interval + 1 for interval in sending)
        assert max_sends <= 1.5 * WINDOW_SECONDS * rate + 5, (rate, routers, max_sends)
        total = sum(1 / interval for interval in sending)
        assert abs(total - rate) <= 1e-6 * max(1.0, rate), (rate, routers, total)
        context.divided += 1

    divide_one()


@then('the shares add up to the limit, and no window exceeds its bound')
def check_divided(context):
    assert context.divided >= 100, context.divided


@given('four engines of which the preferred one of a prompt is limited')
def limit_preferred(context):
    context.engines = [build_engine(number) for number in range(4)]
    context.preferred = choose_engine(context.engines, PARTS, 0.0)
    context.preferred.health.limit = RateLimit(RATE, 0.0, 60.0, 0.0)


@when('two routers choose an engine for its prompt')
def choose_twice(context):
    # The second router lists the engines in reverse order.
    orders = (context.engines, list(reversed(context.engines)))
    context.chosen = [choose_engine(engines, PARTS, 0.0) for engines in orders]


@then('both choose the same engine, and not the limited one')
def check_unlimited_choice(context):
    first, second = context.chosen
    assert first is second
    assert first is not context.preferred


class _Router:
    """The target limits of one router, without a network."""

    def __init__(self):
        self.candidate = build_engine(1)
        entry = self.candidate.entry
        listed = SimpleNamespace(find={TARGET: entry}.get)
        targets = SimpleNamespace(
            targets=listed, find_health=lambda start_id: self.candidate.health
        )
        members = SimpleNamespace(own=SimpleNamespace(host='router-0'), hosts=HOSTS)
        self.notices = []
        notifier = SimpleNamespace(notify=lambda *notice: self.notices.append(notice))
        links = SimpleNamespace(members=members, notifier=notifier, peers=None)
        self.limits = TargetLimits(links, targets, open_null_log())

    @property
    def rate(self):
        """The known rate limit of the target, or None."""
        limit = self.candidate.health.limit
        return None if limit is None else limit.rate

    async def handle(self, *notice):
        """Handle a notice of another router."""
        content = msgspec.json.encode(LimitNotice(*notice))
        await self.limits.handlers[LIMITS_PATH](content)

    def answer(self, rate, sent_at):
        """Apply an answer to a request of this router."""
        call = SimpleNamespace(
            target=TARGET, sent_at=sent_at, terms=SimpleNamespace(request_id='r')
        )
        self.limits.apply_answer(call, self.candidate.health, rate)


def _decode_notice(notice):
    return msgspec.json.decode(notice[1], type=LimitNotice)


def _run(act):
    async def run():
        router = _Router()
        await act(router)
        return router

    return run_virtually(run())


@when("another router sends notices of a target's limit, its change and its end")
def send_notices(context):
    context.rates = []

    async def act(router):
        for rate in (RATE, RATE / 2, None):
            await router.handle(TARGET, rate)
            context.rates.append(router.rate)
        await router.handle('i-unknown', 1.0)

    context.router = _run(act)


@then('this router applies each notice and forwards none')
def check_notices(context):
    assert context.rates == [RATE, RATE / 2, None], context.rates
    assert not context.router.notices


@when('other routers send invalid limits')
def send_invalid_notices(context):
    context.refused = 0

    async def act(router):
        for content in (b'{"target":"i-1","rate":-1}', b'{"target":"i-1"}', b'[]'):
            try:
                await router.limits.handlers[LIMITS_PATH](content)
            except PeerUnavailable:
                context.refused += 1

    context.router = _run(act)


@then('each is refused, and no limit is known')
def check_invalid_notices(context):
    assert context.refused == 3
    assert context.router.rate is None


@when(
    'another router lends a share with a delay of {delay:g} and an interval of '
    '{interval:g}'
)
def lend_share(context, delay, interval):
    async def ask(*message):
        shares = {TARGET: LentShare(delay, interval)}
        return msgspec.json.encode(ShareAnswer(shares))

    async def act(router):
        loop = asyncio.get_running_loop()
        limit = RateLimit(RATE, 0.0, 60.0, 60.0)
        targets = SimpleNamespace(
            list_limits=lambda: {TARGET: limit}, find_limit=lambda target: limit
        )
        others = [Member(host, host, ('10.0.0.1', 1)) for host in sorted(HOSTS)]
        members = SimpleNamespace(
            own=others[0], hosts=HOSTS, list_others=lambda: others[1:]
        )
        links = SimpleNamespace(members=members, peers=SimpleNamespace(ask=ask))
        borrower = ShareBorrower(links, targets, lambda: True, open_null_log())
        borrower.request([TARGET])
        task = asyncio.create_task(borrower.run())
        await asyncio.sleep(0)
        await asyncio.sleep(LEASE_SECONDS / 100)
        task.cancel()
        borrowed = list(limit.borrowed.values())[:1]
        context.sends = 0
        now = loop.time()
        for share in borrowed:
            while share.is_usable(now) and context.sends < MAX_SENDS:
                share.next_send_at = max(now, share.next_send_at) + share.interval
                context.sends += 1

    _run(act)


@then('the number of requests that may be sent with it in its second is {sends:d}')
def check_sends(context, sends):
    assert context.sends == sends, context.sends


@when('an answer without a limit arrives for a request from before the limit')
def answer_early_request(context):
    async def act(router):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1.0)
        router.answer(RATE, loop.time())
        router.answer(None, loop.time() - 0.5)
        context.kept = router.rate
        await asyncio.sleep(1.0)
        router.answer(None, loop.time())

    context.router = _run(act)


@then('the limit holds until an answer to a later request reports none')
def check_limit_held(context):
    assert context.kept == RATE
    assert context.router.rate is None
    decoded = [_decode_notice(notice) for notice in context.router.notices]
    assert [limit.rate for limit in decoded] == [RATE, None]


@when('no router sends a notice of the end of a limit')
def wait_for_end(context):
    async def act(router):
        loop = asyncio.get_running_loop()
        await router.handle(TARGET, 0.0)
        context.open = []
        for _ in range(2):
            await asyncio.sleep(LIMIT_LIFETIME_SECONDS)
            context.open.append(router.limits.may_send(router.candidate, loop.time()))

    context.router = _run(act)


@then('this router tries the target again after one to two minutes')
def check_retried(context):
    assert context.open == [False, True], context.open
