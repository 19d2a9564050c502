"""Requests and answers as they go over a connection, before they have a meaning."""

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]

# RFC 9110, section 7.6.1: headers that concern one connection only.
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


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request of a caller.

    Attributes:
        method: In capitals.
        target: Path and query as sent.
        headers: Names in lower case, values as sent, in order.
        body: The whole body.
        keeps_open: The caller may send another request on the connection.
        received: Loop time at which its last byte was read, seconds.
        connected: Loop time at which its connection came, seconds.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    keeps_open: bool
    received_at: float
    connected_at: float

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers
    keeps_open: bool
    framed: bool

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case."""
        return find_header(self.headers, name)

    @property
    def length(self) -> int:
        """The stated length of the body in bytes; 0 if none is stated."""
        stated = self.find(b'content-length') or b''
        return int(stated) if stated.isdigit() else 0


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer: its head and its body."""

    head: AnswerHead
    body: bytes


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, given in lower case."""
    for key, content in headers:
        if key == name:
            return content
    return None


def drop_connection_headers(headers: Headers) -> Headers:
    """Return the headers that go on to the next peer.

    Besides the well-known ones, those that ``Connection`` names are dropped, and
    the length, which whoever sends the body states anew.
    """
    named = find_header(headers, b'connection') or b''
    listed = {part.strip().lower() for part in named.split(b',')}
    dropped = CONNECTION_HEADERS | listed | {b'content-length'}
    return tuple(pair for pair in headers if pair[0] not in dropped)


def encode_head(start: bytes, headers: Headers) -> bytes:
    """Return a message's head as bytes, up to and with the empty line."""
    lines = [start]
    lines += [name + b': ' + content for name, content in headers]
    return b'\r\n'.join(lines) + b'\r\n\r\n'
