"""Fixtures of the catalogue's steps: the service, a follower, its news."""

import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass
from io import StringIO
from pathlib import Path
from random import Random
from typing import Any

import orjson
import urllib3

from ibisport_bench.launcher import Program, start_program
from ibisport_core.catalogue import Catalogue
from ibisport_core.entries import CATALOGUE_PREFIX
from ibisport_core.errors import StoreCompacted, StoreOutcomeUnknown, StoreUnavailable
from ibisport_core.operators import Operator
from ibisport_core.store import Commit, Delete, Put, Record, StoreClient, Unchanged
from ibisport_router.commands import CatalogueCommands

PATIENCE = 20.0
RETRY_PAUSE = 0.05


class Service:
    """A running stand-in of the key-value service."""

    def __init__(self, program: Program, add_cleanup: Callable[..., Any]) -> None:
        self.address = program.address
        self._url = program.url
        self._add_cleanup = add_cleanup

    def make_client(
        self,
        label: str = 'tests',
        earlier: tuple[str, ...] = (),
    ) -> StoreClient:
        """Return a client that tries the earlier endpoints first."""
        client = StoreClient((*earlier, self.address), label)
        self._add_cleanup(client.close)
        return client

    def make_operator(self, earlier: tuple[str, ...] = ()) -> Operator:
        """Return an operator with a client of its own."""
        return Operator(self.make_client(earlier=earlier), Random(7))

    def order_faults(self, **faults: Any) -> None:
        """Change the faults in force."""
        self._post('/faults', faults)

    def compact(self, revision: int) -> None:
        """Let the service forget what stood before a revision."""
        self._post('/v3/kv/compaction', {'revision': str(revision)})

    def list_writes(self, key: str = '') -> list[dict[str, Any]]:
        """Return what the service wrote, to one key if it is given."""
        answer = urllib3.request('GET', f'{self._url}/history', retries=False)
        return [one for one in answer.json() if key in {'', one['key']}]

    def _post(self, path: str, fields: dict[str, Any]) -> None:
        answer = urllib3.request('POST', self._url + path, json=fields, retries=False)
        assert answer.status == 200, answer.data


def start_service(context: Any) -> Service:
    """Start the stand-in for one scenario."""
    log = Path(tempfile.mkdtemp(prefix='ibisport-store-')) / 'store.log'
    arguments = [sys.executable, '-m', 'ibisport_bench.standins.store']
    program = start_program(arguments, log)
    context.add_cleanup(program.kill)
    return Service(program, context.add_cleanup)


class OvertakenClient(StoreClient):
    """Client whose first commit takes effect, is overtaken and not answered."""

    def __init__(self, address: str, overtake: Callable[[], None]) -> None:
        super().__init__((address,))
        self._overtake: Callable[[], None] | None = overtake

    def commit(
        self,
        conditions: Sequence[Unchanged],
        writes: Sequence[Put | Delete],
    ) -> Commit:
        """Commit, then lose the first answer."""
        answer = super().commit(conditions, writes)
        if self._overtake is None:
            return answer
        overtake, self._overtake = self._overtake, None
        overtake()
        raise StoreOutcomeUnknown('lost')


class InterruptedClient(StoreClient):
    """Client in whose way others come after its first read."""

    def __init__(self, address: str, interrupt: Callable[[], None]) -> None:
        super().__init__((address,))
        self._interrupt: Callable[[], None] | None = interrupt

    def read(self, key: str) -> Record | None:
        """Read, then let the others act once."""
        record = super().read(key)
        if self._interrupt is not None:
            interrupt, self._interrupt = self._interrupt, None
            interrupt()
        return record


class Follower:
    """Keeps a catalogue by watching, as a router does."""

    def __init__(self, client: StoreClient) -> None:
        self.catalogue = Catalogue()
        self.seen: list[int] = []
        self.cuts = 0
        self.reads = 0
        self._client = client
        self._stopped = threading.Event()
        self._loaded = threading.Event()
        self._thread = threading.Thread(target=self._follow)

    def start(self) -> None:
        """Start and wait for the first whole read."""
        self._thread.start()
        assert self._loaded.wait(PATIENCE)

    def stop(self) -> None:
        """Stop following."""
        self._stopped.set()
        self._thread.join(PATIENCE)
        assert not self._thread.is_alive()

    def _follow(self) -> None:
        wants_whole = True
        while not self._stopped.is_set():
            try:
                wants_whole = self._follow_once(wants_whole)
            except StoreCompacted:
                wants_whole = True
            except StoreUnavailable:
                wants_whole = not self._loaded.is_set()
                self.cuts += 1
                self._stopped.wait(RETRY_PAUSE)

    def _follow_once(self, wants_whole: bool) -> bool:
        if wants_whole:
            snapshot = self._client.read_prefix(CATALOGUE_PREFIX)
            self.catalogue = self.catalogue.with_snapshot(snapshot)
            self.reads += 1
            self._loaded.set()
        start = self.catalogue.revision + 1
        for batch in self._client.watch(CATALOGUE_PREFIX, start, self._stopped):
            self.seen.extend(change.mod_revision for change in batch.changes)
            news = self.catalogue.with_changes(batch.changes, batch.revision)
            self.catalogue = news
        return False


@dataclass(frozen=True, slots=True)
class CommandResult:
    """What a command printed, and its exit code."""

    code: int
    printed: str
    complaint: str


def run_command(service: Service, command: str, *arguments: Any) -> CommandResult:
    """Run a catalogue command; documents are handed in as files."""
    commands = CatalogueCommands(service.address)
    handed = [_write_file(one) for one in arguments]
    complaint = StringIO()
    with redirect_stdout(StringIO()), redirect_stderr(complaint):
        try:
            printed = getattr(commands, command)(*handed)
        except SystemExit as error:
            return CommandResult(int(error.code or 0), '', complaint.getvalue())
    return CommandResult(0, printed, '')


def _write_file(argument: Any) -> str:
    if isinstance(argument, str):
        return argument
    path = Path(tempfile.mkdtemp(prefix='ibisport-file-')) / 'entries.json'
    path.write_bytes(orjson.dumps(argument))
    return str(path)


def wait_until(check: Callable[[], Any], what: str) -> None:
    """Wait until a check is true; fail when it is not in time."""
    deadline = time.monotonic() + PATIENCE
    while not check():
        assert time.monotonic() < deadline, f'{what} did not come'
        time.sleep(0.02)
