"""Ends a fenced session whose agents can never be asked any more.

What ran under it is not known, so all that it held counts as spent: that never
overspends a budget. An operator who knows better pays back by a top-up.
"""

from dataclasses import dataclass

from ibisport_core.errors import EntryMissing, SessionNotFenced, StoreError
from ibisport_core.internal.account import (
    dump_account,
    load_account,
    name_account,
)
from ibisport_core.store import Delete, Put, StoreClient, Unchanged
from ibisport_router.internal.session import (
    FENCED,
    list_grants,
    load_session,
    name_grant,
    name_session,
)

_ATTEMPTS = 8


@dataclass(frozen=True, slots=True)
class WrittenOff:
    """What was written off of one budget.

    Attributes:
        workspace: The workspace.
        budget: Its budget.
        tokens: Tokens that count as spent now and were not known to be.
    """

    workspace: str
    budget: str
    tokens: int


def write_off_session(store: StoreClient, session: str) -> list[WrittenOff]:
    """Close all grants of a fenced session as wholly spent.

    Doing it again, or while a router still tries to recover it, is safe: each
    grant is closed once, by whoever comes first.

    Args:
        store: The key-value service.
        session: The session.

    Returns:
        What was written off.

    Raises:
        EntryMissing: There is no such session.
        SessionNotFenced: It may still spend.
        StoreError: The store does not serve; do it again.
    """
    key = name_session(session)
    found = store.read(key)
    if found is None:
        raise EntryMissing(f'there is no session {session}')
    if load_session(found.content).state != FENCED:
        raise SessionNotFenced(f'{session} is not fenced')
    written = [
        _write_off_grant(store, session, *names)
        for names in list_grants(store, session)
    ]
    store.commit([], [Delete(key)])
    return written


def _write_off_grant(
    store: StoreClient, session: str, workspace: str, budget: str
) -> WrittenOff:
    key = name_account(workspace, budget)
    index = Delete(name_grant(session, workspace, budget))
    for _ in range(_ATTEMPTS):
        found = store.read(key)
        account = load_account(found.content) if found else None
        grant = account.grants.get(session) if account else None
        if found is None or account is None or grant is None:
            store.commit([], [index])
            return WrittenOff(workspace, budget, 0)
        closed = account.without_grant(session, grant.granted)
        condition = Unchanged(key, found.mod_revision)
        if store.commit([condition], [Put(key, dump_account(closed)), index]).succeeded:
            return WrittenOff(workspace, budget, grant.granted - grant.spent)
    raise StoreError(f'{key} is written by many')
