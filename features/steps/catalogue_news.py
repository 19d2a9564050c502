"""Generated news of the catalogue: late, repeated, whole and relayed."""

from typing import Any
from unittest.mock import patch

import orjson
from hypothesis import example, given, settings
from hypothesis import strategies as st

from ibisport_core import catalogue as catalogue_module
from ibisport_core.catalogue import Catalogue, find_change
from ibisport_core.entries import EntryKind, name_entry
from ibisport_core.store import Change

EXAMPLES = 300
FIRST_REVISION = 2
FEW_TOMBSTONES = 2
NAMES = ('a', 'b', 'c', 'd', 'e')
SOURCES = st.sampled_from(('whole', 'stray', 'watch', 'peer'))
DELIVERIES = st.lists(st.tuples(SOURCES, st.integers(0, 22)))


class World:
    """The store's history, a catalogue that hears of it, and its peers."""

    def __init__(self, history: list[Change]) -> None:
        self.history = history
        self.last = FIRST_REVISION + len(history) - 1
        self.known = Catalogue()
        self._peers = [Catalogue(), Catalogue()]

    def deliver(self, source: str, revision: int) -> None:
        """Let news up to a revision come from a source."""
        before = self.known
        match source:
            case 'whole':
                standing = self.find_standing(revision)
                self.known = before.with_whole(standing.values(), revision)
            case 'stray':
                self.known = before.with_changes(self._list_until(revision), 0)
            case 'watch':
                self.known = self._watch(before, revision)
            case _:
                self.known = self._relay(revision)
        self._check_not_reverted(before)

    def find_standing(self, revision: int) -> dict[str, Change]:
        """Return the entries that stood at a revision, by key."""
        newest = {one.key: one for one in self._list_until(revision)}
        return {key: one for key, one in newest.items() if one.content is not None}

    def _list_until(self, revision: int) -> list[Change]:
        return [one for one in self.history if one.mod_revision <= revision]

    def _watch(self, known: Catalogue, revision: int) -> Catalogue:
        if revision <= known.revision:
            return known
        changes = self._list_until(revision)
        missed = [one for one in changes if one.mod_revision > known.revision]
        return known.with_changes(missed, revision)

    def _relay(self, revision: int) -> Catalogue:
        place = revision % len(self._peers)
        peer = self._watch(self._peers[place], revision)
        self._peers[place] = peer
        if peer.can_update(self.known.revision):
            changes = peer.list_changes(self.known.revision)
            return self.known.with_changes(changes, peer.revision)
        return self.known.with_whole(peer.list_changes(), peer.revision)

    def _check_not_reverted(self, before: Catalogue) -> None:
        assert self.known.revision >= before.revision
        due = {one.key: one for one in self._list_until(self.known.revision)}
        for key in sorted({*before.versions, *due}):
            least = max(_find_revision(before, key), _get_revision(due.get(key)))
            news = find_change(self.known, key)
            assert news is not None
            assert news.mod_revision >= least
            if key not in self.known.versions:
                # Only a removal that is long known may be forgotten.
                assert key in due
                assert due[key].content is None
                assert due[key].mod_revision == least


@st.composite
def make_worlds(draw: Any) -> World:
    """Draw a history of a few entries: writes and removals."""
    changes = st.tuples(st.sampled_from(NAMES), st.booleans())
    return _make_world(draw(st.lists(changes, min_size=8, max_size=20)))


def _make_world(writes: list[tuple[str, bool]]) -> World:
    return World(
        [
            _make_change(name, removes, FIRST_REVISION + place)
            for place, (name, removes) in enumerate(writes)
        ]
    )


def _make_change(name: str, removes: bool, revision: int) -> Change:
    document = {'name': name, 'owner': f'owner-{revision}'}
    content = None if removes else orjson.dumps(document)
    return Change(name_entry(EntryKind.model, name), content, revision)


# The tombstone of the first entry is dropped, and then old news of it comes.
DROPPED = _make_world([('a', False), *((name, True) for name in NAMES)])


def check_news() -> None:
    """Deliver news in any order; nothing may revert and all must arrive."""
    with patch.object(catalogue_module, 'MOST_TOMBSTONES', FEW_TOMBSTONES):
        _deliver_news()


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True, database=None)
@given(make_worlds(), DELIVERIES)
@example(DROPPED, [('watch', FIRST_REVISION + len(NAMES)), ('stray', FIRST_REVISION)])
def _deliver_news(world: World, deliveries: list[tuple[str, int]]) -> None:
    for source, revision in deliveries:
        world.deliver(source, min(revision, world.last))
    world.deliver('watch', world.last)
    versions = world.known.versions
    shown = {key: one.change for key, one in versions.items() if one.entry}
    assert shown == world.find_standing(world.last)


def _find_revision(known: Catalogue, key: str) -> int:
    version = known.versions.get(key)
    return 0 if version is None else version.change.mod_revision


def _get_revision(change: Change | None) -> int:
    return 0 if change is None else change.mod_revision
