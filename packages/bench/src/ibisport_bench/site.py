"""A whole site as separate processes: stand-ins, agents and routers.

Used by the demo, the features and the experiments. The catalogue is written
through the operators' own functions.
"""

import itertools
import sys
import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import urllib3

from ibisport_bench.launcher import Program, start_program
from ibisport_core.entries import EntryKind
from ibisport_core.errors import IbisportError
from ibisport_core.identity import hash_key
from ibisport_core.operators import Operator
from ibisport_core.store import StoreClient

# Seconds without any progress, and in all: how fast the links come one after the
# other depends on what else the machine does.
_MAX_SECONDS_WITHOUT_PROGRESS = 20.0
_MAX_READY_SECONDS = 120.0
_MAX_CONCURRENT_STARTS = 6
_POLL_INTERVAL_SECONDS = 0.05
_OWNER = 'operators'
MODEL = 'acoustics'
SERVICE = 'portal'


class SiteNotReady(IbisportError):
    """The site's processes did not get ready: read their logs."""

    code = 'site_not_ready'


@dataclass(frozen=True, slots=True)
class WorkspacePlan:
    """A workspace of a site.

    Attributes:
        name: Its name; its bearer key is ``key-<name>``.
        tokens: What its budget is topped up with.
        weight: Its share beside others.
        limits: Its limits as in the catalogue.
    """

    name: str
    tokens: int
    weight: float = 1.0
    limits: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SitePlan:
    """How large a site is, and what its processes are told.

    Attributes:
        engines: Count of model engines.
        services: Count of instances of the plain service.
        routers: Count of routers.
        domains: Failure domains, taken in turn.
        workspaces: The customers.
        slots: Slots of each engine.
        token_ms: Milliseconds a token at an engine.
        router_flags: Further settings of routers.
        agent_flags: Further settings of agents.
        engine_flags: Further settings of engines.
        store_flags: Further settings of the store's stand-in.
    """

    engines: int = 2
    services: int = 1
    routers: int = 2
    domains: tuple[str, ...] = ('shah', 'cyber', 'petaling', 'subang')
    workspaces: tuple[WorkspacePlan, ...] = (WorkspacePlan('small', 1_000_000),)
    slots: int = 8
    token_ms: float = 5
    router_flags: dict[str, Any] = field(default_factory=dict)
    agent_flags: dict[str, Any] = field(default_factory=dict)
    engine_flags: dict[str, Any] = field(default_factory=dict)
    store_flags: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Target:
    """A target and the agent beside it."""

    name: str
    domain: str
    serves: str | list[str]
    program: Program
    agent: Program


