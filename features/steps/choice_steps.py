"""Steps for choosing targets and for retries."""

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

HYPOTHESIS_SETTINGS = hypothesis.settings(
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


@when('generated targets are ranked after generated results')
def rank_generated(context):
    affinities = strategies.sampled_from([None, b'one', b'two'])

    @HYPOTHESIS_SETTINGS
    @hypothesis.given(CANDIDATES, REPORTS, affinities, strategies.floats(0, 100))
    def check(candidates, reports, affinity, now):
        chooser = TargetChooser(NEAR, random.Random(1), float)
        chooser.note_cache(NAMES[0], [b'one'])
        for target, ok in reports:
            chooser.note_result(target, ok, 1)
        ranked = chooser.rank(candidates, affinity, now)
        available = {
            candidate.target
            for candidate in candidates
            if candidate.connected and not candidate.draining
        }
        assert len(ranked) == len(set(ranked))
        assert set(ranked) <= available
        assert bool(ranked) == bool(available)

    context.check = check


@then('only available targets are ranked, each of them once')
@then('the preferred targets are equal, and removing a target keeps the rest')
@then('only idempotent or not-run requests are retried, and before the deadline')
@then('the retries are at most the burst, the rate and the share of requests')
def run_choice_check(context):
    context.check()


@given('a chooser with three equal targets')
def make_equal_targets(context):
    context.candidates = [make_candidate(name) for name in NAMES[:3]]
    context.time = 0
    context.chooser = TargetChooser(NEAR, random.Random(1), lambda: context.time)


@when('one target fails {count:d} times in a row')
def fail_target(context, count):
    for _ in range(count - 1):
        context.chooser.note_result(NAMES[0], False, 1)
    assert NAMES[0] in context.chooser.rank(context.candidates, None, 0)
    context.chooser.note_result(NAMES[0], False, 1)


@then('it is not ranked for a second, and then for only one request at a time')
def check_ejected(context):
    rank = partial(context.chooser.rank, context.candidates, None)
    assert sorted(rank(0.5)) == NAMES[1:3]
    context.time = 2
    firsts = [rank(2)[0] for _ in range(50)]
    assert firsts.count(NAMES[0]) == 1
    assert sorted(rank(2)) == NAMES[1:3]
    context.chooser.note_result(NAMES[0], False, 1)
    assert sorted(rank(3)) == NAMES[1:3]


@then('it is ranked again after a success')
def check_restored(context):
    context.chooser.note_result(NAMES[0], True, 1)
    assert NAMES[0] in context.chooser.rank(context.candidates, None, 3)


@given('a chooser whose near targets are full and whose far targets are not')
def make_domains(context):
    context.chooser = TargetChooser(NEAR, random.Random(1), float)
    near = [make_candidate(name, NEAR, running=8) for name in NAMES[:3]]
    context.candidates = [
        *near,
        *(make_candidate(name, FAR, running=2) for name in NAMES[3:]),
    ]


@then('a far target is ranked first')
def check_spill(context):
    firsts = {context.chooser.rank(context.candidates, None, 0)[0] for _ in range(50)}
    assert firsts <= set(NAMES[3:])


@then('with all targets idle a near target is ranked first')
def check_near(context):
    idle = [replace(candidate, running=0) for candidate in context.candidates]
    firsts = {context.chooser.rank(idle, None, 0)[0] for _ in range(50)}
    assert firsts <= set(NAMES[:3])


@then('each prefix has one preferred target while all are equally loaded')
def check_prefixes(context):
    context.preferred = {}
    for number in range(30):
        prefix = f'prefix {number}'.encode()
        firsts = {
            context.chooser.rank(context.candidates, prefix, 0)[0] for _ in range(10)
        }
        assert len(firsts) == 1
        context.preferred[prefix] = firsts.pop()
    assert set(context.preferred.values()) == set(NAMES[:3])


@then('a full target is not ranked first for its prefixes while others have capacity')
def check_load_bound(context):
    loaded = [
        make_candidate(
            candidate.target, running=9 if candidate.target == NAMES[0] else 1
        )
        for candidate in context.candidates
    ]
    for prefix in context.preferred:
        assert context.chooser.rank(loaded, prefix, 0)[0] != NAMES[0]


@when('generated lists of targets are ranked in any order')
def rank_generated_homes(context):
    targets = strategies.lists(strategies.text(max_size=5), min_size=1, unique=True)

    @HYPOTHESIS_SETTINGS
    @hypothesis.given(targets, strategies.binary(max_size=16), strategies.randoms())
    def check(names, request_id, shuffler):
        preferred = rank_homes(names, request_id, 2)
        mixed = list(names)
        shuffler.shuffle(mixed)
        assert rank_homes(mixed, request_id, 2) == preferred
        removed = mixed[0]
        remaining = rank_homes(mixed[1:], request_id, 2)
        kept = tuple(name for name in preferred if name != removed)
        assert remaining[: len(kept)] == kept

    context.check = check


@when('generated failures are passed to the retry budget')
def decide_generated(context):
    times = strategies.floats(0, 10)

    @HYPOTHESIS_SETTINGS
    @hypothesis.given(
        FAILURES, strategies.booleans(), times, strategies.integers(1, 6), times
    )
    def check(failure, idempotent, deadline, attempt, now):
        budget = RetryBudget(random.Random(1), float)
        decision = budget.decide_retry(failure, idempotent, deadline, attempt, now)
        match decision:
            case Retry(earliest):
                not_run = failure.statement is errors.Statement.did_not_run
                assert idempotent or not_run
                assert now <= earliest < deadline
            case GiveUp(returned):
                assert returned is failure

    context.check = check


@when('generated numbers of requests fail over generated times')
def fail_generated(context):
    gaps = strategies.lists(strategies.floats(0, 0.5), max_size=100)

    @HYPOTHESIS_SETTINGS
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
        max_refilled = options.share * len(waits) + options.per_second * clock[0]
        assert retries <= options.burst + max_refilled + 1e-6

    context.check = check


@when('six targets are loaded to {load:f} through four routers in virtual time')
def run_choosers(context, load):
    context.runs = []
    for share_prefix in (True, False):
        fleet = replace(
            experiment.SMALL_FLEET, load=load, seconds=100, share_prefix=share_prefix
        )
        context.runs.append(
            {
                chooser.name: FleetRun(fleet, chooser.make, 1).run()
                for chooser in experiment.CHOOSERS
            }
        )


@then(
    "the router's p95 first token is at most each baseline's, with and without prefixes"
)
def check_best(context):
    for runs in context.runs:
        p95 = {
            name: compute_percentile(run.first_tokens, 95) for name, run in runs.items()
        }
        assert p95['ours'] <= min(p95.values()), p95


@then('the router hits prefix caches at least {ratio:f} times as often as any baseline')
def check_hits(context, ratio):
    hits = {name: run.hits / run.started for name, run in context.runs[0].items()}
    ours = hits.pop('ours')
    assert ours >= ratio * max(hits.values()), (ours, hits)
