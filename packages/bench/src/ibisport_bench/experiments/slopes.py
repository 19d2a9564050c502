"""Measures the control cost of routers and agents by the size of the site.

Run with ``python -m ibisport_bench.experiments.slopes``. The real programs run
against the store stand-in; agents that only cause control traffic have no target.
An experiment grows one site through all its sizes, so that each point takes only
seconds. Network bytes aren't read from the system, because it counts them for the
whole machine: the capacity script computes them from the size of encoded frames.
"""

import itertools
import math
import tempfile
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path

import fire
import orjson
import urllib3

from ibisport_bench.experiments.figures import print_row, print_table
from ibisport_bench.experiments.fit import Line, fit_line
from ibisport_bench.experiments.processes import Usage, read_usage
from ibisport_bench.launcher import Program
from ibisport_bench.load.patience import start_patiently
from ibisport_bench.load.report import write_result
from ibisport_bench.site import Site, SitePlan, Target, WorkspacePlan
from ibisport_core.entries import EntryKind, name_entry
from ibisport_core.identity import hash_key
from ibisport_core.store import Put

SETTLE_SECONDS = 3.0
THREADS = 8
MAX_PUTS_PER_COMMIT = 100
BYTES_PER_MEGABYTE = 1_000_000
CALL_TIMEOUT_SECONDS = 10
UNREACHABLE_ADDRESS = '127.0.0.1:9'
BUDGET_TOKENS = 1_000_000
AGENT_COUNTS = (8, 16, 32)
ROUTER_COUNTS = (2, 4, 8)
BUDGET_COUNTS = (10, 30, 100)
ENTRY_COUNTS = (100, 1000, 5000)
CHANGES_PER_SECOND = (2, 5, 10)
CALL_INTERVAL_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Cost:
    """Control cost at one size, averaged over the processes of a role.

    Attributes:
        size: The size or rate that is varied.
        router_core: Share of one core that a router uses.
        router_mb: Resident megabytes of a router.
        agent_core: Share of one core that an agent uses.
        agent_mb: Resident megabytes of an agent.
        reads: Store reads per second per router.
        writes: Store writes per second per router.
    """

    size: float
    router_core: float
    router_mb: float
    agent_core: float
    agent_mb: float
    reads: float
    writes: float


LEVELS = ('router_core', 'router_mb', 'agent_core', 'agent_mb', 'reads', 'writes')


@dataclass(slots=True)
class Slope:
    """Control costs at several sizes.

    Attributes:
        name: What is varied.
        held: Description of what is held constant.
        costs: The measured points.
    """

    name: str
    held: str
    costs: list[Cost] = field(default_factory=list)

    def fit(self) -> dict[str, Line]:
        """Return a fitted line for each level."""
        sizes = [cost.size for cost in self.costs]
        return {
            level: fit_line(sizes, [getattr(cost, level) for cost in self.costs])
            for level in LEVELS
        }


class Meter:
    """Measures the control cost of a running site."""

    def __init__(self, site: Site, seconds: float) -> None:
        """Create a meter.

        Args:
            site: The running site.
            seconds: Measuring time per point.
        """
        self._site = site
        self._seconds = seconds

    def measure(self, size: float) -> Cost:
        """Wait for the site to settle, then measure one point."""
        time.sleep(SETTLE_SECONDS)
        site = self._site
        agents = [target.agent for target in site.targets.values()]
        site.http.request('POST', f'{site.store.url}/reset_counts', timeout=5)
        before = (_read_all(site.routers), _read_all(agents))
        started_at = time.monotonic()
        time.sleep(self._seconds)
        after = (_read_all(site.routers), _read_all(agents))
        elapsed = time.monotonic() - started_at
        reads, writes = self._read_counts()
        routers = len(site.routers)
        return Cost(
            size=size,
            router_core=_mean_share(before[0], after[0], elapsed),
            router_mb=_mean_resident(after[0]),
            agent_core=_mean_share(before[1], after[1], elapsed),
            agent_mb=_mean_resident(after[1]),
            reads=round(reads / elapsed / routers, 2),
            writes=round(writes / elapsed / routers, 2),
        )

    def _read_counts(self) -> tuple[int, int]:
        """Return the store reads and writes of all routers since the reset."""
        answer = self._site.http.request('GET', f'{self._site.store.url}/counts')
        clients = orjson.loads(answer.data)['clients']
        router_counts = [
            counts for name, counts in clients.items() if name.startswith('entry-')
        ]
        return sum(counts['reads'] for counts in router_counts), sum(
            counts['writes'] for counts in router_counts
        )


