"""Encoding of etcd's JSON gateway: int64 as strings, zero values omitted."""

import base64
from typing import Any

from ibisport_bench.standins.store.records import Change, Pair

Fields = dict[str, Any]
_EMPTY: tuple[object, ...] = ('', '0', 0, [])


def encode_bytes(content: bytes) -> str:
    """Return the bytes as standard base64 text."""
    return base64.b64encode(content).decode()


def drop_empty(fields: Fields) -> Fields:
    """Omit fields with zero values, as protobuf's JSON mapping does."""
    return {name: value for name, value in fields.items() if value not in _EMPTY}


def encode_header(revision: int) -> Fields:
    """Return a ResponseHeader message."""
    return {
        'cluster_id': '1',
        'member_id': '1',
        'revision': str(revision),
        'raft_term': '1',
    }


def encode_pair(pair: Pair, keys_only: bool = False) -> Fields:
    """Return a pair as a KeyValue message."""
    return drop_empty(
        {
            'key': encode_bytes(pair.key),
            'create_revision': str(pair.create_revision),
            'mod_revision': str(pair.mod_revision),
            'version': str(pair.version),
            'value': '' if keys_only else encode_bytes(pair.value),
            'lease': str(pair.lease),
        }
    )


def encode_change(change: Change, with_previous: bool) -> Fields:
    """Return a change as an Event message; its type is never omitted."""
    event: Fields = {
        'type': 'DELETE' if change.is_deletion else 'PUT',
        'kv': encode_pair(change.pair),
    }
    if with_previous and change.previous is not None:
        event['prev_kv'] = encode_pair(change.previous)
    return event
