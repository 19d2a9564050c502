"""Proofs of how long ago a process was last in contact with the store.

A lender keeps two kinds of keys in the store, each under a lease that is never
renewed: a renewal that is executed late would lengthen one unnoticed. A successor that
finds a key knows that the process had ended by the time at which its lease runs out.

The contact proof lives for a short time. While it may exist, the process respects its
contact caps. Afterwards the bound of its spending grows with time, up to its caps.
Stamps live until the bound has grown completely. One is written with each contact proof
under a key of its own, so the oldest stamp that still exists tells how long ago the
process wrote its last one, to within a renewal interval.
"""

import asyncio
from dataclasses import dataclass
from typing import Annotated, Self

import msgspec
from msgspec import Meta

from ibisport_fleet.clocks import Clocks
from ibisport_fleet.item_decoding import decode_item
from ibisport_fleet.store import Item, Listing, Put, Store

PROOF_PREFIX = 'ibisport/contact/'
# Covers a renewal interval of 0.7 s, a restart after 1.2 s and 0.5 s of startup.
PROOF_LEASE_SECONDS = 2.5
# Time in which the bound grows from the contact caps to the caps. A lender's caps cover
# the demand of 6 s, so the bound grows faster than usual demand uses it up.
RELEASE_SECONDS = 4.0
STAMP_LEASE_SECONDS = PROOF_LEASE_SECONDS + RELEASE_SECONDS
# Enough that a stamp's lease has run out before its key is written again.
STAMP_SLOTS = 10
_Moment = Annotated[float, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class ContactProof:
    """Leases for a contact proof and for the stamp that is written with it.

    Attributes:
        lease: Identifier of the proof's lease.
        expires_at: Boot-clock time by which it has certainly expired.
        stamp_lease: Identifier of the stamp's lease.
        stamp_expires_at: Boot-clock time by which it has certainly expired.
        slot: Number of the stamp's key.
    """

    lease: int
    expires_at: float
    stamp_lease: int
    stamp_expires_at: float
    slot: int

    @property
    def full_cap_at(self) -> float:
        """Boot-clock time from which the process may spend up to its caps."""
        return self.expires_at + RELEASE_SECONDS

    def list_puts(
        self, host: str, incarnation: str, boot: float, wall: float
    ) -> list[Put]:
        """Return the keys to write.

        Args:
            host: Name of the process's host.
            incarnation: Identifier of the process.
            boot: Current boot-clock time in seconds.
            wall: Current time of day in seconds.
        """
        stamp = Stamp(
            incarnation, self.stamp_expires_at, wall + self.stamp_expires_at - boot
        )
        key = f'{PROOF_PREFIX}{host}'
        return [
            Put(key, msgspec.json.encode((incarnation, wall)), self.lease),
            Put(f'{key}/{self.slot}', msgspec.json.encode(stamp), self.stamp_lease),
        ]


class ContactProofs:
    """The contact proofs of this process.

    Attributes:
        expire_at: Boot-clock time by which all proofs that may be stored have expired.
        full_cap_at: Boot-clock time from which the caps bound the process.
    """

    def __init__(self, store: Store, clocks: Clocks) -> None:
        self.expire_at = 0.0
        self.full_cap_at = 0.0
        self._store = store
        self._clocks = clocks
        self._newest: ContactProof | None = None
        self._is_newest_stored = False
        self._count = 0

    @property
    def released(self) -> float:
        """How far the bounds have grown from the contact caps to the caps.

        The caps bound a process that never had a proof.
        """
        return compute_released_fraction(
            self.expire_at, self.full_cap_at, self._clocks.boot()
        )

    async def renew(self) -> None:
        """Acquire leases for a new proof."""
        (lease, seconds), (stamp_lease, stamp_seconds) = await asyncio.gather(
            self._store.grant_lease(PROOF_LEASE_SECONDS),
            self._store.grant_lease(STAMP_LEASE_SECONDS),
        )
        now = self._clocks.boot()
        self._count += 1
        slot = self._count % STAMP_SLOTS
        self._newest = ContactProof(
            lease, now + seconds, stamp_lease, now + stamp_seconds, slot
        )
        self._is_newest_stored = False

    def find_unstored(self) -> ContactProof | None:
        """Return the proof that the next write stores, or None.

        The ledger's bounds hold only for proofs that are written before they expire.
        """
        proof = self._newest
        if proof is None or self._is_newest_stored:
            return None
        return proof if proof.expires_at > self._clocks.boot() else None

    def apply_sent(self, proof: ContactProof | None) -> None:
        """Respect a proof that a write may have stored."""
        if proof is not None:
            self.expire_at = max(self.expire_at, proof.expires_at)
            self.full_cap_at = max(self.full_cap_at, proof.full_cap_at)

    def apply_stored(self, proof: ContactProof | None) -> None:
        """Note that a write has stored a proof."""
        if proof is not None and proof is self._newest:
            self._is_newest_stored = True


@dataclass(frozen=True, slots=True)
class Stamp:
    """Content of a stamp.

    Attributes:
        incarnation: Identifier of the process.
        expires_at: Time on the process's boot clock by which the lease has expired.
        expires_at_wall: The same as time of day.
    """

    incarnation: str
    expires_at: _Moment
    expires_at_wall: _Moment


_PROOF_DECODER = msgspec.json.Decoder(tuple[str, _Moment])
_STAMP_DECODER = msgspec.json.Decoder(Stamp)


@dataclass(frozen=True, slots=True)
class FoundProofs:
    """The keys of one host that exist in the store.

    Attributes:
        proof: The contact proof, or None.
        stamps: The stamps, in any order.
    """

    proof: Item | None
    stamps: tuple[Item, ...]

    @classmethod
    def from_listing(cls, host: str, listing: Listing) -> Self:
        """Select a host's keys; other hosts' names may begin with the same text."""
        key = f'{PROOF_PREFIX}{host}'
        proofs = {item.key: item for item in listing.items}
        stamps = [item for item in listing.items if item.key.rpartition('/')[0] == key]
        return cls(proofs.get(key), tuple(stamps))


def decode_proof(item: Item) -> tuple[str, float]:
    """Return the incarnation in a contact proof, and the time of day of its write.

    Raises:
        RecordInvalid: The content is not a valid contact proof.
    """
    return decode_item(_PROOF_DECODER.decode, item)


def decode_stamp(item: Item) -> Stamp:
    """Decode a stamp.

    Raises:
        RecordInvalid: The content is not a valid stamp.
    """
    return decode_item(_STAMP_DECODER.decode, item)


def compute_released_fraction(
    expires_at: float, full_cap_at: float, now: float
) -> float:
    """Return how far a process's bound has grown from its contact caps to its caps.

    Args:
        expires_at: Boot-clock time until which the contact caps apply.
        full_cap_at: Boot-clock time from which the caps apply.
        now: Boot-clock time to compute the fraction for.
    """
    if now <= expires_at:
        return 0.0
    if now >= full_cap_at:
        return 1.0
    return (now - expires_at) / (full_cap_at - expires_at)
