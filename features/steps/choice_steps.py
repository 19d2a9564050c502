"""Steps on choosing targets and on retries."""

import random
from dataclasses import replace
from functools import partial

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from ibisport_bench.experiments import choice as experiment
from ibisport_bench.experiments.figures import compute_percentile
from ibisport_bench.experiments.fleet_model import FleetRun
from ibisport_core import errors
from ibisport_router.internal.choice import Candidate, TargetChooser, rank_homes
from ibisport_router.internal.retries import GiveUp, Retry, RetryBudget, RetryOptions

ANYTHING = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)
NAMES = [f'target-{number}' for number in range(6)]
NEAR, FAR = 'bayangol', 'khan-uul'
COUNTS = strategies.integers(0, 20)


def make_candidate(name, domain=NEAR, running=0, draining=False, connected=True):
    return Candidate(
        target=name,
        failure_domain=domain,
        slots=8,
        running=min(running, 8),
        queued=max(running - 8, 0),
        queued_tokens=0,
        token_rate=0,
        measured_at=0,
        own_in_flight_tokens=0,
        own_in_flight_since_report=0,
        draining=draining,
        connected=connected,
    )


CANDIDATES = strategies.lists(
    strategies.builds(
        make_candidate,
        strategies.sampled_from(NAMES),
        strategies.sampled_from([NEAR, FAR]),
        COUNTS,
        strategies.booleans(),
        strategies.booleans(),
    ),
    unique_by=lambda candidate: candidate.target,
)
REPORTS = strategies.lists(
    strategies.tuples(strategies.sampled_from(NAMES), strategies.booleans())
)
FAILURES = strategies.builds(
    lambda kind, statement: kind('any', statement),
    strategies.sampled_from(errors.Refusal.__subclasses__()),
    strategies.sampled_from(list(errors.Statement)),
)


@when('any targets are ranked after any results')
def rank_any(context):
    affinities = strategies.sampled_from([None, b'one', b'two'])

    @ANYTHING
    @hypothesis.given(CANDIDATES, REPORTS, affinities, strategies.floats(0, 100))
    def check(candidates, reports, affinity, now):
        chooser = TargetChooser(NEAR, random.Random(1), float)
        chooser.note_cache(NAMES[0], [b'one'])
        for target, ok in reports:
            chooser.note_result(target, ok, 1)
        ranked = chooser.rank(candidates, affinity, now)
        available = {
            one.target for one in candidates if one.connected and not one.draining
        }
        assert len(ranked) == len(set(ranked))
        assert set(ranked) <= available
        assert bool(ranked) == bool(available)

    context.check = check


@then('the ranked ones are available and each stands there once')
@then('the homes are the same, and a target that goes moves no other home')
@then('a retry is idempotent or provably not run, and before the deadline')
@then('the retries are at most the burst, the rate and the share of requests')
def run_choice_check(context):
    context.check()


@given('a chooser of three equal targets')
def make_equal(context):
    context.candidates = [make_candidate(name) for name in NAMES[:3]]
    context.time = 0
    context.chooser = TargetChooser(NEAR, random.Random(1), lambda: context.time)


@when('one target fails {count:d} times in a row')
def fail_target(context, count):
    for _ in range(count - 1):
        context.chooser.note_result(NAMES[0], False, 1)
    assert NAMES[0] in context.chooser.rank(context.candidates, None, 0)
    context.chooser.note_result(NAMES[0], False, 1)


@then('it is not ranked for a second, and then for one request at a time')
def check_set_aside(context):
    rank = partial(context.chooser.rank, context.candidates, None)
    assert sorted(rank(0.5)) == NAMES[1:3]
    context.time = 2
    firsts = [rank(2)[0] for _ in range(50)]
    assert firsts.count(NAMES[0]) == 1
    assert sorted(rank(2)) == NAMES[1:3]
    context.chooser.note_result(NAMES[0], False, 1)
    assert sorted(rank(3)) == NAMES[1:3]


@then('a success brings it back')
def check_back(context):
    context.chooser.note_result(NAMES[0], True, 1)
    assert NAMES[0] in context.chooser.rank(context.candidates, None, 3)


@given('a chooser whose near targets are full and whose far ones are not')
def make_domains(context):
    context.chooser = TargetChooser(NEAR, random.Random(1), float)
    near = [make_candidate(name, NEAR, running=8) for name in NAMES[:3]]
    context.candidates = [
        *near,
        *(make_candidate(name, FAR, running=2) for name in NAMES[3:]),
    ]