def measure_agents(seconds: float) -> Slope:
    """Vary the number of agents with two routers."""
    slope = Slope('agents', '2 routers, idle')
    with _RunningSite(routers=2) as site:
        for count in AGENT_COUNTS:
            _add_agents(site, count)
            slope.costs.append(Meter(site, seconds).measure(count))
    return slope


def measure_routers(seconds: float) -> Slope:
    """Vary the number of routers with eight agents."""
    slope = Slope('routers', '8 agents, idle')
    with _RunningSite(routers=1) as site:
        _add_agents(site, AGENT_COUNTS[0])
        for count in ROUTER_COUNTS:
            while len(site.routers) < count:
                site.add_router()
            site.wait_ready()
            slope.costs.append(Meter(site, seconds).measure(count))
    return slope


def measure_budgets(seconds: float) -> Slope:
    """Vary the number of budgets in use, each by one call every two seconds."""
    slope = Slope('budgets', '1 router, 1 plain service, a call each 2 s a budget')
    workspaces = tuple(
        WorkspacePlan(f'w{number}', BUDGET_TOKENS)
        for number in range(BUDGET_COUNTS[-1])
    )
    with _RunningSite(routers=1, services=1, workspaces=workspaces) as site:
        for count in BUDGET_COUNTS:
            with _PeriodicCalls(
                _make_calls(site, count), count / CALL_INTERVAL_SECONDS
            ):
                slope.costs.append(Meter(site, seconds).measure(count))
    return slope


def measure_entries(seconds: float) -> Slope:
    """Vary the number of catalogue entries."""
    slope = Slope('entries', '2 routers, 8 agents, idle')
    with _RunningSite(routers=2) as site:
        _add_agents(site, AGENT_COUNTS[0])
        written = 0
        for count in ENTRY_COUNTS:
            _put_entries(site, range(written, count))
            written = count
            slope.costs.append(Meter(site, seconds).measure(count))
    return slope


def measure_changes(seconds: float) -> Slope:
    """Vary the changes per second in a catalogue of a thousand entries."""
    slope = Slope('changes', '2 routers, 8 agents, 1,000 entries')
    with _RunningSite(routers=2) as site:
        _add_agents(site, AGENT_COUNTS[0])
        _put_entries(site, range(ENTRY_COUNTS[1]))
        numbers = itertools.cycle(range(ENTRY_COUNTS[1]))

        def change() -> None:
            number = next(numbers)
            _put_entries(site, range(number, number + 1))

        for rate in CHANGES_PER_SECOND:
            with _PeriodicCalls(change, rate):
                slope.costs.append(Meter(site, seconds).measure(rate))
    return slope


EXPERIMENTS: dict[str, Callable[[float], Slope]] = {
    'agents': measure_agents,
    'routers': measure_routers,
    'budgets': measure_budgets,
    'entries': measure_entries,
    'changes': measure_changes,
}
NAMES = tuple(EXPERIMENTS)


def run(
    names: Sequence[str] = NAMES,
    seconds: float = 8,
    out: str = 'bench-results',
) -> None:
    """Run experiments, print points and lines, and write ``slopes.json``.

    Args:
        names: Names of the experiments to run.
        seconds: Measuring time per point.
        out: Folder for the result.
    """
    path = Path(out) / 'slopes.json'
    # Experiments that are not run again keep their earlier results.
    results = orjson.loads(path.read_bytes())['slopes'] if path.exists() else {}
    for name in (names,) if isinstance(names, str) else names:
        slope = EXPERIMENTS[name](seconds)
        lines = slope.fit()
        _print_slope(slope, lines)
        results[name] = {
            'held': slope.held,
            'costs': [asdict(cost) for cost in slope.costs],
            'lines': {level: asdict(line) for level, line in lines.items()},
        }
        # Written after each experiment, so that a failure loses no earlier results.
        write_result(path, 1, {'slopes': results})


