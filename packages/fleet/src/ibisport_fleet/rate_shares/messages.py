"""Messages by which routers borrow shares of targets' rate limits."""

from dataclasses import dataclass

import msgspec

from ibisport_fleet.peers import decode_message

SHARES_PATH = b'/rate-shares'
# How long a share is lent. The lender needs it back soon once its own callers return.
LEASE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """Message to another router: requests its unused shares.

    Attributes:
        borrower: Host of the router that asks.
        targets: Incarnations of the targets.
    """

    borrower: str
    targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LentShare:
    """A lent share.

    Attributes:
        delay: Seconds until its first request may be sent.
        interval: Seconds between two requests.
    """

    delay: float
    interval: float


@dataclass(frozen=True, slots=True)
class ShareAnswer:
    """Answer to a ``ShareRequest``.

    Attributes:
        shares: The shares that are lent, by target, for ``LEASE_SECONDS`` from the
            request on.
    """

    shares: dict[str, LentShare]


def encode_request(request: ShareRequest) -> bytes:
    """Return the bytes of a request."""
    return msgspec.json.encode(request)


def encode_answer(answer: ShareAnswer) -> bytes:
    """Return the bytes of an answer."""
    return msgspec.json.encode(answer)


def decode_answer(content: bytes) -> ShareAnswer:
    """Return the answer in these bytes.

    Raises:
        PeerUnavailable: The bytes are no valid answer.
    """
    return decode_message(content, ShareAnswer)
