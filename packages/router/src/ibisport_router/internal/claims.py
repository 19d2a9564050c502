"""Durable claims: a keyed request has one place at a time, known to all routers.

Before such a request is sent to an agent, the router writes a claim that names
the agent's incarnation. Whoever gets the same key later, here or at another
router, finds the claim and only joins what that incarnation holds. If it holds
nothing it bars the first claimant, and only then may the claim be taken over.
If the incarnation is gone, nobody can tell what ran: a request that is not
idempotent ends in an unknown outcome, another one runs again and is not billed.
The ways that were weighed stand in docs/design/once.md.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from ibisport_core.errors import (
    OutcomeUnknown,
    SessionFenced,
    Statement,
    StoreError,
    StoreOutcomeUnknown,
    TargetUnavailable,
)
from ibisport_core.events import Event, log_event
from ibisport_core.identity import make_key
from ibisport_core.store import Commit, Delete, Put, Unchanged
from ibisport_router.internal.groupcommit import GroupCommit

if TYPE_CHECKING:
    from ibisport_router.internal.agentlink import AgentLink
    from ibisport_router.internal.orders import Order
    from ibisport_router.router import Router

CLAIM_PREFIX = '/ibisport/request/'
# An answer stays joinable for ten minutes; a request that may run only once is
# remembered for a day. A lease serves for a tenth of its time.
_KEPT_IDEMPOTENT = 15 * 60
_KEPT_ONCE = 24 * 3600
_LEASE_SHARE = 0.1
_ATTEMPTS = 4
_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim as it stands in the store.

    Attributes:
        target: Where the request may be.
        incarnation: The agent incarnation that may hold it.
        revision: Store revision of the claim.
        own: Whether this attempt wrote it.
    """

    target: str
    incarnation: str
    revision: int
    own: bool


class Claims:
    """Writes, reads and takes over claims for one router."""

    def __init__(self, router: Router) -> None:
        """Start without a lease.

        Args:
            router: Whose claims these are.
        """
        self._router = router
        self._lock = threading.Lock()
        self._leases: dict[int, tuple[int, float]] = {}
        self.group = GroupCommit(self._commit)

    def claim(self, order: Order, link: AgentLink, known: Claim | None) -> Claim:
        """Claim a request for an agent, or return the claim that stands.

        Args:
            order: The request.
            link: Where it would be sent.
            known: A claim to replace: an own one whose attempt provably did
                not run, or one whose claimant is barred; None writes the first.

        Returns:
            The claim that stands now.

        Raises:
            TargetUnavailable: The store does not serve; it did not run.
        """
        key = _name_claim(order)
        named = {
            'target': link.entry.name,
            'incarnation': link.incarnation,
            # Tells the claims of different attempts apart.
            'nonce': make_key(),
        }
        try:
            kept = _KEPT_IDEMPOTENT if order.idempotent else _KEPT_ONCE
            return self._write(key, orjson.dumps(named), known, kept)
        except (StoreError, SessionFenced) as error:
            raise TargetUnavailable(
                'the store does not serve, so this request cannot be claimed',
                retry_at=time.time() + _RETRY_SECONDS,
            ) from error

    def find_link(self, claim: Claim) -> AgentLink:
        """Return the link to the incarnation that a claim names.

        Raises:
            OutcomeUnknown: It is gone or cannot be reached: what ran there is
                not known.
        """
        for link in self._router.targets.list_links():
            same = link.incarnation == claim.incarnation and link.is_connected
            if link.entry.name == claim.target and same:
                return link
        log_event(Event.request_unknown, target=claim.target)
        raise OutcomeUnknown(
            f'it was claimed for {claim.target}, which cannot be asked any more',
            Statement.outcome_unknown,
            retry_at=time.time() + _RETRY_SECONDS,
        )

    def drop(self, order: Order, claim: Claim) -> None:
        """Remove an own claim of a request that provably did not run."""
        key = _name_claim(order)
        try:
            self._router.store.commit([Unchanged(key, claim.revision)], [Delete(key)])
        except StoreError as error:
            # It stays: a later try joins, finds nothing and takes it over.
            log_event(Event.store_failed, detail=str(error))

    def _commit(self, conditions: Sequence[Unchanged], writes: Sequence[Put]) -> Commit:
        return self._router.session.commit(conditions, writes)

    def _write(self, key: str, content: bytes, known: Claim | None, kept: int) -> Claim:
        expected = known.revision if known else 0
        lease = self._find_lease(kept)
        for _ in range(_ATTEMPTS):
            revision = self.group.put(Put(key, content, lease), expected)
            if revision:
                return _load_claim(content, revision, content)
            # Read back: another claim may stand, or this one, unanswered.
            standing = self._router.store.read(key)
            if standing is None:
                expected = 0
            elif standing.mod_revision != expected:
                return _load_claim(standing.content, standing.mod_revision, content)
        raise StoreOutcomeUnknown(key)

    def _find_lease(self, kept: int) -> int:
        """Return a lease that keeps a claim for some seconds."""
        with self._lock:
            lease, until = self._leases.get(kept, (0, 0.0))
            if time.monotonic() >= until:
                lease = self._router.store.grant_lease(kept)
                until = time.monotonic() + kept * _LEASE_SHARE
                self._leases[kept] = (lease, until)
            return lease


def _name_claim(order: Order) -> str:
    return f'{CLAIM_PREFIX}{order.request_id.hex()}'


def _load_claim(content: bytes, revision: int, written: bytes) -> Claim:
    named = orjson.loads(content)
    return Claim(
        target=named['target'],
        incarnation=named['incarnation'],
        revision=revision,
        own=content == written,
    )
