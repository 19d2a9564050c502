"""Bounds what the previous process on a host may have spent of the budgets."""

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from ibisport_fleet.budget_page import Session
from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.host_record import HostRecord, decode_record
from ibisport_fleet.store import Item

# After a crash of all routers the next processes run within 1.2 s plus half a second
# of startup, and the proof was up to 0.7 s old at the crash.
PROOF_LEASE_SECONDS = 2.5
# The wall clock can only invalidate a proof: one that appears older than its lease has
# outlived it because of a store outage.
WALL_CLOCK_MARGIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PredecessorState:
    """What a process left in the store besides its shares in the budget page.

    Attributes:
        record: The host's record, or None if there is none.
        proof: The contact proof, or None if it has expired.
    """

    record: Item | None
    proof: Item | None

    @property
    def record_revision(self) -> int:
        """Revision of the record, or 0 if there is none."""
        return 0 if self.record is None else self.record.revision


class Evidence(StrEnum):
    """What bounds the spending of a predecessor."""

    no_record = 'no record'
    other_process = 'record of another process'
    final = 'final record'
    same_boot = 'ended in contact'
    proof = 'contact proof'
    expired = 'none in time'


@dataclass(frozen=True, slots=True)
class SpentBound:
    """Upper bound of what a predecessor spent.

    Attributes:
        evidence: What the bound follows from.
        spent: Bounds by workspace name; empty if only the caps in the budget page
            bound the spending.
    """

    evidence: Evidence
    spent: dict[str, int] = field(default_factory=dict)


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
) -> SpentBound:
    """Return the bound of a process's spending that the store proves.

    Args:
        predecessor: The process's session in the budget page.
        state: What the process left in the store.
        successor: The process that follows it.
        log: Event log for records that can't be decoded.
    """
    if predecessor is None or state.record is None:
        return SpentBound(Evidence.no_record)
    try:
        record = decode_record(state.record.content)
    except RecordInvalid as error:
        log.write(Event.record_refused, reason=str(error))
        return SpentBound(Evidence.no_record)
    if record.incarnation != predecessor.incarnation:
        return SpentBound(Evidence.other_process)
    if record.final:
        return SpentBound(Evidence.final, record.caps)
    if _ended_in_contact(record, successor):
        return SpentBound(Evidence.same_boot, record.caps)
    if _is_proof_valid(state.proof, predecessor, successor.wall, log):
        return SpentBound(Evidence.proof, record.caps)
    return SpentBound(Evidence.expired)


def _ended_in_contact(record: HostRecord, successor: Successor) -> bool:
    """Return whether a process ended before it could exceed its contact caps.

    The successor on the same machine starts only after the process has ended, so the
    contact proof need not be read before it expires. Without this check, a lender that
    was killed when the store went down for six seconds stranded its whole reserve, a
    third of the unspent budgets.
    """
    is_same_boot = bool(record.boot_id) and record.boot_id == successor.boot_id
    return (
        is_same_boot and record.written_at <= successor.started_at <= record.bound_until
    )


def _is_proof_valid(
    proof: Item | None, predecessor: Session, wall: float, log: EventLog
) -> bool:
    """Return whether a contact proof shows that a process respected its record."""
    if proof is None:
        return False
    try:
        incarnation, written_at = msgspec.json.decode(
            proof.content, type=tuple[str, float]
        )
    except msgspec.MsgspecError as error:
        log.write(Event.record_refused, key=proof.key, reason=repr(error))
        return False
    age = wall - written_at
    return (
        incarnation == predecessor.incarnation
        and age < PROOF_LEASE_SECONDS + WALL_CLOCK_MARGIN_SECONDS
    )