@then('a far target comes first')
def check_spill(context):
    firsts = {context.chooser.rank(context.candidates, None, 0)[0] for _ in range(50)}
    assert firsts <= set(NAMES[3:])


@then('with all of them idle a near target comes first')
def check_near(context):
    idle = [replace(one, running=0) for one in context.candidates]
    firsts = {context.chooser.rank(idle, None, 0)[0] for _ in range(50)}
    assert firsts <= set(NAMES[:3])


@then('each prefix has one target while the others are as loaded')
def check_prefixes(context):
    context.homes = {}
    for number in range(30):
        prefix = f'prefix {number}'.encode()
        firsts = {
            context.chooser.rank(context.candidates, prefix, 0)[0] for _ in range(10)
        }
        assert len(firsts) == 1
        context.homes[prefix] = firsts.pop()
    assert set(context.homes.values()) == set(NAMES[:3])


@then('a full target gives its prefixes up while another one has room')
def check_load_bound(context):
    loaded = [
        make_candidate(one.target, running=9 if one.target == NAMES[0] else 1)
        for one in context.candidates
    ]
    for prefix in context.homes:
        assert context.chooser.rank(loaded, prefix, 0)[0] != NAMES[0]


@when('any targets are known in any order')
def rank_any_homes(context):
    targets = strategies.lists(strategies.text(max_size=5), min_size=1, unique=True)

    @ANYTHING
    @hypothesis.given(targets, strategies.binary(max_size=16), strategies.randoms())
    def check(names, request_id, shuffler):
        homes = rank_homes(names, request_id, 2)
        mixed = list(names)
        shuffler.shuffle(mixed)
        assert rank_homes(mixed, request_id, 2) == homes
        gone = mixed[0]
        left = rank_homes(mixed[1:], request_id, 2)
        kept = tuple(home for home in homes if home != gone)
        assert left[: len(kept)] == kept

    context.check = check


@when('any failure of any request is decided on')
def decide_any(context):
    times = strategies.floats(0, 10)

    @ANYTHING
    @hypothesis.given(
        FAILURES, strategies.booleans(), times, strategies.integers(1, 6), times
    )
    def check(failure, idempotent, deadline, attempt, now):
        budget = RetryBudget(random.Random(1), float)
        decision = budget.decide_retry(failure, idempotent, deadline, attempt, now)
        match decision:
            case Retry(earliest):
                unrun = failure.statement is errors.Statement.did_not_run
                assert idempotent or unrun
                assert now <= earliest < deadline
            case GiveUp(told):
                assert told is failure

    context.check = check


@when('any number of requests fail over any time')
def fail_any(context):
    gaps = strategies.lists(strategies.floats(0, 0.5), max_size=100)

    @ANYTHING
    @hypothesis.given(gaps)
    def check(waits):
        options = RetryOptions()
        clock = [0.0]
        budget = RetryBudget(random.Random(1), lambda: clock[0], options)
        retries = 0
        for wait in waits:
            clock[0] += wait
            budget.note_request()
            for _ in range(3):
                decision = budget.decide_retry(
                    errors.TargetUnavailable(), True, 1e9, 1, clock[0]
                )
                retries += isinstance(decision, Retry)
        earned = options.share * len(waits) + options.per_second * clock[0]
        assert retries <= options.burst + earned + 1e-6

    context.check = check


@when('six targets are loaded to {load:f} through four routers in virtual time')
def run_ways(context, load):
    context.seen = []
    for share_prefix in (True, False):
        fleet = replace(
            experiment.SMALL_FLEET, load=load, seconds=100, share_prefix=share_prefix
        )
        context.seen.append(
            {
                way.name: FleetRun(fleet, way.make, 1).run()
                for way in experiment.CHOOSERS
            }
        )


@then("our p95 first token is no worse than any plain way's, with and without prefixes")
def check_best(context):
    for seen in context.seen:
        p95 = {
            name: compute_percentile(run.first_tokens, 95) for name, run in seen.items()
        }
        assert p95['ours'] <= min(p95.values()), p95


@then('we hit the prefix caches at least {ratio:f} times as often as any')
def check_hits(context, ratio):
    hits = {name: run.hits / run.started for name, run in context.seen[0].items()}
    ours = hits.pop('ours')
    assert ours >= ratio * max(hits.values()), (ours, hits)
