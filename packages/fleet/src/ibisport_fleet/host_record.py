"""The store record in which a router's process publishes bounds of its spending.

Only one process writes the record, so frequent writes don't conflict. Its bounds
are lower than the host's caps in the budget page. After a crash, the next process
counts only these bounds as spent if it has proof that its predecessor respected
them.
"""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.store import Item
from ibisport_fleet.token_counts import TokenCount

RECORD_PREFIX = 'ibisport/host/'
_Sequence = Annotated[int, Meta(ge=0)]
_Moment = Annotated[float, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Bounds of the spending of one process.

    Attributes:
        incarnation: Identifier of the process.
        sequence: Sequence number of the write.
        final: Whether the process serves no more requests; the caps are then the
            amounts spent.
        caps: Bounds of the spending while the contact proof is valid, in tokens by
            workspace name.
        boot_id: Identifier of the machine's boot, which the next two times refer to.
        written_at: Boot-clock time of the write.
        bound_until: Boot-clock time until which the process is guaranteed to respect
            these caps.
        full_cap_at: Boot-clock time from which it may spend up to its caps in the
            budget page. The bound grows linearly between these two times; if this
            isn't later, as in records of older releases, there is nothing between.
    """

    incarnation: str
    sequence: _Sequence = 0
    final: bool = False
    caps: dict[str, TokenCount] = field(default_factory=dict)
    boot_id: str = ''
    written_at: _Moment = 0.0
    bound_until: _Moment = 0.0
    full_cap_at: _Moment = 0.0


_DECODER = msgspec.json.Decoder(HostRecord)


def build_record_key(host: str) -> str:
    """Return the store key of a host's record."""
    return f'{RECORD_PREFIX}{host}'


def encode_record(record: HostRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> HostRecord:
    """Decode a record from the store.

    Raises:
        RecordInvalid: The content is not a valid host record.
    """
    try:
        return _DECODER.decode(content)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RecordInvalid(f'host record: {error!r}') from error


def find_valid_record(item: Item | None, log: EventLog) -> HostRecord | None:
    """Return the record in an item of the store; None if there is no valid one.

    The process that owns the record replaces an invalid one by its next write.
    """
    if item is None:
        return None
    try:
        return decode_record(item.content)
    except RecordInvalid as error:
        log.write(Event.record_refused, reason=f'{item.key}: {error}'[:200])
        return None
