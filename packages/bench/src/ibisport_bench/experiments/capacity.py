"""Computes docs/CAPACITY.md: measured slopes extrapolated to the target fleet.

``python -m ibisport_bench.experiments.capacity write`` writes the page; with
``--check`` it only checks that the page matches the committed measurements.
Each figure of the page fills a field of ``capacity_page.md`` beside this module.
"""

import math
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType

import fire

from ibisport_bench.experiments import frames
from ibisport_bench.experiments.capacity_target import (
    BOUNDS,
    FLEET,
    SECONDS_PER_DAY,
)
from ibisport_bench.experiments.measurements import (
    Measurements,
    collect,
    load_measured,
)
from ibisport_core.internal.watching import SILENCE_LIMIT
from ibisport_core.settings import AgentSettings, RouterSettings
from ibisport_core.store import PAGE_SIZE

FOLDER = Path(__file__).parent
TEMPLATE = FOLDER / 'capacity_page.md'
PAGE = 'docs/CAPACITY.md'
MILLION = 1_000_000
MAX_CORE_SHARE = 0.7
# Smaller figures are rounding errors of the fit and are shown as 0.
MIN_NONZERO = 1e-9
# Assumed parameters of the planned design.
PLANNED_PROCESSES = 3
LINKS_PER_MODEL = 2
PLANNED_LINKS = LINKS_PER_MODEL * FLEET.models
PLANNED_HEARTBEAT_SECONDS = 15.0
PLANNED_POLL_SHARE = 0.25
AGENTS_PER_LISTING = 10
PLANNED_SETTLE_SECONDS = 2.0
WATCHERS_PER_DOMAIN = 2
REGION_HORIZON_SECONDS = 3600
SHARDS = 64
SHARD_DRAW_SECONDS = 5.0
REGION_ROUND_TRIP_SECONDS = 0.15
CLAIM_WINDOW_SECONDS = 0.1
# How long the router keeps the claim of an idempotent request.
CLAIM_LIFETIME_SECONDS = 15 * 60
SCANS_PER_GRACE = 4
RENEWALS_PER_LEASE = 4
PREFIXES_PER_SCAN = 2
# A router retries its session and its watch, each after 0.5 to 1 s.
RETRIES_PER_SECOND = 2 / 0.75
PLANNED_WRITES = (
    'planned_settle',
    'planned_claims',
    'planned_draws',
    'planned_session_writes',
    'commands_writes',
)
LIMITS = MappingProxyType(
    {
        'links_core': BOUNDS.core,
        'links_mb': BOUNDS.megabytes,
        'links_bytes': BOUNDS.bytes_per_second,
        'node_base_core': BOUNDS.core,
        'node_base_mb': BOUNDS.megabytes,
        'agent_core': BOUNDS.core,
        'agent_mb': BOUNDS.megabytes,
        'agent_bytes': BOUNDS.bytes_per_second,
        'record_bytes': BOUNDS.value_bytes,
        'look_reads': BOUNDS.store_reads,
        'keep_reads': BOUNDS.store_reads,
        'settle_writes': BOUNDS.store_writes,
        'claim_writes': BOUNDS.store_writes,
        'watch_calls': BOUNDS.store_reads,
        'listing_writes': BOUNDS.store_writes,
        'commands_writes': BOUNDS.store_writes,
        'planned_store_writes': BOUNDS.store_writes,
        'planned_node_core': BOUNDS.core,
        'planned_node_mb': BOUNDS.megabytes,
        'planned_links_bytes': BOUNDS.bytes_per_second,
        'agent_planned_core': BOUNDS.core,
    }
)


