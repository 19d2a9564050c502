"""HTTP requests and answers, independent of what they mean to the router."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ibisport_fleet.overload.memory_budget import MemoryUse

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


class Caller(Protocol):
    """The connection of a caller that waits for an answer."""

    @property
    def peer_left(self) -> bool:
        """Whether the caller has closed the connection, read or not."""

    @property
    def packet_age(self) -> float | None:
        """Seconds since the last packet of the caller, if the system tells."""


@dataclass(frozen=True, slots=True)
class _Present:
    """A caller that never leaves."""

    peer_left: bool = False
    packet_age: float | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request from a caller.

    Attributes:
        method: HTTP method in upper case.
        target: Path and query as sent.
        headers: Names in lower case and values as sent, in order.
        body: The complete body.
        keeps_open: Whether the connection may carry another request.
        received_at: Loop time in seconds at which the last byte was read.
        connected_at: Loop time in seconds at which the connection was accepted.
        memory: The memory that its connection uses.
        caller: Tells whether the caller is still there.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    keeps_open: bool
    received_at: float
    connected_at: float
    memory: MemoryUse = field(default_factory=MemoryUse, compare=False)
    caller: Caller = field(default_factory=_Present, compare=False, repr=False)

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name must be in lower case."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes:
        status: HTTP status code.
        headers: Names in lower case and values as sent, in order.
        keeps_open: Whether the connection may carry another request.
        framed: Whether the headers state where the body ends.
    """

    status: int
    headers: Headers
    keeps_open: bool
    framed: bool

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name must be in lower case."""
        return find_header(self.headers, name)

    @property
    def length(self) -> int:
        """Value of the content-length header in bytes, or 0 without one."""
        stated = self.find(b'content-length') or b''
        return int(stated) if stated.isdigit() else 0


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    head: AnswerHead
    body: bytes


def find_header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header; the name must be in lower case."""
    for key, content in headers:
        if key == name:
            return content
    return None


def drop_connection_headers(headers: Headers) -> Headers:
    """Return the headers to forward to the next peer.

    Drops the well-known connection headers, the headers listed in ``Connection``, and
    the content length, which the sender of the body sets again.
    """
    named = find_header(headers, b'connection') or b''
    listed = {part.strip().lower() for part in named.split(b',')}
    dropped = CONNECTION_HEADERS | listed | {b'content-length'}
    return tuple(pair for pair in headers if pair[0] not in dropped)


def encode_head(start: bytes, headers: Headers) -> bytes:
    """Encode the start line and headers of a message, including the empty line."""
    lines = [start]
    lines += [name + b': ' + content for name, content in headers]
    return b'\r\n'.join(lines) + b'\r\n\r\n'
