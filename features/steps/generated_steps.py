"""Property-based steps on cap planning, headers and the budget page."""

from behave import then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as forall

from ibisport_fleet.budget_page import (
    Account,
    BudgetPage,
    Session,
    Share,
    decode_page,
    encode_page,
)
from ibisport_fleet.cap_planning import Demand, plan_contact_cap, plan_share
from ibisport_fleet.errors import RequestInvalid
from ibisport_fleet.http_messages import AnswerHead, Request
from ibisport_platform.headers import PlatformDialect

REPRODUCIBLE = settings(
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@when('{count:d} generated accounts are planned for')
def plan_many(context, count):
    tokens = strategies.integers(0, 10**7)
    shares = strategies.builds(
        lambda used, more, rate: Share(used, used + more, rate),
        tokens,
        tokens,
        strategies.floats(0, 10**6),
    )
    accounts = strategies.builds(
        Account,
        tokens,
        strategies.dictionaries(strategies.sampled_from('abcd'), shares),
    )
    context.planned = 0

    @settings(REPRODUCIBLE, max_examples=count)
    @forall(accounts, tokens, tokens, strategies.floats(0, 10**6), tokens)
    def plan(account, budget, used, rate, wanted):
        demand = Demand(used, rate, wanted)
        share = plan_share(account, budget, 'a', demand, lends=wanted % 2 == 0)
        own = account.shares.get('a', Share())
        others = account.held - own.cap
        assert share.cap <= max(budget - others, used)
        assert used <= plan_contact_cap(share.cap, demand) <= share.cap
        context.planned += 1

    plan()


@then('no cap leaves less than nothing of the budget')
def check_planned(context):
    assert context.planned >= 300, context.planned


@when('{count:d} generated heads of requests and answers are read')
def read_heads(context, count):
    names = strategies.sampled_from(
        (
            b'attempt-id',
            b'deadline-ms',
            b'token-usage',
            b'prompt-prefix',
            b'last-event-id',
            b'authorization',
            b'worker-load',
            b'keep-alive',
            b'host',
        )
    )
    contents = strategies.one_of(
        strategies.binary(max_size=30),
        strategies.sampled_from((b'1,2', b'a:1,b:2', b'timeout=5', b'1,2,3', b'-1')),
    )
    headers = strategies.lists(strategies.tuples(names, contents)).map(tuple)
    context.read = 0

    @settings(REPRODUCIBLE, max_examples=count)
    @forall(headers)
    def read(head):
        dialect = PlatformDialect()
        request = Request('POST', b'/a/b?c', head, b'', True, 0.0, 0.0)
        try:
            dialect.decode_request(request)
        except RequestInvalid as refused:
            assert refused.status == 400
        dialect.decode_answer(AnswerHead(200, head, True, True))
        context.read += 1

    read()


@then('each is read or refused with a status')
def check_read(context):
    assert context.read >= 300, context.read


@when('{count:d} generated pages are written and read')
def round_trip_pages(context, count):
    names = strategies.text(min_size=1, max_size=5)
    tokens = strategies.integers(0, 2**50)
    shares = strategies.builds(Share, tokens, tokens, strategies.integers(0, 10**6))
    pages = strategies.builds(
        BudgetPage,
        strategies.dictionaries(
            names,
            strategies.builds(Account, tokens, strategies.dictionaries(names, shares)),
        ),
        strategies.dictionaries(
            names, strategies.builds(Session, names, strategies.integers(0, 10**9))
        ),
    )
    context.round_trips = 0

    @settings(REPRODUCIBLE, max_examples=count)
    @forall(pages)
    def check_round_trip(page):
        assert decode_page(encode_page(page)) == page
        context.round_trips += 1

    check_round_trip()


@then('each is the same as before')
def check_round_trips(context):
    assert context.round_trips >= 100, context.round_trips
