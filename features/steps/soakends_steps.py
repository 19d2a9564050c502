"""Steps for the soak's check of how processes end."""

import asyncio
import os
import signal
import tempfile
from pathlib import Path
from unittest import mock

import uvloop
from behave import given, then, when
from serving_steps import build_settings

from ibisport_bench.soak.analysis import Evidence
from ibisport_bench.soak.checks import check_ends
from ibisport_bench.soak.evidence import Journal
from ibisport_bench.soak.processes import Host
from ibisport_bench.soak.run import open_site
from ibisport_bench.soak.site import Site

GUARD_SECONDS = 30.0
# Each site has ports of its own.
SEEDS = {'router': 2, 'relay': 3}
ACTS = {
    'stands still at its start': 'stops',
    'has begun and waits': 'waits',
    'has begun and computes': 'computes',
    'fails at once': 'fails',
}


async def _launch(act, folder):
    host = Host('router', build_settings(), Path(folder), Journal())
    host.use_mutant('startup_programs', act)
    modules = {'PYTHONPATH': str(Path(__file__).parent)}
    with mock.patch.dict(os.environ, modules):
        await host.launch()
    return host


async def _wait_for_line(log):
    while not log.exists() or not log.read_text():
        await asyncio.sleep(0.01)


async def _reload_later(host, log, seconds):
    """Send SIGHUP some seconds after the process has written a line."""
    await _wait_for_line(log)
    await asyncio.sleep(seconds)
    host.reload(1.0)
    host.send_signal(signal.SIGCONT)


async def _run(act, seconds=None):
    with tempfile.TemporaryDirectory() as folder:
        host = await _launch(act, folder)
        try:
            async with asyncio.timeout(GUARD_SECONDS):
                if seconds is not None:
                    log = Path(folder) / f'{host.name}.log'
                    await _reload_later(host, log, seconds)
                while host.start.code is None:
                    await asyncio.sleep(0.01)
        finally:
            host.kill()
        return host


@given("a router's process that {act}")
def choose_act(context, act):
    context.act = ACTS[act]
    context.seconds = None


@when('it is told to read its settings again {seconds:g} seconds later')
def choose_time(context, seconds):
    context.seconds = seconds


@then('it ends, and the check finds {count:d} violations')
def check_violations(context, count):
    host = asyncio.run(_run(context.act, context.seconds))
    journal = Journal()
    journal.starts.append(host.start)
    violations = list(check_ends(Evidence(journal)))
    assert len(violations) == count, (violations, host.start)


@when('a target that has ended is started twice at the same time')
def start_twice(context):
    async def play(folder):
        journal = Journal()
        site = Site(0, 1, Path(folder), journal)
        await site.open()
        target = site.targets[0]
        target.end()
        known = len(journal.lives)
        await asyncio.gather(target.start(), target.start())
        target.end()
        context.new_lives = len(journal.lives) - known

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(play(folder))


@then('it serves as one new incarnation')
def check_started_once(context):
    assert context.new_lives == 1, context.new_lives


@when('a {role} is told to stop, and again and again to read its settings')
def reload_until_exit(context, role):
    async def play(folder):
        site = Site(1, SEEDS[role], Path(folder), Journal())
        await open_site(site)
        try:
            host = {'router': site.routers, 'relay': site.relays}[role][0]
            async with asyncio.timeout(GUARD_SECONDS):
                await _wait_for_line(Path(folder) / f'{host.name}.log')
                host.send_signal(signal.SIGTERM)
                while host.start.code is None:
                    host.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.001)
        finally:
            for started in site.hosts:
                started.kill()
        context.code = host.start.code

    with tempfile.TemporaryDirectory() as folder:
        uvloop.run(play(folder))


@then('it exits with code 0')
def check_exit_code(context):
    assert context.code == 0, context.code
