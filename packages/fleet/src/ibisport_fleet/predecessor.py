"""Bounds what the previous process on a host may have spent of the budgets."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from ibisport_fleet.budget_page import BudgetPage, Session
from ibisport_fleet.contact_proofs import (
    PROOF_LEASE_SECONDS,
    FoundProofs,
    compute_released_fraction,
    decode_proof,
    decode_stamp,
)
from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.host_record import HostRecord, find_valid_record
from ibisport_fleet.store import Item


@dataclass(frozen=True, slots=True)
class PredecessorState:
    """What a process left in the store besides its shares in the budget page.

    Attributes:
        record: The host's record, or None if there is none.
        proofs: The contact proof and the stamps that have not expired.
    """

    record: Item | None
    proofs: FoundProofs

    @property
    def record_revision(self) -> int:
        """Revision of the record, or 0 if there is none."""
        return 0 if self.record is None else self.record.revision


class Evidence(StrEnum):
    """What bounds the spending of a predecessor."""

    no_record = 'no record'
    other_process = 'record of another process'
    final = 'final record'
    same_boot = 'boot clock'
    proof = 'contact proofs'
    expired = 'none in time'


@dataclass(frozen=True, slots=True)
class SpentBound:
    """Upper bound of what a predecessor spent.

    Attributes:
        evidence: What the bound follows from.
        released: How far the bound lies between the contact caps and the caps.
        contact_caps: Contact caps by workspace name.
        ended_by: Time on the predecessor's boot clock by which it had ended.
    """

    evidence: Evidence
    released: float = 1.0
    contact_caps: dict[str, int] = field(default_factory=dict)
    ended_by: float = math.inf

    def list_spent(self, page: BudgetPage, host: str) -> dict[str, int]:
        """Return the bound of the spending for each workspace.

        Args:
            page: The budget page, with the predecessor's shares.
            host: The predecessor's host.
        """
        spent = {}
        for name, account in page.accounts.items():
            cap = account.find_cap(host)
            contact_cap = min(cap, self.contact_caps.get(name, cap))
            spent[name] = contact_cap + math.ceil(self.released * (cap - contact_cap))
        return spent


@dataclass(frozen=True, slots=True)
class Successor:
    """The process that follows a predecessor on the same host.

    Attributes:
        boot_id: Identifier of the machine's boot, empty if unknown.
        started_at: Boot-clock time at which this process was running and the
            predecessor had ended.
        wall: Current time of day in seconds.
    """

    boot_id: str
    started_at: float
    wall: float


def bound_spent(
    predecessor: Session | None,
    state: PredecessorState,
    successor: Successor,
    log: EventLog,
    ended_by: float = math.inf,
) -> SpentBound:
    """Return the bound of a process's spending that the store proves.

    Args:
        predecessor: The process's session in the budget page.
        state: What the process left in the store.
        successor: The process that follows it.
        log: Event log for records that can't be decoded.
        ended_by: Time by which the process had ended, as far as known from an earlier
            look at the store.
    """
    record = find_valid_record(state.record, log)
    if predecessor is None or record is None:
        return SpentBound(Evidence.no_record)
    if record.incarnation != predecessor.incarnation:
        return SpentBound(Evidence.other_process)
    if record.final:
        return SpentBound(Evidence.final, 0.0, record.caps)
    ends = _list_ends(record, state.proofs, successor.wall, log)
    proven_end = min((ended_by, *ends))
    if _is_same_boot(record, successor) and successor.started_at < proven_end:
        return _bound_by_end(Evidence.same_boot, record, successor.started_at)
    return _bound_by_end(Evidence.proof, record, proven_end)


def _bound_by_end(
    evidence: Evidence, record: HostRecord, ended_by: float
) -> SpentBound:
    released = compute_released_fraction(
        record.bound_until, record.full_cap_at, ended_by
    )
    if released >= 1:
        return SpentBound(Evidence.expired, ended_by=ended_by)
    return SpentBound(evidence, released, record.caps, ended_by)


def _is_same_boot(record: HostRecord, successor: Successor) -> bool:
    """Return whether the boot clocks of a process and its successor are the same.

    The successor starts only after the process has ended, so its start bounds the end
    without a proof, also after a long outage of the store. Without this, a lender that
    was killed when the store went down for six seconds stranded its whole reserve, a
    third of the unspent budgets.
    """
    is_same_boot = bool(record.boot_id) and record.boot_id == successor.boot_id
    return is_same_boot and record.written_at <= successor.started_at


def _list_ends(
    record: HostRecord, found: FoundProofs, wall: float, log: EventLog
) -> Iterator[float]:
    """Yield the times by which a process had ended, one for each key that exists.

    A store that pauses leases in an outage keeps keys for too long. The time of day
    shows that, and never makes the result earlier.
    """
    try:
        if found.proof is not None:
            incarnation, written_at = decode_proof(found.proof)
            if incarnation == record.incarnation:
                overdue = wall - written_at - PROOF_LEASE_SECONDS
                yield record.bound_until + max(0.0, overdue)
        for item in found.stamps:
            stamp = decode_stamp(item)
            if stamp.incarnation == record.incarnation:
                overdue = wall - stamp.expires_at_wall
                yield stamp.expires_at + max(0.0, overdue)
    except RecordInvalid as error:
        log.write(Event.record_refused, reason=str(error))
