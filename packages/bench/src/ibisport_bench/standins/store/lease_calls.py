"""Lease calls of etcd's JSON gateway."""

import time

from ibisport_bench.standins.store.database import Database
from ibisport_bench.standins.store.encoding import (
    Fields,
    drop_empty,
    encode_bytes,
    encode_header,
)
from ibisport_bench.standins.store.leases import Leases
from ibisport_bench.standins.store.messages import LeaseRequest, decode_message
from ibisport_bench.standins.web import Answer, Call, answer_json


class LeaseCalls:
    """Serves the paths under ``/v3/lease``."""

    def __init__(self, database: Database, leases: Leases) -> None:
        """Serve the leases of a database."""
        self._database = database
        self._leases = leases

    def grant(self, call: Call) -> Answer:
        """Serve LeaseGrant."""
        request = decode_message(LeaseRequest, call)
        lease = self._leases.grant(request.ttl, request.lease_id)
        return self._answer({'ID': str(lease.lease_id), 'TTL': str(lease.granted_ttl)})

    def revoke(self, call: Call) -> Answer:
        """Serve LeaseRevoke."""
        self._leases.revoke(decode_message(LeaseRequest, call).lease_id)
        return self._answer({})

    def keep_alive(self, call: Call) -> Answer:
        """Serve one LeaseKeepAlive; the answer for a missing lease has no TTL."""
        request = decode_message(LeaseRequest, call)
        lease = self._leases.renew(request.lease_id)
        ttl = lease.granted_ttl if lease else 0
        fields = drop_empty({'ID': str(request.lease_id), 'TTL': str(ttl)})
        return answer_json({'result': self._add_header(fields)})

    def show(self, call: Call) -> Answer:
        """Serve LeaseTimeToLive; the TTL of a missing lease is -1."""
        request = decode_message(LeaseRequest, call)
        with self._database.lock:
            lease = self._leases.find(request.lease_id)
            keys = self._leases.list_keys(request.lease_id)
        fields: Fields = {'ID': str(request.lease_id), 'TTL': '-1'}
        if lease is not None:
            remaining = max(1, int(lease.deadline - time.monotonic()))
            fields.update({'TTL': str(remaining), 'grantedTTL': str(lease.granted_ttl)})
            if request.keys:
                fields['keys'] = [encode_bytes(key) for key in keys]
        return self._answer(fields)

    def _answer(self, fields: Fields) -> Answer:
        return answer_json(self._add_header(fields))

    def _add_header(self, fields: Fields) -> Fields:
        return {'header': encode_header(self._database.revision), **fields}
