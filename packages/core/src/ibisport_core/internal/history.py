"""Versions of catalogue entries that are kept beside them in the store.

A version is written in the transaction that changes its entry and is never
rewritten, so it also proves that the change with its id took effect.
"""

import time
from dataclasses import dataclass

import orjson

from ibisport_core.entries import Entry, EntryKind, dump_entry
from ibisport_core.store import Delete, Put, Record, Unchanged

HISTORY_PREFIX = '/ibisport/history/'
KEPT_VERSIONS = 20
_DIGITS = 10


@dataclass(frozen=True, slots=True)
class HistoryVersion:
    """One accepted version of an entry.

    Attributes:
        number: Counts the versions of this entry from 1.
        revision: Store revision at which it took effect.
        change_id: Id of the change that wrote it.
        written_at: Unix time in seconds, by the operator's clock.
        document: The entry as JSON, or None when it was removed.
    """

    number: int
    revision: int
    change_id: str
    written_at: float
    document: bytes | None


@dataclass(frozen=True, slots=True)
class HistoryWrite:
    """What a transaction must hold and write to add one version."""

    condition: Unchanged
    writes: tuple[Put | Delete, ...]


def name_history(kind: EntryKind, name: str) -> str:
    """Return the prefix of the store keys of an entry's versions."""
    return f'{HISTORY_PREFIX}{kind.value}/{name}/'


def load_version(record: Record) -> HistoryVersion:
    """Return the version that stands in a record."""
    fields = orjson.loads(record.content)
    entry = fields['document']
    return HistoryVersion(
        number=int(record.key.rpartition('/')[2]),
        revision=record.mod_revision,
        change_id=fields['change_id'],
        written_at=fields['written_at'],
        document=None if entry is None else orjson.dumps(entry),
    )


def plan_version(
    prefix: str,
    known: tuple[Record, ...],
    change_id: str,
    entry: Entry | None,
) -> HistoryWrite:
    """Return the writes that add a version and drop the oldest.

    Args:
        prefix: Prefix of the entry's versions.
        known: Their present records, sorted by key.
        change_id: Id of the change.
        entry: The new version, or None for a removal.
    """
    last = int(known[-1].key.rpartition('/')[2]) if known else 0
    key = f'{prefix}{last + 1:0{_DIGITS}}'
    document = None if entry is None else orjson.Fragment(dump_entry(entry))
    content = orjson.dumps(
        {
            'change_id': change_id,
            'written_at': time.time(),
            'document': document,
        }
    )
    surplus = known[: max(0, len(known) + 1 - KEPT_VERSIONS)]
    dropped = tuple(Delete(record.key) for record in surplus)
    return HistoryWrite(Unchanged(key, 0), (Put(key, content), *dropped))
