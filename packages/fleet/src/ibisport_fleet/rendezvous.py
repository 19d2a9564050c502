"""Rendezvous hashing: all routers rank the same names alike without messages."""

import xxhash


def compute_score(key: str, name: str) -> int:
    """Return the score of a name for a key; it is the same in all processes."""
    return xxhash.xxh3_64_intdigest(f'{key}|{name}'.encode())
