"""Records of the store: pairs, changes, key ranges and leases."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pair:
    """A key with its value and revisions.

    Attributes:
        key: Key bytes.
        value: Value bytes; empty in the tombstone of a deletion.
        create_revision: Revision at which the key was created.
        mod_revision: Revision of the last change.
        version: Number of changes since creation; 0 in a tombstone.
        lease: Id of the lease that the key is attached to; 0 for no lease.
    """

    key: bytes
    value: bytes = b''
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A committed change of one key.

    Attributes:
        pair: Pair after the change; a tombstone for a deletion.
        previous: Pair before the change, if there was one.
        committed_at: Unix time in seconds.
    """

    pair: Pair
    previous: Pair | None
    committed_at: float

    @property
    def is_deletion(self) -> bool:
        """Whether the change deleted the key."""
        return self.pair.version == 0


@dataclass(frozen=True, slots=True)
class KeyRange:
    """A range of keys, encoded as in etcd.

    Attributes:
        start: First key.
        end: Exclusive upper bound; empty for the single key ``start``, a zero byte
            for all keys from ``start`` on.
    """

    start: bytes
    end: bytes = b''

    def covers(self, key: bytes) -> bool:
        """Return whether the key lies in the range."""
        if not self.end:
            return key == self.start
        return key >= self.start and (self.end == b'\0' or key < self.end)


@dataclass(frozen=True, slots=True)
class Lease:
    """A granted lease.

    Attributes:
        lease_id: Positive 63-bit id.
        granted_ttl: Time to live in seconds, counted from each renewal.
        deadline: Monotonic time at which the lease expires.
    """

    lease_id: int
    granted_ttl: int
    deadline: float
