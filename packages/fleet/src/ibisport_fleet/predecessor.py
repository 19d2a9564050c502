"""What the process before this one on a host may have spent of the budgets."""

from dataclasses import dataclass

import msgspec

from ibisport_fleet.budget_page import Session
from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.host_record import HostRecord, decode_record
from ibisport_fleet.store import Item

# A crash of all routers is over within 1.2 s and half a second of starting; the
# proof is up to 0.7 s old then.
PROOF_LEASE_SECONDS = 2.5
# The wall clock only takes trust away: a proof that looks older than its lease
# was held up by an outage of the store.
WALL_CLOCK_MARGIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PredecessorState:
    """What a process left in the store besides its shares in the page.

    Attributes:
        record: Its host's record, or None.
        proof: Its proof of contact, if that still lives.
    """

    record: Item | None
    proof: Item | None

    @property
    def record_revision(self) -> int:
        """The record's revision; 0 if there is none."""
        return 0 if self.record is None else self.record.revision


@dataclass(frozen=True, slots=True)
class Successor:
    """The process that comes after it on the same host.

    Attributes:
        boot_id: The machine's run, empty if unknown.
        started_at: Boot-clock time at which it surely ran, and the former no more.
        wall: The time of day now, seconds.
    """

    boot_id: str
    started_at: float
    wall: float


def bound_spent(
    before: Session | None, remains: PredecessorState, after: Successor, log: EventLog
) -> dict[str, int]:
    """Return bounds of what a process has spent, by workspace; empty if unknown.

    Args:
        before: The process, as the page tells it.
        remains: What it left.
        after: The process that asks.
        log: Where a record that can't be read is written.
    """
    if before is None or remains.record is None:
        return {}
    try:
        record = decode_record(remains.record.content)
    except RecordInvalid as error:
        log.write(Event.record_refused, reason=str(error))
        return {}
    if record.incarnation != before.incarnation:
        return {}
    if record.final or _ended_in_contact(record, after):
        return record.caps
    if _is_proof_valid(remains.proof, before, after.wall, log):
        return record.caps
    return {}


def _ended_in_contact(record: HostRecord, after: Successor) -> bool:
    """Whether a process ended before its caps could hold instead of its contact caps.

    Its successor on the same machine runs only after it. So the proof need not be read
    in time: a lender killed as the store went away for six seconds stranded its whole
    reserve, a third of the unspent budgets.
    """
    same_run = bool(record.boot_id) and record.boot_id == after.boot_id
    return same_run and record.written_at <= after.started_at <= record.bound_until


def _is_proof_valid(
    proof: Item | None, before: Session, wall: float, log: EventLog
) -> bool:
    """Whether a proof of contact shows that the process kept to its record."""
    if proof is None:
        return False
    try:
        incarnation, written = msgspec.json.decode(
            proof.content, type=tuple[str, float]
        )
    except msgspec.MsgspecError as error:
        log.write(Event.record_refused, key=proof.key, reason=repr(error))
        return False
    age = wall - written
    return (
        incarnation == before.incarnation
        and age < PROOF_LEASE_SECONDS + WALL_CLOCK_MARGIN_SECONDS
    )
