"""Sizes on the wire and in the store, measured with the real encoders."""

from ibisport_core.codec import encode_message
from ibisport_core.identity import make_session
from ibisport_core.internal.account import Account, Grant, dump_account
from ibisport_core.messages import (
    CatalogueEntry,
    CatalogueUpdate,
    ChargeFloor,
    Heartbeat,
    Load,
    Message,
    Settled,
)
from ibisport_router.internal.session import (
    ListedAgent,
    SessionRecord,
    dump_session,
)

LENGTH_PREFIX_BYTES = 4
# IPv4 and TCP headers with timestamps, for the frame and for its acknowledgement:
# on a quiet link each frame is acknowledged by a packet of its own.
PACKET_BYTES = 52 * 2
ENTRY_BYTES = 250
_SAMPLE_COUNT = 100
_NOW = 1_800_000_000_000_000
_ADDRESS = '10.123.45.67:41234'


def measure_frame(message: Message) -> int:
    """Return the bytes sent for one message on a quiet link."""
    return len(encode_message(message)) + LENGTH_PREFIX_BYTES + PACKET_BYTES


def measure_heartbeats() -> int:
    """Return the bytes of one heartbeat in each direction of a link."""
    load = Load(5, 3, 4000, 8, 900.5, measured_at=_NOW)
    loads = (Load(), load)
    return sum(
        measure_frame(Heartbeat(_NOW, side_load, 123_456)) for side_load in loads
    )


def measure_floor() -> float:
    """Return the bytes that one budget adds to a message of settled floors."""
    session = make_session()
    floor = ChargeFloor('workspace-123', 'main', 123_456)
    encoded_bytes = len(encode_message(Settled(session, (floor,) * _SAMPLE_COUNT)))
    return (encoded_bytes - len(encode_message(Settled(session, ())))) / _SAMPLE_COUNT


def measure_update() -> int:
    """Return the bytes sent for a catalogue update of one entry."""
    entry = CatalogueEntry('/ibisport/catalogue/target/x', b'x' * ENTRY_BYTES, _NOW)
    return measure_frame(CatalogueUpdate(_NOW, (entry,), False))


def measure_listed_agent() -> float:
    """Return the bytes that one agent adds to a session record."""
    agents = tuple(
        ListedAgent(f'worker-{number:05}', _ADDRESS, make_session())
        for number in range(_SAMPLE_COUNT)
    )
    encoded_bytes = len(dump_session(SessionRecord(agents=agents)))
    return (encoded_bytes - len(dump_session(SessionRecord()))) / _SAMPLE_COUNT


def measure_grant() -> float:
    """Return the bytes that one session's grant adds to a budget account."""
    grant = Grant(1_234_567, 1_200_000, 12_345, 6_789)
    grants = {make_session(): grant for _ in range(_SAMPLE_COUNT)}
    encoded_bytes = len(dump_account(Account(10**9, grants=grants)))
    return (encoded_bytes - len(dump_account(Account(10**9)))) / _SAMPLE_COUNT
