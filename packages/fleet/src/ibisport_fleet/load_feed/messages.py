"""Datagrams between routers and relays: a version byte, then MessagePack.

The two kinds are arrays of different lengths, so neither is decoded as the other.
"""

import math
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

from ibisport_fleet.datagrams import MAX_DATAGRAM_BYTES

VERSION = 1
MICROSECONDS = 1_000_000
PER_MILLE = 1_000

_Id = Annotated[int, Meta(ge=0, le=2**63 - 1)]
_Moment = Annotated[int, Meta(ge=-(2**62), le=2**62)]
_Duration = Annotated[int, Meta(ge=0, le=60 * MICROSECONDS)]
_Count = Annotated[int, Meta(ge=0, le=1_000_000)]
_Share = Annotated[int, Meta(ge=0, le=PER_MILLE)]


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait for a slot.
        memory_use: Share of the engine's memory that is in use, 0 to 1.
        leaving: Whether the engine accepts no new requests.
    """

    running: int
    waiting: int
    memory_use: float = 0.0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Subscription:
    """A router's request for the load of the engine on the relay's host.

    Attributes:
        router_id: Random id of the router process.
        sent_at: Loop time of the router, seconds.
    """

    router_id: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class LoadDatagram:
    """An engine's state, sent to one subscriber.

    Attributes:
        router_id: Id of the router process that subscribed.
        relay_id: Random id of the relay process.
        sequence: Number of the datagram; it grows within the relay process.
        sent_at: Earliest time of sending in the router's loop time, seconds.
        age: Maximum age of the report when it was sent, seconds.
        report: The engine's state.
    """

    router_id: int
    relay_id: int
    sequence: int
    sent_at: float
    age: float
    report: EngineReport


class _Subscription(Struct, array_like=True, forbid_unknown_fields=True):
    router_id: _Id
    sent_at: _Moment


class _LoadDatagram(Struct, array_like=True, forbid_unknown_fields=True):
    router_id: _Id
    relay_id: _Id
    sequence: _Id
    sent_at: _Moment
    age: _Duration
    running: _Count
    waiting: _Count
    memory_use: _Share
    leaving: bool


_Record = TypeVar('_Record', _Subscription, _LoadDatagram)
_ENCODER = msgspec.msgpack.Encoder()
_SUBSCRIPTION_DECODER = msgspec.msgpack.Decoder(_Subscription)
_LOAD_DECODER = msgspec.msgpack.Decoder(_LoadDatagram)


def encode_subscription(subscription: Subscription) -> bytes:
    """Return the datagram of a subscription."""
    sent_at = math.floor(subscription.sent_at * MICROSECONDS)
    return _encode(_Subscription(subscription.router_id, sent_at))


def decode_subscription(datagram: bytes) -> Subscription | None:
    """Return the subscription of a datagram; None if it is unreadable."""
    record = _decode(datagram, _SUBSCRIPTION_DECODER)
    if record is None:
        return None
    return Subscription(record.router_id, record.sent_at / MICROSECONDS)


def encode_load(datagram: LoadDatagram) -> bytes:
    """Return the bytes of a load datagram; rounding makes the report only older."""
    report = datagram.report
    return _encode(
        _LoadDatagram(
            router_id=datagram.router_id,
            relay_id=datagram.relay_id,
            sequence=datagram.sequence,
            sent_at=math.floor(datagram.sent_at * MICROSECONDS),
            age=math.ceil(datagram.age * MICROSECONDS),
            running=report.running,
            waiting=report.waiting,
            memory_use=round(report.memory_use * PER_MILLE),
            leaving=report.leaving,
        )
    )


def decode_load(datagram: bytes) -> LoadDatagram | None:
    """Return the load datagram of these bytes; None if they are unreadable."""
    record = _decode(datagram, _LOAD_DECODER)
    if record is None:
        return None
    return LoadDatagram(
        router_id=record.router_id,
        relay_id=record.relay_id,
        sequence=record.sequence,
        sent_at=record.sent_at / MICROSECONDS,
        age=record.age / MICROSECONDS,
        report=EngineReport(
            running=record.running,
            waiting=record.waiting,
            memory_use=record.memory_use / PER_MILLE,
            leaving=record.leaving,
        ),
    )


def _encode(record: _Subscription | _LoadDatagram) -> bytes:
    return bytes((VERSION,)) + _ENCODER.encode(record)


def _decode(
    datagram: bytes, decoder: msgspec.msgpack.Decoder[_Record]
) -> _Record | None:
    if len(datagram) > MAX_DATAGRAM_BYTES or not datagram.startswith(bytes((VERSION,))):
        return None
    try:
        return decoder.decode(datagram[1:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
