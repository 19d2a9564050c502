"""Buffer of one request's answer that can be read from any offset."""

import bisect
from dataclasses import dataclass, field


@dataclass(slots=True)
class Answer:
    """Bytes of an answer in the order received; not thread-safe.

    Attributes:
        length: Number of bytes received so far.
    """

    length: int = 0
    _chunks: list[bytes] = field(default_factory=list)
    _offsets: list[int] = field(default_factory=list)

    def append(self, payload: bytes) -> int:
        """Append bytes and return the offset of the first of them."""
        offset = self.length
        self._chunks.append(payload)
        self._offsets.append(offset)
        self.length += len(payload)
        return offset

    def read_from(self, offset: int) -> bytes:
        """Return all bytes from an offset to the end, which may be none."""
        if offset >= self.length:
            return b''
        index = bisect.bisect_right(self._offsets, offset) - 1
        first = self._chunks[index][offset - self._offsets[index] :]
        return b''.join((first, *self._chunks[index + 1 :]))
