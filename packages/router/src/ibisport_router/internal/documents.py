"""Documents that operators hand in as files, and what is printed for them."""

import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import orjson
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as checked_dataclass

from ibisport_core.entries import EntryKind, TargetEntry, dump_entry
from ibisport_core.errors import EntryFault, EntryInvalid, SettingsError
from ibisport_core.internal.account import Account
from ibisport_core.internal.history import HistoryVersion
from ibisport_core.operators import StoredEntry

STANDARD_INPUT = '-'
MOST_DOCUMENTS = 1000


@checked_dataclass(frozen=True, slots=True, config=ConfigDict(extra='forbid'))
class EntryDocument:
    """A file's form of an entry, as ``catalogue get`` prints it.

    Attributes:
        kind: Kind of the entry.
        entry: Its fields.
        revision: Revision that it was read at; 0 for a new entry.
    """

    kind: EntryKind
    entry: dict[str, Any]
    revision: int = Field(default=0, ge=0)

    @property
    def content(self) -> bytes:
        """The entry's fields as JSON."""
        return orjson.dumps(self.entry)


@dataclass(frozen=True, slots=True)
class BudgetView:
    """A budget as it is printed; all figures are tokens.

    Attributes:
        workspace: The workspace that owns it.
        budget: Its name.
        topped_up: Paid in so far.
        spent: Known to be spent.
        held: Drawn by sessions of routers that are open, spent or not.
        remaining: Not drawn by anybody.
        stranded: Held by ended sessions until it is proved what ran.
    """

    workspace: str
    budget: str
    topped_up: int
    spent: int
    held: int
    remaining: int
    stranded: int


_FILE = TypeAdapter(EntryDocument | list[EntryDocument])


def read_documents(file: str) -> list[EntryDocument]:
    """Return the documents of a file that holds one or a list of them.

    Args:
        file: Path, or ``-`` for the standard input.

    Raises:
        SettingsError: The file cannot be read.
        EntryInvalid: It holds no documents.
    """
    try:
        content = _read_file(file)
    except OSError as error:
        raise SettingsError(f'{file}: {error.strerror}') from error
    try:
        documents = _FILE.validate_json(content)
    except ValidationError as error:
        raise EntryInvalid(*_list_faults(error)) from error
    return documents if isinstance(documents, list) else [documents]


def show_entry(stored: StoredEntry) -> dict[str, Any]:
    """Return an entry in the form in which a file hands it in."""
    return {
        'kind': stored.kind.value,
        'revision': stored.revision,
        'entry': orjson.loads(dump_entry(stored.entry)),
    }


def show_target(stored: StoredEntry) -> dict[str, Any]:
    """Return what an operator looks for in a list of targets."""
    target = stored.entry
    if not isinstance(target, TargetEntry):
        return show_entry(stored)
    return {
        'name': target.name,
        'state': target.state.value,
        'serves': target.serves,
        'failure_domain': target.failure_domain,
        'agent_address': target.agent_address,
        'revision': stored.revision,
    }


def show_version(version: HistoryVersion) -> dict[str, Any]:
    """Return one version of an entry's history."""
    document = version.document
    return {
        'number': version.number,
        'revision': version.revision,
        'change_id': version.change_id,
        'written_at': version.written_at,
        'removed': document is None,
        'entry': None if document is None else orjson.loads(document),
    }


def show_budget(workspace: str, budget: str, account: Account) -> dict[str, Any]:
    """Return the figures of a budget."""
    view = BudgetView(
        workspace,
        budget,
        account.topped_up,
        account.spent,
        account.held,
        account.remaining,
        account.stranded,
    )
    return asdict(view)


def print_json(answer: object) -> str:
    """Return an answer as indented JSON."""
    return orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode()


def _read_file(file: str) -> bytes:
    if file == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    return Path(file).read_bytes()


def _list_faults(error: ValidationError) -> list[EntryFault]:
    return [
        EntryFault('.'.join(map(str, fault['loc'])), fault['msg'])
        for fault in error.errors(include_url=False, include_input=False)
    ]