class Site:
    """The running processes of one site."""

    def __init__(self, plan: SitePlan, folder: Path) -> None:
        """Prepare a site; ``start`` starts its processes.

        Args:
            plan: What to start.
            folder: Where logs go.
        """
        self.plan = plan
        self.folder = folder
        self.targets: dict[str, Target] = {}
        self.routers: list[Program] = []
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self._store: Program | None = None
        self._client: StoreClient | None = None
        self._log_numbers = itertools.count(1)

    @property
    def store(self) -> Program:
        """The key-value service's stand-in."""
        if self._store is None:
            raise SiteNotReady('the site is not started')
        return self._store

    @property
    def client(self) -> StoreClient:
        """A client of the store for checks and operators' work."""
        if self._client is None:
            self._client = StoreClient((self.store.address,), 'operators')
        return self._client

    @property
    def operator(self) -> Operator:
        """The operators' functions on this site's store."""
        return Operator(self.client)

    def start(self) -> None:
        """Start everything and wait until the routers serve."""
        self.folder.mkdir(parents=True, exist_ok=True)
        flags = _make_flags({'port': 0, **self.plan.store_flags})
        self._store = self._start_program(
            'store', _build_module_command('store', flags)
        )
        self._fill_catalogue()
        with ThreadPoolExecutor(_MAX_CONCURRENT_STARTS) as pool:
            started: list[Future[Any]] = [
                pool.submit(self.add_target, f'engine-{number}', number, [MODEL])
                for number in range(self.plan.engines)
            ]
            started += [
                pool.submit(self.add_target, f'service-{number}', number, SERVICE)
                for number in range(self.plan.services)
            ]
            started += [
                pool.submit(self.add_router, number=number)
                for number in range(self.plan.routers)
            ]
            for waited in started:
                waited.result()
        self.wait_ready()

    def stop(self) -> None:
        """End every process."""
        if self._client is not None:
            self._client.close()
            self._client = None
        for program in self._list_programs():
            if program.is_running():
                program.kill()

    def add_target(self, name: str, number: int, serves: str | list[str]) -> Target:
        """Start a target with its agent and write its catalogue entry."""
        domain = self.plan.domains[number % len(self.plan.domains)]
        program = self.start_target(name, isinstance(serves, str))
        agent = self.start_agent(name, domain, program.address)
        target = Target(name, domain, serves, program, agent)
        self.targets[name] = target
        self.put_target(target)
        return target

    def start_target(self, name: str, service: bool) -> Program:
        """Start the stand-in of an engine or of the plain service."""
        if service:
            return self._start_program(
                name, _build_module_command('service', ['--port', '0'])
            )
        flags = {
            'port': 0,
            'slots': self.plan.slots,
            'token-ms': self.plan.token_ms,
            **self.plan.engine_flags,
        }
        return self._start_program(
            name, _build_module_command('engine', _make_flags(flags))
        )

    def start_agent(
        self, name: str, domain: str, target_address: str, listen: str = '127.0.0.1:0'
    ) -> Program:
        """Start the agent beside a target."""
        flags = {
            'target': name,
            'target-address': target_address,
            'listen': listen,
            'failure-domain': domain,
            'store': self.store.address,
            'slots': self.plan.slots,
            **self.plan.agent_flags,
        }
        arguments = [_find_executable('ibisport-agent'), 'serve', *_make_flags(flags)]
        return self._start_program(f'agent-{name}', arguments)

    def restart_agent(self, name: str) -> None:
        """Start a fresh incarnation of an agent at the address of the old one."""
        target = self.targets[name]
        target.agent = self.start_agent(
            name, target.domain, target.program.address, target.agent.address
        )

    def put_target(self, target: Target, **changes: Any) -> None:
        """Write a target's catalogue entry."""
        self.put_entry(
            EntryKind.target,
            {
                'name': target.name,
                'serves': target.serves,
                'agent_address': target.agent.address,
                'target_address': target.program.address,
                'failure_domain': target.domain,
                'limits': {'slots': self.plan.slots},
                **changes,
            },
        )

    def add_router(self, number: int | None = None, **changes: Any) -> Program:
        """Start one more router.

        Args:
            number: Its place among the failure domains; the next by default.
            changes: Settings that differ from the plan's.
        """
        place = len(self.routers) if number is None else number
        flags = {
            'store': self.store.address,
            'failure-domain': self.plan.domains[place % len(self.plan.domains)],
            'host': f'entry-{place}',
            **self.plan.router_flags,
            **changes,
        }
        arguments = [_find_executable('ibisport'), 'route', *_make_flags(flags)]
        router = self._start_program('router', arguments)
        self.routers.append(router)
        return router

    def wait_ready(self, targets: int | None = None) -> None:
        """Wait until every running router is linked to all targets.

        Raises:
            SiteNotReady: What is still missing has not changed for long.
        """
        wanted = len(self.targets) if targets is None else targets
        guard = time.monotonic() + _MAX_READY_SECONDS
        stuck_at = guard
        missing: list[str] = []
        while time.monotonic() < min(stuck_at, guard):
            running = [one for one in self.routers if one.is_running()]
            still = [
                lack for one in running for lack in self._list_missing(one, wanted)
            ]
            if not still:
                return
            if still != missing:
                missing = still
                stuck_at = time.monotonic() + _MAX_SECONDS_WITHOUT_PROGRESS
            time.sleep(_POLL_INTERVAL_SECONDS)
        raise SiteNotReady(f'{self.folder}: {"; ".join(missing)}')

    def read_state(self, router: Program) -> dict[str, Any]:
        """Return what a router believes."""
        address = router.wait_address('ready-status')
        answer = self.http.request('GET', f'http://{address}/state', timeout=5)
        return orjson.loads(answer.data)  # type: ignore[no-any-return]

    def put_entry(self, kind: EntryKind, document: dict[str, Any]) -> None:
        """Write a catalogue entry over whatever stands there."""
        content = orjson.dumps({'owner': _OWNER, **document})
        revision = 0
        for entry in self.operator.list_entries(kind):
            if entry.entry.name == document['name']:
                revision = entry.revision
        self.operator.put_entry(kind, content, revision)

    def set_faults(self, program: Program, **faults: Any) -> None:
        """Set the faults of a stand-in."""
        body = orjson.dumps(faults)
        self.http.request('POST', f'{program.url}/faults', body=body, timeout=5)

    def read_runs(self, service: bool = False) -> list[dict[str, Any]]:
        """Return the run logs of all engines, or of all plain services."""
        found: list[dict[str, Any]] = []
        for target in self.targets.values():
            if isinstance(target.serves, str) == service:
                answer = self.http.request('GET', f'{target.program.url}/runs')
                log = orjson.loads(answer.data)
                found += log['runs'] if service else log
        return found

    def _fill_catalogue(self) -> None:
        self.put_entry(EntryKind.service_class, {'name': 'standard'})
        self.put_entry(EntryKind.model, {'name': MODEL})
        self.put_entry(
            EntryKind.service,
            {'name': SERVICE, 'path_prefix': '/portal', 'token_cost': 1},
        )
        for plan in self.plan.workspaces:
            self.add_workspace(plan)

    def add_workspace(self, plan: WorkspacePlan) -> None:
        """Write a workspace's entry and top its budget up."""
        key = {'hash': hash_key(f'key-{plan.name}'), 'budget': 'main'}
        self.put_entry(
            EntryKind.workspace,
            {
                'name': plan.name,
                'weight': plan.weight,
                'keys': [key],
                'limits': plan.limits,
            },
        )
        self.operator.create_budget(plan.name, 'main')
        if plan.tokens:
            self.operator.top_up(plan.name, 'main', plan.tokens, 'first')

    def _list_programs(self) -> list[Program]:
        programs = self.routers.copy()
        for target in self.targets.values():
            programs.extend((target.agent, target.program))
        if self._store is not None:
            programs.append(self._store)
        return programs

    def _list_missing(self, router: Program, targets: int) -> list[str]:
        """Return what a router lacks before it serves at so many targets."""
        name = router.log_path.stem
        try:
            state = self.read_state(router)
        except urllib3.exceptions.HTTPError as error:
            return [f'{name} does not answer: {type(error).__name__}']
        lacks = [] if state['session_open'] else [f'{name} has no session']
        links = state['targets']
        if sum(link['usable'] for link in links.values()) >= targets:
            return lacks
        lacks.append(f'{name} knows {len(links)} of {targets} targets')
        return lacks + [
            f'{name} cannot use {target}: {_format_link(link)}'
            for target, link in links.items()
            if not link['usable']
        ]

    def _start_program(self, name: str, arguments: Sequence[str]) -> Program:
        log = self.folder / f'{next(self._log_numbers):03}-{name}.log'
        return start_program(list(arguments), log)


def _format_link(link: dict[str, Any]) -> str:
    shown = ('connected', 'draining', 'incarnation')
    return ', '.join(f'{key}={link[key]}' for key in shown)


def _build_module_command(name: str, flags: Sequence[str]) -> list[str]:
    return [sys.executable, '-m', f'ibisport_bench.standins.{name}', *flags]


def _find_executable(name: str) -> str:
    return str(Path(sys.executable).parent / name)


def _make_flags(flags: dict[str, Any]) -> list[str]:
    return [
        part for name, setting in flags.items() for part in (f'--{name}', str(setting))
    ]
