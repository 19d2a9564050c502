"""Simulates the budgets of a router fleet in virtual time, under injected faults."""

import asyncio
import os
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from ibisport_bench.standins.memory_store import MemoryService
from ibisport_fleet.addresses import Address
from ibisport_fleet.budget_page import decode_page
from ibisport_fleet.budget_writes import PAGE_KEY
from ibisport_fleet.budgets import Budgets, TokensUnavailable
from ibisport_fleet.catalogue import Catalogue, Workspace
from ibisport_fleet.clocks import Clocks
from ibisport_fleet.errors import PeerUnavailable, RecordInvalid
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.fleet_view import CatalogueView
from ibisport_fleet.loans import Loan, LoanRequest
from ibisport_fleet.membership import Membership
from ibisport_fleet.settings import Feature
from ibisport_fleet.shutdown import REFERENCE_GRACE_SECONDS, plan_shutdown
from ibisport_fleet.store import Item

RESTART_SECONDS = 1.2
# A planned restart is faster than one after a crash.
ROLL_RESTART_SECONDS = 0.5
# One-way delay between two hosts.
LINK_SECONDS = 0.001
BOOT_CLOCK_JUMP_SECONDS = 50_000.0
# Target for the time to the first byte of all requests.
OBJECTIVE_SECONDS = 0.5


@dataclass(slots=True)
class Host:
    """A simulated host and the router process that currently runs on it.

    Attributes:
        name: Name of the host.
        boots: Reboots of the machine so far; each one changes the boot ID.
        booted_at: Virtual time of the last reboot, where the boot clock starts.
        is_off: Whether the machine has had no power since its last process ran.
        budgets: Budgets of the process, or None while no process runs.
        tasks: Tasks of the process.
    """

    name: str
    boots: int = 0
    booted_at: float = 0.0
    is_off: bool = False
    budgets: Budgets | None = None
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)


class _PeerClient:
    """Sends loan requests from one host to the others."""

    def __init__(self, world: 'BudgetWorld', name: str) -> None:
        self._world = world
        self._name = name

    async def ask(
        self, address: Address, request: LoanRequest, deadline: float
    ) -> Loan:
        """Ask a lender for a loan.

        Raises:
            PeerUnavailable: The lender is down, unreachable or too slow, or its answer
                was lost.
        """
        world = self._world
        await asyncio.sleep(LINK_SECONDS)
        lender = world.find_host(address[0]).budgets
        if lender is None or world.apart & {self._name, address[0]}:
            raise PeerUnavailable('no answer')
        try:
            async with asyncio.timeout_at(deadline):
                loan = await lender.lend(request)
                await asyncio.sleep(world.answer_delays.get(address[0], 0.0))
        except TimeoutError as error:
            raise PeerUnavailable('no answer in time') from error
        await asyncio.sleep(LINK_SECONDS)
        if world.service.random.random() < world.lose_loans:
            raise PeerUnavailable('the answer was lost')
        return loan


