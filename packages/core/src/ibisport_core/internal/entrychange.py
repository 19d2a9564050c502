"""One change of a catalogue entry: compare and swap, proved by its history."""

import random
from dataclasses import dataclass

from ibisport_core.entries import Entry, EntryKind, dump_entry, name_entry
from ibisport_core.errors import (
    EntryConflict,
    EntryMissing,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from ibisport_core.internal.history import load_version, name_history, plan_version
from ibisport_core.internal.references import (
    Surroundings,
    load_if_readable,
    plan_removal,
    plan_surroundings,
)
from ibisport_core.store import (
    Delete,
    Put,
    Record,
    StoreClient,
    Unchanged,
    pace_attempts,
)

_NOTHING_AROUND = Surroundings((), (), ())


@dataclass(frozen=True, slots=True)
class EntryChange:
    """A wish to write or to remove one entry.

    Attributes:
        kind: Kind of the entry.
        name: Its name.
        entry: The new version with the change's id, or None to remove it.
        change_id: Id of the change, never used by another one.
        expected_revision: Revision that must stand; 0: none may stand.
        look_around: Whether references and claims are checked.
    """

    kind: EntryKind
    name: str
    entry: Entry | None
    change_id: str
    expected_revision: int
    look_around: bool = True

    @property
    def key(self) -> str:
        """Store key of the entry."""
        return name_entry(self.kind, self.name)


def apply_change(
    client: StoreClient,
    change: EntryChange,
    rng: random.Random,
    deadline: float,
) -> int:
    """Carry a change out and return the store revision of its write.

    An answer that is lost after the write took effect is found again in the
    entry's history by the change's id, also when others changed it since.

    Args:
        client: The store.
        change: What is wished.
        rng: Jitters the pauses between attempts.
        deadline: ``time.monotonic()`` after which no attempt is made.

    Raises:
        EntryInvalid: A reference or a claim is wrong; nothing was written.
        EntryConflict: Another revision stands; nothing was written.
        EntryMissing: It was to be removed and does not stand.
        StoreUnavailable: The store was not reached; nothing was written.
        StoreOutcomeUnknown: A write was sent and could not be read back.
    """
    unknown = False
    last = StoreError('no attempt was made')
    for _ in pace_attempts(rng, deadline):
        try:
            revision = _attempt(client, change)
        except StoreUnavailable as error:
            last = error
        except StoreOutcomeUnknown as error:
            last = error
            unknown = True
        else:
            if revision:
                return revision
            last = StoreUnavailable('others kept changing what it refers to')
    # A write once sent may still land for as long as its condition holds.
    raise StoreOutcomeUnknown(str(last)) if unknown else last


def _attempt(client: StoreClient, change: EntryChange) -> int:
    """Return the revision of the write, or 0 if a condition did not hold."""
    record = client.read(change.key)
    # The history is read after the entry: a write that lands between the two
    # is then seen as done, and not as another operator's.
    prefix = name_history(change.kind, change.name)
    versions = client.read_prefix(prefix).records
    done = _find_done(versions, change.change_id)
    if done:
        return done
    _check_revision(change, record)
    around = _plan_around(client, change, record)
    around.check()
    version = plan_version(prefix, versions, change.change_id, change.entry)
    conditions = (
        Unchanged(change.key, change.expected_revision),
        version.condition,
        *around.conditions,
    )
    writes = (_write_entry(change), *version.writes, *around.writes)
    commit = client.commit(conditions, writes)
    return commit.revision if commit.succeeded else 0


def _find_done(versions: tuple[Record, ...], change_id: str) -> int:
    for version in map(load_version, versions):
        if version.change_id == change_id:
            return version.revision
    return 0


def _check_revision(change: EntryChange, record: Record | None) -> None:
    present = 0 if record is None else record.mod_revision
    if change.entry is None and not present:
        raise EntryMissing(f'there is no {change.kind.value} {change.name}')
    if present != change.expected_revision:
        detail = f'{change.kind.value} {change.name} is at revision {present}'
        raise EntryConflict(detail, present)


def _plan_around(
    client: StoreClient,
    change: EntryChange,
    record: Record | None,
) -> Surroundings:
    if not change.look_around:
        return _NOTHING_AROUND
    before = load_if_readable(change.kind, record)
    if change.entry is None:
        return plan_removal(client, before, change.kind, change.name)
    return plan_surroundings(client, before, change.entry)


def _write_entry(change: EntryChange) -> Put | Delete:
    if change.entry is None:
        return Delete(change.key)
    return Put(change.key, dump_entry(change.entry))
