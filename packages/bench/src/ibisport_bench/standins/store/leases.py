"""Leases of the store; they expire by monotonic time and delete their keys."""

import random
import threading
import time

from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.store.database import Database
from ibisport_bench.standins.store.records import KeyRange, Lease

EXPIRY_CHECK_INTERVAL_SECONDS = 0.02
ID_BITS = 62


class Leases:
    """All leases of one database; its lock is theirs too."""

    def __init__(self, database: Database) -> None:
        """Start without leases."""
        self._database = database
        self._leases: dict[int, Lease] = {}
        self._keys: dict[int, set[bytes]] = {}

    def grant(self, ttl: int, lease_id: int) -> Lease:
        """Grant a lease.

        Raises:
            CallRejected: The id is taken.
        """
        with self._database.lock:
            wanted_id = lease_id or random.getrandbits(ID_BITS) + 1
            if wanted_id in self._leases:
                raise CallRejected('etcdserver: lease already exists', 400, 9)
            lease = Lease(wanted_id, ttl, time.monotonic() + ttl)
            self._leases[wanted_id] = lease
            self._keys[wanted_id] = set()
            return lease

    def renew(self, lease_id: int) -> Lease | None:
        """Move the lease's deadline, or return None when it is gone."""
        with self._database.lock:
            lease = self._leases.get(lease_id)
            if lease is None:
                return None
            deadline = time.monotonic() + lease.granted_ttl
            renewed = Lease(lease_id, lease.granted_ttl, deadline)
            self._leases[lease_id] = renewed
            return renewed

    def find(self, lease_id: int) -> Lease | None:
        """Return a lease that has not ended."""
        return self._leases.get(lease_id)

    def list_keys(self, lease_id: int) -> list[bytes]:
        """Return the keys bound to the lease, sorted."""
        return sorted(self._keys.get(lease_id, ()))

    def check(self, lease_id: int) -> None:
        """Make sure that a lease named by a put exists.

        Raises:
            CallRejected: It does not.
        """
        if lease_id and lease_id not in self._leases:
            raise _make_not_found_error()

    def bind(self, key: bytes, before: int, after: int) -> None:
        """Move a key from one lease to another; 0 stands for none."""
        if before in self._keys:
            self._keys[before].discard(key)
        if after:
            self._keys[after].add(key)

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys in one revision.

        Raises:
            CallRejected: There is no such lease.
        """
        with self._database.lock:
            if self._leases.pop(lease_id, None) is None:
                raise _make_not_found_error()
            for key in sorted(self._keys.pop(lease_id)):
                self._database.delete(KeyRange(key))
            self._database.commit()

    def expire(self, lease_id: int | None = None) -> None:
        """End one lease, or all, as if their time had run out."""
        with self._database.lock:
            for known in tuple(self._leases):
                if lease_id in {None, known}:
                    self.revoke(known)

    def start_expiry(self) -> None:
        """Start the thread that ends leases at their deadlines."""
        threading.Thread(target=self._expire_periodically, daemon=True).start()

    def _expire_periodically(self) -> None:
        while True:
            time.sleep(EXPIRY_CHECK_INTERVAL_SECONDS)
            self._expire_overdue(time.monotonic())

    def _expire_overdue(self, now: float) -> None:
        with self._database.lock:
            leases = tuple(self._leases.values())
            for lease in leases:
                if lease.deadline <= now:
                    self.revoke(lease.lease_id)


def _make_not_found_error() -> CallRejected:
    return CallRejected('etcdserver: requested lease not found', 404, 5)
