"""Validated requests of etcd's JSON gateway, with etcd's field names."""

from enum import StrEnum
from http import HTTPStatus
from typing import TypeVar

from pydantic import (
    Base64Bytes,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    alias_generators,
)

from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.store.records import KeyRange
from ibisport_bench.standins.web import Call


class Message(BaseModel):
    """Base of all messages; accepts field names in snake case and camel case."""

    model_config = ConfigDict(
        alias_generator=alias_generators.to_camel, populate_by_name=True
    )


class RangeRequest(Message):
    """Request to read a range of keys."""

    key: Base64Bytes = b''
    range_end: Base64Bytes = b''
    limit: int = 0
    revision: int = 0
    keys_only: bool = False
    count_only: bool = False

    def to_range(self) -> KeyRange:
        """Return the range of keys to read."""
        return KeyRange(self.key, self.range_end)


class PutRequest(Message):
    """Request to set a key."""

    key: Base64Bytes = b''
    value: Base64Bytes = b''
    lease: int = 0
    prev_kv: bool = False


class DeleteRangeRequest(Message):
    """Request to delete a range of keys."""

    key: Base64Bytes = b''
    range_end: Base64Bytes = b''
    prev_kv: bool = False

    def to_range(self) -> KeyRange:
        """Return the range of keys to delete."""
        return KeyRange(self.key, self.range_end)


class CompareResult(StrEnum):
    """Relation that a stored field must have to the given value."""

    equal = 'EQUAL'
    greater = 'GREATER'
    less = 'LESS'
    not_equal = 'NOT_EQUAL'


class CompareTarget(StrEnum):
    """Field of a stored pair that is compared."""

    version = 'VERSION'
    create = 'CREATE'
    mod = 'MOD'
    value = 'VALUE'
    lease = 'LEASE'


class Compare(Message):
    """Condition of a transaction."""

    result: CompareResult = CompareResult.equal
    target: CompareTarget = CompareTarget.version
    key: Base64Bytes = b''
    range_end: Base64Bytes = b''
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: Base64Bytes = b''
    lease: int = 0


class RequestOp(Message):
    """Operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TxnRequest(Message):
    """Request for a transaction.

    ``success`` is executed if all comparisons hold, ``failure`` otherwise.
    """

    compare: list[Compare] = []
    success: list[RequestOp] = []
    failure: list[RequestOp] = []

    def writes(self) -> bool:
        """Return whether the transaction contains a write in either branch."""
        operations = (*self.success, *self.failure)
        return any(operation.request_range is None for operation in operations)


class CompactionRequest(Message):
    """Request to compact the revisions before the given one."""

    revision: int = 0


class LeaseRequest(Message):
    """Request on a lease of any kind; fields that it does not use stay zero."""

    ttl: int = Field(default=0, alias='TTL')
    lease_id: int = Field(default=0, alias='ID')
    keys: bool = False


class WatchCreateRequest(Message):
    """Request to open a watch."""

    key: Base64Bytes = b''
    range_end: Base64Bytes = b''
    start_revision: int = 0
    progress_notify: bool = False
    prev_kv: bool = False
    watch_id: int = 0


class WatchRequest(Message):
    """The only message that a client sends on a watch stream."""

    create_request: WatchCreateRequest


M = TypeVar('M', bound=Message)


def decode_message(kind: type[M], call: Call) -> M:
    """Decode the body of a call; an empty body stands for ``{}``.

    Raises:
        CallRejected: The body is not a valid message of this kind.
    """
    try:
        return kind.model_validate_json(call.body or b'{}')
    except ValidationError as error:
        raise CallRejected(str(error), HTTPStatus.BAD_REQUEST, 3) from error
