"""Runs a load test: ``python -m ibisport_bench.load --config FILE [--out FOLDER]``."""

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
    """Return the plan of the site that the configuration describes."""
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
    """Run a load, write its result and plot, and print a summary.

    Args:
        config: Path of the configuration file.
        out: Folder for the result and the plot.
    """
    try:
        parsed = load_config(config)
    except LoadConfigInvalid as error:
        sys.stderr.write(f'{error.code}: {error}\n')
        sys.exit(_INVALID_CONFIG_EXIT_CODE)
    recorder = _run_checked(parsed)
    folder = Path(out)
    figures = {
        'config': parsed.model_dump(),
        **recorder.describe(),
        'encoded': recorder.encode_all(),
    }
    write_result(folder / f'{parsed.name}.json', parsed.seed, figures)
    plot_latency(folder / f'{parsed.name}.png', recorder, parsed.name)
    summary = {
        'counts': figures['counts'],
        'all': figures['workspaces'].get('all'),
    }
    sys.stdout.write(orjson.dumps(summary, option=orjson.OPT_INDENT_2).decode() + '\n')


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
