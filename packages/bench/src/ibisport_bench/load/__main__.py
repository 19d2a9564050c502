"""Runs a load: ``python -m ibisport_bench.load --config FILE [--out FOLDER]``."""

import sys
import tempfile
from pathlib import Path

import fire
import orjson

from ibisport_bench.load.arrivals import name_workspace
from ibisport_bench.load.config import LoadConfig, LoadConfigInvalid, load_config
from ibisport_bench.load.patience import start_patiently
from ibisport_bench.load.recording import Recorder
from ibisport_bench.load.report import plot_latency, write_result
from ibisport_bench.load.runner import run_load
from ibisport_bench.site import Site, SitePlan, WorkspacePlan

_INVALID_CONFIG_EXIT_CODE = 2


def make_plan(config: LoadConfig) -> SitePlan:
    """Return the site that a run's configuration asks for."""
    size = config.site
    return SitePlan(
        engines=size.engines,
        services=size.services,
        routers=size.routers,
        domains=size.domains,
        slots=size.slots,
        token_ms=size.token_ms,
        workspaces=tuple(
            WorkspacePlan(name_workspace(number), config.budget_tokens)
            for number in range(config.workspaces)
        ),
        router_flags={'streams': size.streams},
    )


def run(config: str, out: str = 'bench-results') -> None:
    """Run a load and print its figures.

    Args:
        config: The configuration file.
        out: Folder for the result and the plot.
    """
    try:
        checked = load_config(config)
    except LoadConfigInvalid as error:
        sys.stderr.write(f'{error.code}: {error}\n')
        sys.exit(_INVALID_CONFIG_EXIT_CODE)
    recorder = _run_checked(checked)
    folder = Path(out)
    found = {
        'config': checked.model_dump(),
        **recorder.describe(),
        'encoded': recorder.encode_all(),
    }
    write_result(folder / f'{checked.name}.json', checked.seed, found)
    plot_latency(folder / f'{checked.name}.png', recorder, checked.name)
    shown = {'counts': found['counts'], 'all': found['workspaces'].get('all')}
    sys.stdout.write(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode() + '\n')


def _run_checked(config: LoadConfig) -> Recorder:
    if config.routers:
        return run_load(config, config.routers)
    site = Site(make_plan(config), Path(tempfile.mkdtemp(prefix='ibisport-load-')))
    try:
        start_patiently(site)
        return run_load(config, [router.address for router in site.routers])
    finally:
        site.stop()


if __name__ == '__main__':
    fire.Fire(run)
