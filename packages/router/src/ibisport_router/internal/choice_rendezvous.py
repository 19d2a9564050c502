"""Rendezvous hashing: each key orders the targets in its own way.

A target that comes or goes moves only the keys it wins, and all routers agree
on the order without talking.
"""

from collections.abc import Iterable, Sequence

import xxhash


def hash_pair(target: str, key: bytes) -> int:
    """Return the score of a target for a key, 64 bits."""
    return int(xxhash.xxh3_64_intdigest(key + b'\0' + target.encode()))


def order_targets(targets: Iterable[str], key: bytes) -> list[str]:
    """Return the targets, the one with the highest score first.

    Args:
        targets: Names of targets.
        key: What is placed.
    """
    scored = [(hash_pair(target, key), target) for target in set(targets)]
    return [target for _, target in sorted(scored, reverse=True)]


def rank_homes(
    targets: Sequence[str], request_id: bytes, count: int
) -> tuple[str, ...]:
    """Return the home targets of a keyed request, whatever their load is.

    Args:
        targets: Names of all targets of the pool in the catalogue.
        request_id: Identity of the request.
        count: How many homes are wanted.

    Returns:
        At most ``count`` names, the first home first; the same at each router
        that knows the same targets.
    """
    return tuple(order_targets(targets, request_id)[: max(count, 0)])
