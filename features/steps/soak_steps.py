"""Steps that run the soak's command line."""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from ibisport_bench.soak.mutants import MUTANTS

# A run lasts its seconds, the end of the last faults and answers, and the end of all
# processes; as much again for a slow machine.
MOST_SECONDS = 240
RUNS_AT_ONCE = 3


def _run_soak(*arguments):
    return subprocess.run(
        [sys.executable, '-m', 'ibisport_bench.soak', *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=MOST_SECONDS,
    )


@when('the soak plays seed {seed:d} for {seconds:d} seconds with {routers:d} routers')
def play_seed(context, seed, seconds, routers):
    context.runs = [
        _run_soak('--seed', seed, '--seconds', seconds, '--routers', routers)
    ]


@when(
    'the soak plays only restarts of all routers with seed {seed:d} '
    'for {seconds:d} seconds'
)
def play_restarts(context, seed, seconds):
    context.runs = [
        _run_soak('--seed', seed, '--seconds', seconds, '--only', 'roll_all')
    ]


@when('the soak plays seed {seed:d} for {seconds:d} seconds against each mutant')
def play_mutants(context, seed, seconds):
    def play(mutant):
        return _run_soak('--seed', seed, '--seconds', seconds, '--mutant', mutant)

    with ThreadPoolExecutor(RUNS_AT_ONCE) as pool:
        context.runs = list(pool.map(play, MUTANTS))


@then('no check finds anything')
@then('all mutants are caught')
def check_outcome(context):
    failed = [done for done in context.runs if done.returncode]
    assert not failed, '\n'.join(_tell(done) for done in failed)


def _tell(done):
    command = ' '.join(done.args)
    return '\n'.join((command, done.stdout[-6000:], done.stderr[-2000:]))
