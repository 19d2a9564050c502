"""Runs a whole site as separate processes: stand-ins, agents and routers.

The demo, the features and the experiments use it. The catalogue is written through
the same functions that operators use.
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

# A site without progress fails early. The total limit is generous, as the load of the
# machine determines how fast the links are established.
_MAX_SECONDS_WITHOUT_PROGRESS = 20.0
_MAX_READY_SECONDS = 120.0
_MAX_CONCURRENT_STARTS = 6
_POLL_INTERVAL_SECONDS = 0.05
_OWNER = 'operators'
MODEL = 'acoustics'
SERVICE = 'portal'


class SiteNotReady(IbisportError):
    """The processes of the site didn't become ready; see their logs."""

    code = 'site_not_ready'


@dataclass(frozen=True, slots=True)
class WorkspacePlan:
    """A workspace of a site.

    Attributes:
        name: Name of the workspace; its bearer key is ``key-<name>``.
        tokens: Initial top-up of its budget.
        weight: Weight of its share, relative to other workspaces.
        limits: Limits as in its catalogue entry.
    """

    name: str
    tokens: int
    weight: float = 1.0
    limits: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SitePlan:
    """Size of a site and settings of its processes.

    Attributes:
        engines: Number of model engines.
        services: Number of instances of the plain service.
        routers: Number of routers.
        domains: Failure domains, assigned round-robin.
        workspaces: Workspaces of the site.
        slots: Slots of each engine.
        token_ms: Milliseconds per token at an engine.
        router_flags: Additional settings of routers.
        agent_flags: Additional settings of agents.
        engine_flags: Additional settings of engines.
        store_flags: Additional settings of the store's stand-in.
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
    """A target and its agent."""

    name: str
    domain: str
    serves: str | list[str]
    program: Program
    agent: Program


class Site:
    """The processes of one site."""

    def __init__(self, plan: SitePlan, folder: Path) -> None:
        """Prepare a site; ``start`` starts its processes.

        Args:
            plan: Size and settings of the site.
            folder: Folder for the logs of the processes.
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
        """The stand-in of the key-value store."""
        if self._store is None:
            raise SiteNotReady('the site is not started')
        return self._store

    @property
    def client(self) -> StoreClient:
        """A store client for checks and operator functions."""
        if self._client is None:
            self._client = StoreClient((self.store.address,), 'operators')
        return self._client

    @property
    def operator(self) -> Operator:
        """The operator functions on the store of this site."""
        return Operator(self.client)

    def start(self) -> None:
        """Start all processes and wait until the routers are ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        flags = _make_flags({'port': 0, **self.plan.store_flags})
        self._store = self._start_program(
            'store', _build_module_command('store', flags)
        )
        self._fill_catalogue()
        with ThreadPoolExecutor(_MAX_CONCURRENT_STARTS) as pool:
            starts: list[Future[Any]] = [
                pool.submit(self.add_target, f'engine-{number}', number, [MODEL])
                for number in range(self.plan.engines)
            ]
            starts += [
                pool.submit(self.add_target, f'service-{number}', number, SERVICE)
                for number in range(self.plan.services)
            ]
            starts += [
                pool.submit(self.add_router, number=number)
                for number in range(self.plan.routers)
            ]
            for start in starts:
                start.result()
        self.wait_ready()

    def stop(self) -> None:
        """Kill all processes."""
        if self._client is not None:
            self._client.close()
            self._client = None
        for program in self._list_programs():
            if program.is_running():
                program.kill()

    def add_target(self, name: str, number: int, serves: str | list[str]) -> Target:
        """Start a target and its agent, and write the target's catalogue entry."""
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
        """Start the agent of a target."""
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
        """Start a new incarnation of an agent at the same address."""
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
        """Start another router.

        Args:
            number: Number of the router, which determines its failure domain; the next
                number by default.
            changes: Settings that override those of the plan.
        """
        router_number = len(self.routers) if number is None else number
        flags = {
            'store': self.store.address,
            'failure-domain': self.plan.domains[router_number % len(self.plan.domains)],
            'host': f'entry-{router_number}',
            **self.plan.router_flags,
            **changes,
        }
        arguments = [_find_executable('ibisport'), 'route', *_make_flags(flags)]
        router = self._start_program('router', arguments)
        self.routers.append(router)
        return router

    def wait_ready(self, targets: int | None = None) -> None:
        """Wait until every running router is ready and can use all targets.

        Args:
            targets: Number of targets to wait for; all targets by default.

        Raises:
            SiteNotReady: Something is still missing and there was no progress for 20
                seconds, or the site wasn't ready after 120 seconds.
        """
        target_count = len(self.targets) if targets is None else targets
        deadline = time.monotonic() + _MAX_READY_SECONDS
        no_progress_deadline = deadline
        missing: list[str] = []
        while time.monotonic() < min(no_progress_deadline, deadline):
            running = [router for router in self.routers if router.is_running()]
            now_missing = [
                line
                for router in running
                for line in self._list_missing(router, target_count)
            ]
            if not now_missing:
                return
            if now_missing != missing:
                missing = now_missing
                no_progress_deadline = time.monotonic() + _MAX_SECONDS_WITHOUT_PROGRESS
            time.sleep(_POLL_INTERVAL_SECONDS)
        raise SiteNotReady(f'{self.folder}: {"; ".join(missing)}')

    def read_state(self, router: Program) -> dict[str, Any]:
        """Return the state that a router reports on its status port."""
        address = router.wait_address('ready-status')
        answer = self.http.request('GET', f'http://{address}/state', timeout=5)
        return orjson.loads(answer.data)  # type: ignore[no-any-return]

    def put_entry(self, kind: EntryKind, document: dict[str, Any]) -> None:
        """Write a catalogue entry, replacing an existing one."""
        content = orjson.dumps({'owner': _OWNER, **document})
        revision = 0
        for entry in self.operator.list_entries(kind):
            if entry.entry.name == document['name']:
                revision = entry.revision
        self.operator.put_entry(kind, content, revision)

    def set_faults(self, program: Program, **faults: Any) -> None:
        """Set the injected faults of a stand-in."""
        body = orjson.dumps(faults)
        self.http.request('POST', f'{program.url}/faults', body=body, timeout=5)

    def read_runs(self, service: bool = False) -> list[dict[str, Any]]:
        """Return the run logs of all engines, or of all plain services."""
        runs: list[dict[str, Any]] = []
        for target in self.targets.values():
            if isinstance(target.serves, str) == service:
                answer = self.http.request('GET', f'{target.program.url}/runs')
                log = orjson.loads(answer.data)
                runs += log['runs'] if service else log
        return runs

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
        """Write the entry of a workspace and top up its budget."""
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
        """Return the reasons why a router can't use so many targets yet."""
        name = router.log_path.stem
        try:
            state = self.read_state(router)
        except urllib3.exceptions.HTTPError as error:
            return [f'{name} does not answer: {type(error).__name__}']
        missing = [] if state['session_open'] else [f'{name} has no session']
        links = state['targets']
        if sum(link['usable'] for link in links.values()) >= targets:
            return missing
        missing.append(f'{name} knows {len(links)} of {targets} targets')
        return missing + [
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
