"""The catalogue as a process knows it: immutable, its news never going back.

News comes from the store's watch, from whole reads and from peers, late and
in any order. Each entry keeps the store revision of its newest version, and a
removed one its tombstone, so older news about it is known as such.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from operator import attrgetter

from ibisport_core.entries import (
    STANDARD,
    STANDARD_CLASS,
    ClassEntry,
    Entry,
    EntryKind,
    ModelEntry,
    ServiceEntry,
    TargetEntry,
    TargetState,
    WorkspaceEntry,
    WorkspaceKey,
    load_entry,
    name_entry,
    parse_key,
)
from ibisport_core.errors import EntryInvalid
from ibisport_core.store import Change, Snapshot

MOST_TOMBSTONES = 4096


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Whom a bearer key belongs to."""

    workspace: WorkspaceEntry
    budget: str


@dataclass(frozen=True, slots=True)
class Version:
    """Newest version known of one entry.

    Attributes:
        change: The news as it came; without content it is a tombstone.
        entry: The entry; the last readable one if this version is unreadable.
        fault: Why this version cannot be read, or empty.
    """

    change: Change
    entry: Entry | None
    fault: str = ''


@dataclass(frozen=True, slots=True)
class Index:
    """Entries by what requests name."""

    key_owners: Mapping[str, KeyOwner] = field(default_factory=dict)
    targets_by_model: Mapping[str, tuple[TargetEntry, ...]] = field(
        default_factory=dict
    )
    targets_by_service: Mapping[str, tuple[TargetEntry, ...]] = field(
        default_factory=dict
    )
    services_by_path: Mapping[str, ServiceEntry] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Catalogue:
    """All entries, as of one store revision or later.

    Attributes:
        revision: All news up to this store revision is included.
        versions: Newest version by store key, tombstones included.
        forgotten: Tombstones up to this revision may have been dropped.
        index: Entries by what requests name.
    """

    revision: int = 0
    versions: Mapping[str, Version] = field(default_factory=dict)
    forgotten: int = 0
    index: Index = field(default_factory=Index)

    def with_changes(self, changes: Iterable[Change], revision: int) -> 'Catalogue':
        """Return the catalogue with news merged in; old news changes nothing.

        Args:
            changes: News in any order, repeated or not.
            revision: The sender knows all news up to this revision, and sends
                what it believes to be missing here. Zero: it claims nothing.

        Returns:
            The catalogue with the news.
        """
        fresh: dict[str, Version] = {}
        for change in changes:
            known = fresh.get(change.key) or self.versions.get(change.key)
            if _is_news(change, known, self.forgotten):
                fresh[change.key] = _read_version(change, known)
        reached = max(self.revision, revision)
        if not fresh:
            return replace(self, revision=reached)
        merged = replace(self, revision=reached, versions={**self.versions, **fresh})
        return _drop_tombstones(_update_index(merged, self.versions, fresh))

    def with_whole(self, changes: Iterable[Change], revision: int) -> 'Catalogue':
        """Return the catalogue after a whole read of the store or of a peer.

        Args:
            changes: Every entry that stood at the revision.
            revision: Store revision of the read; entries that are known here
                from before it and are not among the changes were removed.
        """
        if revision <= self.revision:
            return self.with_changes(changes, 0)
        later = {
            key: version
            for key, version in self.versions.items()
            if version.change.mod_revision > revision
        }
        fresh = {
            change.key: _read_version(change, self.versions.get(change.key))
            for change in changes
            if parse_key(change.key) is not None and change.key not in later
        }
        versions = {**fresh, **later}
        if versions == self.versions:
            return replace(self, revision=revision, forgotten=revision)
        # All up to the revision is known now, so whatever is not among the
        # versions and not newer than this was removed.
        whole = Catalogue(revision, versions, forgotten=revision)
        return _update_index(whole, {}, versions)

    def with_snapshot(self, snapshot: Snapshot) -> 'Catalogue':
        """Return the catalogue after reading the store's whole prefix."""
        changes = (
            Change(record.key, record.content, record.mod_revision)
            for record in snapshot.records
        )
        return self.with_whole(changes, snapshot.revision)

    def list_changes(self, after: int = 0) -> list[Change]:
        """Return the news newer than a revision, for a peer that knows that.

        Args:
            after: Revision up to which the peer knows all; 0 gives the whole.
        """
        return [
            version.change
            for version in self.versions.values()
            if version.change.mod_revision > after
        ]

    def can_update(self, known: int) -> bool:
        """Tell whether ``list_changes`` misses no removal after a revision."""
        return known >= self.forgotten

    def get(self, kind: EntryKind, name: str) -> Entry | None:
        """Return an entry, or None if there is none."""
        version = self.versions.get(name_entry(kind, name))
        return None if version is None else version.entry

    def list_entries(self, kind: EntryKind) -> list[Entry]:
        """Return all entries of a kind, sorted by name."""
        prefix = name_entry(kind, '')
        keys = sorted(key for key in self.versions if key.startswith(prefix))
        entries = (self.versions[key].entry for key in keys)
        return [entry for entry in entries if entry is not None]

    def list_faults(self) -> dict[str, str]:
        """Return why entries cannot be read, by store key."""
        return {
            key: version.fault
            for key, version in self.versions.items()
            if version.fault
        }

    def find_key(self, key_hash: str) -> KeyOwner | None:
        """Return the workspace and budget of a bearer key's SHA-256."""
        return self.index.key_owners.get(key_hash)

    def find_class(self, name: str) -> ClassEntry:
        """Return a class; the standard one where the name is unknown."""
        for wanted in (name, STANDARD):
            entry = self.get(EntryKind.service_class, wanted)
            if isinstance(entry, ClassEntry):
                return entry
        return STANDARD_CLASS

    def find_model(self, name: str) -> ModelEntry | None:
        """Return a model, or None if there is none of this name."""
        entry = self.get(EntryKind.model, name)
        return entry if isinstance(entry, ModelEntry) else None

    def find_target(self, name: str) -> TargetEntry | None:
        """Return a target, or None if there is none of this name."""
        entry = self.get(EntryKind.target, name)
        return entry if isinstance(entry, TargetEntry) else None

    def find_workspace(self, name: str) -> WorkspaceEntry | None:
        """Return a workspace, or None if there is none of this name."""
        entry = self.get(EntryKind.workspace, name)
        return entry if isinstance(entry, WorkspaceEntry) else None

    def find_service(self, path: str) -> ServiceEntry | None:
        """Return the service with the longest prefix of a request's path.

        A prefix ends at a slash: ``/portal`` covers ``/portal/orders`` and
        ``/portal``, and not ``/portals``.
        """
        prefix = path.partition('?')[0].rstrip('/')
        while prefix:
            service = self.index.services_by_path.get(prefix)
            if service is not None:
                return service
            prefix = prefix.rpartition('/')[0]
        return self.index.services_by_path.get('/')

    def list_model_targets(self, model: str) -> tuple[TargetEntry, ...]:
        """Return the targets that serve a model, retired ones left out."""
        return self.index.targets_by_model.get(model, ())

    def list_service_targets(self, service: str) -> tuple[TargetEntry, ...]:
        """Return the targets that serve a service, retired ones left out."""
        return self.index.targets_by_service.get(service, ())


