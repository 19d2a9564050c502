"""Starts programs for tests and the demo, and waits until they serve.

A program is ready when it has printed the line ``ready <host>:<port>``. Its
standard output and error go to one log file.
"""

import os
import signal
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

from ibisport_bench.standins.errors import ProgramNotReady, ProgramNotStopped

# Seconds of a program's own time, without those in which it waited for a processor:
# a busy machine must not decide whether a start failed.
READY_TIMEOUT_SECONDS = 20
# Seconds after which a start has failed on any machine.
MAX_START_SECONDS = 120
STOP_TIMEOUT_SECONDS = 20
KILL_TIMEOUT_SECONDS = 10
POLL_INTERVAL_SECONDS = 0.02
NANOSECONDS_PER_SECOND = 1e9
READY_WORD = 'ready'
LOG_TAIL_CHARACTERS = 2000


@dataclass(frozen=True, slots=True)
class Program:
    """A running program.

    Attributes:
        process: Its process.
        address: ``host:port`` of its ``ready`` line.
        log_path: File with all that it printed.
    """

    process: subprocess.Popen[bytes]
    address: str
    log_path: Path

    @property
    def url(self) -> str:
        """The address as an HTTP URL without a path."""
        return f'http://{self.address}'

    def find_address(self, word: str) -> str | None:
        """Return the address of a further line such as ``ready-links``.

        Args:
            word: First word of the line.

        Returns:
            The second word of the first such line, or None.
        """
        return _find_address(self.log_path, word)

    def wait_address(self, word: str, timeout: float = READY_TIMEOUT_SECONDS) -> str:
        """Return the address of a further line once it is printed.

        Raises:
            ProgramNotReady: The line did not come in time.
        """
        return _wait_address(self.process, self.log_path, word, timeout)

    def kill(self) -> None:
        """End the program at once (SIGKILL) and wait for its end."""
        self.process.kill()
        self.process.wait(KILL_TIMEOUT_SECONDS)

    def stop(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """End the program gracefully (SIGTERM) and return its exit code.

        Args:
            timeout: Seconds that it may take.

        Raises:
            ProgramNotStopped: It took longer, and was killed.
        """
        self.process.terminate()
        # A paused program would never see the SIGTERM.
        self.resume()
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise ProgramNotStopped(repr(self.process.args)) from error

    def pause(self) -> None:
        """Stop the program's execution (SIGSTOP)."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused program go on (SIGCONT)."""
        self.process.send_signal(signal.SIGCONT)

    def is_running(self) -> bool:
        """Tell whether the program has not ended; a paused one counts."""
        return self.process.poll() is None


def start_program(
    arguments: list[str],
    log_path: str | Path,
    environment: dict[str, str] | None = None,
) -> Program:
    """Start a program and wait until it is ready.

    Args:
        arguments: Program and its arguments.
        log_path: File for what it prints; one that exists is emptied.
        environment: Variables added to those of this process.

    Returns:
        The running program.

    Raises:
        ProgramNotReady: It ended, or did not get ready in 20 seconds of its own
            time.
    """
    path = Path(log_path)
    with path.open('wb') as log:
        process = subprocess.Popen(
            arguments,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={**os.environ, **(environment or {})},
        )
    try:
        address = _wait_address(process, path, READY_WORD, READY_TIMEOUT_SECONDS)
    except ProgramNotReady:
        process.kill()
        process.wait(KILL_TIMEOUT_SECONDS)
        raise
    return Program(process, address, path)


def read_run_queue_wait(process: int) -> float:
    """Return the seconds that a process was able to run and had no processor.

    The second number of ``/proc/<pid>/schedstat`` (the kernel's
    Documentation/scheduler/sched-stats.rst), of its first thread, which starts it.

    Args:
        process: Its id.
    """
    try:
        numbers = Path(f'/proc/{process}/schedstat').read_text().split()
    except OSError:
        return 0
    return int(numbers[1]) / NANOSECONDS_PER_SECOND


def _wait_address(
    process: subprocess.Popen[bytes], path: Path, word: str, timeout: float
) -> str:
    begun = time.monotonic()
    guard = begun + MAX_START_SECONDS
    while time.monotonic() < min(
        guard, begun + timeout + read_run_queue_wait(process.pid)
    ):
        ended = process.poll() is not None
        address = _find_address(path, word)
        if address is not None:
            return address
        if ended:
            break
        time.sleep(POLL_INTERVAL_SECONDS)
    tail = path.read_text(errors='replace')[-LOG_TAIL_CHARACTERS:]
    raise ProgramNotReady(f'{process.args!r} exit code {process.poll()}: {tail}')


def _find_address(path: Path, word: str) -> str | None:
    for line in path.read_text(errors='replace').splitlines(keepends=True):
        words = line.split()
        # A line without its end may still be in the making.
        if line.endswith('\n') and words[:1] == [word] and len(words) > 1:
            return words[1]
    return None
