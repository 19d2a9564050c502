"""What operators do: change and read the catalogue, budgets and targets.

Every change is a compare and swap; one whose answer is lost is resolved by
reading back. Each operation ends by its own deadline.
"""

import random
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import orjson

from ibisport_core.entries import (
    Entry,
    EntryKind,
    TargetEntry,
    TargetState,
    check_document,
    check_name,
    dump_entry,
    load_entry,
    name_entry,
)
from ibisport_core.errors import (
    AccountInvalid,
    EntryConflict,
    EntryFault,
    EntryInvalid,
    EntryMissing,
    StoreUnavailable,
)
from ibisport_core.internal.account import (
    Account,
    dump_account,
    load_account,
    name_account,
)
from ibisport_core.internal.entrychange import EntryChange, apply_change
from ibisport_core.internal.history import (
    HistoryVersion,
    load_version,
    name_history,
)
from ibisport_core.internal.references import load_if_readable, plan_surroundings
from ibisport_core.store import Record, StoreClient, commit_resolved, pace_attempts

PATIENCE = 15.0
LONGEST_TOP_UP_ID = 100
MOST_TOP_UP = 10**15


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """An entry as it stands in the store.

    Attributes:
        kind: Kind of the entry.
        entry: The entry.
        revision: Store revision of its last change.
    """

    kind: EntryKind
    entry: Entry
    revision: int


@dataclass(frozen=True, slots=True)
class FieldDifference:
    """A field in which a document differs from what stands in the store."""

    field: str
    stored: Any
    wanted: Any


