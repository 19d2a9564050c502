"""Bounds what a peer sends beside the bodies of its messages.

The HTTP parser bounds neither heads, trailers, interim answers nor the framing of
chunks, and copies a header that has not ended with each part that arrives.
"""

# Chunks of one byte have five bytes of framing each.
MAX_FRAMING_PER_BODY_BYTE = 8


class FramingMeter:
    """Counts the bytes of a message that don't belong to its body.

    Attributes:
        max_bytes: Bytes that a message without a body may bring.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._framing_bytes = 0

    @property
    def exceeded(self) -> bool:
        """Whether the message has brought more than any valid one needs."""
        return self._framing_bytes > self.max_bytes

    def record_received(self, size: int) -> None:
        """Count bytes as they arrive."""
        self._framing_bytes += size

    def record_body(self, size: int) -> None:
        """Count bytes of the body, which were counted as they arrived."""
        self._framing_bytes -= size * (1 + MAX_FRAMING_PER_BODY_BYTE)

    def reset(self) -> None:
        """Begin with the next message."""
        self._framing_bytes = 0
