"""Leases of the store, which expire by monotonic time and delete their keys."""

import random
import threading
import time

from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.store.database import Database
from ibisport_bench.standins.store.records import KeyRange, Lease

EXPIRY_CHECK_INTERVAL_SECONDS = 0.02
ID_BITS = 62


class Leases:
    """The leases of a database, guarded by the database's lock."""

    def __init__(self, database: Database) -> None:
        """Create an empty collection."""
        self._database = database
        self._leases: dict[int, Lease] = {}
        self._keys: dict[int, set[bytes]] = {}

    def grant(self, ttl: int, lease_id: int) -> Lease:
        """Grant a lease under the given id, or under a random one if it is 0.

        Raises:
            CallRejected: A lease with this id exists.
        """
        with self._database.lock:
            new_id = lease_id or random.getrandbits(ID_BITS) + 1
            if new_id in self._leases:
                raise CallRejected('etcdserver: lease already exists', 400, 9)
            lease = Lease(new_id, ttl, time.monotonic() + ttl)
            self._leases[new_id] = lease
            self._keys[new_id] = set()
            return lease

    def renew(self, lease_id: int) -> Lease | None:
        """Restart the TTL of a lease; return None if it does not exist."""
        with self._database.lock:
            lease = self._leases.get(lease_id)
            if lease is None:
                return None
            deadline = time.monotonic() + lease.granted_ttl
            renewed = Lease(lease_id, lease.granted_ttl, deadline)
            self._leases[lease_id] = renewed
            return renewed

    def find(self, lease_id: int) -> Lease | None:
        """Return a lease, or None if it does not exist."""
        return self._leases.get(lease_id)

    def list_keys(self, lease_id: int) -> list[bytes]:
        """Return the keys attached to a lease, sorted."""
        return sorted(self._keys.get(lease_id, ()))

    def check(self, lease_id: int) -> None:
        """Check that the lease of a put exists; 0 stands for no lease.

        Raises:
            CallRejected: The lease does not exist.
        """
        if lease_id and lease_id not in self._leases:
            raise _make_not_found_error()

    def bind(self, key: bytes, previous_lease: int, new_lease: int) -> None:
        """Move a key from one lease to another; 0 stands for no lease."""
        if previous_lease in self._keys:
            self._keys[previous_lease].discard(key)
        if new_lease:
            self._keys[new_lease].add(key)

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys in one revision.

        Raises:
            CallRejected: No such lease exists.
        """
        with self._database.lock:
            if self._leases.pop(lease_id, None) is None:
                raise _make_not_found_error()
            for key in sorted(self._keys.pop(lease_id)):
                self._database.delete(KeyRange(key))
            self._database.commit()

    def expire(self, lease_id: int | None = None) -> None:
        """Expire one lease, or all of them, before their deadlines."""
        with self._database.lock:
            for granted_id in tuple(self._leases):
                if lease_id in {None, granted_id}:
                    self.revoke(granted_id)

    def start_expiry(self) -> None:
        """Start the thread that expires leases at their deadlines."""
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
