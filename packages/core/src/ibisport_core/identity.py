"""Identity of requests and of processes.

A request is (workspace, idempotency key); without a key the router makes one,
so that the same names hold from the caller's retry down to the target's log.
"""

import hashlib
import uuid

from ibisport_core.messages import REQUEST_ID_BYTES


def make_request_id(workspace: str, key: str) -> bytes:
    """Return the 16-byte id of a request.

    Args:
        workspace: The workspace that asks.
        key: The caller's idempotency key, or one made by ``make_key``.

    Returns:
        The id; equal for equal workspace and key at every router.
    """
    named = f'{len(workspace)}:{workspace}:{key}'.encode()
    return hashlib.blake2b(named, digest_size=REQUEST_ID_BYTES).digest()


def make_key() -> str:
    """Return a fresh key for a request that brings none."""
    return uuid.uuid4().hex


def make_session() -> str:
    """Return the name of a fresh incarnation of a process."""
    return uuid.uuid4().hex


def hash_key(key: str) -> str:
    """Return a bearer key as it stands in the catalogue (SHA-256, hex)."""
    return hashlib.sha256(key.encode()).hexdigest()
