"""Steps on the whole path from caller to target."""

from behave import given, then, when
from sites import (
    ask,
    expect_words,
    make_body,
    read_account,
    read_words,
    start_site,
    wait_until,
)

from ibisport_bench.site import WorkspacePlan

MORE_THAN_PAID = 'many ' * 300_000


@given('a site of separate processes')
def start(context):
    start_site(context)
    context.expected = 0
    context.answers = []


@when('a caller asks for a streamed answer of {count:d} words')
def ask_streamed(context, count):
    _ask(context, 0, count, stream=True)


@when('a caller asks for a whole answer of {count:d} words')
def ask_whole(context, count):
    _ask(context, 1, count, stream=False)


@when('a caller calls the plain service')
def call_service(context):
    answer = ask(context.site.routers[0], 'small', b'{}', path='/portal/order')
    assert answer.status == 200, answer
    context.expected += 1


@then("every answer is whole and the caller's own")
def check_answers(context):
    for answer, prompt, count in context.answers:
        assert answer.status == 200, answer
        assert read_words(answer) == expect_words(prompt, count), answer.body


@then("the store's account has paid exactly what the targets ran")
def check_paid(context):
    runs = context.site.read_runs()
    ran = sum(run['prompt_tokens'] + run['completion_tokens'] for run in runs)
    wait_until(
        lambda: read_account(context.site).spent == ran + context.expected,
        what='the settlement',
    )


@then('after every router has stopped the account holds no grant')
def check_closed(context):
    paid = read_account(context.site).spent
    for router in context.site.routers:
        assert router.stop() == 0
    account = read_account(context.site)
    assert account.held == 0, account
    assert account.closed_spent == paid, account


@then('a request with no known key is refused with 401 key_unknown')
def refuse_key(context):
    answer = ask(context.site.routers[0], 'nobody', make_body('hello'))
    _check_refused(answer, 401, 'key_unknown')


@then('a request for no known model is refused with 404 not_found')
def refuse_model(context):
    body = make_body('hello', model='nothing')
    _check_refused(ask(context.site.routers[0], 'small', body), 404, 'not_found')


@then('a request that is no JSON is refused with 400 request_invalid')
def refuse_body(context):
    answer = ask(context.site.routers[0], 'small', b'{"model": ')
    _check_refused(answer, 400, 'request_invalid')


@then(
    'a request of more tokens than the budget has is refused with 402 budget_exhausted'
)
def refuse_budget(context):
    site = context.site
    body = make_body(MORE_THAN_PAID[:1_000_000], max_tokens=4096)
    _check_refused(ask(site.routers[0], 'small', body), 402, 'budget_exhausted')


@then('nothing has run at any target')
def check_nothing_ran(context):
    assert not context.site.read_runs()


@given('a site whose workspace may have {count:d} requests in flight')
def start_limited(context, count):
    limits = {'max_concurrent': count}
    start_site(context, workspaces=(WorkspacePlan('small', 5_000, limits=limits),))


@when('{count:d} requests over the budget are refused at each router')
def refuse_many(context, count):
    body = make_body(MORE_THAN_PAID[:20_000], max_tokens=64)
    for router in context.site.routers:
        for _ in range(count):
            _check_refused(ask(router, 'small', body), 402, 'budget_exhausted')


@then('a request of the workspace is served at each router')
def check_each_serves(context):
    for router in context.site.routers:
        answer = ask(router, 'small', make_body('hello', max_tokens=8))
        assert answer.status == 200, answer


def _ask(context, router, count, stream):
    prompt = f'why does the hall echo answer_tokens={count}'
    body = make_body(prompt, stream)
    answer = ask(context.site.routers[router], 'small', body)
    context.answers.append((answer, prompt, count))


def _check_refused(answer, status, code):
    assert answer.status == status, answer
    error = answer.document['error']
    assert error['code'] == code, error
    assert error['statement'] == 'did_not_run', error
