"""Steps that run the soak's command line."""

import subprocess
import sys

from behave import then, when

# A run lasts its seconds, the end of the last faults and answers, and the end of all
# processes; as much again for a slow machine.
MOST_SECONDS = 240
MUTANT_RUN = 'the soak plays seed {seed:d} for {seconds:d} seconds against the mutant'


def _run_soak(context, *arguments):
    context.done = subprocess.run(
        [sys.executable, '-m', 'ibisport_bench.soak', *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=MOST_SECONDS,
    )


@when('the soak plays seed {seed:d} for {seconds:d} seconds with {routers:d} routers')
def play_seed(context, seed, seconds, routers):
    _run_soak(context, '--seed', seed, '--seconds', seconds, '--routers', routers)


@when(
    'the soak plays only restarts of all routers with seed {seed:d} '
    'for {seconds:d} seconds'
)
def play_restarts(context, seed, seconds):
    _run_soak(context, '--seed', seed, '--seconds', seconds, '--only', 'roll_all')


@when(MUTANT_RUN + ' {mutant}')
def play_mutant(context, seed, seconds, mutant):
    _run_soak(context, '--seed', seed, '--seconds', seconds, '--mutant', mutant)


@then('no check finds anything')
@then('the mutant is caught')
def check_outcome(context):
    done = context.done
    assert done.returncode == 0, done.stdout[-6000:] + done.stderr[-2000:]
