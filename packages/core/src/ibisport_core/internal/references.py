"""What entries say about each other, checked in the store before a change.

A reference must exist when the change takes effect, so the transaction is
conditional on the revision at which it was seen. A claim, on a bearer key or
on a path, is a key of its own in the store: no two entries can hold it.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import quote

from ibisport_core.entries import (
    CATALOGUE_PREFIX,
    STANDARD,
    ClassEntry,
    Entry,
    EntryKind,
    ServiceEntry,
    TargetEntry,
    WorkspaceEntry,
    load_entry,
    name_entry,
    parse_key,
)
from ibisport_core.errors import EntryFault, EntryInvalid
from ibisport_core.store import Delete, Put, Record, StoreClient, Unchanged

CLAIM_PREFIX = '/ibisport/claim/'


@dataclass(frozen=True, slots=True)
class Reference:
    """An entry that another one names in a field."""

    field: str
    kind: EntryKind
    name: str


@dataclass(frozen=True, slots=True)
class Claim:
    """What only one entry may have; ``key`` is its store key."""

    field: str
    key: str


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a transaction must hold and write beside the entry itself."""

    conditions: tuple[Unchanged, ...]
    writes: tuple[Put | Delete, ...]
    faults: tuple[EntryFault, ...]

    def check(self) -> None:
        """Raise EntryInvalid if there is a fault."""
        if self.faults:
            raise EntryInvalid(*self.faults)


def load_if_readable(kind: EntryKind, record: Record | None) -> Entry | None:
    """Return the entry in a record; None for an absent or unreadable one."""
    if record is None:
        return None
    try:
        return load_entry(kind, record.content)
    except EntryInvalid:
        return None


def list_references(entry: Entry) -> Iterator[Reference]:
    """Yield the entries that this one needs."""
    if isinstance(entry, ClassEntry):
        return
    if entry.class_name != STANDARD:
        yield Reference('class', EntryKind.service_class, entry.class_name)
    if isinstance(entry, TargetEntry):
        for model in entry.models:
            yield Reference('serves', EntryKind.model, model)
        if entry.service:
            yield Reference('serves', EntryKind.service, entry.service)


def list_claims(entry: Entry | None) -> tuple[Claim, ...]:
    """Return what no other entry may have."""
    match entry:
        case WorkspaceEntry():
            return tuple(
                Claim(f'keys.{place}.hash', f'{CLAIM_PREFIX}key/{key.hash}')
                for place, key in enumerate(entry.keys)
            )
        case ServiceEntry():
            path = quote(entry.path_prefix, safe='')
            return (Claim('path_prefix', f'{CLAIM_PREFIX}path/{path}'),)
        case _:
            return ()


def plan_surroundings(
    client: StoreClient,
    before: Entry | None,
    entry: Entry,
) -> Surroundings:
    """Look up what an entry refers to and claims.

    Args:
        client: The store.
        before: The version that stands, or None.
        entry: The version to come.

    Raises:
        StoreUnavailable: The store was not reached.
    """
    referred = _check_references(client, entry)
    claimed = _check_claims(client, before, entry)
    return Surroundings(
        (*referred.conditions, *claimed.conditions),
        claimed.writes,
        (*referred.faults, *claimed.faults),
    )


def plan_removal(
    client: StoreClient,
    before: Entry | None,
    kind: EntryKind,
    name: str,
) -> Surroundings:
    """Release the claims of an entry that no other one refers to.

    Raises:
        StoreUnavailable: The store was not reached.
    """
    released = tuple(Delete(claim.key) for claim in list_claims(before))
    if kind in {EntryKind.workspace, EntryKind.target}:
        return Surroundings((), released, ())
    return Surroundings((), released, tuple(_find_users(client, kind, name)))


def _check_references(client: StoreClient, entry: Entry) -> Surroundings:
    conditions: list[Unchanged] = []
    faults: list[EntryFault] = []
    for reference in list_references(entry):
        key = name_entry(reference.kind, reference.name)
        record = client.read(key)
        if record is None:
            reason = f'there is no {reference.kind.value} {reference.name}'
            faults.append(EntryFault(reference.field, reason))
        else:
            conditions.append(Unchanged(key, record.mod_revision))
    return Surroundings(tuple(conditions), (), tuple(faults))


def _check_claims(
    client: StoreClient,
    before: Entry | None,
    entry: Entry,
) -> Surroundings:
    old = {claim.key for claim in list_claims(before)}
    claims = list_claims(entry)
    new = {claim.key for claim in claims}
    conditions: list[Unchanged] = []
    faults = list(_find_repeated(claims))
    for claim in claims:
        if claim.key not in old:
            holder = client.read(claim.key)
            conditions.append(_require_unchanged(claim.key, holder))
            faults.extend(_find_held(claim, holder, entry.name))
    released: list[Put | Delete] = [Delete(key) for key in sorted(old - new)]
    taken = [Put(key, entry.name.encode()) for key in sorted(new - old)]
    return Surroundings(tuple(conditions), (*released, *taken), tuple(faults))


def _require_unchanged(key: str, holder: Record | None) -> Unchanged:
    return Unchanged(key, 0 if holder is None else holder.mod_revision)


def _find_repeated(claims: tuple[Claim, ...]) -> Iterator[EntryFault]:
    seen: set[str] = set()
    for claim in claims:
        if claim.key in seen:
            yield EntryFault(claim.field, 'stands twice in this entry')
        seen.add(claim.key)


def _find_held(
    claim: Claim,
    holder: Record | None,
    name: str,
) -> Iterator[EntryFault]:
    # The entry may hold it already where its standing version is unreadable.
    if holder is not None and holder.content != name.encode():
        yield EntryFault(claim.field, f'is taken by {holder.content.decode()}')


def _find_users(
    client: StoreClient,
    kind: EntryKind,
    name: str,
) -> Iterator[EntryFault]:
    for record in client.read_prefix(CATALOGUE_PREFIX).records:
        for reference in _list_record_references(record):
            if (reference.kind, reference.name) == (kind, name):
                yield EntryFault('name', f'{record.key} refers to it')


def _list_record_references(record: Record) -> Iterator[Reference]:
    parsed = parse_key(record.key)
    entry = None if parsed is None else load_if_readable(parsed[0], record)
    if entry is not None:
        yield from list_references(entry)