class _RunningSite:
    """Context manager for a site without engines."""

    def __init__(
        self,
        routers: int,
        services: int = 0,
        workspaces: tuple[WorkspacePlan, ...] = (),
    ) -> None:
        self._site = Site(
            SitePlan(
                engines=0,
                services=services,
                routers=routers,
                workspaces=workspaces,
                # The rate limits of the platform's store are not measured here.
                store_flags={'writes-per-second': 0, 'reads-per-second': 0},
            ),
            Path(tempfile.mkdtemp(prefix='ibisport-slopes-')),
        )

    def __enter__(self) -> Site:
        start_patiently(self._site)
        return self._site

    def __exit__(self, *failure: object) -> None:
        self._site.stop()


class _PeriodicCalls:
    """Context manager that runs an action at a fixed rate in a thread pool."""

    def __init__(self, action: Callable[[], object], rate: float) -> None:
        self._action = action
        self._rate = rate
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> None:
        self._thread.start()

    def __exit__(self, *failure: object) -> None:
        self._stopped.set()
        self._thread.join(CALL_TIMEOUT_SECONDS)

    def _run(self) -> None:
        with ThreadPoolExecutor(THREADS) as pool:
            next_at = time.monotonic()
            while not self._stopped.wait(max(0, next_at - time.monotonic())):
                pool.submit(self._action)
                next_at += 1 / self._rate


def _make_calls(site: Site, count: int) -> Callable[[], object]:
    numbers = itertools.cycle(range(count))
    http = urllib3.PoolManager(maxsize=THREADS, retries=False)

    def call() -> None:
        http.request(
            'POST',
            f'{site.routers[0].url}/portal/order',
            body=b'{}',
            headers={'Authorization': f'Bearer key-w{next(numbers)}'},
            timeout=CALL_TIMEOUT_SECONDS,
        )

    return call


def _add_agents(site: Site, count: int) -> None:
    numbers = range(len(site.targets), count)
    with ThreadPoolExecutor(THREADS) as pool:
        list(pool.map(lambda number: _add_agent(site, number), numbers))
    site.wait_ready()


def _add_agent(site: Site, number: int) -> None:
    name = f'worker-{number}'
    domain = site.plan.domains[number % len(site.plan.domains)]
    agent = site.start_agent(name, domain, UNREACHABLE_ADDRESS)
    target = Target(name, domain, ['acoustics'], agent, agent)
    site.targets[name] = target
    site.put_target(target)


def _put_entries(site: Site, numbers: Iterable[int]) -> None:
    puts = [_make_put(number) for number in numbers]
    for start in range(0, len(puts), MAX_PUTS_PER_COMMIT):
        site.client.commit([], puts[start : start + MAX_PUTS_PER_COMMIT])


def _make_put(number: int) -> Put:
    name = f'filler-{number}'
    entry = {
        'name': name,
        'owner': 'operators',
        'weight': 1 + math.modf(time.time())[0],
        'keys': [{'hash': hash_key(name), 'budget': 'main'}],
        'limits': {},
    }
    return Put(name_entry(EntryKind.workspace, name), orjson.dumps(entry))


def _read_all(programs: Sequence[Program]) -> list[Usage]:
    return [read_usage(program) for program in programs]


def _mean_share(
    before: Sequence[Usage], after: Sequence[Usage], elapsed: float
) -> float:
    used_seconds = sum(usage.seconds for usage in after) - sum(
        usage.seconds for usage in before
    )
    return round(used_seconds / elapsed / max(1, len(after)), 4)


def _mean_resident(usages: Sequence[Usage]) -> float:
    total_bytes = sum(usage.resident_bytes for usage in usages)
    return round(total_bytes / max(1, len(usages)) / BYTES_PER_MEGABYTE, 1)


def _print_slope(slope: Slope, lines: dict[str, Line]) -> None:
    print_table(f'{slope.name} ({slope.held})', (slope.name, *LEVELS), ())
    for cost in slope.costs:
        levels = [str(getattr(cost, level)) for level in LEVELS]
        print_row([f'{cost.size:g}', *levels])
    print_row(['slope', *[f'{lines[level].slope:.3g}' for level in LEVELS]])
    print_row(['base', *[f'{lines[level].base:.3g}' for level in LEVELS]])
    print_row(['residual', *[f'{lines[level].residual:.2g}' for level in LEVELS]])


if __name__ == '__main__':
    fire.Fire(run)