class BudgetWorld:
    """Simulated hosts that spend the budgets of one or more workspaces.

    Attributes:
        service: The store that the hosts share, and its faults.
        delivered: Tokens delivered to callers; a request in progress counts with its
            maximum.
        delivered_by_host: Delivered tokens by host.
        outcomes: Number of requests served or refused, by reason.
        apart: Names of the hosts that are cut off from all other hosts.
        lose_loans: Probability that the answer to a loan request is lost.
        answer_delays: Additional seconds until a host answers a loan request.
        waits: Seconds that each served request waited for its tokens.
        workspace: The first workspace.
        keeps_boot_ids: Whether machines keep their boot IDs when they lose power, and
            continue with a boot clock that is far ahead.
    """

    def __init__(
        self,
        hosts: int,
        budget: int,
        seed: int,
        workspaces: int = 1,
        features: Collection[Feature] = (),
    ) -> None:
        """Build the simulation without starting any process.

        Args:
            hosts: Number of hosts.
            budget: Tokens paid for by each workspace.
            seed: Seed of the random faults of the store and of loans.
            workspaces: Number of workspaces.
            features: The optional parts that are in use at all hosts.
        """
        self.service = MemoryService(seed)
        self.delivered = 0
        self.delivered_by_host: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.apart: set[str] = set()
        self.lose_loans = 0.0
        self.answer_delays: dict[str, float] = {}
        self.waits: list[float] = []
        self._features = features
        self.keeps_boot_ids = False
        self.workspace = Workspace('acme', None, budget)
        self._workspaces = [
            self.workspace,
            *(
                Workspace(f'acme-{index}', None, budget)
                for index in range(1, workspaces)
            ),
        ]
        self._delivered_by_workspace: Counter[str] = Counter()
        self._log = EventLog(os.open(os.devnull, os.O_WRONLY))
        self._view = CatalogueView('', self._decode, self._log)
        self._view.current = self._build_catalogue()
        self._hosts = [Host(f'host-{number}') for number in range(hosts)]

    @property
    def names(self) -> list[str]:
        """Names of all hosts."""
        return [host.name for host in self._hosts]

    def find_host(self, name: str) -> Host:
        """Return the host with a name."""
        return next(host for host in self._hosts if host.name == name)

    def count_used(self) -> int:
        """Return the tokens that running processes count as spent or reserved."""
        return sum(
            host.budgets.find_local(self.workspace.name).used
            for host in self._hosts
            if host.budgets is not None
        )

    @property
    def overspent(self) -> int:
        """Tokens delivered beyond the budgets.

        A request in progress counts with its maximum.
        """
        return sum(
            max(
                0,
                self._delivered_by_workspace[workspace.name] - (workspace.budget or 0),
            )
            for workspace in self._workspaces
        )

    def count_stranded(self) -> int:
        """Return the tokens that count as spent but weren't delivered.

        These are counted in the shared page or by the process of a host.
        """
        page = decode_page(self.service.items[PAGE_KEY].content)
        counted = sum(account.closed for account in page.accounts.values())
        for host in self._hosts:
            if host.budgets is not None:
                counted += sum(
                    host.budgets.find_local(workspace.name).used
                    for workspace in self._workspaces
                )
        return counted - self.delivered

    def count_borrowed(self, number: int) -> int:
        """Return the tokens that a host has borrowed and no request has reserved."""
        budgets = self._hosts[number % len(self._hosts)].budgets
        return (
            0 if budgets is None else budgets.find_local(self.workspace.name).borrowed
        )

    def is_running(self, number: int) -> bool:
        """Tell whether a process runs on a host."""
        return self._hosts[number % len(self._hosts)].budgets is not None

    def start_all(self) -> None:
        """Start a process on every host that has none."""
        for number in range(len(self._hosts)):
            self.start(number)

    def start(self, number: int) -> None:
        """Start a process on a host unless it already has one."""
        host = self._hosts[number % len(self._hosts)]
        if host.budgets is not None:
            return
        time = asyncio.get_running_loop().time
        if host.is_off:
            self._boot(host, time())
        store = self.service.open_store(host.name)
        members = Membership(host.name, (host.name, 0), store, self._log, time)
        host.budgets = Budgets(
            members,
            store,
            self._view,
            self._log,
            _PeerClient(self, host.name),
            _build_clocks(host),
            self._features,
        )
        self._spawn(host, members.run())
        self._spawn(host, host.budgets.run())
        self._spawn(host, host.budgets.run_proof_renewals())
        self._spawn(host, host.budgets.run_repayments())

    def kill(self, number: int, seconds: float = RESTART_SECONDS) -> None:
        """Kill a host's process; a new one starts after some seconds."""
        host = self._hosts[number % len(self._hosts)]
        host.budgets = None
        for task in tuple(host.tasks):
            task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self.start, number)

    def cut_power(self, number: int, seconds: float) -> None:
        """Cut a machine's power; it boots and starts a process after some seconds."""
        host = self._hosts[number % len(self._hosts)]
        self.kill(number, seconds)
        host.is_off = True

    async def stop(self, number: int) -> None:
        """Stop a host's process cleanly; a new one starts after ``RESTART_SECONDS``."""
        host = self._hosts[number % len(self._hosts)]
        budgets, host.budgets = host.budgets, None
        if budgets is None:
            return
        for task in tuple(host.tasks):
            task.cancel()
        try:
            async with asyncio.timeout(5):
                await budgets.close()
        except TimeoutError:
            self.outcomes['not given back'] += 1
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_SECONDS, self.start, number)

    async def leave(self, number: int, seconds: float) -> None:
        """Begin the shutdown of a host's process and end it after some seconds.

        No new process is started.
        """
        host = self._hosts[number % len(self._hosts)]
        budgets = host.budgets
        if budgets is None:
            return
        now = asyncio.get_running_loop().time()
        budgets.leave(plan_shutdown(now, REFERENCE_GRACE_SECONDS))
        await asyncio.sleep(seconds)
        if host.budgets is not budgets:
            # The process was killed in the meantime.
            return
        host.budgets = None
        for task in tuple(host.tasks):
            task.cancel()
        await budgets.close()

    async def roll(self, number: int, seconds: float) -> None:
        """Restart a host's process as in a rolling update.

        The new process starts ``ROLL_RESTART_SECONDS`` after the old one has ended.
        """
        await self.leave(number, seconds)
        await asyncio.sleep(ROLL_RESTART_SECONDS)
        self.start(number)

    def list_lenders(self, number: int) -> list[str]:
        """Return the lenders that a host currently knows, in order of preference."""
        budgets = self._hosts[number % len(self._hosts)].budgets
        return [] if budgets is None else budgets.list_lenders(self.workspace.name)

    def ask(
        self,
        number: int,
        tokens: int,
        share: float,
        seconds: float,
        payer: int = 0,
    ) -> None:
        """Send a request to a host; nothing happens if no process runs there.

        Args:
            number: Number of the host.
            tokens: Maximum cost of the request.
            share: Fraction of ``tokens`` that the request costs in the end.
            seconds: Duration of the request.
            payer: Number of the workspace that pays.
        """
        host = self._hosts[number % len(self._hosts)]
        workspace = self._workspaces[payer]
        if host.budgets is not None:
            self._spawn(host, self._serve(host, workspace, tokens, share, seconds))

    async def reserve(self, number: int, tokens: int) -> None:
        """Reserve tokens on a host for a request that never runs."""
        budgets = self._hosts[number % len(self._hosts)].budgets
        if budgets is not None:
            await budgets.reserve(self.workspace, tokens)

    async def _serve(
        self,
        host: Host,
        workspace: Workspace,
        tokens: int,
        share: float,
        seconds: float,
    ) -> None:
        budgets = host.budgets
        if budgets is None:
            return
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        try:
            reservation = await budgets.reserve(workspace, tokens, OBJECTIVE_SECONDS)
        except TokensUnavailable as error:
            self.outcomes['spent' if error.retry_after is None else 'short'] += 1
            return
        self.waits.append(loop.time() - arrived_at)
        # How much is delivered is unknown until the request ends: count its maximum.
        self._record_delivered(host, workspace, tokens)
        await asyncio.sleep(seconds)
        reservation.spent = int(tokens * share)
        budgets.settle(reservation)
        self._record_delivered(host, workspace, reservation.spent - tokens)
        self.outcomes['served'] += 1

    def _record_delivered(self, host: Host, workspace: Workspace, tokens: int) -> None:
        self.delivered += tokens
        self.delivered_by_host[host.name] += tokens
        self._delivered_by_workspace[workspace.name] += tokens

    def _boot(self, host: Host, now: float) -> None:
        host.is_off = False
        if self.keeps_boot_ids:
            host.booted_at -= BOOT_CLOCK_JUMP_SECONDS
        else:
            host.boots += 1
            host.booted_at = now

    def _spawn(self, host: Host, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        host.tasks.add(task)
        task.add_done_callback(host.tasks.discard)

    def _decode(self, item: Item) -> Catalogue:
        raise RecordInvalid(item.key)

    def _build_catalogue(self) -> Catalogue:
        workspaces = {workspace.name: workspace for workspace in self._workspaces}
        return Catalogue(1, 1, (), {}, workspaces, {}, needs_keys=True)


def _build_clocks(host: Host) -> Clocks:
    """Return the clocks of a host; its boot clock restarts at each reboot."""
    time = asyncio.get_running_loop().time
    booted_at = host.booted_at
    return Clocks(
        boot=lambda: time() - booted_at,
        wall=time,
        boot_id=f'{host.name} {host.boots}',
    )