def find_change(catalogue: Catalogue, key: str) -> Change | None:
    """Return the newest news of one store key, also where none is kept.

    All news up to the catalogue's revision is known, so a key without a
    version is absent as of that revision.

    Returns:
        The news, or None while the catalogue has heard nothing at all.
    """
    version = catalogue.versions.get(key)
    if version is not None:
        return version.change
    if catalogue.revision:
        return Change(key, None, catalogue.revision)
    return None


def _is_news(change: Change, known: Version | None, forgotten: int) -> bool:
    if parse_key(change.key) is None:
        return False
    newest = forgotten if known is None else known.change.mod_revision
    return change.mod_revision > newest


def _read_version(change: Change, known: Version | None) -> Version:
    if known is not None and known.change == change:
        return known
    parsed = parse_key(change.key)
    if change.content is None or parsed is None:
        return Version(change, None)
    try:
        return Version(change, load_entry(parsed[0], change.content))
    except EntryInvalid as error:
        # The last readable version is better than none: it was accepted too.
        return Version(change, known.entry if known else None, str(error))


def _drop_tombstones(catalogue: Catalogue) -> Catalogue:
    """Return the catalogue with its oldest tombstones dropped above the bound."""
    removed = [
        version.change
        for version in catalogue.versions.values()
        if version.change.content is None
        and version.change.mod_revision <= catalogue.revision
    ]
    surplus = len(removed) - MOST_TOMBSTONES
    if surplus <= 0:
        return catalogue
    # Half of them go at once, so that this is seldom done.
    oldest = sorted(removed, key=attrgetter('mod_revision'))[: MOST_TOMBSTONES // 2]
    dropped = {change.key for change in oldest}
    kept = {
        key: version
        for key, version in catalogue.versions.items()
        if key not in dropped
    }
    forgotten = max(catalogue.forgotten, oldest[-1].mod_revision)
    return replace(catalogue, versions=kept, forgotten=forgotten)


def _update_index(
    catalogue: Catalogue,
    before: Mapping[str, Version],
    fresh: Mapping[str, Version],
) -> Catalogue:
    """Return the catalogue with its index brought up to fresh versions."""
    kinds = {parsed[0] for parsed in map(parse_key, fresh) if parsed is not None}
    index = catalogue.index
    if EntryKind.workspace in kinds:
        owners = _index_keys(index.key_owners, before, fresh)
        index = replace(index, key_owners=owners)
    if EntryKind.service in kinds:
        index = replace(index, services_by_path=_index_paths(catalogue))
    if EntryKind.target in kinds:
        index = replace(
            index,
            targets_by_model=_index_targets(catalogue, _list_models),
            targets_by_service=_index_targets(catalogue, _list_services),
        )
    return replace(catalogue, index=index)


def _index_keys(
    known: Mapping[str, KeyOwner],
    before: Mapping[str, Version],
    fresh: Mapping[str, Version],
) -> dict[str, KeyOwner]:
    # Only what changed is looked at: there may be tens of thousands of
    # workspaces. The store lets no two of them share a key.
    owners = dict(known)
    for store_key in fresh:
        for key in _list_keys(before.get(store_key)):
            owners.pop(key.hash, None)
    for version in fresh.values():
        for key in _list_keys(version):
            if isinstance(version.entry, WorkspaceEntry):
                owners[key.hash] = KeyOwner(version.entry, key.budget)
    return owners


def _list_keys(version: Version | None) -> tuple[WorkspaceKey, ...]:
    entry = None if version is None else version.entry
    return entry.keys if isinstance(entry, WorkspaceEntry) else ()


def _index_paths(catalogue: Catalogue) -> dict[str, ServiceEntry]:
    services: dict[str, ServiceEntry] = {}
    for service in catalogue.list_entries(EntryKind.service):
        if isinstance(service, ServiceEntry):
            services.setdefault(service.path_prefix, service)
    return services


def _index_targets(
    catalogue: Catalogue,
    list_served: Callable[[TargetEntry], tuple[str, ...]],
) -> dict[str, tuple[TargetEntry, ...]]:
    targets = defaultdict[str, list[TargetEntry]](list)
    for target in catalogue.list_entries(EntryKind.target):
        if isinstance(target, TargetEntry) and target.state != TargetState.retired:
            for served in list_served(target):
                targets[served].append(target)
    return {served: tuple(serving) for served, serving in targets.items()}


def _list_models(target: TargetEntry) -> tuple[str, ...]:
    return target.models


def _list_services(target: TargetEntry) -> tuple[str, ...]:
    return (target.service,) if target.service else ()