class Operator:
    """An operator's operations; safe to use from many threads."""

    def __init__(
        self,
        client: StoreClient,
        rng: random.Random | None = None,
        patience: float = PATIENCE,
    ) -> None:
        """Keep the store.

        Args:
            client: The store.
            rng: Jitters the pauses between attempts.
            patience: Seconds until an operation's deadline.
        """
        self._client = client
        self._rng = rng or random.Random()
        self._patience = patience

    def put_entry(
        self,
        kind: EntryKind,
        document: bytes,
        expected_revision: int,
        change_id: str = '',
    ) -> StoredEntry:
        """Write an entry if the expected revision stands.

        Args:
            kind: Kind of the entry.
            document: The entry as JSON.
            expected_revision: Revision that must stand; 0 creates the entry.
            change_id: Id of this change if it is sent again after an unknown
                outcome; a fresh one otherwise.

        Raises:
            EntryInvalid: With the field and reason of each fault.
            EntryConflict: Another revision stands; the error names it.
            StoreUnavailable: The store was not reached; nothing was written.
            StoreOutcomeUnknown: A write could not be read back: put it again
                with the same change id.
        """
        change_id = change_id or uuid.uuid4().hex
        entry = replace(check_document(kind, document), change_id=change_id)
        change = EntryChange(kind, entry.name, entry, change_id, expected_revision)
        return StoredEntry(kind, entry, self._apply(change))

    def get_entry(self, kind: EntryKind, name: str) -> StoredEntry:
        """Return an entry.

        Raises:
            EntryMissing: It does not stand.
            EntryInvalid: This program cannot read it.
            StoreUnavailable: The store was not reached.
        """
        return _load_stored(kind, self._read(kind, name))

    def list_entries(self, kind: EntryKind) -> list[StoredEntry]:
        """Return all entries of a kind, sorted by name.

        Raises:
            EntryInvalid: This program cannot read one.
            StoreUnavailable: The store was not reached.
        """
        records = self._client.read_prefix(name_entry(kind, '')).records
        return [_load_stored(kind, record) for record in records]

    def remove_entry(
        self,
        kind: EntryKind,
        name: str,
        expected_revision: int | None = None,
        change_id: str = '',
    ) -> int:
        """Remove an entry that no other one refers to.

        Args:
            kind: Kind of the entry.
            name: Its name.
            expected_revision: Revision that must stand; None takes whichever
                stands now.
            change_id: As for ``put_entry``.

        Returns:
            Store revision of the removal.

        Raises:
            EntryMissing: It does not stand.
            EntryInvalid: Another entry refers to it.
            EntryConflict: Another revision stands; the error names it.
            StoreUnavailable: The store was not reached; nothing was written.
            StoreOutcomeUnknown: A write could not be read back.
        """
        if expected_revision is None:
            expected_revision = self._read(kind, name).mod_revision
        change_id = change_id or uuid.uuid4().hex
        change = EntryChange(kind, name, None, change_id, expected_revision)
        return self._apply(change)

    def list_history(self, kind: EntryKind, name: str) -> list[HistoryVersion]:
        """Return the kept versions of an entry, oldest first.

        Raises:
            StoreUnavailable: The store was not reached.
        """
        records = self._client.read_prefix(name_history(kind, name)).records
        return [load_version(record) for record in records]

    def validate(self, kind: EntryKind, document: bytes) -> tuple[EntryFault, ...]:
        """Return what would be refused in a document, without writing.

        Raises:
            StoreUnavailable: The store was not reached.
        """
        try:
            entry = check_document(kind, document)
        except EntryInvalid as error:
            return error.faults
        record = self._client.read(name_entry(kind, entry.name))
        before = load_if_readable(kind, record)
        return plan_surroundings(self._client, before, entry).faults

    def diff(self, kind: EntryKind, document: bytes) -> list[FieldDifference]:
        """Return the fields in which a document differs from the store.

        Raises:
            EntryInvalid: The document has a fault in a field.
            StoreUnavailable: The store was not reached.
        """
        wanted = _list_fields(check_document(kind, document))
        record = self._client.read(name_entry(kind, wanted['name']))
        before = load_if_readable(kind, record)
        stored = {} if before is None else _list_fields(before)
        return [
            FieldDifference(name, stored.get(name), wanted[name])
            for name in sorted(wanted)
            if name not in stored or stored[name] != wanted[name]
        ]

    def set_target_state(self, name: str, state: TargetState) -> StoredEntry:
        """Let a target take work, drain it or retire it.

        Other fields keep what others write to them meanwhile.

        Raises:
            EntryMissing: There is no such target.
            StoreUnavailable: The store was not reached; nothing was written.
            StoreOutcomeUnknown: A write could not be read back; doing it
                again is safe.
        """
        deadline = time.monotonic() + self._patience
        for _ in pace_attempts(self._rng, deadline):
            stored = self._swap_state(name, state, deadline)
            if stored is not None:
                return stored
        raise StoreUnavailable(f'others kept changing target {name}')

    def create_budget(self, workspace: str, budget: str) -> Account:
        """Create an empty budget; one that stands is left as it is.

        Raises:
            EntryMissing: There is no such workspace.
            StoreUnavailable: The store was not reached; nothing was written.
            StoreOutcomeUnknown: A write could not be read back; doing it
                again is safe.
        """
        return self._change_account(workspace, budget, _keep)

    def top_up(
        self,
        workspace: str,
        budget: str,
        tokens: int,
        top_up_id: str,
    ) -> Account:
        """Add a payment to a budget, once for each id.

        Args:
            workspace: The workspace that paid.
            budget: Name of its budget; it is created if it does not stand.
            tokens: Tokens paid for.
            top_up_id: The operator's id of the payment.

        Raises:
            EntryMissing: There is no such workspace.
            TopUpConflict: The id stands with another amount.
            AccountInvalid: The amount or the id is out of bounds.
            StoreUnavailable: The store was not reached; nothing was written.
            StoreOutcomeUnknown: A write could not be read back; doing it
                again with the same id is safe.
        """
        if not 0 < len(top_up_id) <= LONGEST_TOP_UP_ID:
            raise AccountInvalid(f'an id has 1 to {LONGEST_TOP_UP_ID} characters')
        if not 0 < tokens <= MOST_TOP_UP:
            raise AccountInvalid(f'a top-up is of 1 to {MOST_TOP_UP} tokens')
        return self._change_account(
            workspace,
            budget,
            lambda account: account.top_up(top_up_id, tokens),
        )

    def read_budget(self, workspace: str, budget: str) -> Account:
        """Return a budget's account.

        Raises:
            EntryMissing: There is no such budget.
            StoreUnavailable: The store was not reached.
        """
        record = self._client.read(name_account(workspace, budget))
        if record is None:
            raise EntryMissing(f'workspace {workspace} has no budget {budget}')
        return load_account(record.content)

    def _read(self, kind: EntryKind, name: str) -> Record:
        record = self._client.read(name_entry(kind, name))
        if record is None:
            raise EntryMissing(f'there is no {kind.value} {name}')
        return record

    def _swap_state(
        self,
        name: str,
        state: TargetState,
        deadline: float,
    ) -> StoredEntry | None:
        """Return the target in its new state, or None after a conflict."""
        stored = self.get_entry(EntryKind.target, name)
        if not isinstance(stored.entry, TargetEntry) or stored.entry.state == state:
            return stored
        change_id = uuid.uuid4().hex
        entry = replace(stored.entry, state=state, change_id=change_id)
        change = EntryChange(
            EntryKind.target,
            name,
            entry,
            change_id,
            stored.revision,
            # A target must be drained whatever became of its surroundings.
            look_around=False,
        )
        try:
            revision = apply_change(self._client, change, self._rng, deadline)
        except EntryConflict:
            return None
        return StoredEntry(EntryKind.target, entry, revision)

    def _apply(self, change: EntryChange) -> int:
        deadline = time.monotonic() + self._patience
        return apply_change(self._client, change, self._rng, deadline)

    def _change_account(
        self,
        workspace: str,
        budget: str,
        change: Callable[[Account], Account],
    ) -> Account:
        check_name('budget', budget)
        self.get_entry(EntryKind.workspace, workspace)
        record = commit_resolved(
            self._client,
            name_account(workspace, budget),
            partial(_build_account, change),
            self._rng,
            time.monotonic() + self._patience,
        )
        return Account() if record is None else load_account(record.content)


def _build_account(
    change: Callable[[Account], Account],
    record: Record | None,
) -> bytes | None:
    """Return the account to be written, or None if it stands already."""
    if record is None:
        return dump_account(change(Account()))
    account = load_account(record.content)
    changed = change(account)
    return None if changed == account else dump_account(changed)


def _keep(account: Account) -> Account:
    return account


def _load_stored(kind: EntryKind, record: Record) -> StoredEntry:
    return StoredEntry(kind, load_entry(kind, record.content), record.mod_revision)


def _list_fields(entry: Entry) -> dict[str, Any]:
    document: dict[str, Any] = orjson.loads(dump_entry(entry))
    document.pop('change_id')
    return document
