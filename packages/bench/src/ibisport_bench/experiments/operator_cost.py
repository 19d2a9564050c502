"""Counts the store calls of operators' commands with the store stand-in.

Run with ``python -m ibisport_bench.experiments.operator_cost``.
"""

import tempfile
from collections.abc import Callable
from pathlib import Path

import fire
import orjson

from ibisport_bench.experiments.figures import print_table
from ibisport_bench.load.report import write_result
from ibisport_bench.site import Site, SitePlan, WorkspacePlan
from ibisport_core.entries import EntryKind, TargetState, dump_entry

BUDGET_TOKENS = 1000


def run(out: str = 'bench-results') -> None:
    """Count the store calls of each command and write ``operator_cost.json``.

    Args:
        out: Folder for the result.
    """
    plan = SitePlan(
        engines=1,
        services=0,
        routers=0,
        workspaces=(WorkspacePlan('small', BUDGET_TOKENS),),
    )
    site = Site(plan, Path(tempfile.mkdtemp(prefix='ibisport-operator-')))
    try:
        site.start()
        results = {
            name: _count_calls(site, command) for name, command in _list_commands(site)
        }
    finally:
        site.stop()
    write_result(Path(out) / 'operator_cost.json', 1, {'commands': results})
    rows = [
        [name, str(calls['reads']), str(calls['writes'])]
        for name, calls in results.items()
    ]
    print_table('Store calls of commands', ('command', 'reads', 'writes'), rows)


def _list_commands(site: Site) -> list[tuple[str, Callable[[], object]]]:
    operator = site.operator
    entry = operator.get_entry(EntryKind.workspace, 'small')
    document = orjson.dumps({**orjson.loads(dump_entry(entry.entry)), 'weight': 2})

    def put() -> None:
        operator.put_entry(EntryKind.workspace, document, entry.revision)

    def drain() -> None:
        operator.set_target_state('engine-0', TargetState.draining)

    def top_up() -> None:
        operator.top_up('small', 'main', BUDGET_TOKENS, 'second')

    return [('catalogue put', put), ('target drain', drain), ('budget top-up', top_up)]


def _count_calls(site: Site, command: Callable[[], object]) -> dict[str, int]:
    site.http.request('POST', f'{site.store.url}/reset_counts')
    command()
    answer = site.http.request('GET', f'{site.store.url}/counts')
    counts = orjson.loads(answer.data)['clients']['operators']
    return {kind: counts[kind] for kind in ('reads', 'writes')}


if __name__ == '__main__':
    fire.Fire(run)