class Capacity:
    """Computes the figures of the page for the target fleet."""

    def __init__(self, measured: Measurements) -> None:
        """Compute the process counts that several figures depend on.

        Args:
            measured: The committed measurements.
        """
        self._measured = measured
        self._lines = measured.lines
        self._router = RouterSettings()
        self._agent = AgentSettings()
        node_chunks = FLEET.tokens / FLEET.nodes
        node_cores = node_chunks * measured.router_micros / MILLION
        self._processes = max(1, math.ceil(node_cores / MAX_CORE_SHARE))
        self._routers = FLEET.nodes * self._processes
        self._entries_mb = self._lines['entries']['router_mb'].slope * FLEET.entries

    def list_figures(self) -> dict[str, str]:
        """Return every figure of the page as text, by its name in the template."""
        figures: dict[str, float] = {}
        sections: tuple[Callable[[], dict[str, float]], ...] = (
            self._compute_streams,
            self._compute_links,
            self._compute_agent,
            self._compute_catalogue,
            self._compute_sessions,
            self._compute_settlement,
            self._compute_events,
            self._compute_outage,
            self._compute_commands,
        )
        for compute_section in sections:
            figures |= compute_section()
        figures['planned_store_writes'] = sum(figures[name] for name in PLANNED_WRITES)
        shown = {name: format_figure(figure) for name, figure in figures.items()}
        return shown | check_limits(figures)

    def _compute_streams(self) -> dict[str, float]:
        measured = self._measured
        return {
            'node_chunks': FLEET.tokens / FLEET.nodes,
            'node_requests': FLEET.requests / FLEET.nodes,
            'router_micros': measured.router_micros,
            'agent_micros': measured.agent_micros,
            'node_cores': FLEET.tokens / FLEET.nodes * measured.router_micros / MILLION,
            'processes': self._processes,
            'wanted_micros': MAX_CORE_SHARE
            * PLANNED_PROCESSES
            * MILLION
            * FLEET.nodes
            / FLEET.tokens,
            'routers': self._routers,
            'agent_chunks': FLEET.tokens / FLEET.workers,
            'agent_stream_core': FLEET.tokens
            / FLEET.workers
            * measured.agent_micros
            / MILLION,
        }

    def _compute_links(self) -> dict[str, float]:
        core = self._lines['agents']['router_core']
        memory = self._lines['agents']['router_mb']
        heartbeat_bytes = frames.measure_heartbeats()
        link_bytes_per_second = heartbeat_bytes / self._router.heartbeat_every
        planned_bytes_per_second = heartbeat_bytes / PLANNED_HEARTBEAT_SECONDS
        planned_rate_share = self._router.heartbeat_every / PLANNED_HEARTBEAT_SECONDS
        node_links = PLANNED_LINKS * PLANNED_PROCESSES
        return {
            'link_core': core.slope,
            'router_base_core': core.base,
            'router_base_mb': memory.base,
            'link_mb': memory.slope,
            'links_core': core.evaluate(FLEET.workers),
            'links_mb': memory.evaluate(FLEET.workers),
            'heartbeat_bytes': heartbeat_bytes,
            'links_bytes': link_bytes_per_second * FLEET.workers,
            'links_messages': 2 * FLEET.workers / self._router.heartbeat_every,
            'links_fit_core': max(0, (BOUNDS.core - core.base) / core.slope),
            'links_fit_mb': max(0, (BOUNDS.megabytes - memory.base) / memory.slope),
            'links_fit_bytes': BOUNDS.bytes_per_second / link_bytes_per_second,
            'planned_links': PLANNED_LINKS,
            'planned_heartbeat': PLANNED_HEARTBEAT_SECONDS,
            'planned_node_links': node_links,
            'planned_processes': PLANNED_PROCESSES,
            'planned_node_core': core.slope * planned_rate_share * node_links
            + core.base * PLANNED_POLL_SHARE,
            'planned_node_mb': (memory.evaluate(PLANNED_LINKS) + self._entries_mb)
            * PLANNED_PROCESSES,
            'planned_links_bytes': planned_bytes_per_second * node_links,
            'node_base_core': core.base * self._processes,
            'node_base_mb': memory.base * self._processes,
        }

    def _compute_agent(self) -> dict[str, float]:
        core = self._lines['routers']['agent_core']
        memory = self._lines['routers']['agent_mb']
        bytes_per_second = frames.measure_heartbeats() / self._agent.heartbeat_every
        planned_links = FLEET.nodes * PLANNED_PROCESSES * PLANNED_LINKS
        planned_routers = planned_links / FLEET.workers
        return {
            'agent_link_core': core.slope,
            'agent_base_core': core.base,
            'agent_base_mb': memory.base,
            'agent_link_mb': memory.slope,
            'agent_core': core.evaluate(self._routers),
            'agent_mb': memory.evaluate(self._routers),
            'agent_bytes': bytes_per_second * self._routers,
            'agent_links_planned': planned_routers,
            'agent_planned_core': core.evaluate(planned_routers),
            'agent_planned_bytes': frames.measure_heartbeats()
            / PLANNED_HEARTBEAT_SECONDS
            * planned_routers,
        }

    def _compute_catalogue(self) -> dict[str, float]:
        memory = self._lines['entries']['router_mb']
        core = self._lines['changes']['router_core']
        update_bytes = frames.measure_update()
        return {
            'entries': FLEET.entries,
            'entry_kb': memory.slope * 1000,
            'entries_mb': self._entries_mb,
            'changes': FLEET.changes,
            'change_core': core.slope,
            'changes_core': core.slope * FLEET.changes,
            'fan_messages': FLEET.changes,
            'fan_bytes': FLEET.changes * update_bytes,
            'fan_agent_messages': self._routers,
            'model_targets': FLEET.workers / FLEET.models,
            'watches': self._routers,
            'watch_calls': self._routers / SILENCE_LIMIT,
            'watch_events': FLEET.changes * self._routers,
            'watches_planned': WATCHERS_PER_DOMAIN * FLEET.domains,
            'relay_bytes': FLEET.changes * update_bytes,
            'ask_messages': self._routers / self._router.catalogue_every,
        }

    def _compute_sessions(self) -> dict[str, float]:
        agent_bytes = frames.measure_listed_agent()
        record_bytes = agent_bytes * FLEET.workers
        scans_per_second = self._routers * SCANS_PER_GRACE / self._router.recover_after
        renewals_per_second = (
            self._routers * RENEWALS_PER_LEASE / self._router.lease_seconds
        )
        idle = self._lines['routers']
        routers = self._routers
        return {
            'listed_bytes': agent_bytes,
            'record_bytes': record_bytes,
            'record_most_agents': BOUNDS.value_bytes / agent_bytes,
            'look_reads': scans_per_second
            * PREFIXES_PER_SCAN
            * math.ceil(routers / PAGE_SIZE),
            'look_reads_one': FLEET.nodes
            * SCANS_PER_GRACE
            / self._router.recover_after
            * PREFIXES_PER_SCAN,
            'look_mb_one': FLEET.nodes**2
            * SCANS_PER_GRACE
            / self._router.recover_after
            * record_bytes
            / MILLION,
            'look_mb': scans_per_second * routers * record_bytes / MILLION,
            'keep_reads': renewals_per_second,
            'keep_writes': renewals_per_second,
            'idle_reads': idle['reads'].base + idle['reads'].slope,
            'idle_writes': idle['writes'].base + idle['writes'].slope,
            'planned_record': agent_bytes * PLANNED_LINKS,
            'planned_sessions': FLEET.domains,
            'planned_session_reads': FLEET.domains
            * (RENEWALS_PER_LEASE / self._router.lease_seconds)
            * (1 + PREFIXES_PER_SCAN),
            'planned_session_writes': FLEET.domains
            * RENEWALS_PER_LEASE
            / self._router.lease_seconds,
        }

    def _compute_settlement(self) -> dict[str, float]:
        pairs = FLEET.budgets * self._routers
        period = self._router.settle_every
        expected = FLEET.requests * period / pairs
        used_pairs = pairs * -math.expm1(-expected)
        floor_bytes = frames.measure_floor()
        requests_per_router = FLEET.requests / self._routers
        lines = self._lines['budgets']
        writes_per_key = self._routers / period
        return {
            'budget_reads': lines['reads'].slope,
            'budget_writes': lines['writes'].slope,
            'settle_writes': used_pairs / period,
            'ledger_mb': lines['router_mb'].slope,
            'ledgers_mb': lines['router_mb'].slope * FLEET.budgets,
            'workspaces_mb': lines['router_mb'].slope * FLEET.workspaces,
            'charges_mb': lines['agent_mb'].slope,
            'charges_all_mb': lines['agent_mb'].slope * FLEET.budgets,
            'charges_workspaces_mb': lines['agent_mb'].slope * FLEET.workspaces,
            'busiest_writes': writes_per_key,
            'busiest_serial': 1 / REGION_ROUND_TRIP_SECONDS,
            'busiest_bytes': frames.measure_grant() * self._routers,
            'grant_bytes': frames.measure_grant(),
            'floor_bytes': floor_bytes,
            'floors_bytes': floor_bytes * requests_per_router * FLEET.workers,
            'floors_agent_bytes': floor_bytes * FLEET.requests,
            'floors_whole': floor_bytes * FLEET.budgets,
            'planned_settle': FLEET.domains / PLANNED_SETTLE_SECONDS,
            'planned_draws': SHARDS * FLEET.regions / SHARD_DRAW_SECONDS,
            'planned_busiest': FLEET.regions / SHARD_DRAW_SECONDS,
            'shard_budgets': FLEET.budgets / SHARDS,
            'shard_bytes': FLEET.budgets
            / SHARDS
            * FLEET.regions
            * frames.measure_grant(),
            'claim_writes': FLEET.requests,
            'claims_kept': FLEET.requests * CLAIM_LIFETIME_SECONDS / MILLION,
            'planned_claims': FLEET.domains / CLAIM_WINDOW_SECONDS,
            'router_requests': FLEET.requests / self._routers,
            'claim_window': CLAIM_WINDOW_SECONDS * 1000,
            'horizon': self._router.grant_horizon,
            'region_horizon': REGION_HORIZON_SECONDS,
        }

    def _compute_events(self) -> dict[str, float]:
        listings = FLEET.agent_events * self._routers / SECONDS_PER_DAY
        agents = FLEET.workers / FLEET.domains
        routers = self._routers / FLEET.domains
        writes = agents * self._routers + FLEET.workers * routers
        reads = routers * (FLEET.entries / PAGE_SIZE + PREFIXES_PER_SCAN)
        domain_links = FLEET.nodes * PLANNED_PROCESSES * PLANNED_LINKS / FLEET.domains
        planned = FLEET.nodes / FLEET.domains * 2 + domain_links / AGENTS_PER_LISTING
        return {
            'agent_events': FLEET.agent_events,
            'router_events': FLEET.router_events,
            'listing_writes': listings,
            'recovery_threads': FLEET.workers,
            'domain_agents': agents,
            'domain_routers': routers,
            'domain_writes': writes,
            'domain_seconds': writes / BOUNDS.store_writes,
            'domain_reads': reads,
            'domain_planned': planned,
            'domain_planned_seconds': planned / BOUNDS.store_writes,
        }

    def _compute_outage(self) -> dict[str, float]:
        leases = 2 * self._routers
        min_pending = FLEET.budgets
        # One for each request that can be served from grants already held.
        served = FLEET.requests * min(
            self._router.grant_horizon, REGION_HORIZON_SECONDS
        )
        max_pending = min(FLEET.budgets * self._routers, served)
        pages = math.ceil(FLEET.entries / PAGE_SIZE)
        # Routers only reread the catalogue if the store was compacted meanwhile.
        reads = self._routers * (pages + PREFIXES_PER_SCAN + 1)
        planned = FLEET.domains * 3 + SHARDS * FLEET.regions
        return {
            'back_lease_writes': leases,
            'back_pending_least': min_pending,
            'back_pending_most': max_pending,
            'back_seconds_least': (leases + min_pending) / BOUNDS.store_writes,
            'back_hours_most': (leases + max_pending) / BOUNDS.store_writes / 3600,
            'back_reads': reads,
            'back_read_seconds': reads / BOUNDS.store_reads,
            'back_retries': self._routers * RETRIES_PER_SECOND,
            'back_planned': planned,
            'back_planned_seconds': planned / BOUNDS.store_writes,
        }

    def _compute_commands(self) -> dict[str, float]:
        commands = self._measured.document['commands']
        put = commands['catalogue put']
        top_up = commands['budget top-up']
        drain = commands['target drain']
        return {
            'put_reads': put['reads'],
            'put_writes': put['writes'],
            'drain_reads': drain['reads'],
            'drain_writes': drain['writes'],
            'top_reads': top_up['reads'],
            'top_writes': top_up['writes'],
            'commands_reads': put['reads'] * FLEET.changes,
            'commands_writes': put['writes'] * FLEET.changes,
        }


