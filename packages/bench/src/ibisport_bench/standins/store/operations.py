"""Reads, writes and transactions on a database."""

import operator
from collections.abc import Callable
from typing import Any

from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.store.database import Database
from ibisport_bench.standins.store.encoding import (
    Fields,
    drop_empty,
    encode_header,
    encode_pair,
)
from ibisport_bench.standins.store.leases import Leases
from ibisport_bench.standins.store.messages import (
    Compare,
    CompareResult,
    CompareTarget,
    DeleteRangeRequest,
    PutRequest,
    RangeRequest,
    RequestOp,
    TxnRequest,
)
from ibisport_bench.standins.store.records import KeyRange, Pair

Relation = Callable[[Any, Any], bool]
_RELATIONS: dict[CompareResult, Relation] = {
    CompareResult.equal: operator.eq,
    CompareResult.not_equal: operator.ne,
    CompareResult.greater: operator.gt,
    CompareResult.less: operator.lt,
}


class Operations:
    """Executes operations on a database and its leases."""

    def __init__(self, database: Database, leases: Leases) -> None:
        """Operate on a database and its leases."""
        self._database = database
        self._leases = leases

    def read(self, request: RangeRequest) -> Fields:
        """Read a key range and return a RangeResponse."""
        with self._database.lock:
            pairs = self._database.select(request.to_range(), request.revision)
            revision = self._database.revision
        returned = pairs[: request.limit] if request.limit else pairs
        if request.count_only:
            returned = []
        return drop_empty(
            {
                'header': encode_header(revision),
                'kvs': [encode_pair(pair, request.keys_only) for pair in returned],
                'more': not request.count_only and len(returned) < len(pairs),
                'count': str(len(pairs)),
            }
        )

    def put(self, request: PutRequest) -> Fields:
        """Commit a put and return a PutResponse."""
        with self._database.lock:
            answer = self._put(request)
            self._database.commit()
            return {'header': encode_header(self._database.revision), **answer}

    def delete(self, request: DeleteRangeRequest) -> Fields:
        """Commit a deletion and return a DeleteRangeResponse."""
        with self._database.lock:
            answer = self._delete(request)
            self._database.commit()
            return {'header': encode_header(self._database.revision), **answer}

    def transact(self, request: TxnRequest) -> Fields:
        """Commit a transaction in one revision and return a TxnResponse."""
        with self._database.lock:
            succeeded = all(map(self._holds, request.compare))
            branch = request.success if succeeded else request.failure
            self._check_operations(branch)
            responses = [self._execute(operation) for operation in branch]
            self._database.commit()
            header = encode_header(self._database.revision)
        return drop_empty(
            {'header': header, 'succeeded': succeeded, 'responses': responses}
        )

    def _holds(self, condition: Compare) -> bool:
        relation = _RELATIONS[condition.result]
        if condition.range_end:
            key_range = KeyRange(condition.key, condition.range_end)
            found = self._database.select(key_range)
        else:
            found = self._find(condition.key)
        # As in etcd, a condition on a missing key is compared with an empty pair.
        pairs = found or [Pair(condition.key)]
        return all(_compare(pair, condition, relation) for pair in pairs)

    def _find(self, key: bytes) -> list[Pair]:
        pair = self._database.get(key)
        return [] if pair is None else [pair]

    def _check_operations(self, branch: list[RequestOp]) -> None:
        # All operations are checked first: an invalid operation must not leave the
        # transaction partly applied.
        puts = [operation.request_put for operation in branch if operation.request_put]
        deletions = [operation.request_delete_range for operation in branch]
        for put in puts:
            self._check_put(put)
        for operation in branch:
            if operation.request_range:
                self.read(operation.request_range)
        keys = {put.key for put in puts}
        ranges = [deletion.to_range() for deletion in deletions if deletion]
        overlaps = any(key_range.covers(key) for key_range in ranges for key in keys)
        if overlaps or len(keys) < len(puts):
            raise CallRejected('etcdserver: duplicate key given in txn request', 400, 3)

    def _check_put(self, request: PutRequest) -> None:
        if not request.key:
            raise CallRejected('etcdserver: key is not provided', 400, 3)
        self._leases.check(request.lease)

    def _execute(self, operation: RequestOp) -> Fields:
        if operation.request_put is not None:
            return {'response_put': self._put(operation.request_put)}
        if operation.request_delete_range is not None:
            return {
                'response_delete_range': self._delete(operation.request_delete_range)
            }
        return {'response_range': self.read(operation.request_range or RangeRequest())}

    def _put(self, request: PutRequest) -> Fields:
        self._check_put(request)
        previous = self._database.put(request.key, request.value, request.lease)
        self._leases.bind(request.key, previous.lease if previous else 0, request.lease)
        if previous is None or not request.prev_kv:
            return {}
        return {'prev_kv': encode_pair(previous)}

    def _delete(self, request: DeleteRangeRequest) -> Fields:
        deleted = self._database.delete(request.to_range())
        for pair in deleted:
            self._leases.bind(pair.key, pair.lease, 0)
        returned = deleted if request.prev_kv else []
        return drop_empty(
            {
                'deleted': str(len(deleted)),
                'prev_kvs': [encode_pair(pair) for pair in returned],
            }
        )


def _compare(pair: Pair, condition: Compare, relation: Relation) -> bool:
    match condition.target:
        case CompareTarget.version:
            return relation(pair.version, condition.version)
        case CompareTarget.create:
            return relation(pair.create_revision, condition.create_revision)
        case CompareTarget.mod:
            return relation(pair.mod_revision, condition.mod_revision)
        case CompareTarget.lease:
            return relation(pair.lease, condition.lease)
        case CompareTarget.value:
            # As in etcd, a value comparison fails on a missing key.
            return pair.version > 0 and relation(pair.value, condition.value)
