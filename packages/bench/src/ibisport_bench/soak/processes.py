"""Runs the product's programs as separate processes and sends them signals."""

import asyncio
import os
import signal
import sys
from dataclasses import replace
from pathlib import Path

from ibisport_bench.soak.evidence import Cause, Journal, Start, read_clock
from ibisport_bench.soak.process_states import read_process_state
from ibisport_fleet.settings import HostSettings
from ibisport_platform.settings import SETTINGS_VARIABLE
from ibisport_platform.stand_in_records import format_settings

PROGRAM = 'ibisport_platform'


class Host:
    """A host with a single process, which is restarted during a run.

    Attributes:
        settings: The contents of its settings file.
        more_settings: Lines that are added to the settings file.
        restarting: Whether its process is being stopped and started again.
        start: The current or the last start of its process.
    """

    def __init__(
        self, role: str, settings: HostSettings, folder: Path, journal: Journal
    ) -> None:
        self.settings = settings
        self.more_settings = ''
        self.restarting = False
        self.start = Start(settings.host, 0, read_clock())
        self._module = [PROGRAM, role]
        self._journal = journal
        self._log_path = folder / f'{settings.host}.log'
        self._settings_path = folder / f'{settings.host}.toml'
        self._process: asyncio.subprocess.Process | None = None
        self._exit_watcher: asyncio.Future[None] | None = None

    @property
    def name(self) -> str:
        """The name of the host."""
        return self.settings.host

    @property
    def process_id(self) -> int | None:
        """The id of its last process, or None before the first start."""
        return None if self._process is None else self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    def use_mutant(self, module: str, name: str) -> None:
        """Run the program through a module that patches it in memory.

        Args:
            module: The module.
            name: The name of the patch.
        """
        self._module = [module, name, self._module[-1]]

    async def launch(self) -> None:
        """Start the process."""
        settings = replace(self.settings, first_start=not self.start.number)
        self._write_settings(settings)
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings_path)}
        self.start = Start(self.name, self.start.number + 1, read_clock())
        self._journal.starts.append(self.start)
        with self._log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *self._module,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self._exit_watcher = asyncio.ensure_future(
            self._watch(self._process, self.start)
        )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running and self._process is not None:
            self._process.send_signal(signal_number)

    async def stop(self, timeout: float) -> None:
        """Send SIGTERM, and SIGKILL if the process runs on after the timeout."""
        with self._journal.track_fault(Cause.stop, self.name):
            self.start.told = read_clock()
            self.send_signal(signal.SIGTERM)
            if not await self.wait(timeout):
                self.kill()
                await self.wait(timeout)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.start.killed = self.start.killed or self.is_running
        self.send_signal(signal.SIGKILL)

    async def wait(self, seconds: float) -> bool:
        """Wait until the process ends; return False if it is still running."""
        if self._process is None:
            return True
        try:
            await asyncio.wait_for(self._process.wait(), seconds)
        except TimeoutError:
            return False
        return True

    def reload(self, retry_slack: float) -> None:
        """Change the retry slack in the settings file and send SIGHUP."""
        bounds = replace(self.settings.bounds, retry_slack=retry_slack)
        self.settings = replace(self.settings, bounds=bounds)
        self._write_settings(self.settings)
        with self._journal.track_fault(Cause.reload, self.name, f'slack {retry_slack}'):
            self._hang_up()

    def _hang_up(self) -> None:
        """Send SIGHUP; record whether the program had begun, which holds it."""
        if self.is_running and self.process_id is not None:
            state = read_process_state(self.process_id)
            if state is not None and state.is_starting:
                self.start.hung_up_early = True
        self.send_signal(signal.SIGHUP)

    def _write_settings(self, settings: HostSettings) -> None:
        content = format_settings(settings) + self.more_settings
        self._settings_path.write_text(content)

    async def _watch(self, process: asyncio.subprocess.Process, start: Start) -> None:
        start.code = await process.wait()
        start.ended = read_clock()
