"""Messages between routers about the builds that began streams.

A record is a datagram: the kind byte, then a MessagePack array. A query and its answer
are JSON, as other questions between routers.
"""

import math
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ibisport_fleet.datagrams import MAX_DATAGRAM_BYTES
from ibisport_fleet.stream_versions.records import KEY_BYTES, MAX_LIFETIME_SECONDS
from ibisport_fleet.targets import Build

# The first byte of a datagram; the load feed has 1.
KIND = 2
MS_PER_SECOND = 1_000

_Key = Annotated[bytes, Meta(min_length=KEY_BYTES, max_length=KEY_BYTES)]
_Lifetime = Annotated[int, Meta(ge=0, le=MAX_LIFETIME_SECONDS * MS_PER_SECOND)]
_Seconds = Annotated[float, Meta(ge=0, le=MAX_LIFETIME_SECONDS)]
_Name = Annotated[str, Meta(max_length=MAX_DATAGRAM_BYTES)]


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """A stream began.

    Attributes:
        key: Key of the stream.
        build: The software that began it.
        lifetime: How long its caller may come back from now on, seconds.
    """

    key: bytes
    build: Build
    lifetime: float


@dataclass(frozen=True, slots=True)
class StreamQuery:
    """Asks for the build that began a stream.

    Attributes:
        key: Key of the stream; None: its caller didn't name it.
        services: The services that its route leads to.
        window: How long ago the stream may have begun, seconds.
    """

    key: _Key | None
    services: tuple[_Name, ...]
    window: _Seconds


@dataclass(frozen=True, slots=True)
class StreamAnswer:
    """The answer to a query.

    Attributes:
        builds: The software that may have begun the stream, none if two streams with
            its id began with different software; None: not known.
        recorded: Whether there is a record of the stream. Otherwise the list of targets
            tells the builds.
        age: Seconds since the router that answers recorded it.
        page: The software that may have begun the stream by the store's page of
            builds; None: it doesn't tell. Routers of older releases don't send it.
    """

    builds: tuple[Build, ...] | None
    recorded: bool = False
    age: float = 0.0
    page: tuple[Build, ...] | None = None


class _StreamBegun(Struct, array_like=True, forbid_unknown_fields=True):
    key: _Key
    lifetime_ms: _Lifetime
    service: _Name
    version: _Name


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StreamBegun)


def encode_begun(begun: StreamBegun) -> bytes | None:
    """Return the datagram of a record; None if its names are too long for one."""
    lifetime = min(begun.lifetime, MAX_LIFETIME_SECONDS)
    record = _StreamBegun(
        begun.key,
        math.ceil(lifetime * MS_PER_SECOND),
        begun.build.service,
        begun.build.version,
    )
    datagram = bytes((KIND,)) + _ENCODER.encode(record)
    return datagram if len(datagram) <= MAX_DATAGRAM_BYTES else None


def decode_begun(datagram: bytes) -> StreamBegun | None:
    """Return the record of a datagram; None if it is unreadable."""
    if len(datagram) > MAX_DATAGRAM_BYTES or not datagram.startswith(bytes((KIND,))):
        return None
    try:
        record = _DECODER.decode(datagram[1:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    build = Build(record.service, record.version)
    return StreamBegun(record.key, build, record.lifetime_ms / MS_PER_SECOND)