def check_limits(figures: Mapping[str, float]) -> dict[str, str]:
    """Return ``yes`` or ``**no**`` for each figure that has a limit.

    Args:
        figures: The figures by name.
    """
    return {
        f'fit_{name}': 'yes' if figures[name] <= bound else '**no**'
        for name, bound in LIMITS.items()
    }


def format_figure(figure: float) -> str:
    """Format a figure with three significant digits and thousands separators."""
    if abs(figure) < MIN_NONZERO:
        return '0'
    digits = 2 - math.floor(math.log10(abs(figure)))
    if digits <= 0:
        return f'{round(figure, digits):,.0f}'
    return f'{figure:.{digits}f}'.rstrip('0').rstrip('.')


def render() -> str:
    """Return the page computed from the committed measurements."""
    figures = Capacity(load_measured()).list_figures()
    page = TEMPLATE.read_text()
    return page.format(**figures, slope_table=_make_slope_table())


def run(check: bool = False, page: str = PAGE) -> None:
    """Write the page, or check that it is up to date.

    Args:
        check: Only compare; the exit code is 1 if the page differs.
        page: Path of the page.
    """
    text = render()
    if not check:
        Path(page).write_text(text)
        return
    if Path(page).read_text() != text:
        sys.stderr.write(f'{page} does not match the committed measurements\n')
        sys.exit(1)


def _make_slope_table() -> str:
    rows = ['| against | level | points | slope | base | residual |']
    rows.append('| --- | --- | --- | --- | --- | --- |')
    document = load_measured().document
    for name, slope in document['slopes'].items():
        for level, line in slope['lines'].items():
            points = ', '.join(
                f'{cost["size"]:g}: {cost[level]}' for cost in slope['costs']
            )
            parameters = [
                format_figure(line[parameter])
                for parameter in ('slope', 'base', 'residual')
            ]
            rows.append(f'| {name} | {level} | {points} | {" | ".join(parameters)} |')
    return '\n'.join(rows)


if __name__ == '__main__':
    fire.Fire({'write': run, 'collect': collect})
