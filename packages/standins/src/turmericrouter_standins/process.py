"""Child processes of a test fleet."""

import asyncio
from collections.abc import Sequence
import os
import pathlib
import signal
import subprocess
import sys
import time

_POLL_INTERVAL_S = 0.02
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class FleetError(Exception):
    """A process of the fleet did not start, answer or end as expected."""


class Process:
    """A child process with its log file.

    Args:
        name: Name in error messages and of the log file.
        command: Arguments of the Python interpreter.
        directory: Directory of the log file.
    """

    def __init__(
        self, name: str, command: Sequence[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.output = directory / f'{name}.log'
        self._command = [sys.executable, *command]
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        if self._child is None:
            raise FleetError(f'{self.name} was not started')
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process unless it runs; log its output to the file."""
        if self.is_running:
            return
        with self.output.open('ab') as output:
            self._child = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path)),
            )

    def cpu_s(self) -> float:
        """Return the processor time of the process in seconds."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        statm = pathlib.Path(f'/proc/{self.pid}/statm').read_text()
        return int(statm.split()[1]) * _PAGE_BYTES

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._child is not None:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kill the process at once and reap it."""
        if self._child is not None:
            self._child.kill()
            self._child.wait()

    async def wait(self, timeout_s: float) -> int:
        """Wait for the process to end and return its exit status.

        Raises:
            FleetError: The process still runs after the timeout.
        """
        assert self._child is not None
        deadline = time.monotonic() + timeout_s
        while self._child.poll() is None:
            if time.monotonic() > deadline:
                raise FleetError(
                    f'{self.name} did not end within {timeout_s:g} s'
                )
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self._child.returncode
