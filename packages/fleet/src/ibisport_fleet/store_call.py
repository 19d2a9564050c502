"""A call to the store, and the progress of an attempt of it on one path."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ibisport_fleet.addresses import Address
from ibisport_fleet.errors import ChangesTooLong
from ibisport_fleet.http_messages import AnswerHead, Headers
from ibisport_fleet.store_paths import CallKind

# An answer that has begun may continue while its bytes arrive: a megabyte takes two
# seconds on a narrow link, and a second path wouldn't deliver it any sooner.
MAX_SILENCE_SECONDS = 0.9
# Bounds an answer whose bytes trickle in.
MAX_ANSWER_SECONDS = 10.0
# An answer that would take longer may come sooner on another path: the largest
# catalogue takes less on the narrowest links.
MAX_TRANSFER_SECONDS = 3.5
# The transfer rate of an answer isn't estimated before this time.
MIN_MEASURED_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class StoreCall:
    """A call as it is sent over a connection.

    Attributes:
        kind: Kind of the call.
        request_line: HTTP request line.
        headers: Headers, without the content length.
        body: Body.
        timeout_seconds: Maximum time until the answer begins.
        long_poll: The store delays the answer on purpose, so a late answer says
            nothing about the path.
        max_bytes: Maximum size of the answer's body; 0 means unlimited.
        shared_prefix: Routers of a failure domain try the same relay first for this
            prefix; if empty, each router tries the store first.
        on_bytes: Called whenever bytes of an answer arrive, if set.
    """

    kind: CallKind
    request_line: bytes
    headers: Headers
    body: bytes
    timeout_seconds: float
    long_poll: bool = False
    max_bytes: int = 0
    shared_prefix: str = ''
    on_bytes: Callable[[], None] | None = None


class CallAttempt:
    """An attempt of a call on one path, and the progress of its answer.

    Attributes:
        address: Address of the path.
        call: The call.
        last_received_at: Loop time of the answer's last bytes; None before the first.
        first_received_at: Loop time of the answer's first bytes; None before them.
        length: Content length that the answer's head states; 0 if it states none.
        received: Bytes of the body received so far.
    """

    def __init__(self, address: Address, call: StoreCall, deadline: float) -> None:
        """Start an attempt.

        Args:
            address: Address of the path.
            call: The call.
            deadline: Loop time by which the answer must begin.
        """
        self.address = address
        self.call = call
        self.last_received_at: float | None = None
        self.first_received_at: float | None = None
        self.length = 0
        self.received = 0
        self._timeout = asyncio.timeout_at(deadline)

    @property
    def timeout(self) -> asyncio.Timeout:
        """Timeout that ends the attempt; arriving bytes extend it."""
        return self._timeout

    @property
    def transfer_seconds(self) -> float:
        """Seconds between the first and the latest bytes of the answer."""
        if self.last_received_at is None or self.first_received_at is None:
            return 0.0
        return self.last_received_at - self.first_received_at

    def handle_head(self, head: AnswerHead) -> None:
        """Record the answer's head.

        Raises:
            ChangesTooLong: The body is longer than the call allows.
        """
        self.length = head.length
        self.handle_bytes(0)
        limit = self.call.max_bytes
        if limit and head.length > limit:
            raise ChangesTooLong(f'{head.length} bytes')

    def handle_bytes(self, size: int) -> None:
        """Record received bytes and extend the timeout.

        Args:
            size: Number of bytes of the body.
        """
        self.received += size
        now = asyncio.get_running_loop().time()
        self.last_received_at = now
        self.first_received_at = self.first_received_at or now
        deadline = self.first_received_at + MAX_ANSWER_SECONDS
        self._timeout.reschedule(min(now + MAX_SILENCE_SECONDS, deadline))
        if self.call.on_bytes is not None:
            self.call.on_bytes()

    def is_silent(self, seconds: float) -> bool:
        """Return whether nothing was received for this time."""
        if self.last_received_at is None:
            return True
        return asyncio.get_running_loop().time() - self.last_received_at >= seconds

    def is_slow(self) -> bool:
        """Return whether the answer takes too long at the rate measured so far."""
        if self.first_received_at is None:
            return False
        elapsed = asyncio.get_running_loop().time() - self.first_received_at
        if elapsed < MIN_MEASURED_SECONDS:
            return False
        estimate = elapsed * self.length / max(self.received, 1)
        return max(estimate, elapsed) > MAX_TRANSFER_SECONDS
