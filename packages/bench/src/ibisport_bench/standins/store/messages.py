"""Requests of etcd's JSON gateway, validated; names as published by etcd."""

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
    """Base of all messages: snake case and camel case are both read."""

    model_config = ConfigDict(
        alias_generator=alias_generators.to_camel, populate_by_name=True
    )


class RangeRequest(Message):
    """Reads a range of keys."""

    key: Base64Bytes = b''
    range_end: Base64Bytes = b''
    limit: int = 0
    revision: int = 0
    keys_only: bool = False
    count_only: bool = False

    def to_range(self) -> KeyRange:
        """Return the wanted keys."""
        return KeyRange(self.key, self.range_end)


class PutRequest(Message):
    """Sets a key."""

    key: Base64Bytes = b''
    value: Base64Bytes = b''
    lease: int = 0
    prev_kv: bool = False


class DeleteRangeRequest(Message):
    """Deletes a range of keys."""

    key: Base64Bytes = b''
    range_end: Base64Bytes = b''
    prev_kv: bool = False

    def to_range(self) -> KeyRange:
        """Return the keys to be deleted."""
        return KeyRange(self.key, self.range_end)


class CompareResult(StrEnum):
    """How the stored field must relate to the given one."""

    equal = 'EQUAL'
    greater = 'GREATER'
    less = 'LESS'
    not_equal = 'NOT_EQUAL'


class CompareTarget(StrEnum):
    """Which field is compared."""

    version = 'VERSION'
    create = 'CREATE'
    mod = 'MOD'
    value = 'VALUE'
    lease = 'LEASE'


class Compare(Message):
    """One condition of a transaction."""

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
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TxnRequest(Message):
    """Compares, then carries out one of two lists of operations."""

    compare: list[Compare] = []
    success: list[RequestOp] = []
    failure: list[RequestOp] = []

    def writes(self) -> bool:
        """Tell whether it may change anything."""
        operations = (*self.success, *self.failure)
        return any(one.request_range is None for one in operations)


class CompactionRequest(Message):
    """Forgets old revisions."""

    revision: int = 0


class LeaseRequest(Message):
    """Any request on a lease; fields not meant are left at zero."""

    ttl: int = Field(default=0, alias='TTL')
    lease_id: int = Field(default=0, alias='ID')
    keys: bool = False


class WatchCreateRequest(Message):
    """Opens a watch."""

    key: Base64Bytes = b''
    range_end: Base64Bytes = b''
    start_revision: int = 0
    progress_notify: bool = False
    prev_kv: bool = False
    watch_id: int = 0


class WatchRequest(Message):
    """First and only message of a watch stream."""

    create_request: WatchCreateRequest


M = TypeVar('M', bound=Message)


def decode_message(kind: type[M], call: Call) -> M:
    """Return the call's body as a message.

    Raises:
        CallRejected: The body is no such message.
    """
    try:
        return kind.model_validate_json(call.body or b'{}')
    except ValidationError as error:
        raise CallRejected(str(error), HTTPStatus.BAD_REQUEST, 3) from error
