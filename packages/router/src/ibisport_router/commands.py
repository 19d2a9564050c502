"""Operators' commands: ``ibisport catalogue``, ``budget`` and ``target``.

Each prints JSON. A failure is printed to the standard error as JSON, and the
exit code tells its type.
"""

import re
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import wraps
from types import MappingProxyType
from typing import Any, TypeVar

from fire.decorators import SetParseFn

from ibisport_core.entries import DEFAULT_BUDGET, EntryKind, TargetState
from ibisport_core.errors import (
    AccountInvalid,
    EntryConflict,
    EntryFault,
    EntryInvalid,
    EntryMissing,
    IbisportError,
    SessionNotFenced,
    SettingsError,
    StoreCompacted,
    StoreOutcomeUnknown,
    StoreRejected,
    StoreUnavailable,
    TopUpConflict,
)
from ibisport_core.operators import Operator
from ibisport_core.settings import ProcessSettings, load_settings
from ibisport_core.store import StoreClient
from ibisport_router.internal.documents import (
    EntryDocument,
    print_json,
    read_documents,
    show_budget,
    show_entry,
    show_target,
    show_version,
)
from ibisport_router.internal.session import SESSION_PREFIX, load_session
from ibisport_router.internal.writeoff import write_off_session

CLIENT_LABEL = 'operator'
OTHER_EXIT_CODE = 1
EXIT_CODES = MappingProxyType(
    {
        SettingsError: 2,
        EntryInvalid: 10,
        EntryConflict: 11,
        EntryMissing: 12,
        TopUpConflict: 13,
        AccountInvalid: 14,
        SessionNotFenced: 15,
        StoreUnavailable: 20,
        StoreOutcomeUnknown: 21,
        StoreRejected: 22,
        StoreCompacted: 23,
    }
)
_ENDPOINT = re.compile(r'[0-9.]{7,15}:[0-9]{1,5}')
_Command = TypeVar('_Command', bound=Callable[..., str])


def find_exit_code(error: IbisportError) -> int:
    """Return the exit code of a failure."""
    return EXIT_CODES.get(type(error), OTHER_EXIT_CODE)


def describe_failure(error: IbisportError) -> dict[str, Any]:
    """Return a failure as it is printed."""
    described: dict[str, Any] = {'error': error.code, 'detail': str(error)}
    match error:
        case EntryInvalid(faults=faults):
            described['faults'] = faults
        case EntryConflict(revision=revision):
            described['revision'] = revision
    return described


def report_failures(command: _Command) -> _Command:
    """Let a command end with a message and an exit code when it fails."""

    @wraps(command)
    def run(*arguments: Any, **flags: Any) -> str:
        try:
            return command(*arguments, **flags)
        except IbisportError as error:
            sys.stderr.write(f'{print_json(describe_failure(error))}\n')
            sys.exit(find_exit_code(error))

    # Fire must not turn names and ids that look like numbers into numbers.
    return SetParseFn(str)(run)


class OperatorCommands:
    """What the groups of commands share: the store."""

    def __init__(self, store: str = '') -> None:
        """Choose the store.

        Args:
            store: Its endpoints ``ip:port``, comma-separated; the variable
                IBISPORT_STORE if empty.
        """
        self._store = store

    @contextmanager
    def _operate(self) -> Iterator[Operator]:
        with self._connect() as client:
            yield Operator(client)

    @contextmanager
    def _connect(self) -> Iterator[StoreClient]:
        flags = {'store': self._store} if self._store else {}
        endpoints = load_settings(ProcessSettings, flags).store_endpoints
        _check_endpoints(endpoints)
        client = StoreClient(endpoints, CLIENT_LABEL)
        try:
            yield client
        finally:
            client.close()


@SetParseFn(str)
class CatalogueCommands(OperatorCommands):
    """Reads and changes the catalogue."""

    @report_failures
    def put(self, file: str, expect: str = '') -> str:
        """Write the entries of a file, in order, up to the first failure.

        Args:
            file: Path of one document or a list, as ``get`` prints them; ``-``
                for the standard input.
            expect: Revision that must stand; that of the document if empty,
                and 0, which creates the entry, if it names none.
        """
        with self._operate() as operator:
            written = [
                _put(operator, document, expect) for document in read_documents(file)
            ]
        return print_json(written)

    @report_failures
    def get(self, kind: str, name: str) -> str:
        """Print an entry with its revision."""
        with self._operate() as operator:
            return print_json(show_entry(operator.get_entry(parse_kind(kind), name)))

    @report_failures
    def list(self, kind: str = '') -> str:
        """Print all entries, or those of one kind."""
        kinds = [parse_kind(kind)] if kind else EntryKind
        with self._operate() as operator:
            shown = [
                show_entry(stored)
                for wanted in kinds
                for stored in operator.list_entries(wanted)
            ]
        return print_json(shown)

    @report_failures
    def history(self, kind: str, name: str) -> str:
        """Print the kept versions of an entry, oldest first."""
        with self._operate() as operator:
            versions = operator.list_history(parse_kind(kind), name)
        return print_json([show_version(version) for version in versions])

    @report_failures
    def validate(self, file: str) -> str:
        """Check the entries of a file without writing; fail on any fault."""
        with self._operate() as operator:
            faults = [
                fault
                for document in read_documents(file)
                for fault in operator.validate(document.kind, document.content)
            ]
        if faults:
            raise EntryInvalid(*faults)
        return print_json({'valid': True})

    @report_failures
    def diff(self, file: str) -> str:
        """Print the fields in which a file's entries differ from the store."""
        with self._operate() as operator:
            differences = [
                {
                    'kind': document.kind,
                    'name': document.entry.get('name'),
                    'fields': operator.diff(document.kind, document.content),
                }
                for document in read_documents(file)
            ]
        return print_json(differences)

    @report_failures
    def remove(self, kind: str, name: str, expect: str = '') -> str:
        """Remove an entry that no other one refers to.

        Args:
            kind: Kind of the entry.
            name: Its name.
            expect: Revision that must stand; whichever stands now if empty.
        """
        expected = parse_number('expect', expect) if expect else None
        with self._operate() as operator:
            revision = operator.remove_entry(parse_kind(kind), name, expected)
        return print_json({'removed': name, 'revision': revision})


