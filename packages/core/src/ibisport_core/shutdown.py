"""Waits for the platform to ask a process to end."""

import signal
import threading

_CHECK_SECONDS = 0.2


def wait_signal() -> None:
    """Block the main thread until SIGTERM or SIGINT.

    The wait is bounded and repeated: a signal that came while the process was
    paused may be taken by another thread, and an unbounded wait of the main
    thread would then never run the handler.
    """
    asked = threading.Event()

    def ask(*_: object) -> None:
        asked.set()

    signal.signal(signal.SIGTERM, ask)
    signal.signal(signal.SIGINT, ask)
    while not asked.is_set():
        asked.wait(_CHECK_SECONDS)
