"""Control cost of routers and agents against the size of the site.

Run by ``python -m ibisport_bench.experiments.slopes``. The real programs run
against the store's stand-in; agents that only cost control have no target.
Sizes grow in one site, so that a point takes seconds. Bytes are not read from
the system, which counts them for the whole machine: the capacity script takes
them from the size of encoded frames.
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
    """What control costs at one size; processes of a role are averaged.

    Attributes:
        size: The size that is varied.
        router_core: Share of one core of a router.
        router_mb: Resident megabytes of a router.
        agent_core: Share of one core of an agent.
        agent_mb: Resident megabytes of an agent.
        reads: Store reads a second of a router.
        writes: Store writes a second of a router.
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
    """Costs at several sizes.

    Attributes:
        name: What is varied.
        held: What is held, in words.
        costs: The points.
    """

    name: str
    held: str
    costs: list[Cost] = field(default_factory=list)

    def fit(self) -> dict[str, Line]:
        """Return the line of each level."""
        sizes = [cost.size for cost in self.costs]
        return {
            level: fit_line(sizes, [getattr(cost, level) for cost in self.costs])
            for level in LEVELS
        }


class Meter:
    """Measures a site over some seconds."""

    def __init__(self, site: Site, seconds: float) -> None:
        """Keep what is measured.

        Args:
            site: The running site.
            seconds: How long each point is measured.
        """
        self._site = site
        self._seconds = seconds

    def measure(self, size: float) -> Cost:
        """Measure one point after it has settled."""
        time.sleep(SETTLE_SECONDS)
        site = self._site
        agents = [target.agent for target in site.targets.values()]
        site.http.request('POST', f'{site.store.url}/reset_counts', timeout=5)
        before = (_read_all(site.routers), _read_all(agents))
        started = time.monotonic()
        time.sleep(self._seconds)
        after = (_read_all(site.routers), _read_all(agents))
        elapsed = time.monotonic() - started
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
        """Return the reads and writes of all routers since the reset."""
        answer = self._site.http.request('GET', f'{self._site.store.url}/counts')
        clients = orjson.loads(answer.data)['clients']
        own = [one for name, one in clients.items() if name.startswith('entry-')]
        return sum(one['reads'] for one in own), sum(one['writes'] for one in own)


def measure_agents(seconds: float) -> Slope:
    """Vary the agents before two routers."""
    slope = Slope('agents', '2 routers, idle')
    with _RunningSite(routers=2) as site:
        for count in AGENT_COUNTS:
            _add_agents(site, count)
            slope.costs.append(Meter(site, seconds).measure(count))
    return slope


def measure_routers(seconds: float) -> Slope:
    """Vary the routers before eight agents."""
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
    """Vary the budgets that are drawn on, each by a call every two seconds."""
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
    """Vary the catalogue's entries."""
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
    """Vary the changes a second of a catalogue of a thousand entries."""
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
    """Measure slopes, print points and lines, and write ``slopes.json``.

    Args:
        names: Which of the experiments.
        seconds: How long each point is measured.
        out: Folder of the result.
    """
    path = Path(out) / 'slopes.json'
    # Experiments that are not run again keep what they gave.
    found = orjson.loads(path.read_bytes())['slopes'] if path.exists() else {}
    for name in (names,) if isinstance(names, str) else names:
        slope = EXPERIMENTS[name](seconds)
        lines = slope.fit()
        _print_slope(slope, lines)
        found[name] = {
            'held': slope.held,
            'costs': [asdict(cost) for cost in slope.costs],
            'lines': {level: asdict(line) for level, line in lines.items()},
        }
        # Written after each, so that what was measured is kept on a failure.
        write_result(path, 1, {'slopes': found})


class _RunningSite:
    """A site without engines, for the time of one experiment."""

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
                # The limits of the platform's service are not in question.
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
    """Does something at a fixed rate in threads, for the time of one point."""

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
            due = time.monotonic()
            while not self._stopped.wait(max(0, due - time.monotonic())):
                pool.submit(self._action)
                due += 1 / self._rate


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
    spent = sum(one.seconds for one in after) - sum(one.seconds for one in before)
    return round(spent / elapsed / max(1, len(after)), 4)


def _mean_resident(used: Sequence[Usage]) -> float:
    whole = sum(one.resident_bytes for one in used)
    return round(whole / max(1, len(used)) / BYTES_PER_MEGABYTE, 1)


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