@SetParseFn(str)
class BudgetCommands(OperatorCommands):
    """Reads and tops up prepaid budgets."""

    @report_failures
    def show(self, workspace: str, budget: str = DEFAULT_BUDGET) -> str:
        """Print the figures of a budget, in tokens."""
        with self._operate() as operator:
            account = operator.read_budget(workspace, budget)
        return print_json(show_budget(workspace, budget, account))

    @report_failures
    def top_up(
        self,
        workspace: str,
        tokens: str,
        id: str,
        budget: str = DEFAULT_BUDGET,
    ) -> str:
        """Add a payment to a budget, once for each id.

        Args:
            workspace: The workspace that paid.
            tokens: Tokens paid for.
            id: Your id of the payment; using it again changes nothing.
            budget: Name of the budget.
        """
        number = parse_number('tokens', tokens)
        with self._operate() as operator:
            account = operator.top_up(workspace, budget, number, id)
        return print_json(show_budget(workspace, budget, account))

    @report_failures
    def create(self, workspace: str, budget: str = DEFAULT_BUDGET) -> str:
        """Create an empty budget; one that stands is left as it is."""
        with self._operate() as operator:
            account = operator.create_budget(workspace, budget)
        return print_json(show_budget(workspace, budget, account))


@SetParseFn(str)
class SessionCommands(OperatorCommands):
    """Shows routers' sessions and ends those that cannot be recovered."""

    @report_failures
    def list(self) -> str:
        """Print every session's state, and who recovers it."""
        with self._connect() as client:
            found = client.read_prefix(SESSION_PREFIX).records
        sessions = {
            one.key.removeprefix(SESSION_PREFIX): load_session(one.content)
            for one in found
        }
        return print_json(sessions)

    @report_failures
    def write_off(self, session: str) -> str:
        """Count all that a fenced session holds as spent, and end it.

        Use it when an agent that the recovery waits for never comes back.

        Args:
            session: Name of the session, as ``list`` prints it.
        """
        with self._connect() as client:
            written = write_off_session(client, session)
        return print_json(written)


@SetParseFn(str)
class TargetCommands(OperatorCommands):
    """Adds, drains and retires targets."""

    @report_failures
    def add(self, file: str) -> str:
        """Write the target entries of a file."""
        documents = read_documents(file)
        for document in documents:
            if document.kind != EntryKind.target:
                raise EntryInvalid(EntryFault('kind', 'is not target'))
        with self._operate() as operator:
            return print_json([_put(operator, document) for document in documents])

    @report_failures
    def enable(self, name: str) -> str:
        """Let a target take work."""
        return self._set_state(name, TargetState.live)

    @report_failures
    def drain(self, name: str) -> str:
        """Let a target finish what runs and take no new work."""
        return self._set_state(name, TargetState.draining)

    @report_failures
    def retire(self, name: str) -> str:
        """Take a target out of the fleet."""
        return self._set_state(name, TargetState.retired)

    @report_failures
    def list(self, state: str = '') -> str:
        """Print all targets, or those in one state."""
        with self._operate() as operator:
            targets = map(show_target, operator.list_entries(EntryKind.target))
            shown = [one for one in targets if state in {'', one['state']}]
        return print_json(shown)

    def _set_state(self, name: str, state: TargetState) -> str:
        with self._operate() as operator:
            stored = operator.set_target_state(name, state)
        return print_json(show_target(stored))


def parse_kind(text: str) -> EntryKind:
    """Return a kind of entry.

    Raises:
        EntryInvalid: There is no such kind.
    """
    try:
        return EntryKind(text)
    except ValueError as error:
        kinds = ', '.join(kind.value for kind in EntryKind)
        raise EntryInvalid(EntryFault('kind', f'is none of {kinds}')) from error


def parse_number(flag: str, text: str) -> int:
    """Return a whole number from a flag.

    Raises:
        SettingsError: It is no whole number.
    """
    if not re.fullmatch('[0-9]{1,18}', text):
        raise SettingsError(f'--{flag}: {text} is no whole number')
    return int(text)


def _put(operator: Operator, document: EntryDocument, expect: str = '') -> Any:
    expected = parse_number('expect', expect) if expect else document.revision
    return show_entry(operator.put_entry(document.kind, document.content, expected))


def _check_endpoints(endpoints: tuple[str, ...]) -> None:
    wrong = [one for one in endpoints if not _ENDPOINT.fullmatch(one)]
    if wrong or not endpoints:
        shown = ', '.join(wrong) or 'none is set'
        raise SettingsError(f'--store (IBISPORT_STORE): not ip:port: {shown}')
