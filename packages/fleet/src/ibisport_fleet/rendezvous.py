"""Rendezvous hashing: all routers rank the same names alike without messages."""

import xxhash


def hash_text(text: str) -> int:
    """Return a hash of a text; it is the same in all processes."""
    return xxhash.xxh3_64_intdigest(text.encode())


def compute_score(key: str, name: str) -> int:
    """Return the score of a name for a key."""
    return hash_text(f'{key}|{name}')
