"""What a router's process says of its own spending, in a record of its own.

Only one process writes it, so it is written often without a conflict. It tells
less than the host's caps in the budget page allow: that is what a process that
starts after a crash need count as spent, if it has the proof that the one before
kept to it.
"""

from dataclasses import dataclass, field

import msgspec

from ibisport_fleet.errors import RecordInvalid

RECORD_PREFIX = 'ibisport/host/'


@dataclass(frozen=True, slots=True)
class HostRecord:
    """The spending of one process.

    Attributes:
        incarnation: The process.
        sequence: Number of the write.
        final: The process serves no more: the caps are what it spent.
        caps: Bounds of what it spends while its proof of contact lives, by
            workspace, in tokens.
        boot_id: The machine's run in which the next two times are counted.
        written_at: Boot-clock time of the write.
        bound_until: Boot-clock time up to which it keeps to these caps at the least.
    """

    incarnation: str
    sequence: int = 0
    final: bool = False
    caps: dict[str, int] = field(default_factory=dict)
    boot_id: str = ''
    written_at: float = 0.0
    bound_until: float = 0.0


_DECODER = msgspec.json.Decoder(HostRecord)


def build_record_key(host: str) -> str:
    """Return the store key of a host's record."""
    return f'{RECORD_PREFIX}{host}'


def encode_record(record: HostRecord) -> bytes:
    """Return the record as it stands in the store."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> HostRecord:
    """Return the record that stands in the store.

    Raises:
        RecordInvalid: The content is no record.
    """
    try:
        return _DECODER.decode(content)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RecordInvalid(f'host record: {error!r}') from error
