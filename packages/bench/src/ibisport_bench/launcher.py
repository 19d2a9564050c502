"""Starts programs for tests and the demo, and waits until they are ready.

A program is ready once it has printed the line ``ready <host>:<port>``. Its standard
output and standard error go to one log file.
"""

import os
import signal
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

from ibisport_bench.standins.errors import ProgramNotReady, ProgramNotStopped

# Without the time that the program waited for a processor, so that a start doesn't
# fail merely because the machine is busy.
READY_TIMEOUT_SECONDS = 20
# Limit that includes the time spent waiting for a processor.
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
        process: Process of the program.
        address: ``host:port`` from its ``ready`` line.
        log_path: File with everything that the program has printed.
    """

    process: subprocess.Popen[bytes]
    address: str
    log_path: Path

    @property
    def url(self) -> str:
        """The address as an HTTP URL without a path."""
        return f'http://{self.address}'

    def find_address(self, word: str) -> str | None:
        """Return the address from another line such as ``ready-links``.

        Args:
            word: First word of the line.

        Returns:
            The second word of the first such line, or None if there is no such line.
        """
        return _find_address(self.log_path, word)

    def wait_address(self, word: str, timeout: float = READY_TIMEOUT_SECONDS) -> str:
        """Wait for another line such as ``ready-links`` and return its address.

        Raises:
            ProgramNotReady: The line wasn't printed in time.
        """
        return _wait_address(self.process, self.log_path, word, timeout)

    def kill(self) -> None:
        """Kill the program (SIGKILL) and wait until it has exited."""
        self.process.kill()
        self.process.wait(KILL_TIMEOUT_SECONDS)

    def stop(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Stop the program gracefully (SIGTERM) and return its exit code.

        Args:
            timeout: Seconds until the program is killed.

        Raises:
            ProgramNotStopped: The program didn't exit in time and was killed.
        """
        self.process.terminate()
        # A paused program doesn't handle SIGTERM.
        self.resume()
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise ProgramNotStopped(repr(self.process.args)) from error

    def pause(self) -> None:
        """Suspend the program (SIGSTOP)."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused program (SIGCONT)."""
        self.process.send_signal(signal.SIGCONT)

    def is_running(self) -> bool:
        """Tell whether the program hasn't exited; a paused program is running too."""
        return self.process.poll() is None


def start_program(
    arguments: list[str],
    log_path: str | Path,
    environment: dict[str, str] | None = None,
) -> Program:
    """Start a program and wait until it is ready.

    Args:
        arguments: Program and its arguments.
        log_path: File for the output of the program; an existing file is truncated.
        environment: Environment variables added to those of this process.

    Returns:
        The running program.

    Raises:
        ProgramNotReady: The program exited, or wasn't ready after 20 seconds, not
            counting the time that it waited for a processor.
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
    """Return the seconds that a runnable process has waited for a processor.

    This is the second number of ``/proc/<pid>/schedstat`` (see
    Documentation/scheduler/sched-stats.rst of the kernel). It covers only the main
    thread, which is the thread that starts up the program.

    Args:
        process: Process ID.
    """
    try:
        numbers = Path(f'/proc/{process}/schedstat').read_text().split()
    except OSError:
        return 0
    return int(numbers[1]) / NANOSECONDS_PER_SECOND


def _wait_address(
    process: subprocess.Popen[bytes], path: Path, word: str, timeout: float
) -> str:
    started_at = time.monotonic()
    deadline = started_at + MAX_START_SECONDS
    while time.monotonic() < min(
        deadline, started_at + timeout + read_run_queue_wait(process.pid)
    ):
        exited = process.poll() is not None
        address = _find_address(path, word)
        if address is not None:
            return address
        if exited:
            break
        time.sleep(POLL_INTERVAL_SECONDS)
    tail = path.read_text(errors='replace')[-LOG_TAIL_CHARACTERS:]
    raise ProgramNotReady(f'{process.args!r} exit code {process.poll()}: {tail}')


def _find_address(path: Path, word: str) -> str | None:
    for line in path.read_text(errors='replace').splitlines(keepends=True):
        words = line.split()
        # A line without a newline may be incomplete.
        if line.endswith('\n') and words[:1] == [word] and len(words) > 1:
            return words[1]
    return None
