"""Steps that run the command line of the soak test."""

import asyncio
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from unittest import mock

from behave import then, when

from ibisport_bench.soak import fault_injection
from ibisport_bench.soak.evidence import Journal, read_clock
from ibisport_bench.soak.fault_injection import FaultInjector
from ibisport_bench.soak.mutants import MUTANTS

# A run takes the given seconds, then the time until the last faults and answers have
# ended and all processes have exited; doubled for slow machines.
RUN_TIMEOUT_SECONDS = 240
MAX_PARALLEL_RUNS = 3


def _run_soak(*arguments):
    return subprocess.run(
        [sys.executable, '-m', 'ibisport_bench.soak', *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_SECONDS,
    )


@when('the soak runs seed {seed:d} for {seconds:d} seconds with {routers:d} routers')
def run_seed(context, seed, seconds, routers):
    context.runs = [
        _run_soak('--seed', seed, '--seconds', seconds, '--routers', routers)
    ]


@when(
    'the soak breaks answers with copies and hedging, '
    'with seed {seed:d} for {seconds:d} seconds'
)
def run_features(context, seed, seconds):
    arguments = ('--seed', seed, '--seconds', seconds, '--only', 'harm_target')
    context.runs = [_run_soak(*arguments, '--features', 'copies,hedging')]


@when('the soak runs seed {seed:d} for {seconds:d} seconds beside a crowd')
def run_beside_crowd(context, seed, seconds):
    context.runs = [_run_soak('--seed', seed, '--seconds', seconds, '--crowd')]


@then('the crowd has come')
def check_crowd(context):
    visits = re.search(r'(\d+) visits of a crowd', context.runs[0].stdout)
    assert visits is not None and int(visits.group(1)), context.runs[0].stdout


@then('streams have continued')
def check_continued(context):
    output = context.runs[0].stdout
    continued = re.search(r'(\d+) continued', output)
    assert continued is not None and int(continued.group(1)), output


@when('the soak only restarts all routers, with seed {seed:d} for {seconds:d} seconds')
def run_restarts(context, seed, seconds):
    context.runs = [
        _run_soak('--seed', seed, '--seconds', seconds, '--only', 'roll_all')
    ]


@when('the soak only injects {kind}, with seed {seed:d} for {seconds:d} seconds')
def run_kind(context, kind, seed, seconds):
    context.runs = [_run_soak('--seed', seed, '--seconds', seconds, '--only', kind)]


@when(
    'the soak sends requests with a fatal part, '
    'with seed {seed:d} for {seconds:d} seconds'
)
def run_fatal_part(context, seed, seconds):
    arguments = ('--seed', seed, '--seconds', seconds, '--routers', 4)
    context.runs = [_run_soak(*arguments, '--only', 'fatal_part')]


@when('the soak only kills all processes beside one version, with seed {seed:d}')
def run_kill(context, seed):
    arguments = ('--seed', seed, '--seconds', 15, '--only', 'kill_all', '--routers', 6)
    context.runs = [_run_soak(*arguments, '--versions', 1)]


@when('the soak runs seed {seed:d} for {seconds:d} seconds with each mutant')
def run_mutants(context, seed, seconds):
    def run_mutant(mutant):
        return _run_soak('--seed', seed, '--seconds', seconds, '--mutant', mutant)

    with ThreadPoolExecutor(MAX_PARALLEL_RUNS) as pool:
        context.runs = list(pool.map(run_mutant, MUTANTS))


@then('no check finds a violation')
@then('each mutant is caught by its check')
def check_outcome(context):
    failed = [run for run in context.runs if run.returncode]
    assert not failed, '\n'.join(_describe(run) for run in failed)


def _describe(run):
    command = ' '.join(run.args)
    return '\n'.join((command, run.stdout[-6000:], run.stderr[-2000:]))


@when('the soak reloads a router of a site without routers')
def inject_failing_fault(context):
    site = SimpleNamespace(routers=[])
    injector = FaultInjector(site, None, Journal(), 1, 'reload')
    with mock.patch.object(fault_injection, 'FIRST_FAULT_DELAY_SECONDS', 0.0):
        context.error = asyncio.run(find_error(injector))


async def find_error(injector):
    """Return the error with which the injection of faults for 5 s ends, or None."""
    try:
        await injector.inject_faults(read_clock() + 5.0)
    except IndexError as error:
        return error
    return None


@then('the run ends with the error of the fault')
def check_error(context):
    assert isinstance(context.error, IndexError), context.error
