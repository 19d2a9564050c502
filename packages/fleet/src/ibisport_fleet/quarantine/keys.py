"""Keys under which requests are suspected: the whole request, or a prompt part."""

PART_PREFIX = 'part-'
# Why a request failed, in logs and in what its caller gets.
REASON_QUARANTINED = 'quarantined'


def is_part(key: str) -> bool:
    """Return whether a key stands for a prompt part that requests may share."""
    return key.startswith(PART_PREFIX)
