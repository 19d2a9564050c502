"""Tells whoever started a process where it serves."""

import sys


def announce(word: str, address: str) -> None:
    """Print one line, ``<word> <address>``, on the standard output.

    The line is one write: a log line written by another thread to the same
    file must not come between an address and its line's end.

    Args:
        word: What is told: ``ready``, ``ready-status`` or ``ready-links``.
        address: Where it serves, ``host:port``.
    """
    sys.stdout.write(f'{word} {address}\n')
    sys.stdout.flush()
