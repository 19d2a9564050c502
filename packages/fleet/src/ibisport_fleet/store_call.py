"""One call to the store, and how far a try of it on one way has come."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ibisport_fleet.addresses import Address
from ibisport_fleet.errors import ChangesTooLong
from ibisport_fleet.http_messages import AnswerHead, Headers
from ibisport_fleet.store_paths import CallKind

# An answer that has begun may go on while its bytes come: a megabyte takes two seconds
# on a narrow link, and is not there any sooner on a second way.
MAX_SILENCE_SECONDS = 0.9
# An answer whose bytes trickle is given up.
MAX_ANSWER_SECONDS = 10.0
# One that would take longer than this may come sooner on another way: the largest
# catalogue takes less on the narrowest links.
MAX_TRANSFER_SECONDS = 3.5
# The rate of an answer is judged after so long.
MIN_MEASURED_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class StoreCall:
    """One call as it goes over a connection.

    Attributes:
        kind: What it asks.
        start: The request line.
        headers: Its headers, but for the length.
        body: Its body.
        seconds: How long it may take until its answer begins.
        waits: The store answers late on purpose, so that a late answer says
            nothing of the way.
        most_bytes: Longest body of the answer; 0 is without a bound.
        shared_prefix: Routers of a domain ask the same relay first for this prefix;
            empty: each asks the store first.
        on_bytes: Is called as bytes of an answer come, if set.
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
    """One try of a call on one way, and how far its answer has come.

    Attributes:
        address: The way.
        call: The call.
        heard_at: Loop time of the answer's last bytes; None before the first.
        first_at: Loop time of its first bytes; None before them.
        length: Bytes that its head says it has; 0 if it says nothing.
        received: Bytes of its body that have come.
    """

    def __init__(self, address: Address, call: StoreCall, until: float) -> None:
        """Begin a try.

        Args:
            address: The way.
            call: The call.
            until: Loop time by which the answer must begin.
        """
        self.address = address
        self.call = call
        self.last_received_at: float | None = None
        self.first_received_at: float | None = None
        self.length = 0
        self.received = 0
        self._timeout = asyncio.timeout_at(until)

    @property
    def timeout(self) -> asyncio.Timeout:
        """What ends the try when its answer falls silent."""
        return self._timeout

    @property
    def transfer_seconds(self) -> float:
        """Seconds from the first bytes of the answer to the last ones so far."""
        if self.last_received_at is None or self.first_received_at is None:
            return 0.0
        return self.last_received_at - self.first_received_at

    def handle_head(self, head: AnswerHead) -> None:
        """Note the answer's head.

        Raises:
            ChangesTooLong: Its body is longer than the call allows.
        """
        self.length = head.length
        self.handle_bytes(0)
        most = self.call.max_bytes
        if most and head.length > most:
            raise ChangesTooLong(f'{head.length} bytes')

    def handle_bytes(self, size: int) -> None:
        """Note that bytes came: the answer may take as long again.

        Args:
            size: How many bytes of the body they are.
        """
        self.received += size
        now = asyncio.get_running_loop().time()
        self.last_received_at = now
        self.first_received_at = self.first_received_at or now
        longest = self.first_received_at + MAX_ANSWER_SECONDS
        self._timeout.reschedule(min(now + MAX_SILENCE_SECONDS, longest))
        if self.call.on_bytes is not None:
            self.call.on_bytes()

    def is_silent(self, seconds: float) -> bool:
        """Whether nothing came for so long."""
        if self.last_received_at is None:
            return True
        return asyncio.get_running_loop().time() - self.last_received_at >= seconds

    def is_slow(self) -> bool:
        """Whether the answer, at the rate so far, takes too long on this way."""
        if self.first_received_at is None:
            return False
        passed = asyncio.get_running_loop().time() - self.first_received_at
        if passed < MIN_MEASURED_SECONDS:
            return False
        whole = passed * self.length / max(self.received, 1)
        return max(whole, passed) > MAX_TRANSFER_SECONDS
